//! The dialling side of a link: connects and reconnects, sends calls and one-way messages.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_executor::Task;
use futures_lite::{
    FutureExt,
    future, //
};
use futures_util::{
    Sink,
    SinkExt,
    Stream,
    StreamExt, //
};
use limpetweir_protocol::peer::{
    CallBody,
    Hello,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::InstanceId;
use snafu::{
    OptionExt,
    Snafu,
    ensure, //
};
use tokio_tungstenite::tungstenite::{
    self,
    Message, //
};

use super::pending::{
    CallFailure,
    PendingCalls, //
};
use super::socket::{
    self,
    HANDSHAKE_TIMEOUT,
    HandshakeTimeoutSnafu,
    LinkError,
    PING_INTERVAL,
    Socket,
    UnexpectedSnafu,
    WrongPeerSnafu, //
};
use crate::runtime::{
    Spawner,
    panic_message,
    sleep,
    timeout_at, //
};

/// Options of a link.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// Address of the peer.
    pub addr: SocketAddr,
    /// Instance expected at the address; `None` accepts any.
    pub expected: Option<InstanceId>,
    /// `Hello` that this side sends.
    pub hello: Hello,
    /// Capacity of the send queue in messages; further messages are rejected.
    pub queue: usize,
    /// First delay before a reconnection; it doubles up to `max_backoff`.
    pub min_backoff: Duration,
    /// Longest delay before a reconnection.
    pub max_backoff: Duration,
}

impl LinkOptions {
    /// Returns options with the default queue of 1024 messages and backoff from 50 ms to 1 s.
    pub fn new(addr: SocketAddr, expected: Option<InstanceId>, hello: Hello) -> Self {
        Self {
            addr,
            expected,
            hello,
            queue: 1024,
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// A state change of a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link is up; contains the `Hello` of the peer.
    Up(Hello),
    /// The link is down or could not be established; it is reconnected after the backoff.
    Down(LinkError),
}

/// Reason why a one-way message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// The link is down.
    #[snafu(display("the link to the peer is down"))]
    NotConnected,
    /// The send queue is full.
    #[snafu(display("too many messages to the peer are waiting"))]
    QueueFull,
}

/// The dialling side of a link; dropping it closes the link.
#[derive(Debug)]
pub struct PeerLink {
    shared: Arc<Shared>,
    _reconnect_loop: Task<()>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Send queue of the current connection; `None` while the link is down.
    queue: Mutex<Option<Sender<PeerMessage>>>,
    pending: PendingCalls,
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Option<Sender<PeerMessage>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue(&self, message: PeerMessage) -> Result<(), SendError> {
        let queue = self.queue();
        let queue = queue.as_ref().context(NotConnectedSnafu)?;
        queue.try_send(message).map_err(|err| match err {
            async_channel::TrySendError::Full(_) => SendError::QueueFull,
            async_channel::TrySendError::Closed(_) => SendError::NotConnected,
        })
    }
}

impl PeerLink {
    /// Connects to a peer and reconnects with backoff until the link is dropped.
    ///
    /// `on_event` is called on each state change of the link, on an executor thread; it must not
    /// block.
    pub fn start<E>(spawner: &Spawner, options: LinkOptions, on_event: E) -> Self
    where
        E: Fn(LinkEvent) + Send + Sync + 'static,
    {
        let shared = Arc::new(Shared::default());
        let task = spawner.spawn(reconnect_on_panic(shared.clone(), options, on_event));
        Self {
            shared,
            _reconnect_loop: task,
        }
    }

    /// Returns whether the link is up.
    pub fn is_up(&self) -> bool {
        self.shared.queue().is_some()
    }

    /// Queues a one-way message.
    pub fn notify(&self, message: PeerMessage) -> Result<(), SendError> {
        self.shared.enqueue(message)
    }

    /// Calls the peer and waits for the reply for at most `timeout`.
    ///
    /// Dropping the future withdraws the call if it has not been sent yet; a reply to a sent call
    /// is ignored.
    pub async fn call(&self, body: CallBody, timeout: Duration) -> Result<ReplyBody, CallFailure> {
        let deadline = Instant::now() + timeout;
        let (guard, result) = self.shared.pending.register();
        let message = PeerMessage::Call { id: guard.id, body };
        self.shared.enqueue(message).map_err(|err| match err {
            SendError::NotConnected => CallFailure::NotConnected,
            SendError::QueueFull => CallFailure::QueueFull,
        })?;
        if let Some(Ok(result)) = timeout_at(deadline, result.recv()).await {
            return result;
        }
        match guard.withdraw() {
            Some(verdict) => Err(CallFailure::Timeout { timeout, verdict }),
            // The result arrived between the deadline and the withdrawal.
            None => result.recv().await.unwrap_or_else(|_| {
                let verdict = limpetweir_state::Verdict::MayHaveRun;
                Err(CallFailure::Timeout { timeout, verdict })
            }),
        }
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.shared.queue().take();
        self.shared.pending.fail_all();
    }
}

/// Connects and reconnects, also after a panic, which would otherwise leave the link down for ever.
async fn reconnect_on_panic<E: Fn(LinkEvent)>(
    shared: Arc<Shared>,
    options: LinkOptions,
    on_event: E,
) {
    loop {
        let running = AssertUnwindSafe(reconnect_loop(&shared, &options, &on_event));
        if let Err(panic) = running.catch_unwind().await {
            let cause = panic_message(&*panic).to_owned();
            log::error!("LW1204 the link to {} panicked: {cause}", options.addr);
            shared.queue().take();
            shared.pending.fail_all();
        }
        sleep(options.max_backoff).await;
    }
}

async fn reconnect_loop<E: Fn(LinkEvent)>(shared: &Shared, options: &LinkOptions, on_event: &E) {
    let mut backoff = options.min_backoff;
    loop {
        let deadline = Instant::now() + HANDSHAKE_TIMEOUT;
        let connecting = timeout_at(deadline, connect(options)).await;
        let err = match connecting.context(HandshakeTimeoutSnafu).flatten() {
            Ok((socket, peer)) => {
                backoff = options.min_backoff;
                run(shared, options, socket, peer, on_event).await
            }
            Err(err) => err,
        };
        on_event(LinkEvent::Down(err));
        sleep(backoff).await;
        backoff = (backoff * 2).min(options.max_backoff);
    }
}

async fn connect(options: &LinkOptions) -> Result<(Socket, Hello), LinkError> {
    let mut socket = socket::dial(options.addr).await?;
    let peer = socket::exchange_hello(&mut socket, &options.hello).await?;
    if let Some(expected) = &options.expected {
        let found = &peer.incarnation.instance;
        ensure!(
            found == expected,
            WrongPeerSnafu {
                expected: expected.clone(),
                found: found.clone()
            }
        );
    }
    Ok((socket, peer))
}

/// Runs a connection until it ends, then fails the calls that wait for replies.
async fn run<E: Fn(LinkEvent)>(
    shared: &Shared,
    options: &LinkOptions,
    socket: Socket,
    peer: Hello,
    on_event: &E,
) -> LinkError {
    let (tx, rx) = async_channel::bounded(options.queue);
    *shared.queue() = Some(tx);
    on_event(LinkEvent::Up(peer));
    let (mut sink, mut stream) = socket.split();
    let writing = write_messages(shared, &rx, &mut sink);
    let reading = read_replies(shared, &mut stream);
    let err = future::or(reading, writing).await;
    shared.queue().take();
    shared.pending.fail_all();
    err
}

async fn write_messages<S>(
    shared: &Shared,
    queue: &Receiver<PeerMessage>,
    sink: &mut S,
) -> LinkError
where
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    let mut next_ping_at = Instant::now() + PING_INTERVAL;
    loop {
        let result = match timeout_at(next_ping_at, queue.recv()).await {
            Some(Ok(message)) => write_message(shared, message, sink).await,
            Some(Err(_)) => return LinkError::Closed,
            None => {
                next_ping_at = Instant::now() + PING_INTERVAL;
                let ping = Message::Ping(Vec::new().into());
                sink.send(ping).await.map_err(LinkError::from)
            }
        };
        if let Err(err) = result {
            return err;
        }
    }
}

async fn write_message<S>(
    shared: &Shared,
    message: PeerMessage,
    sink: &mut S,
) -> Result<(), LinkError>
where
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    if let PeerMessage::Call { id, .. } = &message
        && !shared.pending.mark_written(*id)
    {
        return Ok(());
    }
    socket::send(sink, &message).await
}

async fn read_replies<S>(shared: &Shared, stream: &mut S) -> LinkError
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        match socket::receive(stream).await {
            Ok(PeerMessage::Reply { id, body }) => {
                if !shared.pending.complete(id, body) {
                    log::debug!("LW1203 reply {id} arrived after its call had ended");
                }
            }
            Ok(message) => {
                let message = socket::message_kind(&message);
                return UnexpectedSnafu { message }.build();
            }
            Err(err) => return err,
        }
    }
}
