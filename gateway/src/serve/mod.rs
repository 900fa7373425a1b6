//! Listeners, background tasks, settings reload and shutdown of a gateway instance.

mod admission;
mod admitted;
mod apply;
mod attempt;
mod attempt_history;
mod caller_limits;
mod case_records;
mod catch_up;
mod choose;
mod client_limits;
mod cold_servers;
mod crash_checks;
mod crash_messages;
mod crashes;
mod datagrams;
mod ends;
mod evacuation;
mod find_response;
mod first_output;
mod follow;
mod forwarding;
mod heads;
mod housekeeping;
mod item_run;
mod items;
mod job_calls;
mod leases;
mod lines;
mod lost_run;
mod metrics;
mod node;
mod online;
mod pages;
mod peers;
mod quota_levels;
mod registration;
mod rejections;
mod relay;
mod replies;
mod reports;
mod request_end;
mod rest;
mod restarts;
mod results;
mod run_handles;
mod run_watch;
mod runs;
mod shared_read;
mod state;
mod stop_window;
mod store_call;
mod store_calls;
mod store_relay;
mod stream;
mod supervisor;
mod suspected_items;
mod suspicion;
mod takeover;
mod task_kinds;
mod tasks;
mod whole;
mod write_request;
mod writer;

use std::io;
use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{
    Duration,
    Instant, //
};

use async_executor::Task;
use async_signal::{
    Signal,
    Signals, //
};
use futures_lite::{
    StreamExt,
    future, //
};
use limpetweir_transport::http::{
    Client,
    ClientLimits,
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

use self::datagrams::Receiver;
use self::housekeeping::{
    housekeeping,
    ignore_signals,
    reload, //
};
use self::lines::{
    LogOutput,
    STARTED,
    STOPPED,
    STOPPING,
    log_event, //
};
use self::metrics::Metrics;
use self::node::Node;
use self::pages::{
    serve_peer,
    serve_status, //
};
use self::tasks::start_tasks;
use crate::memory::Plan;
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
    receiver: Receiver,
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
        let client = Client::with_request_id(spawner, limits, platform.request_id_header());
        let partitions = platform.partitions(Topic::Jobs);
        let channels = (0..partitions).map(|_| async_channel::unbounded());
        let (writers, queues): (Vec<_>, Vec<_>) = channels.unzip();
        let node = Node::new(platform, settings, spawner, client, metrics, writers);
        let node = Arc::new(node);
        let settings = &node.settings;
        let peer = SocketAddr::new(settings.address, settings.peer_port);
        let socket = UdpSocket::bind(peer);
        let socket = socket.context(ListenSnafu {
            purpose: "reports",
            addr: peer,
        })?;
        let socket = Arc::new(socket);
        let plan = Plan::new(settings.memory, settings.descriptors);
        let limits = ServerLimits {
            body_bytes: MAX_BODY,
            connections: plan.callers,
            heads_bytes: plan.heads,
            ..ServerLimits::default()
        };
        let shared = node.clone();
        let public = Server::start_within(
            spawner,
            settings.public,
            limits,
            &node.responses,
            move |req| online::handle(shared.clone(), req),
        );
        let public = public.context(ListenSnafu {
            purpose: "callers",
            addr: settings.public,
        })?;
        node.caller_limits
            .get_or_init(|| public.connection_limits().clone());
        let mut other_listeners = Vec::new();
        let shared = node.clone();
        let limits = ServerLimits {
            connections: plan.peers,
            heads_bytes: plan.other_heads,
            ..ServerLimits::default()
        };
        let peers = Server::start_within(spawner, peer, limits, &node.responses, move |req| {
            serve_peer(shared.clone(), req)
        });
        other_listeners.push(peers.context(ListenSnafu {
            purpose: "peers",
            addr: peer,
        })?);
        let listeners = [
            ("readiness", settings.readiness, plan.probes),
            ("directory", settings.directory, plan.peers),
            ("metrics", settings.metrics, plan.probes),
        ];
        for (purpose, addr, connections) in listeners {
            let limits = ServerLimits {
                connections,
                heads_bytes: plan.other_heads,
                ..ServerLimits::default()
            };
            let shared = node.clone();
            let server = Server::start_within(spawner, addr, limits, &node.responses, move |req| {
                let node = shared.clone();
                async move { serve_status(&node, req) }
            });
            other_listeners.push(server.context(ListenSnafu { purpose, addr })?);
        }
        let listeners = other_listeners.iter().chain([&public]);
        let released = listeners.map(|server| server.released().clone());
        node.released.get_or_init(|| released.collect());
        let receiver = Receiver::start(&node, &socket);
        let receiver = receiver.context(SystemSnafu {
            action: "start the thread that receives reports",
        })?;
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
            receiver,
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
        if let Err(err) = registration::deregister(&node).await {
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
        drop(self.receiver);
        drop(self.tasks);
        whole
    }
}
