//! Client of the platform's list service.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{
    Request,
    StatusCode, //
};
use limpetweir_protocol::http::ListResponse;
use snafu::{
    OptionExt,
    ResultExt,
    Snafu,
    ensure, //
};

use crate::http::{
    Client,
    ClientError,
    SendOptions,
    TrafficClass, //
};
use crate::log_client::decode_json;

/// A failed read of the list; the caller keeps using the last response.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// The list service sent no response.
    #[snafu(display("cannot read the list: {source}"))]
    NoResponse {
        /// Cause reported by the client.
        source: ClientError,
    },
    /// The list service responded with an error status.
    #[snafu(display("the list service responded with status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The response is truncated or does not have the expected form.
    #[snafu(display("the response of the list service is truncated or malformed"))]
    Malformed,
}

/// Client of the list service; clones share its connections.
#[derive(Clone, Debug)]
pub struct ListClient {
    client: Client,
    addr: SocketAddr,
}

impl ListClient {
    /// Creates a client of the list service at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Reads the list, waiting for at most `timeout`.
    pub async fn read(&self, timeout: Duration) -> Result<ListResponse, ListError> {
        let mut req = Request::new(Bytes::new());
        *req.uri_mut() = hyper::Uri::from_static("/list");
        let options = SendOptions::within(TrafficClass::Platform, timeout);
        let sent = self.client.send(self.addr, req, options).await;
        let response = sent.context(NoResponseSnafu)?;
        let status = response.status();
        ensure!(
            status == StatusCode::OK,
            StatusSnafu {
                status: status.as_u16()
            }
        );
        decode_json(response).await.context(MalformedSnafu)
    }
}
