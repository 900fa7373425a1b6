//! Which requests yield while a service has no room: the less urgent ones, and those of organisations that
//! use more than their share.
//!
//! Load pattern: the requests of 80 organisations reach 80 instances at the same time, and for seconds at a
//! time there is room for only a part of them. Whoever asks when a slot gets free would have it. Each
//! instance therefore tells the others the least level at which it has just refused a request, and
//! all of them hold back what comes after that level, so that the slots that get free are left to the
//! requests that were refused.

mod returns;
mod shortage;
mod usage;

pub use returns::{RETURN_SHARE, longest_return};
pub(crate) use shortage::WireShortage;
pub use shortage::{HOLD, HoldCause, Level, ServiceKey, ShortageReport, Shortages};
pub use usage::{MIN_USAGE, OrganisationUsage};
