//! Minimal HTTP server on one thread: hyper over smol-hyper.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration, //
};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{
    Async,
    Timer, //
};
use futures_util::Stream;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    body::{
        Body,
        Bytes,
        Frame,
        Incoming,
        SizeHint, //
    },
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER, //
    },
    service::service_fn, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use smol_hyper::rt::{
    FuturesIo,
    SmolTimer, //
};

/// Maximum size of a request body, in bytes.
const MAX_BODY: usize = 64 << 20;

/// Delay after a failed accept, to avoid a busy loop when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Vec<(String, String)>,
    pub(crate) headers: HeaderMap,
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

    /// Returns a header as text, if it is present and visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }

    /// Returns the received headers as text.
    pub(crate) fn header_list(&self) -> Vec<(String, String)> {
        self.headers
            .iter()
            .map(|(name, value)| {
                (
                    name.to_string(),
                    String::from_utf8_lossy(value.as_bytes()).into_owned(),
                )
            })
            .collect()
    }
}

/// A response with a complete or a streamed body.
pub(crate) type HttpResponse = Response<ResponseBody>;

/// Result of a call; an error closes the connection without a response.
pub(crate) type Outcome = Result<HttpResponse, Dropped>;

/// The connection is closed without a response or within its body.
#[derive(Debug)]
pub(crate) struct Dropped;

impl std::fmt::Display for Dropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response is withheld")
    }
}

impl std::error::Error for Dropped {}

/// A response body, complete or streamed from a channel. A `Dropped` item closes the connection.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    Whole(Option<Bytes>),
    Stream(Pin<Box<Receiver<Result<Bytes, Dropped>>>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Dropped;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Dropped>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(rx) => {
                let item = ready!(rx.as_mut().poll_next(cx));
                Poll::Ready(item.map(|item| item.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Request handler of a stand-in.
pub(crate) trait Service {
    /// Handles a call. The future is dropped when the caller closes the connection.
    fn call(&self, call: Call) -> impl Future<Output = Outcome>;
}

/// Binds a loopback listener; with port 0 the system chooses a free port.
///
/// # Errors
///
/// Returns the error of the bind call.
pub fn bind(port: u16) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Accepts connections and serves each in a task of its own; returns only on an error.
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
        log::debug!("could not set TCP_NODELAY: {err}");
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
        headers: parts.headers,
        body,
    };
    service.call(call).await
}

/// Splits a query string. Percent encoding is not decoded, because values are numbers and names.
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

/// Returns a response with a binary body.
pub(crate) fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpResponse {
    let mut response = Response::new(ResponseBody::Whole(Some(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    match serde_json::to_vec(body) {
        Ok(body) => bytes(status, "application/json", body.into()),
        Err(err) => bytes(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            format!("the answer could not be encoded: {err}").into(),
        ),
    }
}

/// Returns an error response in the format of the platform services.
pub(crate) fn error(status: StatusCode, message: &str) -> HttpResponse {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// Adds `Retry-After` in whole seconds, rounded up.
pub(crate) fn with_retry_after(mut response: HttpResponse, after: Duration) -> HttpResponse {
    let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Returns the response to an unknown path or method.
pub(crate) fn not_found(call: &Call) -> HttpResponse {
    error(
        StatusCode::NOT_FOUND,
        &format!("no such call: {} {}", call.method, call.path),
    )
}

/// A call was rejected without effect.
#[derive(Debug)]
pub(crate) struct Rejected {
    pub(crate) status: StatusCode,
    pub(crate) message: String,
}

/// Returns the rejection of a malformed call.
pub(crate) fn bad_request(message: String) -> Rejected {
    Rejected {
        status: StatusCode::BAD_REQUEST,
        message,
    }
}

/// Converts a rejection into an error response.
pub(crate) fn response(result: Result<HttpResponse, Rejected>) -> HttpResponse {
    result.unwrap_or_else(|rejected| error(rejected.status, &rejected.message))
}
