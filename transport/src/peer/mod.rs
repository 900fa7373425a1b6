//! WebSocket links between instances.

mod link;
mod listener;
mod pending;
mod socket;

pub use link::{LinkEvent, LinkOptions, PeerLink, SendError};
pub use listener::{PeerHandler, PeerListener};
pub use pending::CallFailure;
pub use socket::LinkError;
