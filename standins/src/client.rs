//! Blocking HTTP client for tests and demos; opens a connection per request.

use std::{
    io,
    net::TcpStream, //
};

use async_io::Async;
use futures_lite::future;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    body::Bytes,
    client::conn::http1,
    header::HOST, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use smol_hyper::rt::FuturesIo;
use snafu::{
    ResultExt,
    Snafu, //
};

/// A request to send.
#[derive(Debug, Clone, Default)]
pub struct Exchange<'a> {
    /// IP address with port.
    pub address: &'a str,
    /// Method, such as `GET`.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Header names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body; may be empty.
    pub body: Vec<u8>,
}

/// A received response, which may be incomplete.
#[derive(Debug, Clone)]
pub struct Received {
    /// Status code.
    pub status: u16,
    /// Header names (lower case) and values in order.
    pub headers: Vec<(String, String)>,
    /// Bytes of the body.
    pub body: Vec<u8>,
    /// Whether the complete body was received.
    pub complete: bool,
}

impl Received {
    /// Returns a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not valid JSON for this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).context(JsonSnafu)
    }
}

/// A request failed, or its response could not be parsed.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The address is not an IP address with a port.
    #[snafu(display("{address:?} is not an IP address with a port"))]
    Address {
        /// The address.
        address: String,
        /// Cause.
        source: std::net::AddrParseError,
    },
    /// The connection could not be established.
    #[snafu(display("could not connect to {address}"))]
    Connect {
        /// The address.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The request is not valid HTTP.
    #[snafu(display("the request is not valid"))]
    Build {
        /// Cause.
        source: hyper::http::Error,
    },
    /// The connection ended before the response began.
    #[snafu(display("the connection ended before the response"))]
    NoResponse {
        /// Cause.
        source: hyper::Error,
    },
    /// The body is not the expected JSON.
    #[snafu(display("the body is not the expected JSON"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Sends a request and reads the complete response.
///
/// # Errors
///
/// Returns an error if no response began; a truncated body is marked in the result.
pub fn send(exchange: Exchange<'_>) -> Result<Received, ClientError> {
    send_until(exchange, |_| false)
}

/// Sends a request and closes the connection once `stop` returns true for the body received so
/// far.
///
/// # Errors
///
/// Returns an error if no response began.
pub fn send_until(
    exchange: Exchange<'_>,
    stop: impl FnMut(&[u8]) -> bool,
) -> Result<Received, ClientError> {
    future::block_on(run(exchange, stop))
}

/// Sends a `GET` request.
///
/// # Errors
///
/// Returns an error if no response began.
pub fn get(address: &str, path: &str) -> Result<Received, ClientError> {
    send(Exchange {
        address,
        method: "GET",
        path,
        ..Exchange::default()
    })
}

/// Sends a `POST` request with a JSON body.
///
/// # Errors
///
/// Returns an error if no response began.
pub fn post<T: Serialize>(address: &str, path: &str, body: &T) -> Result<Received, ClientError> {
    let body = serde_json::to_vec(body).context(JsonSnafu)?;
    send(Exchange {
        address,
        method: "POST",
        path,
        body,
        ..Exchange::default()
    })
}

async fn run(
    exchange: Exchange<'_>,
    stop: impl FnMut(&[u8]) -> bool,
) -> Result<Received, ClientError> {
    let address = exchange.address;
    let socket = address
        .parse::<std::net::SocketAddr>()
        .context(AddressSnafu { address })?;
    let stream = Async::<TcpStream>::connect(socket)
        .await
        .context(ConnectSnafu { address })?;
    let mut builder = Request::builder()
        .method(exchange.method)
        .uri(exchange.path)
        .header(HOST, address);
    for (name, value) in exchange.headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(Bytes::from(exchange.body)))
        .context(BuildSnafu)?;
    let (mut tx, connection) = http1::handshake(FuturesIo::new(stream))
        .await
        .context(NoResponseSnafu)?;
    let drive = async {
        if let Err(err) = connection.await {
            log::debug!("connection ended: {err}");
        }
        future::pending().await
    };
    let exchange = async {
        let response = tx.send_request(request).await.context(NoResponseSnafu)?;
        Ok(receive(response, stop).await)
    };
    future::or(exchange, drive).await
}

async fn receive(
    response: hyper::Response<hyper::body::Incoming>,
    mut stop: impl FnMut(&[u8]) -> bool,
) -> Received {
    let (parts, mut rest) = response.into_parts();
    let headers = parts
        .headers
        .iter()
        .map(|(name, value)| {
            (
                name.to_string(),
                String::from_utf8_lossy(value.as_bytes()).into_owned(),
            )
        })
        .collect();
    let mut body = Vec::new();
    let complete = loop {
        match rest.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
        }
        if stop(&body) {
            break false;
        }
    };
    Received {
        status: parts.status.as_u16(),
        headers,
        body,
        complete,
    }
}
