//! Stand-ins for the platform services and backend servers, for tests and the demo.

mod bucket;
pub mod client;
mod clock;
mod content;
pub mod engine;
pub mod fleet;
pub mod harness;
mod http;
mod lagged;
pub mod list;
pub mod log;
pub mod plain;
pub mod weights;

pub use content::{
    ATTEMPT_ID,
    RESUME_TOKENS,
    content_hash, //
};
pub use http::bind;
