//! Links between instances: protocol versions, matching of replies, and verdicts of failed calls.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicUsize,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use limpetweir_protocol::peer::{
    CallBody,
    ConfigSnapshot,
    Hello,
    JobAction,
    JobCall,
    PEER_PROTOCOL_VERSION,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::{
    BackendId,
    GroupId,
    GroupKind,
    Incarnation,
    InstanceId,
    Verdict,
    Version, //
};
use limpetweir_transport::peer::{
    CallFailure,
    LinkError,
    LinkEvent,
    LinkOptions,
    PeerHandler,
    PeerLink,
    PeerListener,
    SendError, //
};
use limpetweir_transport::{
    Runtime,
    Spawner,
    timeout_at, //
};

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn hello(name: &str, version: u8) -> Hello {
    let instance = InstanceId::try_from(name).unwrap();
    Hello {
        version,
        incarnation: Incarnation {
            instance,
            started: 1,
        },
        zone: "z".try_into().unwrap(),
    }
}

/// A pending call to which the test replies.
struct PendingCall {
    version: Version,
    reply: Sender<ReplyBody>,
}

impl PendingCall {
    fn send_reply(&self) {
        let _ = self.reply.try_send(config(self.version));
    }
}

fn config(version: Version) -> ReplyBody {
    ReplyBody::Config(Some(ConfigSnapshot {
        version,
        as_of: 0,
        snapshot: Vec::new(),
    }))
}

fn fetch(version: u64) -> CallBody {
    CallBody::ConfigFetch {
        newer_than: Version(version),
    }
}

/// Sends every call and message to the test.
struct TestHandler {
    calls: Sender<PendingCall>,
    messages: Sender<PeerMessage>,
}

impl PeerHandler for TestHandler {
    async fn call(&self, _from: &Hello, body: CallBody) -> ReplyBody {
        let CallBody::ConfigFetch { newer_than } = body else {
            return ReplyBody::CancelItem;
        };
        let (reply, reply_rx) = async_channel::bounded(1);
        let version = newer_than;
        self.calls
            .send(PendingCall { version, reply })
            .await
            .unwrap();
        reply_rx.recv().await.unwrap_or(ReplyBody::CancelItem)
    }

    fn message(&self, _from: &Hello, message: PeerMessage) {
        self.messages.try_send(message).unwrap();
    }
}

struct Peer {
    listener: PeerListener,
    calls: Receiver<PendingCall>,
    messages: Receiver<PeerMessage>,
}

fn listen(spawner: &Spawner, addr: SocketAddr, hello: Hello) -> Peer {
    let (calls_tx, calls) = async_channel::unbounded();
    let (messages_tx, messages) = async_channel::unbounded();
    let handler = Arc::new(TestHandler {
        calls: calls_tx,
        messages: messages_tx,
    });
    Peer {
        listener: PeerListener::start(spawner, addr, hello, handler).unwrap(),
        calls,
        messages,
    }
}

/// Starts a runtime with one peer of the current protocol version.
fn start_peer(name: &str) -> (Runtime, Spawner, Peer) {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let peer = listen(&spawner, LOCAL, hello(name, PEER_PROTOCOL_VERSION));
    (runtime, spawner, peer)
}

fn dial(spawner: &Spawner, options: LinkOptions) -> (Arc<PeerLink>, Receiver<LinkEvent>) {
    let (tx, events) = async_channel::unbounded();
    let link = PeerLink::start(spawner, options, move |event| {
        let _ = tx.try_send(event);
    });
    (Arc::new(link), events)
}

fn options(addr: SocketAddr) -> LinkOptions {
    let hello = hello("dialler", PEER_PROTOCOL_VERSION);
    LinkOptions::new(addr, Some("peer".try_into().unwrap()), hello)
}

async fn wait_up(events: &Receiver<LinkEvent>) {
    let up = async { while !matches!(events.recv().await.unwrap(), LinkEvent::Up(_)) {} };
    timeout_at(Instant::now() + HANG_TIMEOUT, up).await.unwrap();
}

/// Guards against instances that decode the messages of another version wrongly.
#[test]
fn links_between_versions_are_rejected_on_both_sides() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let other = PEER_PROTOCOL_VERSION + 1;
    let newer_peer = listen(&spawner, LOCAL, hello("peer", other));
    let older_peer = listen(&spawner, LOCAL, hello("peer", PEER_PROTOCOL_VERSION));
    let to_newer = options(newer_peer.listener.addr());
    let mut to_older = options(older_peer.listener.addr());
    to_older.hello.version = other;
    runtime.block_on(async move {
        for (options, theirs) in [(to_newer, other), (to_older, PEER_PROTOCOL_VERSION)] {
            let (link, events) = dial(&spawner, options);
            let event = events.recv().await.unwrap();
            let LinkEvent::Down(LinkError::Version { theirs: found, .. }) = event else {
                panic!("{event:?}");
            };
            assert_eq!(found, theirs);
            let failure = link.call(fetch(1), HANG_TIMEOUT).await.unwrap_err();
            assert_eq!(failure, CallFailure::NotConnected);
        }
        assert!(older_peer.calls.is_empty() && newer_peer.calls.is_empty());
    });
}

/// Guards against state that is attributed to an instance which no longer has the address.
#[test]
fn another_instance_at_the_address_is_rejected() {
    let (runtime, spawner, peer) = start_peer("stranger");
    let options = options(peer.listener.addr());
    runtime.block_on(async move {
        let (_link, events) = dial(&spawner, options);
        let event = events.recv().await.unwrap();
        assert!(matches!(
            event,
            LinkEvent::Down(LinkError::WrongPeer { .. })
        ));
    });
}

/// Guards against a reply that is matched to another call than its own.
#[test]
fn out_of_order_replies_are_matched_to_their_calls() {
    let (runtime, spawner, peer) = start_peer("peer");
    runtime.block_on(async move {
        let (link, events) = dial(&spawner, options(peer.listener.addr()));
        wait_up(&events).await;
        let mut calls = Vec::new();
        let mut pending = Vec::new();
        for version in 0..8 {
            let link = link.clone();
            let call = async move { link.call(fetch(version), HANG_TIMEOUT).await };
            calls.push((version, spawner.spawn(call)));
            pending.push(peer.calls.recv().await.unwrap());
        }
        pending.iter().rev().for_each(PendingCall::send_reply);
        for (version, call) in calls {
            assert_eq!(call.await.unwrap(), config(Version(version)));
        }
    });
}

/// Guards against a late reply that is matched to the next call.
#[test]
fn a_late_reply_is_dropped() {
    let (runtime, spawner, peer) = start_peer("peer");
    runtime.block_on(async move {
        let (link, events) = dial(&spawner, options(peer.listener.addr()));
        wait_up(&events).await;
        let first = spawner.spawn({
            let link = link.clone();
            async move { link.call(fetch(1), Duration::from_millis(200)).await }
        });
        let late = peer.calls.recv().await.unwrap();
        let failure = first.await.unwrap_err();
        assert!(matches!(failure, CallFailure::Timeout { .. }));
        assert_eq!(failure.verdict(), Verdict::MayHaveRun);
        let second = spawner.spawn({
            let link = link.clone();
            async move { link.call(fetch(2), HANG_TIMEOUT).await }
        });
        let next = peer.calls.recv().await.unwrap();
        late.send_reply();
        next.send_reply();
        assert_eq!(second.await.unwrap(), config(Version(2)));
    });
}

/// Guards against calls that hang or fail with "not run" after their link was interrupted, and
/// against a link that stays down.
#[test]
fn a_broken_link_fails_its_calls_and_reconnects() {
    let (runtime, spawner, peer) = start_peer("peer");
    runtime.block_on(async move {
        let addr = peer.listener.addr();
        let (link, events) = dial(&spawner, options(addr));
        wait_up(&events).await;
        let call = spawner.spawn({
            let link = link.clone();
            async move { link.call(fetch(1), HANG_TIMEOUT).await }
        });
        let _pending = peer.calls.recv().await.unwrap();
        drop(peer);
        let failure = call.await.unwrap_err();
        let verdict = Verdict::MayHaveRun;
        assert_eq!(failure, CallFailure::Closed { verdict });
        let failure = link.call(fetch(2), HANG_TIMEOUT).await.unwrap_err();
        assert_eq!(failure.verdict(), Verdict::NotRun);

        let peer = listen(&spawner, addr, hello("peer", PEER_PROTOCOL_VERSION));
        wait_up(&events).await;
        let backend = BackendId::try_from("e1").unwrap();
        let message = PeerMessage::Yield { backend };
        link.notify(message.clone()).unwrap();
        assert_eq!(peer.messages.recv().await.unwrap(), message);
    });
}

/// Guards against unbounded memory for a peer that does not read, and against "may have run" for a
/// call that was never removed from the queue.
#[test]
fn a_full_queue_rejects_calls_as_not_run() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    runtime.block_on(async move {
        let listener = async_io::Async::<std::net::TcpListener>::bind(LOCAL).unwrap();
        let mut options = options(listener.get_ref().local_addr().unwrap());
        options.queue = 1;
        let (link, events) = dial(&spawner, options);
        let unresponsive = accept_unresponsive_peer(&listener).await;
        wait_up(&events).await;

        let mut calls = Vec::new();
        loop {
            let link = link.clone();
            let mut call =
                spawner.spawn(async move { link.call(large_call(), HANG_TIMEOUT).await });
            let rejected = timeout_at(Instant::now() + Duration::from_millis(200), &mut call).await;
            match rejected {
                Some(result) => {
                    assert_eq!(result.unwrap_err(), CallFailure::QueueFull);
                    // With fewer calls the first one may still be in the queue.
                    if calls.len() > 1 {
                        break;
                    }
                }
                None => calls.push(call),
            }
        }
        let backend = BackendId::try_from("e1").unwrap();
        let rejected = link.notify(PeerMessage::Yield { backend });
        assert_eq!(rejected, Err(SendError::QueueFull));
        drop(unresponsive);
        drop(listener);
        let mut verdicts = Vec::new();
        for call in calls {
            verdicts.push(call.await.unwrap_err().verdict());
        }
        let written = verdicts.partition_point(|verdict| *verdict == Verdict::MayHaveRun);
        let (written, queued) = verdicts.split_at(written);
        assert!(!written.is_empty() && !queued.is_empty());
        assert!(queued.iter().all(|verdict| *verdict == Verdict::NotRun));
    });
}

type UnresponsivePeer = tokio_tungstenite::WebSocketStream<
    tokio_util::compat::Compat<async_io::Async<std::net::TcpStream>>,
>;

async fn accept_unresponsive_peer(
    listener: &async_io::Async<std::net::TcpListener>,
) -> UnresponsivePeer {
    use futures_util::{SinkExt, StreamExt};
    use tokio_util::compat::FuturesAsyncReadCompatExt;
    let (stream, _) = listener.accept().await.unwrap();
    let mut socket = tokio_tungstenite::accept_async(stream.compat())
        .await
        .unwrap();
    let hello = PeerMessage::Hello(hello("peer", PEER_PROTOCOL_VERSION));
    let hello = tokio_tungstenite::tungstenite::Message::binary(hello.encode().unwrap());
    socket.send(hello).await.unwrap();
    socket.next().await.unwrap().unwrap();
    socket
}

/// A call that is larger than the socket buffers of one connection together.
fn large_call() -> CallBody {
    CallBody::Job(JobCall {
        organisation: "o".try_into().unwrap(),
        group: GroupId::of(GroupKind::Jobs, b"k", 1),
        action: JobAction::Submit {
            key: "k".to_owned(),
            body: vec![0; 16 << 20],
        },
    })
}

/// Panics in the first call and the first message.
#[derive(Default)]
struct PanickingHandler {
    calls: AtomicUsize,
    messages: AtomicUsize,
}

impl PeerHandler for PanickingHandler {
    async fn call(&self, _from: &Hello, _body: CallBody) -> ReplyBody {
        let calls = self.calls.fetch_add(1, Ordering::SeqCst);
        assert_ne!(calls, 0, "requested by the test");
        ReplyBody::CancelItem
    }

    fn message(&self, _from: &Hello, _message: PeerMessage) {
        let messages = self.messages.fetch_add(1, Ordering::SeqCst);
        assert_ne!(messages, 0, "requested by the test");
    }
}

/// Guards against a call without a reply after a panic of its handler, and against a link that ends
/// with all of its calls because of a panic in a message.
#[test]
fn a_panic_of_the_handler_ends_only_its_call() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    runtime.block_on(async move {
        let handler = Arc::new(PanickingHandler::default());
        let hello = hello("peer", PEER_PROTOCOL_VERSION);
        let listener = PeerListener::start(&spawner, LOCAL, hello, handler.clone()).unwrap();
        let (link, events) = dial(&spawner, options(listener.addr()));
        wait_up(&events).await;
        let backend = BackendId::try_from("e1").unwrap();
        link.notify(PeerMessage::Yield { backend }).unwrap();
        let reply = link.call(fetch(1), HANG_TIMEOUT).await.unwrap();
        let ReplyBody::Error(err) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!(err.verdict, Verdict::MayHaveRun);
        let reply = link.call(fetch(2), HANG_TIMEOUT).await.unwrap();
        assert_eq!(reply, ReplyBody::CancelItem);
        assert_eq!(handler.messages.load(Ordering::SeqCst), 1);
        assert!(events.is_empty(), "the link went down");
    });
}

/// Guards against a link that stays down for ever after a panic of its observer.
#[test]
fn a_link_whose_observer_panics_reconnects() {
    let (runtime, spawner, peer) = start_peer("peer");
    let options = options(peer.listener.addr());
    runtime.block_on(async move {
        let (tx, events) = async_channel::unbounded();
        let panicked = AtomicBool::new(false);
        let link = PeerLink::start(&spawner, options, move |event| {
            assert!(
                panicked.swap(true, Ordering::SeqCst),
                "requested by the test"
            );
            let _ = tx.try_send(event);
        });
        wait_up(&events).await;
        let backend = BackendId::try_from("e1").unwrap();
        let message = PeerMessage::Yield { backend };
        link.notify(message.clone()).unwrap();
        assert_eq!(peer.messages.recv().await.unwrap(), message);
    });
}
