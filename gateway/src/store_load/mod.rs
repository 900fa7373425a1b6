//! What this instance knows of its calls to the store: which of them fail, and for how long.

mod calls;
mod target;

pub use calls::{Outage, StoreLoad};
pub use target::{Access, CallTarget};
