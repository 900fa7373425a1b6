//! The accepting side of links: receives one-way messages and replies to calls.

use std::future::Future;
use std::io;
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_executor::Task;
use async_io::Async;
use futures_lite::{
    FutureExt,
    future, //
};
use futures_util::{
    Sink,
    Stream,
    StreamExt, //
};
use limpetweir_protocol::peer::{
    CallBody,
    CallError,
    Hello,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::Verdict;
use snafu::OptionExt;
use tokio_tungstenite::tungstenite::{
    self,
    Message, //
};

use super::socket::{
    self,
    HANDSHAKE_TIMEOUT,
    HandshakeTimeoutSnafu,
    LinkError,
    Socket,
    UnexpectedSnafu, //
};
use crate::runtime::{
    Spawner,
    panic_message,
    sleep,
    timeout_at, //
};

/// Delay after a failed accept; the usual cause is that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest number of concurrent calls of a link; further ones are rejected as not run.
const MAX_RUNNING_CALLS: usize = 4096;

/// Capacity of the reply queue of a link; calls that complete while it is full wait.
const REPLY_QUEUE_CAPACITY: usize = 256;

/// `retry_after_ms` of a rejected call.
const BUSY_RETRY_MS: u64 = 100;

/// Number of links below which ended ones are not removed from the list.
const MIN_SWEEP_THRESHOLD: usize = 16;

/// Handles the messages of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Runs a call and returns the reply; the future is dropped when the link closes.
    fn call(&self, from: &Hello, body: CallBody) -> impl Future<Output = ReplyBody> + Send;

    /// Handles a `Heartbeat` or a `Yield`; it must not block.
    fn message(&self, from: &Hello, message: PeerMessage);
}

/// A listener for links; dropping it closes every accepted link.
#[derive(Debug)]
pub struct PeerListener {
    addr: SocketAddr,
    _accept: Task<()>,
}

impl PeerListener {
    /// Binds `addr`, whose port may be 0, and serves links with `handler`.
    ///
    /// Fails if the address cannot be bound.
    pub fn start<H: PeerHandler>(
        spawner: &Spawner,
        addr: SocketAddr,
        hello: Hello,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(addr)?;
        let addr = listener.get_ref().local_addr()?;
        let accept = accept_loop(spawner.clone(), listener, hello, handler);
        Ok(Self {
            addr,
            _accept: spawner.spawn(accept),
        })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

async fn accept_loop<H: PeerHandler>(
    spawner: Spawner,
    listener: Async<TcpListener>,
    hello: Hello,
    handler: Arc<H>,
) {
    let mut links: Vec<Task<()>> = Vec::new();
    let mut sweep_threshold = MIN_SWEEP_THRESHOLD;
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                let link = serve(
                    spawner.clone(),
                    stream,
                    remote,
                    hello.clone(),
                    handler.clone(),
                );
                links.push(spawner.spawn(link));
            }
            Err(err) => {
                log::warn!("LW1101 accept failed: {err}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        if links.len() >= sweep_threshold {
            links.retain(|link| !link.is_finished());
            sweep_threshold = (links.len() * 2).max(MIN_SWEEP_THRESHOLD);
        }
    }
}

async fn serve<H: PeerHandler>(
    spawner: Spawner,
    stream: Async<TcpStream>,
    remote: SocketAddr,
    hello: Hello,
    handler: Arc<H>,
) {
    let deadline = Instant::now() + HANDSHAKE_TIMEOUT;
    let accepting = timeout_at(deadline, accept(stream, &hello)).await;
    let (socket, peer) = match accepting.context(HandshakeTimeoutSnafu).flatten() {
        Ok(accepted) => accepted,
        Err(err) => {
            log::warn!("LW1201 rejected a link from {remote}: {err}");
            return;
        }
    };
    let from = peer.incarnation.clone();
    let err = run(spawner, socket, peer, handler).await;
    log::info!("LW1202 the link from {from} at {remote} ended: {err}");
}

async fn accept(stream: Async<TcpStream>, hello: &Hello) -> Result<(Socket, Hello), LinkError> {
    let mut socket = socket::accept(stream).await?;
    let peer = socket::exchange_hello(&mut socket, hello).await?;
    Ok((socket, peer))
}

async fn run<H: PeerHandler>(
    spawner: Spawner,
    socket: Socket,
    peer: Hello,
    handler: Arc<H>,
) -> LinkError {
    let (replies_tx, replies) = async_channel::bounded(REPLY_QUEUE_CAPACITY);
    let (mut sink, mut stream) = socket.split();
    let inbound = Inbound {
        spawner,
        peer: Arc::new(peer),
        handler,
        replies: replies_tx,
        running: Vec::new(),
    };
    let reading = read_messages(inbound, &mut stream);
    let writing = write_replies(&replies, &mut sink);
    future::or(reading, writing).await
}

async fn write_replies<S>(replies: &Receiver<PeerMessage>, sink: &mut S) -> LinkError
where
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    while let Ok(reply) = replies.recv().await {
        if let Err(err) = socket::send(sink, &reply).await {
            return err;
        }
    }
    LinkError::Closed
}

/// The receiving half of an accepted link.
struct Inbound<H> {
    spawner: Spawner,
    peer: Arc<Hello>,
    handler: Arc<H>,
    replies: Sender<PeerMessage>,
    /// Running calls; dropped with the link, which cancels them.
    running: Vec<Task<()>>,
}

async fn read_messages<H, S>(mut inbound: Inbound<H>, stream: &mut S) -> LinkError
where
    H: PeerHandler,
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        match socket::receive(stream).await {
            Ok(PeerMessage::Call { id, body }) => inbound.start_call(id, body).await,
            Ok(message @ (PeerMessage::Heartbeat(_) | PeerMessage::Yield { .. })) => {
                inbound.handle_message(message);
            }
            Ok(message) => {
                let message = socket::message_kind(&message);
                return UnexpectedSnafu { message }.build();
            }
            Err(err) => return err,
        }
    }
}

impl<H: PeerHandler> Inbound<H> {
    /// Handles a one-way message. A panic must not end the link, whose other calls are running.
    fn handle_message(&self, message: PeerMessage) {
        let handle = || self.handler.message(&self.peer, message);
        if let Err(panic) = std::panic::catch_unwind(AssertUnwindSafe(handle)) {
            let cause = panic_message(&*panic);
            let from = &self.peer.incarnation;
            log::error!("LW1204 a message of {from} panicked: {cause}");
        }
    }

    async fn start_call(&mut self, id: u64, body: CallBody) {
        if self.running.len() >= MAX_RUNNING_CALLS {
            self.running.retain(|call| !call.is_finished());
        }
        if self.running.len() >= MAX_RUNNING_CALLS {
            let body = busy_reply();
            // Fails only if the link ended and its receiver was dropped.
            let _ = self.replies.send(PeerMessage::Reply { id, body }).await;
            return;
        }
        let handler = self.handler.clone();
        let peer = self.peer.clone();
        let replies = self.replies.clone();
        let call = async move {
            // The call may panic before it returns its future.
            let called = AssertUnwindSafe(async { handler.call(&peer, body).await });
            let body = called.catch_unwind().await.unwrap_or_else(|panic| {
                let cause = panic_message(&*panic);
                log::error!("LW1204 a call of {} panicked: {cause}", peer.incarnation);
                panicked_reply()
            });
            let _ = replies.send(PeerMessage::Reply { id, body }).await;
        };
        self.running.push(self.spawner.spawn(call));
    }
}

/// Returns the reply to a call that panicked. It makes no promise about whether the call has run.
fn panicked_reply() -> ReplyBody {
    ReplyBody::Error(CallError {
        code: "internal".to_owned(),
        message: "the call panicked".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: None,
    })
}

fn busy_reply() -> ReplyBody {
    ReplyBody::Error(CallError {
        code: "peer_busy".to_owned(),
        message: format!("more than {MAX_RUNNING_CALLS} calls of this link are running"),
        verdict: Verdict::NotRun,
        retry_after_ms: Some(BUSY_RETRY_MS),
    })
}
