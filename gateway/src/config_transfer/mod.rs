//! Transfer of the configuration between instances.
//!
//! Load pattern: after a loss of power all instances look for a configuration together. If the store
//! answers only a few of them, all others ask these for it, on whose links one transfer then takes
//! longer than an instance waits. A configuration is therefore sent to few instances at the same time;
//! the others are rejected at once, and ask again after pauses that grow and are spread.

mod fetch;
mod sends;

pub use fetch::ConfigFetch;
pub use sends::{ConfigSend, ConfigSends};
