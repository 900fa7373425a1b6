//! Requests to the fleet: keys, discovery, retries and change of address.

use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use hyper::header::{
    AUTHORIZATION,
    CONTENT_TYPE,
    HeaderMap,
    HeaderName,
    HeaderValue,
    RETRY_AFTER, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_protocol::http::{
    Addresses,
    ApiError,
    ErrorBody,
    VERDICT_HEADER, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::Spawner;
use limpetweir_transport::http::{
    Client,
    ClientBody,
    ClientError,
    ClientLimits,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::sleep;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::random;
use crate::retry::{
    Attempt,
    Failure,
    decide, //
};
use crate::secret::Secret;

/// Longest answer that is kept in memory, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Longest error body that is read, in bytes.
const MAX_ERROR_BYTES: usize = 1 << 20;

/// Time that one instance has at least when the request may be sent to another one.
const TRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a discovery answer.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to any instance.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: Method,
    path: String,
    body: Bytes,
    headers: HeaderMap,
    /// Whether running it twice has the effect of running it once.
    idempotent: bool,
    /// A status besides 2xx whose body is an answer and no error.
    expected: Option<StatusCode>,
}

impl Call {
    /// Returns a request that reads `path`.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            headers: HeaderMap::new(),
            idempotent: true,
            expected: None,
        }
    }

    /// Returns a request that sends `body` to `path` and must not run twice.
    pub(crate) fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            idempotent: false,
            ..Self::get(path)
        }
    }

    /// Declares that running the request twice has the effect of running it once.
    pub(crate) fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Takes an answer with `status` as an answer and not as an error.
    pub(crate) fn expect(mut self, status: StatusCode) -> Self {
        self.expected = Some(status);
        self
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Declares that the body is JSON.
    pub(crate) fn json(self) -> Self {
        self.header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Returns method and path, for messages.
    pub(crate) fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The instances that a command may ask, and the key that it presents.
#[derive(Debug)]
pub(crate) struct Fleet {
    client: Client,
    given: Vec<SocketAddr>,
    key: Option<Secret>,
    timeout: Duration,
    /// Path of the discovery request; `None` for admin listeners, which have no discovery.
    discovery: Option<String>,
    discovered: Vec<SocketAddr>,
    /// End of the time to live of `discovered`.
    discovered_until: Option<Instant>,
    /// Index of the address that answered last; counts up when an address fails.
    current: usize,
}

impl Fleet {
    /// Creates a fleet of the given addresses, at least one.
    pub(crate) fn new(
        spawner: &Spawner,
        given: Vec<SocketAddr>,
        key: Option<Secret>,
        timeout: Duration,
    ) -> Self {
        Self {
            client: Client::new(spawner, ClientLimits::default()),
            given,
            key,
            timeout,
            discovery: None,
            discovered: Vec::new(),
            discovered_until: None,
            current: 0,
        }
    }

    /// Asks the instances which addresses to use, for a caller in `zone`.
    pub(crate) fn with_discovery(mut self, zone: Option<&str>) -> Self {
        self.discovery = Some(addresses_path(zone));
        self
    }

    /// Sends a request and returns its whole answer.
    pub(crate) async fn request(&mut self, call: &Call) -> Result<Answer, Failure> {
        let once =
            async |fleet: &Self, addr, deadline| fleet.request_once(addr, call, deadline).await;
        self.repeat(call, once).await
    }

    /// Sends a request and returns its answer as it arrives.
    ///
    /// Only failures before the first byte of the body are retried.
    pub(crate) async fn open(&mut self, call: &Call) -> Result<Response<ClientBody>, Failure> {
        let once = async |fleet: &Self, addr, deadline| fleet.open_once(addr, call, deadline).await;
        self.repeat(call, once).await
    }

    /// Tries a request until it is answered or may not be tried again.
    async fn repeat<T>(
        &mut self,
        call: &Call,
        once: impl AsyncFn(&Self, SocketAddr, Instant) -> Result<T, Failure>,
    ) -> Result<T, Failure> {
        let deadline = Instant::now() + self.timeout;
        let mut tries = 0;
        loop {
            let addresses = self.addresses().await;
            let addr = addresses[self.current % addresses.len()];
            let failure = match once(self, addr, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            tries += 1;
            self.wait(failure, call, tries, addresses.len(), deadline)
                .await?;
        }
    }

    /// Sends a request and reads its answer as JSON.
    pub(crate) async fn json<T: DeserializeOwned>(&mut self, call: &Call) -> Result<T, Error> {
        let answer = self.request(call).await?;
        parse(call, &answer)
    }

    /// Waits before the next try, or returns the failure if there is none.
    async fn wait(
        &mut self,
        failure: Failure,
        call: &Call,
        tries: u32,
        addresses: usize,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let attempt = Attempt {
            idempotent: call.idempotent,
            tries,
            addresses,
            remaining: deadline.saturating_duration_since(Instant::now()),
            jitter: random::jitter(),
        };
        let Some(retry) = decide(&failure, &attempt) else {
            return Err(failure);
        };
        let wait = retry.wait.as_millis();
        log::warn!(
            "LW1901 {} is tried again in {wait} ms: {failure}",
            call.name()
        );
        sleep(retry.wait).await;
        if retry.next_address {
            self.current = self.current.wrapping_add(1);
        }
        Ok(())
    }

    async fn request_once(
        &self,
        addr: SocketAddr,
        call: &Call,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        let response = self.open_once(addr, call, deadline).await?;
        let (head, body) = response.into_parts();
        let body = body.collect_bytes(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|cause| Failure::NoAnswer {
            addr,
            verdict: cause.verdict(),
            cause: format!("the answer of {addr} is not complete: {cause}"),
        })?;
        Ok(Answer {
            headers: head.headers,
            body,
        })
    }

    async fn open_once(
        &self,
        addr: SocketAddr,
        call: &Call,
        deadline: Instant,
    ) -> Result<Response<ClientBody>, Failure> {
        // A request that may run again elsewhere does not spend its whole time on one instance.
        let now = Instant::now();
        let half = deadline.saturating_duration_since(now) / 2;
        let deadline = if call.idempotent {
            deadline.min(now + half.max(TRY_TIMEOUT))
        } else {
            deadline
        };
        let options = SendOptions {
            class: TrafficClass::Online,
            deadline: Some(deadline),
        };
        let sent = self.client.send(addr, self.prepare(call), options).await;
        let response = sent.map_err(|cause| no_answer(addr, &cause))?;
        let status = response.status();
        if status.is_success() || call.expected == Some(status) {
            return Ok(response);
        }
        Err(refused(response).await)
    }

    fn prepare(&self, call: &Call) -> Request<Bytes> {
        let mut req = Request::new(call.body.clone());
        *req.method_mut() = call.method.clone();
        // Paths consist of checked identifiers and encoded values.
        *req.uri_mut() = call.path.parse().unwrap_or_default();
        *req.headers_mut() = call.headers.clone();
        if let Some(key) = &self.key {
            req.headers_mut().insert(AUTHORIZATION, key.bearer());
        }
        req
    }

    /// Returns the addresses to try in order: the discovered ones, then the given ones.
    async fn addresses(&mut self) -> Vec<SocketAddr> {
        let expired = self
            .discovered_until
            .is_none_or(|until| until <= Instant::now());
        if expired && let Some(path) = self.discovery.clone() {
            self.discover(&path).await;
        }
        let mut addresses = self.discovered.clone();
        let known = |addr: &&SocketAddr| !self.discovered.contains(addr);
        addresses.extend(self.given.iter().filter(known));
        addresses
    }

    /// Takes over a discovery answer that was asked for at `asked`.
    fn learn(&mut self, found: &Addresses, asked: Instant) {
        let addresses: Vec<_> = found.addresses.iter().map(|e| e.address).collect();
        // An unchanged list must not lead a retry back to the address that just failed.
        if addresses != self.discovered {
            self.discovered = addresses;
            self.current = 0;
        }
        self.discovered_until = Some(asked + Duration::from_millis(found.ttl_ms));
    }

    /// Reads the discovery answer; after a failure the known addresses stay in use.
    async fn discover(&mut self, path: &str) {
        let call = Call::get(path);
        let mut sources = self.discovered.clone();
        sources.extend(&self.given);
        for addr in sources {
            let deadline = Instant::now() + DISCOVERY_TIMEOUT;
            let asked = Instant::now();
            let answer = self.request_once(addr, &call, deadline).await;
            let parsed = answer.map(|answer| serde_json::from_slice::<Addresses>(&answer.body));
            match parsed {
                Ok(Ok(found)) if !found.addresses.is_empty() => {
                    self.learn(&found, asked);
                    return;
                }
                Ok(_) => log::warn!("LW1902 {addr} gave no usable discovery answer"),
                // The request itself reports what the instance refuses.
                Err(Failure::Refused { .. }) => return,
                Err(failure) => log::warn!("LW1902 {addr} gave no discovery answer: {failure}"),
            }
        }
    }
}

/// Returns the path of the discovery request of a caller in `zone`.
pub(crate) fn addresses_path(zone: Option<&str>) -> String {
    let path = "/v1/addresses";
    zone.map_or(path.to_owned(), |zone| {
        format!("{path}?{}", query(&[("zone", zone)]))
    })
}

/// Reads an answer as JSON.
pub(crate) fn parse<T: DeserializeOwned>(call: &Call, answer: &Answer) -> Result<T, Error> {
    serde_json::from_slice(&answer.body).map_err(|cause| Error::Malformed {
        request: call.name(),
        cause: cause.to_string(),
    })
}

/// Encodes the fields of a query string.
pub(crate) fn query(fields: &[(&str, &str)]) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name}={}", encode(value)))
        .collect();
    fields.join("&")
}

/// Percent-encodes every byte that is not unreserved in a URI.
fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

fn no_answer(addr: SocketAddr, cause: &ClientError) -> Failure {
    Failure::NoAnswer {
        addr,
        verdict: cause.verdict(),
        cause: cause.to_string(),
    }
}

async fn refused(response: Response<ClientBody>) -> Failure {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    let body = body.collect_bytes(MAX_ERROR_BYTES).await;
    let parsed = body
        .ok()
        .and_then(|body| serde_json::from_slice::<ErrorBody>(&body).ok());
    let error = parsed.map_or_else(|| foreign_error(status, &head.headers), |body| body.error);
    let retry_after = error.retry_after_ms.map(Duration::from_millis);
    let retry_after = retry_after.or_else(|| retry_after_header(&head.headers));
    Failure::Refused {
        status,
        error,
        retry_after,
    }
}

/// Returns an error for an answer without an error body, such as that of a full server.
fn foreign_error(status: u16, headers: &HeaderMap) -> ApiError {
    let verdict = headers.get(VERDICT_HEADER);
    let verdict = verdict.and_then(|value| value.to_str().ok()?.parse().ok());
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    ErrorBody::new(
        status,
        "http_status",
        "the answer has no error body",
        verdict,
    )
    .error
}

fn retry_after_header(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
