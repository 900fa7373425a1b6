//! HTTP/1 server and client.

mod activity;
mod body;
mod client;
mod io;
mod limits;
mod places;
mod release;
mod responses;
mod server;
mod sliced;
mod sse;
mod unread;

pub use body::{Body, BodyClosed, BodyError, BodySender, BoxError, RequestBody, read_all};
pub use client::{
    Client, ClientBody, ClientError, ClientLimits, ConnectionUse, SendOptions, TrafficClass,
};
pub use limits::{ConnectionLimits, HeadLimits};
pub use places::{ENDING_CONNECTIONS, ReleaseCause, Released};
pub use release::{
    GRACE_TIME, Holder, PROGRESS_BYTES, Progress, READ_STALL_TIME, STALL_TIME, Standing,
    first_to_release,
};
pub use responses::{Ask, CUT_TIME, FREE_BYTES, Reader, ResponseShares, Responses, Step};
pub use server::{MaxHeadBytes, RemoteAddr, Server, ServerLimits};
pub use sse::{DONE, Event, EventParser, EventReader, EventWriter, SseError};
