//! A fleet of instances with stand-ins for the platform and the backend servers.

mod document;
mod error;
mod group;
mod instance;
mod jobs;
mod platform;
mod process;
mod settings;
mod stream;
mod wait;

pub use document::Document;
pub use error::{
    FleetError,
    error_code, //
};
pub use group::Fleet;
pub use instance::{
    Addresses,
    Instance, //
};
pub use jobs::{
    Item,
    items,
    job_body, //
};
pub use platform::{
    Platform,
    control,
    live_backends,
    records, //
};
pub use process::ProcessInstance;
pub use settings::{
    InstanceSettings,
    OPERATOR_KEY,
    bearer, //
};
pub use stream::{
    chunks,
    events,
    is_done,
    streamed_text, //
};
pub use wait::{
    eventually,
    wait_for, //
};
