//! Sends calls alternately to the backend server and to the daemon, at a fixed rate.

use std::error::Error;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::rc::Rc;
use std::time::{
    Duration,
    Instant, //
};

use async_executor::LocalExecutor;
use async_io::{
    Async,
    Timer, //
};
use hdrhistogram::Histogram;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{
    self,
    SendRequest, //
};
use hyper::header::{
    AUTHORIZATION,
    CONTENT_TYPE,
    HOST, //
};
use smol_hyper::rt::FuturesIo;

use crate::fleet::{
    Fleet,
    KEY,
    MODEL, //
};

/// Pairs of connections. Each has one call in flight, so a slow response delays one pair only.
const PAIRS: u32 = 32;

/// Longest response time that the histograms record, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Tokens of a completion; few, so that the engine's time does not hide the daemon's.
const TOKENS: u32 = 4;

type BoxError = Box<dyn Error>;

/// One kind of call, direct to the backend server and routed through the daemon.
pub(crate) struct Call {
    pub(crate) name: &'static str,
    method: &'static str,
    direct: Target,
    routed: Target,
    body: Bytes,
    /// Suffix of a complete response body.
    suffix: &'static str,
}

#[derive(Clone)]
struct Target {
    addr: SocketAddr,
    path: &'static str,
}

impl Call {
    pub(crate) fn all(fleet: &Fleet) -> [Self; 3] {
        let target = |addr, path| Target { addr, path };
        let completion = |name, stream, suffix| Self {
            name,
            method: "POST",
            direct: target(fleet.engine, "/v1/completions"),
            routed: target(fleet.public, "/v1/completions"),
            body: completion_body(stream),
            suffix,
        };
        [
            completion("completion, whole", false, "}"),
            completion("completion, streamed", true, "data: [DONE]\n\n"),
            Self {
                name: "plain service",
                method: "GET",
                direct: target(fleet.plain, "/tanks/7"),
                routed: target(fleet.public, "/services/tanks/tanks/7"),
                body: Bytes::new(),
                suffix: "}",
            },
        ]
    }

    fn request(&self, target: &Target, id: u64) -> Result<Request<Full<Bytes>>, BoxError> {
        let request = Request::builder()
            .method(self.method)
            .uri(target.path)
            .header(HOST, target.addr.to_string())
            .header(AUTHORIZATION, format!("Bearer {KEY}"))
            .header(CONTENT_TYPE, "application/json")
            .header("x-attempt-id", format!("direct-{id}"))
            .body(Full::new(self.body.clone()))?;
        Ok(request)
    }
}

fn completion_body(stream: bool) -> Bytes {
    let body = serde_json::json!({
        "model": MODEL,
        "prompt": "Which tank has room for the evening delivery?",
        "max_tokens": TOKENS,
        "stream": stream,
    });
    Bytes::from(body.to_string())
}

/// Rate of the direct calls and of the routed calls, each per second, and duration.
pub(crate) struct Load {
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
}

/// Response times in microseconds.
pub(crate) struct Sample {
    pub(crate) direct: Histogram<u64>,
    pub(crate) routed: Histogram<u64>,
}

impl Sample {
    fn new() -> Result<Self, BoxError> {
        Ok(Self {
            direct: Histogram::new_with_bounds(1, MAX_MICROS, 3)?,
            routed: Histogram::new_with_bounds(1, MAX_MICROS, 3)?,
        })
    }
}

/// Sends calls of one kind and returns the times until the end of each response.
///
/// One thread drives all connections, so direct and routed calls share the same client overhead.
pub(crate) fn run(call: &Call, load: &Load) -> Result<Sample, BoxError> {
    let executor = Rc::new(LocalExecutor::new());
    let start = Instant::now();
    let period = Duration::from_secs_f64(f64::from(PAIRS) / load.rate);
    let run = async {
        let pairs: Vec<_> = (0..PAIRS)
            .map(|index| {
                let first = start + period * index / PAIRS;
                executor.spawn(pair(
                    executor.clone(),
                    call,
                    first,
                    period,
                    start + load.duration,
                ))
            })
            .collect();
        let mut total = Sample::new()?;
        for pair in pairs {
            let sample = pair.await?;
            total.direct.add(sample.direct)?;
            total.routed.add(sample.routed)?;
        }
        Ok(total)
    };
    async_io::block_on(executor.run(run))
}

/// Sends a direct and a routed call in each period, half a period apart.
async fn pair(
    executor: Rc<LocalExecutor<'_>>,
    call: &Call,
    first: Instant,
    period: Duration,
    end: Instant,
) -> Result<Sample, BoxError> {
    let mut direct = connect(&executor, call.direct.addr).await?;
    let mut routed = connect(&executor, call.routed.addr).await?;
    let mut sample = Sample::new()?;
    let mut due = first;
    let mut id = 0;
    while due < end {
        id += 1;
        let request = call.request(&call.direct, id)?;
        let micros = measure_call(&mut direct, request, due, call.suffix).await?;
        sample.direct.record(micros)?;
        let request = call.request(&call.routed, id)?;
        let micros = measure_call(&mut routed, request, due + period / 2, call.suffix).await?;
        sample.routed.record(micros)?;
        due += period;
    }
    Ok(sample)
}

async fn connect(
    executor: &LocalExecutor<'_>,
    addr: SocketAddr,
) -> Result<SendRequest<Full<Bytes>>, BoxError> {
    let stream = Async::<TcpStream>::connect(addr).await?;
    stream.get_ref().set_nodelay(true)?;
    let (tx, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    let connection_task = async {
        // An error also fails the call that waits for its response.
        let _ = connection.await;
    };
    executor.spawn(connection_task).detach();
    Ok(tx)
}

/// Returns the microseconds from the start of a call to the end of its response.
///
/// A call that could not start when it was due, because the previous call was slow, is measured
/// from its due time; otherwise slow responses would lower the load and stay out of the sample
/// (coordinated omission).
async fn measure_call(
    tx: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    due: Instant,
    suffix: &str,
) -> Result<u64, BoxError> {
    let late = Instant::now() > due;
    if !late {
        Timer::at(due).await;
    }
    let started = if late { due } else { Instant::now() };
    tx.ready().await?;
    let response = tx.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let elapsed = started.elapsed();
    if !status.is_success()
        || !body
            .trim_ascii_end()
            .ends_with(suffix.trim_end().as_bytes())
    {
        let body = String::from_utf8_lossy(&body);
        return Err(format!("response with status {status}: {body}").into());
    }
    Ok(u64::try_from(elapsed.as_micros())?.max(1))
}
