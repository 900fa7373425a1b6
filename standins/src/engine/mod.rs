//! Stand-in for a model engine with continuous batching.

mod api;
mod cache;
mod control;
mod core;
mod events;
mod orders;
mod record;
mod scheduler;
mod server;
pub mod text;

pub use self::{
    cache::{
        CacheChange,
        PrefixCache, //
    },
    control::{
        AfterTokens,
        EngineControl, //
    },
    core::EngineConfig,
    orders::{
        Change,
        Order,
        OrderRecord,
        Role, //
    },
    record::{
        RequestOutcome,
        RequestRecord, //
    },
    scheduler::{
        Progress,
        Scheduler,
        TimeModel,
        Work, //
    },
    server::serve, //
};
