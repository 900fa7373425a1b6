//! The operators' configuration, indexed for routing and admission.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::warm_up::WarmUp;

/// Largest version of a configuration. After a larger one no later version could come into force.
pub const MAX_VERSION: u64 = 1 << 53;

/// Kind of a route: whether its requests may be repeated, and the form of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// An idempotent request.
    Safe,
    /// A request that runs at most once.
    Unsafe,
    /// A request that has an event stream as its response; it runs at most once unless the route is
    /// resumable.
    Streaming,
    /// Submissions of batch jobs.
    Batch,
}

/// Terms of the jobs of a batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTerms {
    /// Most tokens that an organisation may have waiting on the route; `None` for no limit.
    pub waiting_tokens: Option<u64>,
    /// Time from the submission to the last result.
    pub completion_target: Duration,
    /// Time from the submission after which an item may be given up.
    pub retention: Duration,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and the form of the response.
    pub kind: RouteKind,
    /// Longest time that a request waits for its response.
    pub timeout: Duration,
    /// Latency objective of the response; of the first event for streams.
    pub objective: Duration,
    /// Backend servers that are tried for one attempt of a caller, at least 1.
    pub attempts: u32,
    /// Rank of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether an interrupted stream may resume on another backend server.
    pub resumable: bool,
    /// Services and their weights; never empty, and at least one weight is positive.
    pub services: Vec<(String, u32)>,
    /// Terms of a batch route; set if and only if the kind is `Batch`.
    pub batch: Option<BatchTerms>,
}

impl Route {
    /// Returns whether a request that may have run may be repeated.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::Unsafe | RouteKind::Batch => false,
        }
    }

    /// Selects a service by weight; `draw` is a random number.
    pub fn service(&self, draw: u32) -> &str {
        let weights = self.services.iter().map(|(_, weight)| u64::from(*weight));
        let total: u64 = weights.sum();
        let mut remaining = u64::from(draw) % total.max(1);
        for (service, weight) in &self.services {
            if remaining < u64::from(*weight) {
                return service;
            }
            remaining -= u64::from(*weight);
        }
        self.services.first().map_or("", |(name, _)| name)
    }
}

/// One service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Requests that a backend server of the service runs concurrently, unless its entry differs.
    pub slots: u32,
    /// How its servers warm up; `None` if they take any number of requests from the start.
    pub warm_up: Option<WarmUp>,
    /// Stated values of the warm-up, if any was out of range.
    pub invalid_warm_up: Option<String>,
}

/// An organisation, its keys and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, sent to backend servers.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Requests per second over all instances; `None` for no limit.
    pub rate: Option<f64>,
    /// Capacity of the token bucket in requests.
    pub burst: f64,
    /// Rank of its requests in place of that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits of callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a request head; `None` for the default of the
    /// server.
    pub head_timeout: Option<Duration>,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

/// The parts of a configuration before indexing.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationParts {
    /// Version; increases with each configuration.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Organisations in any order.
    pub organisations: Vec<Organisation>,
    /// Limits of callers; `None` for the defaults of the server.
    pub limits: Option<CallerLimits>,
}

/// Time after its publication in which a version must be in force everywhere.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time from the sending of a request to the decision about it.
const ARRIVAL_TIME: Duration = Duration::from_millis(250);

/// Time from the use of a version at this instance by which no request arrives that was sent while
/// another instance used an older one.
const REPLACED_TIME: Duration = APPLY_TIME.saturating_add(ARRIVAL_TIME);

/// Most earlier versions that are kept; more than the operators publish within [`REPLACED_TIME`].
const MAX_EARLIER: usize = 8;

/// One version of the configuration, indexed by host and key.
#[derive(Clone, Debug)]
pub struct Configuration {
    version: u64,
    /// Earlier versions, newest first, and the time until which requests arrive that other instances may
    /// allow by them. None of them has earlier ones itself.
    earlier: Vec<(Timestamp, Arc<Configuration>)>,
    /// The same time for earlier versions that this instance has never had.
    unknown_until: Option<Timestamp>,
    services: HashMap<String, Service>,
    limits: Option<CallerLimits>,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_name: HashMap<String, Arc<Route>>,
    by_key: HashMap<String, Arc<Organisation>>,
    organisations: HashMap<String, Arc<Organisation>>,
}

impl From<ConfigurationParts> for Configuration {
    fn from(parts: ConfigurationParts) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut by_name = HashMap::new();
        for route in parts.routes {
            let route = Arc::new(route);
            by_name.insert(route.name.clone(), route.clone());
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut by_key = HashMap::new();
        let mut organisations = HashMap::new();
        for organisation in parts.organisations {
            let organisation = Arc::new(organisation);
            for key in &organisation.keys {
                by_key.insert(key.clone(), organisation.clone());
            }
            organisations.insert(organisation.name.clone(), organisation);
        }
        Self {
            version: parts.version,
            earlier: Vec::new(),
            unknown_until: None,
            services: parts.services,
            limits: parts.limits,
            by_host,
            by_name,
            by_key,
            organisations,
        }
    }
}

impl Configuration {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that this version takes the place of `before` at the time `now`.
    pub fn replaces(&mut self, before: &Self, now: Timestamp) {
        let in_use = before.earlier.iter().filter(|(until, _)| *until > now);
        let kept: Vec<_> = in_use.take(MAX_EARLIER - 1).cloned().collect();
        let last = Self {
            earlier: Vec::new(),
            ..before.clone()
        };
        self.earlier = vec![(now + REPLACED_TIME, Arc::new(last))];
        self.earlier.extend(kept);
        self.unknown_until = before.unknown_until;
    }

    /// Records that this version is the first one of this instance, at the time `now`.
    pub fn begins(&mut self, now: Timestamp) {
        self.unknown_until = Some(now + REPLACED_TIME);
    }

    /// Returns the time until which requests arrive that other instances may allow by versions that this
    /// one has never had.
    pub fn unknown_until(&self) -> Option<Timestamp> {
        self.unknown_until
    }

    /// Returns the earlier versions that other instances may use, newest first, and the time until which
    /// requests arrive that they may allow.
    pub fn earlier(&self) -> impl Iterator<Item = (Timestamp, &Self)> {
        let earlier = self.earlier.iter();
        earlier.map(|(until, config)| (*until, config.as_ref()))
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the route called `name`.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.by_name.get(name)
    }

    /// Returns whether any route has the host `host`.
    pub fn has_host(&self, host: &str) -> bool {
        self.by_host.contains_key(host)
    }

    /// Returns the organisation with the API key `key`.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the organisations by name.
    pub fn organisations(&self) -> &HashMap<String, Arc<Organisation>> {
        &self.organisations
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services by name.
    pub fn services(&self) -> &HashMap<String, Service> {
        &self.services
    }

    /// Returns the limits of callers, if the operators set any.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }
}
