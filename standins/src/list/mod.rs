//! Stand-in for the list of instances and backend servers, whose changes are visible after a lag.

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
