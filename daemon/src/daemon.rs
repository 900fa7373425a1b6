//! A running instance: its listeners, background tasks and graceful stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_executor::Task;
use limpetweir_coordination::timing::HEARTBEAT_TIMEOUT;
use limpetweir_protocol::peer::{
    Hello,
    PEER_PROTOCOL_VERSION, //
};
use limpetweir_protocol::settings::Settings;
use limpetweir_transport::http::{
    Server,
    ServerLimits, //
};
use limpetweir_transport::peer::PeerListener;
use limpetweir_transport::{
    Spawner,
    sleep, //
};
use serde::Serialize;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::control::{
    self,
    PeerService, //
};
use crate::events::{
    STOP_CUT,
    STOPPED,
    STOPPING, //
};
use crate::metrics::{
    Metrics,
    MetricsError, //
};
use crate::node::{
    Node,
    Phase, //
};
use crate::{
    batch,
    event,
    online,
    router, //
};

/// Largest body on the public listener, which a job submission may have; other requests have a lower
/// limit.
const PUBLIC_BODY_BYTES: usize = 64 << 20;

/// Failure to start an instance.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {addr} ({field}): {source}"))]
    Bind {
        /// Settings field of the address.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Cause given by the operating system.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[snafu(context(false), display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
}

/// Addresses of a running instance, with the ports that the operating system chose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BoundAddresses {
    /// Name of the instance.
    pub name: String,
    /// Listener for callers.
    pub public: SocketAddr,
    /// Listener for other instances.
    pub peer: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
}

/// A running instance; dropping it stops it immediately.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    public: Server,
    admin: Server,
    peer: PeerListener,
    loops: Vec<Task<()>>,
}

impl Daemon {
    /// Binds the listeners and starts the background tasks.
    pub fn start(spawner: &Spawner, settings: Settings) -> Result<Self, StartError> {
        let metrics = Metrics::new()?;
        let node = Arc::new(Node::new(spawner, settings, metrics));
        let peer = listen_peer(&node)?;
        let admin = listen_admin(&node)?;
        let public = listen_public(&node)?;
        let mut loops = control::start(&node);
        loops.push(online::start(&node));
        loops.extend(batch::start(&node));
        Ok(Self {
            node,
            public,
            admin,
            peer,
            loops,
        })
    }

    /// Returns the state that the instance's handlers share.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        BoundAddresses {
            name: self.node.settings.name.to_string(),
            public: self.public.addr(),
            peer: self.peer.addr(),
            admin: self.admin.addr(),
        }
    }

    /// Stops gracefully: serves while callers may still use the address, hands over its groups, then
    /// waits for running requests until the drain limit.
    ///
    /// Returns whether all running requests completed.
    pub async fn stop(self) -> bool {
        let timing = self.node.settings.timing;
        let deadline = Instant::now() + timing.drain_limit;
        event!(STOPPING, "limit_ms={}", timing.drain_limit.as_millis());
        self.node.set_phase(Phase::Leaving);
        self.public.drain();
        // A peer returns this instance's address to callers until it receives the new phase or until
        // the heartbeat timeout; callers may then use the address for the discovery TTL.
        sleep(timing.discovery_ttl + HEARTBEAT_TIMEOUT).await;
        control::hand_over(&self.node).await;
        let complete = self.public.close(deadline).await;
        self.admin.close(deadline).await;
        // The tasks and the peer listener run until here because running requests depend on them.
        drop(self.loops);
        drop(self.peer);
        if complete {
            event!(STOPPED, "all requests completed");
        } else {
            event!(STOP_CUT, "running requests were aborted at the drain limit");
        }
        complete
    }
}

fn listen_peer(node: &Arc<Node>) -> Result<PeerListener, StartError> {
    let hello = Hello {
        version: PEER_PROTOCOL_VERSION,
        incarnation: node.incarnation.clone(),
        zone: node.settings.zone.clone(),
    };
    let addr = node.settings.peer;
    let service = Arc::new(PeerService::new(node.clone()));
    let field = "listen.peer";
    PeerListener::start(&node.spawner, addr, hello, service).context(BindSnafu { field, addr })
}

fn listen_public(node: &Arc<Node>) -> Result<Server, StartError> {
    let limits = ServerLimits {
        body_bytes: PUBLIC_BODY_BYTES,
        ..ServerLimits::default()
    };
    let shared = node.clone();
    let handler = move |req| router::public(shared.clone(), req);
    let addr = node.settings.public;
    let field = "listen.public";
    Server::start(&node.spawner, addr, limits, handler).context(BindSnafu { field, addr })
}

fn listen_admin(node: &Arc<Node>) -> Result<Server, StartError> {
    let shared = node.clone();
    let handler = move |req| router::admin(shared.clone(), req);
    let limits = ServerLimits::default();
    let addr = node.settings.admin;
    let field = "listen.admin";
    Server::start(&node.spawner, addr, limits, handler).context(BindSnafu { field, addr })
}
