//! Log service stand-in.

mod server;
mod store;

pub use server::{
    LogControl,
    Outage,
    TrimTo,
    serve, //
};
pub use store::{
    AppendError,
    LogConfig,
    LogStore,
    Page,
    Record,
    Trimmed, //
};
