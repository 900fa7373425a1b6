//! Stand-in for the log service.

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
