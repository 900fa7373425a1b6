//! Wire types of the log, the peer links, the HTTP interfaces and the settings.

pub mod http;
pub mod peer;
pub mod settings;
