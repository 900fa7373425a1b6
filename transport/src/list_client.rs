//! Client of the platform's list.

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
use crate::log_client::json;

/// A read of the list without a usable answer; the last answer stays in use.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// The list service gave no answer.
    #[snafu(display("cannot read the list: {source}"))]
    NoAnswer {
        /// Cause given by the client.
        source: ClientError,
    },
    /// The list service answered with an error.
    #[snafu(display("the list service answered with status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer is cut or not of the expected form.
    #[snafu(display("the answer of the list service is not a list"))]
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
        let response = sent.context(NoAnswerSnafu)?;
        let status = response.status();
        ensure!(
            status == StatusCode::OK,
            StatusSnafu {
                status: status.as_u16()
            }
        );
        json(response).await.context(MalformedSnafu)
    }
}
