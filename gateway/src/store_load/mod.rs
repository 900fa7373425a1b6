//! The load of this instance on the store: which of its calls fail, how long the pause behind a failed call
//! is, and when a page of a listing may be requested.
//!
//! Load pattern: all instances of a fleet start together and list the same partitions. The store serves all
//! reads from one bandwidth, in the order of their arrival. It lets a call wait for up to two seconds and
//! rejects further ones; a response whose client has given up takes its bandwidth all the same. With a
//! shorter patience and constant pauses the queue is always full of pages that nobody waits for, also after
//! the cause of the first failures is gone.
//!
//! What is large is therefore requested only from a partition that answers, and waited for as long as the
//! store may take. What is small may be given up. Pauses grow until a call is answered, and are spread.

mod calls;
mod pauses;
mod target;

pub use calls::{BeforePage, Outage, StoreLoad};
pub use target::{Access, CallTarget};
