//! Listeners, background tasks, settings reload and shutdown of a gateway instance.

mod attempt;
mod caller_timeouts;
mod catch_up;
mod choose;
mod crashes;
mod ends;
mod follow;
mod forwarding;
mod heads;
mod items;
mod job_calls;
mod leases;
mod lines;
mod metrics;
mod node;
mod online;
mod peers;
mod quota_levels;
mod rejections;
mod relay;
mod replies;
mod reports;
mod rest;
mod restarts;
mod results;
mod run_watch;
mod runs;
mod stop_window;
mod store_calls;
mod stream;
mod supervisor;
mod suspected_items;
mod takeover;
mod writer;

use std::io;
use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_channel::Receiver;
use async_executor::Task;
use async_io::Async;
use async_signal::{
    Signal,
    Signals, //
};
use futures_lite::{
    StreamExt,
    future, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    Client,
    ClientLimits,
    RequestBody,
    Server,
    ServerLimits, //
};
use limpetweir_transport::{
    Runtime,
    Spawner,
    sleep, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use self::lines::{
    LINES_DROPPED,
    LogOutput,
    PAUSED,
    RELOAD_REFUSED,
    RELOADED,
    SIGNAL_IGNORED,
    STARTED,
    STOPPED,
    STOPPING,
    log_event, //
};
use self::metrics::Metrics;
use self::node::{
    Node,
    unix_ms, //
};
use self::supervisor::{
    Background,
    Steps, //
};
use self::writer::{
    Queue,
    WriteRequest, //
};
use crate::members::{
    AddressEntry,
    addresses, //
};
use crate::platform::{
    Dialect,
    Store,
    Topic, //
};
use crate::settings::{
    Settings,
    SettingsError,
    StoreSettings, //
};

/// Connect timeout for backend servers; a running server accepts within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle timeout of connections to backend servers; it is shorter than the servers' own idle
/// timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of a caller's request body in bytes while no configuration is loaded.
const MAX_BODY: usize = 16 << 20;

/// Maximum number of addresses in a directory response; callers read no more of them.
const MAX_ADDRESSES: usize = 64;

/// Time for which new connections are still accepted after a stop signal. Callers cache a directory
/// response for two seconds, and the other instances receive the report of the stop in this time.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_200);

/// Part of the grace period that is reserved for process exit after the connections are closed.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Number of executor threads; the machines have half a core each.
const THREADS: usize = 1;

/// Error that prevents an instance from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings file cannot be read.
    #[snafu(display("cannot read {file}: {source}"))]
    Read {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings are invalid.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// A listener cannot be bound.
    #[snafu(display("cannot listen on {addr} for {purpose}: {source}"))]
    Listen {
        /// Purpose of the listener.
        purpose: &'static str,
        /// Address that cannot be bound.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread or a signal handler cannot be created.
    #[snafu(display("cannot {action}: {source}"))]
    System {
        /// Operation that failed.
        action: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics exporter cannot be created.
    #[snafu(display("cannot set up the metrics: {reason}"))]
    Metrics {
        /// The cause.
        reason: String,
    },
}

/// Runs an instance until it has shut down after a stop signal.
pub fn run<P, F>(file: &Path, connect: F) -> Result<(), StartError>
where
    P: Store + Dialect,
    F: FnOnce(&Spawner, &StoreSettings) -> P + Send + 'static,
{
    let settings = read_settings(file)?;
    let output = LogOutput::start(settings.log_level).context(SystemSnafu {
        action: "start the log thread",
    })?;
    let runtime = Runtime::start(THREADS).context(SystemSnafu {
        action: "start the executor thread",
    })?;
    let spawner = runtime.spawner();
    let file = file.to_owned();
    runtime.block_on(async move {
        // Registered first, so that a signal during startup also leads to a graceful shutdown.
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        let signals = signals.context(SystemSnafu {
            action: "handle signals",
        })?;
        let gateway = Gateway::start(&spawner, settings, connect)?;
        gateway.run(signals, &file, &output).await;
        output.drain(Duration::from_millis(100));
        Ok(())
    })
}

/// Validates the settings in `file` without starting an instance.
pub fn check(file: &Path) -> Result<(), StartError> {
    read_settings(file).map(|_| ())
}

fn read_settings(file: &Path) -> Result<Settings, StartError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file);
    let text = text.context(ReadSnafu {
        file: name.as_str(),
    })?;
    Ok(Settings::load(&name, &text)?)
}

/// A running instance.
pub struct Gateway<P> {
    node: Arc<Node<P>>,
    /// Listener for callers.
    public: Server,
    /// Listeners for peers, readiness, directory and metrics; they stay open until shutdown ends.
    other_listeners: Vec<Server>,
    tasks: Vec<Task<()>>,
}

impl<P: Store + Dialect> Gateway<P> {
    /// Binds the listeners and starts all background tasks.
    pub fn start<F>(spawner: &Spawner, settings: Settings, connect: F) -> Result<Self, StartError>
    where
        F: FnOnce(&Spawner, &StoreSettings) -> P,
    {
        let platform = connect(spawner, &settings.store);
        let metrics = Metrics::new().map_err(|reason| StartError::Metrics { reason })?;
        let limits = ClientLimits {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            ..ClientLimits::default()
        };
        let client = Client::new(spawner, limits);
        let partitions = platform.partitions(Topic::Jobs);
        let channels = (0..partitions).map(|_| async_channel::unbounded());
        let (writers, queues): (Vec<_>, Vec<_>) = channels.unzip();
        let node = Node::new(platform, settings, spawner, client, metrics, writers);
        let node = Arc::new(node);
        let settings = &node.settings;
        let peer = SocketAddr::new(settings.address, settings.peer_port);
        let socket = Async::<UdpSocket>::bind(peer);
        let socket = socket.context(ListenSnafu {
            purpose: "reports",
            addr: peer,
        })?;
        let socket = Arc::new(socket);
        let limits = ServerLimits {
            body_bytes: MAX_BODY,
            ..ServerLimits::default()
        };
        let shared = node.clone();
        let public = Server::start(spawner, settings.public, limits, move |req| {
            online::handle(shared.clone(), req)
        });
        let public = public.context(ListenSnafu {
            purpose: "callers",
            addr: settings.public,
        })?;
        node.caller_timeouts
            .get_or_init(|| public.timeouts().clone());
        let mut other_listeners = Vec::new();
        let shared = node.clone();
        let peers = Server::start(spawner, peer, ServerLimits::default(), move |req| {
            serve_peer(shared.clone(), req)
        });
        other_listeners.push(peers.context(ListenSnafu {
            purpose: "peers",
            addr: peer,
        })?);
        let listeners = [
            ("readiness", settings.readiness),
            ("directory", settings.directory),
            ("metrics", settings.metrics),
        ];
        for (purpose, addr) in listeners {
            let shared = node.clone();
            let server = Server::start(spawner, addr, ServerLimits::default(), move |req| {
                let node = shared.clone();
                async move { serve_status(&node, req) }
            });
            other_listeners.push(server.context(ListenSnafu { purpose, addr })?);
        }
        let tasks = start_tasks(&node, &socket, queues);
        log_event!(
            STARTED,
            "name={} zone={} public={} peer={peer} store={} boot={}",
            settings.name,
            settings.zone,
            settings.public,
            settings.store.addr,
            node.boot
        );
        Ok(Self {
            node,
            public,
            other_listeners,
            tasks,
        })
    }

    /// Serves until a stop signal arrives, then shuts down gracefully.
    async fn run(self, mut signals: Signals, file: &Path, output: &LogOutput) {
        let node = self.node.clone();
        let housekeeping = housekeeping(&node, file, output);
        let stop_signal = async {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Hup) => reload(&node, file, "signal"),
                    Ok(_) => break,
                    Err(err) => log::warn!("cannot read a signal: {err}"),
                }
            }
        };
        future::or(stop_signal, housekeeping).await;
        let stop = async {
            self.stop().await;
        };
        future::or(stop, ignore_signals(&mut signals)).await;
    }

    /// Shuts down gracefully; returns whether all connections of callers ended by themselves.
    pub async fn stop(self) -> bool {
        let started = Instant::now();
        let node = self.node;
        let end = started + node.settings.grace.saturating_sub(GRACE_MARGIN);
        node.ends.set_close_at(end);
        node.stop.begin(end);
        node.leaving.store(true, Ordering::Release);
        let open = node.ends.open();
        log_event!(STOPPING, "name={} open={open}", node.settings.name);
        node.report_due.notify(usize::MAX);
        items::jobs_changed(&node);
        self.public.drain();
        // A short grace period leaves less time.
        sleep(ACCEPT_AFTER_STOP.min(node.settings.grace / 2)).await;
        let whole = self.public.close(end).await;
        if let Err(err) = peers::deregister(&node).await {
            log::debug!("cannot remove the record of this instance: {err}");
        }
        let open = node.ends.open();
        let ms = started.elapsed().as_millis();
        log_event!(
            STOPPED,
            "name={} whole={whole} open={open} ms={ms}",
            node.settings.name
        );
        drop(self.other_listeners);
        drop(self.tasks);
        whole
    }
}

/// Starts the background tasks; `queues` are those of the writers.
fn start_tasks<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    socket: &Arc<Async<UdpSocket>>,
    queues: Vec<Receiver<WriteRequest>>,
) -> Vec<Task<()>> {
    // Peers ignore a report whose number is not above that of the previous one.
    let sequence = Arc::new(AtomicU64::new(0));
    let mut tasks = vec![
        start_reader(node, Topic::Configuration, 0),
        start_reader(node, Topic::Backends, 0),
        start_reader(node, Topic::Instances, 0),
        start_task(node, Background::Register, peers::register),
        start_task(node, Background::AdoptLevels, quota_levels::adopt),
        start_task(node, Background::WatchPeers, peers::watch),
        start_task(node, Background::Scheduler, items::schedule),
        start_task(
            node,
            Background::RemoveExpiredJobs,
            items::remove_expired_jobs,
        ),
        start_task(node, Background::WatchTasks, supervisor::watch),
    ];
    let shared = socket.clone();
    tasks.push(start_task(
        node,
        Background::SendReports,
        move |node, steps| reports::send(node, shared.clone(), sequence.clone(), steps),
    ));
    let shared = socket.clone();
    tasks.push(start_task(
        node,
        Background::ReceiveReports,
        move |node, steps| peers::receive(node, shared.clone(), steps),
    ));
    let shared = socket.clone();
    tasks.push(start_task(
        node,
        Background::CrashNews,
        move |node, steps| crashes::tell(node, shared.clone(), steps),
    ));
    for (partition, queue) in (0..).zip(queues) {
        tasks.push(start_reader(node, Topic::Jobs, partition));
        let queue = Arc::new(Queue::new(queue));
        let task = Background::WriteJobs(partition);
        tasks.push(start_task(node, task, move |node, steps| {
            writer::run(node, partition, queue.clone(), steps)
        }));
    }
    tasks
}

fn start_task<P, F>(
    node: &Arc<Node<P>>,
    task: Background,
    create: impl Fn(Arc<Node<P>>, Arc<Steps>) -> F + Send + Sync + 'static,
) -> Task<()>
where
    P: Store + Dialect,
    F: Future<Output = ()> + Send + 'static,
{
    let shared = node.clone();
    let create = move |steps| create(shared.clone(), steps);
    node.supervisor.spawn(task, create)
}

fn start_reader<P: Store + Dialect>(node: &Arc<Node<P>>, topic: Topic, partition: u32) -> Task<()> {
    let task = Background::reader(topic, partition);
    start_task(node, task, move |node, steps| {
        follow::read_topic(node, topic, partition, steps)
    })
}

/// Time between two housekeeping runs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of housekeeping runs between two checks of the settings file for changes.
const RUNS_PER_SETTINGS_CHECK: u32 = 10;

/// Delay of a housekeeping run, by the wall clock or the monotonic clock, from which on the process
/// counts as having been paused.
const PAUSE_THRESHOLD_MS: u64 = 400;

async fn housekeeping<P: Store + Dialect>(node: &Arc<Node<P>>, file: &Path, output: &LogOutput) {
    let mut text = std::fs::read_to_string(file).unwrap_or_default();
    let mut run_count = 0_u32;
    loop {
        let (wall, steady) = (unix_ms(), node.now());
        sleep(HOUSEKEEPING_INTERVAL).await;
        let wall = unix_ms().saturating_sub(wall);
        let steady = u64::try_from(node.now().since(steady).as_millis()).unwrap_or(u64::MAX);
        let interval_ms = u64::try_from(HOUSEKEEPING_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        if wall.max(steady) > interval_ms + PAUSE_THRESHOLD_MS {
            log_event!(PAUSED, "wall_ms={wall} steady_ms={steady}");
        }
        let dropped = output.take_dropped();
        if dropped > 0 {
            node.metrics.lines_dropped(dropped);
            log_event!(LINES_DROPPED, "count={dropped}");
        }
        node.client.sweep();
        run_count += 1;
        if run_count.is_multiple_of(RUNS_PER_SETTINGS_CHECK)
            && let Ok(current) = std::fs::read_to_string(file)
            && current != text
        {
            text = current;
            reload(node, file, "change");
        }
    }
}

/// Logs the signals that arrive while the instance stops. They have no effect: the stop is under way,
/// and reloaded settings would not be used any more.
async fn ignore_signals(signals: &mut Signals) {
    loop {
        match signals.next().await {
            Some(Ok(signal)) => log_event!(SIGNAL_IGNORED, "signal={signal:?} cause=stopping"),
            Some(Err(err)) => log::warn!("cannot read a signal: {err}"),
            None => future::pending().await,
        }
    }
}

/// Reloads the settings. Only the log level takes effect immediately; all else requires a restart.
fn reload<P>(node: &Arc<Node<P>>, file: &Path, cause: &str) {
    match read_settings(file) {
        Ok(settings) => {
            log::set_max_level(settings.log_level);
            let restart = Settings {
                log_level: node.settings.log_level,
                ..settings.clone()
            } != node.settings;
            log_event!(
                RELOADED,
                "cause={cause} level={} needs_restart={restart}",
                settings.log_level
            );
        }
        Err(err) => log_event!(RELOAD_REFUSED, "cause={cause} error=\"{err}\""),
    }
}

/// Handles requests of the other instances on the peer port.
async fn serve_peer<P: Store + Dialect>(
    node: Arc<Node<P>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let (head, body) = req.into_parts();
    match (head.method, head.uri.path()) {
        (Method::GET, peers::CONFIG_PATH) => {
            let record = node.lock().config_record.clone();
            let body = record.map_or_else(Body::empty, |record| {
                Body::from(peers::encode_record(&record))
            });
            Response::new(body)
        }
        (Method::GET, quota_levels::LEVELS_PATH) => Response::new(quota_levels::encode(&node)),
        (Method::POST, results::RESULTS_PATH) => results::receive(&node, body).await,
        (Method::GET, crashes::CASES_PATH) => crashes::list_cases(&node),
        (Method::DELETE, path) => match held_part(path) {
            Some(part) => crashes::close_cases(&node, part),
            None => replies::plain(StatusCode::NOT_FOUND, "no such page"),
        },
        _ => replies::plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Returns the part of a prompt that a path below the one of the open cases names.
fn held_part(path: &str) -> Option<&str> {
    path.strip_prefix(crashes::CASES_PATH)?.strip_prefix('/')
}

/// Handles requests for the address directory, the readiness and the metrics.
fn serve_status<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let (head, _) = req.into_parts();
    if let Some(query) = node.platform.address_query(&head) {
        let list = directory_entries(node);
        if list.is_empty() {
            let text = "no instance is ready";
            return replies::plain(StatusCode::SERVICE_UNAVAILABLE, text);
        }
        let list = addresses(&list, query.zone.as_deref(), MAX_ADDRESSES);
        let lifetime = node.settings.address_lifetime;
        return replies::json(node.platform.addresses(&list, lifetime));
    }
    if node.platform.is_readiness(&head) {
        return if node.is_ready() {
            replies::plain(StatusCode::OK, "ready")
        } else {
            replies::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
    }
    match head.uri.path() {
        "/metrics" => replies::plain(StatusCode::OK, &node.metrics.render()),
        _ => replies::plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Returns the instances that accept requests.
fn directory_entries<P>(node: &Arc<Node<P>>) -> Vec<AddressEntry> {
    let now = node.now();
    let own = node.is_ready().then(|| AddressEntry {
        addr: node.settings.public,
        zone: node.settings.zone.clone(),
        capacity: node.settings.capacity,
    });
    let state = node.lock();
    let others = state.members.for_callers(now);
    let others = others.map(|r| AddressEntry {
        addr: r.public,
        zone: r.zone.clone(),
        capacity: r.capacity,
    });
    own.into_iter().chain(others).collect()
}
