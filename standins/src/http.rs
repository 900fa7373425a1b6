//! Thin HTTP server loop: hyper over smol-hyper on one thread.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    service::service_fn,
};
use serde::{Serialize, de::DeserializeOwned};
use smol_hyper::rt::{FuturesIo, SmolTimer};

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY: usize = 64 << 20;

/// Pause after a failed accept, so that an exhausted descriptor table does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request whose body was read completely.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

impl Call {
    /// Returns a query parameter as a number, or `default` if it is absent.
    pub(crate) fn number(&self, name: &str, default: u64) -> Result<u64, Rejected> {
        match self.query.iter().find(|(key, _)| key == name) {
            None => Ok(default),
            Some((_, value)) => value
                .parse()
                .map_err(|_| bad_request(format!("query parameter {name:?} is not a number"))),
        }
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Rejected> {
        serde_json::from_slice(&self.body)
            .map_err(|err| bad_request(format!("the body is not valid for {}: {err}", self.path)))
    }

    /// Returns the segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }
}

/// An answer with a whole or a streamed body.
pub(crate) type Answer = Response<Reply>;

/// Result of a call; the error closes the connection without an answer.
pub(crate) type Outcome = Result<Answer, Dropped>;

/// The answer is withheld and the connection closed.
#[derive(Debug)]
pub(crate) struct Dropped;

impl std::fmt::Display for Dropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is withheld")
    }
}

impl std::error::Error for Dropped {}

/// The body of an answer.
pub(crate) type Reply = Full<Bytes>;

/// A stand-in's request handler.
pub(crate) trait Service {
    /// Answers one call. The future is dropped when the caller closes the connection.
    fn call(&self, call: Call) -> impl Future<Output = Outcome>;
}

/// Binds a loopback listener; port 0 lets the system choose one.
///
/// # Errors
///
/// Returns the error of the bind call.
pub fn bind(port: u16) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Accepts connections for ever and serves each in its own task.
pub(crate) async fn serve<S: Service + 'static>(
    executor: &LocalExecutor<'static>,
    listener: TcpListener,
    service: Rc<S>,
) -> io::Result<Infallible> {
    let listener = Async::<TcpListener>::new(listener)?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                executor
                    .spawn(serve_connection(stream, Rc::clone(&service)))
                    .detach();
            }
            Err(err) => {
                log::warn!("accept failed: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<S: Service>(stream: Async<TcpStream>, service: Rc<S>) {
    if let Err(err) = stream.get_ref().set_nodelay(true) {
        log::debug!("TCP_NODELAY not set: {err}");
    }
    let handler = service_fn(|req: Request<Incoming>| {
        let service = Rc::clone(&service);
        async move { handle(&*service, req).await }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), handler)
        .await;
    if let Err(err) = served {
        log::debug!("connection ended: {err}");
    }
}

async fn handle<S: Service>(service: &S, req: Request<Incoming>) -> Outcome {
    let (parts, body) = req.into_parts();
    let body = match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            return Ok(error(
                StatusCode::BAD_REQUEST,
                &format!("the body was not read: {err}"),
            ));
        }
    };
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parse_query(parts.uri.query().unwrap_or_default()),
        body,
    };
    service.call(call).await
}

/// Splits a query string. Values are numbers and names, so percent encoding is not decoded.
fn parse_query(query: &str) -> Vec<(String, String)> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key.to_owned(), value.to_owned())
        })
        .collect()
}

/// Builds an answer with raw bytes.
pub(crate) fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// Builds a JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Answer {
    match serde_json::to_vec(body) {
        Ok(body) => bytes(status, "application/json", body.into()),
        Err(err) => bytes(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            format!("the answer could not be encoded: {err}").into(),
        ),
    }
}

/// Builds an error answer of the platform services.
pub(crate) fn error(status: StatusCode, message: &str) -> Answer {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// Adds `Retry-After` in whole seconds, rounded up.
pub(crate) fn with_retry_after(mut answer: Answer, after: Duration) -> Answer {
    let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    answer
}

/// Answers a path or method that the stand-in does not have.
pub(crate) fn not_found(call: &Call) -> Answer {
    error(
        StatusCode::NOT_FOUND,
        &format!("no such call: {} {}", call.method, call.path),
    )
}

/// A call that is rejected before it has any effect.
#[derive(Debug)]
pub(crate) struct Rejected {
    pub(crate) status: StatusCode,
    pub(crate) message: String,
}

/// Rejects a malformed call.
pub(crate) fn bad_request(message: String) -> Rejected {
    Rejected {
        status: StatusCode::BAD_REQUEST,
        message,
    }
}

/// Turns a rejection into an error answer.
pub(crate) fn answer(result: Result<Answer, Rejected>) -> Answer {
    result.unwrap_or_else(|rejected| error(rejected.status, &rejected.message))
}
