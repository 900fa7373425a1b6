//! Client for requests to the fleet: authentication, discovery, retries and failover.

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
    Failure,
    RequestError,
    RetryContext,
    decide, //
};
use crate::secret::Secret;

/// Largest response body that is read into memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Largest error body that is read, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 1 << 20;

/// Minimum timeout of one attempt of an idempotent request, unless the overall deadline is earlier.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a discovery request.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that any instance can serve.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: Method,
    path: String,
    body: Bytes,
    headers: HeaderMap,
    /// Whether running the request twice has the same effect as running it once.
    idempotent: bool,
    /// A status outside 2xx that is not treated as an error.
    expected: Option<StatusCode>,
}

impl Call {
    /// Creates a GET request.
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

    /// Creates a POST request that is not idempotent.
    pub(crate) fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            idempotent: false,
            ..Self::get(path)
        }
    }

    /// Creates a DELETE request.
    pub(crate) fn delete(path: impl Into<String>) -> Self {
        Self {
            method: Method::DELETE,
            ..Self::get(path)
        }
    }

    /// Marks the request as idempotent: running it twice has the same effect as running it once.
    pub(crate) fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Accepts a response with `status` instead of treating it as an error.
    pub(crate) fn expect(mut self, status: StatusCode) -> Self {
        self.expected = Some(status);
        self
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Sets the content type to JSON.
    pub(crate) fn json(self) -> Self {
        self.header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Returns the method and path, for messages.
    pub(crate) fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }
}

/// A response whose body has been read completely.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Client for the instances that a command may use, with the key for authentication.
#[derive(Debug)]
pub(crate) struct Fleet {
    client: Client,
    configured: Vec<SocketAddr>,
    key: Option<Secret>,
    timeout: Duration,
    /// Path of the discovery request; `None` for admin listeners, which have no discovery.
    discovery: Option<String>,
    discovered: Vec<SocketAddr>,
    /// Time at which `discovered` expires.
    discovered_until: Option<Instant>,
    /// Index of the address in use, modulo the number of addresses; incremented when that address
    /// fails.
    current: usize,
}

impl Fleet {
    /// Creates a client for the given addresses, of which there must be at least one.
    pub(crate) fn new(
        spawner: &Spawner,
        configured: Vec<SocketAddr>,
        key: Option<Secret>,
        timeout: Duration,
    ) -> Self {
        Self {
            client: Client::new(spawner, ClientLimits::default()),
            configured,
            key,
            timeout,
            discovery: None,
            discovered: Vec::new(),
            discovered_until: None,
            current: 0,
        }
    }

    /// Enables discovery of the public addresses, for a caller in `zone`.
    pub(crate) fn with_discovery(mut self, zone: Option<&str>) -> Self {
        self.discovery = Some(addresses_path(zone));
        self
    }

    /// Sends a request and reads its whole response, with retries.
    pub(crate) async fn request(&mut self, call: &Call) -> Result<BufferedResponse, RequestError> {
        let send =
            async |fleet: &Self, addr, deadline| fleet.try_request(addr, call, deadline).await;
        self.with_retries(call, send).await
    }

    /// Sends a request and returns its response as a stream, with retries.
    ///
    /// Only failures before the first byte of the body are retried.
    pub(crate) async fn open(&mut self, call: &Call) -> Result<Response<ClientBody>, RequestError> {
        let send = async |fleet: &Self, addr, deadline| fleet.try_open(addr, call, deadline).await;
        self.with_retries(call, send).await
    }

    /// Runs `send` until it succeeds or must not be retried.
    ///
    /// The last attempt may be refused although an earlier one ran, so the error has the strongest
    /// verdict of all attempts.
    async fn with_retries<T>(
        &mut self,
        call: &Call,
        send: impl AsyncFn(&Self, SocketAddr, Instant) -> Result<T, Failure>,
    ) -> Result<T, RequestError> {
        let deadline = Instant::now() + self.timeout;
        let mut attempts = 0;
        let mut verdict = Verdict::NotRun;
        loop {
            let addresses = self.addresses().await;
            let addr = addresses[self.current % addresses.len()];
            let failure = match send(self, addr, deadline).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            attempts += 1;
            verdict = verdict.max(failure.verdict());
            self.wait_for_retry(failure, call, attempts, addresses.len(), deadline)
                .await
                .map_err(|last| RequestError::new(last, verdict))?;
        }
    }

    /// Sends a request and parses its response as JSON.
    pub(crate) async fn json<T: DeserializeOwned>(&mut self, call: &Call) -> Result<T, Error> {
        let response = self.request(call).await?;
        parse(call, &response)
    }

    /// Waits before the next attempt, or returns the failure if the request must not be retried.
    async fn wait_for_retry(
        &mut self,
        failure: Failure,
        call: &Call,
        attempts: u32,
        addresses: usize,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let context = RetryContext {
            idempotent: call.idempotent,
            attempts,
            addresses,
            remaining: deadline.saturating_duration_since(Instant::now()),
            jitter: random::jitter(),
        };
        let Some(retry) = decide(&failure, &context) else {
            return Err(failure);
        };
        let wait = retry.wait.as_millis();
        log::warn!("LW1901 retrying {} in {wait} ms: {failure}", call.name());
        sleep(retry.wait).await;
        if retry.next_address {
            self.current = self.current.wrapping_add(1);
        }
        Ok(())
    }

    async fn try_request(
        &self,
        addr: SocketAddr,
        call: &Call,
        deadline: Instant,
    ) -> Result<BufferedResponse, Failure> {
        let response = self.try_open(addr, call, deadline).await?;
        let (head, body) = response.into_parts();
        let body = body.collect_bytes(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|cause| Failure::NoResponse {
            addr,
            verdict: cause.verdict(),
            cause: format!("incomplete response from {addr}: {cause}"),
        })?;
        Ok(BufferedResponse {
            headers: head.headers,
            body,
        })
    }

    async fn try_open(
        &self,
        addr: SocketAddr,
        call: &Call,
        deadline: Instant,
    ) -> Result<Response<ClientBody>, Failure> {
        // An idempotent request can be retried on another instance, so one attempt uses at most
        // half of the remaining time.
        let now = Instant::now();
        let half = deadline.saturating_duration_since(now) / 2;
        let deadline = if call.idempotent {
            deadline.min(now + half.max(MIN_ATTEMPT_TIMEOUT))
        } else {
            deadline
        };
        let options = SendOptions {
            class: TrafficClass::Online,
            deadline: Some(deadline),
        };
        let sent = self.client.send(addr, self.prepare(call), options).await;
        let response = sent.map_err(|cause| no_response(addr, &cause))?;
        let status = response.status();
        if status.is_success() || call.expected == Some(status) {
            return Ok(response);
        }
        Err(read_error_response(response).await)
    }

    fn prepare(&self, call: &Call) -> Request<Bytes> {
        let mut req = Request::new(call.body.clone());
        *req.method_mut() = call.method.clone();
        // Always parses: paths consist of validated identifiers and percent-encoded values.
        *req.uri_mut() = call.path.parse().unwrap_or_default();
        *req.headers_mut() = call.headers.clone();
        if let Some(key) = &self.key {
            req.headers_mut().insert(AUTHORIZATION, key.bearer());
        }
        req
    }

    /// Returns the addresses in the order in which they are tried: discovered ones first, then the
    /// configured ones.
    async fn addresses(&mut self) -> Vec<SocketAddr> {
        let expired = self
            .discovered_until
            .is_none_or(|until| until <= Instant::now());
        if expired && let Some(path) = self.discovery.clone() {
            self.discover(&path).await;
        }
        let mut addresses = self.discovered.clone();
        let not_discovered = |addr: &&SocketAddr| !self.discovered.contains(addr);
        addresses.extend(self.configured.iter().filter(not_discovered));
        addresses
    }

    /// Stores the result of a discovery request that was sent at `requested_at`.
    fn update_discovered(&mut self, found: &Addresses, requested_at: Instant) {
        let addresses: Vec<_> = found.addresses.iter().map(|e| e.address).collect();
        // With an unchanged list the index is kept, so that a retry does not return to the
        // address that just failed.
        if addresses != self.discovered {
            self.discovered = addresses;
            self.current = 0;
        }
        self.discovered_until = Some(requested_at + Duration::from_millis(found.ttl_ms));
    }

    /// Runs discovery; if it fails, the addresses already discovered stay in use.
    async fn discover(&mut self, path: &str) {
        let call = Call::get(path);
        let mut sources = self.discovered.clone();
        sources.extend(&self.configured);
        for addr in sources {
            let deadline = Instant::now() + DISCOVERY_TIMEOUT;
            let requested_at = Instant::now();
            let response = self.try_request(addr, &call, deadline).await;
            let parsed =
                response.map(|response| serde_json::from_slice::<Addresses>(&response.body));
            match parsed {
                Ok(Ok(found)) if !found.addresses.is_empty() => {
                    self.update_discovered(&found, requested_at);
                    return;
                }
                Ok(_) => log::warn!("LW1902 unusable discovery response from {addr}"),
                // The instance reports the same error for the request itself.
                Err(Failure::ErrorResponse { .. }) => return,
                Err(failure) => log::warn!("LW1902 no discovery response from {addr}: {failure}"),
            }
        }
    }
}

/// Returns the path of the discovery request for a caller in `zone`.
pub(crate) fn addresses_path(zone: Option<&str>) -> String {
    let path = "/v1/addresses";
    zone.map_or(path.to_owned(), |zone| {
        format!("{path}?{}", query(&[("zone", zone)]))
    })
}

/// Parses a response body as JSON.
pub(crate) fn parse<T: DeserializeOwned>(
    call: &Call,
    response: &BufferedResponse,
) -> Result<T, Error> {
    serde_json::from_slice(&response.body).map_err(|cause| Error::MalformedResponse {
        request: call.name(),
        cause: cause.to_string(),
    })
}

/// Encodes fields as a query string.
pub(crate) fn query(fields: &[(&str, &str)]) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name}={}", encode(value)))
        .collect();
    fields.join("&")
}

/// Percent-encodes every byte except the unreserved characters of RFC 3986.
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

fn no_response(addr: SocketAddr, cause: &ClientError) -> Failure {
    Failure::NoResponse {
        addr,
        verdict: cause.verdict(),
        cause: cause.to_string(),
    }
}

async fn read_error_response(response: Response<ClientBody>) -> Failure {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    let body = body.collect_bytes(MAX_ERROR_BODY_BYTES).await;
    let parsed = body
        .ok()
        .and_then(|body| serde_json::from_slice::<ErrorBody>(&body).ok());
    let error = parsed.map_or_else(
        || missing_body_error(status, &head.headers),
        |body| body.error,
    );
    let retry_after = error.retry_after_ms.map(Duration::from_millis);
    let retry_after = retry_after.or_else(|| retry_after_header(&head.headers));
    Failure::ErrorResponse {
        status,
        error,
        retry_after,
    }
}

/// Returns an error for a response without an error body, for example from an overloaded server.
fn missing_body_error(status: u16, headers: &HeaderMap) -> ApiError {
    let verdict = headers.get(VERDICT_HEADER);
    let verdict = verdict.and_then(|value| value.to_str().ok()?.parse().ok());
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    ErrorBody::new(
        status,
        "http_status",
        "the response has no error body",
        verdict,
    )
    .error
}

fn retry_after_header(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
