//! Start and preemption of the items of batch jobs.
//!
//! Load pattern: online requests leave half of the slots idle for about three seconds and then
//! need nearly all of them for about two, while items are due within 18 s and run for five. Each
//! instance starts its items in idle slots, and stops those whose slots online requests need; a
//! stopped item resumes later after its last event.

mod candidate;
mod openings;
mod overload;
mod pacing;
mod preemption;
mod recent_peak;
mod reserve;
mod starts;

pub use candidate::{
    BatchCandidate,
    WaitingItem, //
};
pub use pacing::{
    ItemPacing,
    PacingTimes, //
};
pub use preemption::{
    Preemption,
    Stop,
    StopCause,
    choose_preemptions, //
};
pub use reserve::{
    one_slot_each,
    reserve, //
};
pub use starts::{
    Contenders,
    choose_starts, //
};
