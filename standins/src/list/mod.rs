//! Lagging list of instances and backend servers.

mod server;
mod state;

pub use server::{
    ListControl,
    serve, //
};
pub use state::{
    Backend,
    Instance,
    ListState,
    Listing,
    ServerState, //
};
