//! WebSocket streams of peer messages, and the exchange of `Hello`.

use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_io::Async;
use futures_util::{
    Sink,
    SinkExt,
    Stream,
    StreamExt, //
};
use limpetweir_protocol::peer::{
    Hello,
    PeerCodecError,
    PeerMessage, //
};
use limpetweir_state::InstanceId;
use snafu::{
    OptionExt,
    ResultExt,
    Snafu,
    ensure, //
};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{
    self,
    Message,
    protocol::WebSocketConfig, //
};
use tokio_util::compat::{
    Compat,
    FuturesAsyncReadCompatExt, //
};

use crate::runtime::timeout_at;

/// Timeout of the connection, the WebSocket handshake and the exchange of `Hello` together.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between pings of the dialling side.
pub(super) const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any message after which a link is closed; it allows for three lost pings.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Largest message in bytes; a forwarded job submission is the largest one.
const MAX_MESSAGE_BYTES: usize = 80 << 20;

/// Read buffer of each link in bytes; small because most links only carry heartbeats.
const READ_BUFFER_BYTES: usize = 8 << 10;

pub(super) type Socket = WebSocketStream<Compat<Async<TcpStream>>>;

/// Reason why a link ended or could not be established.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LinkError {
    /// The connection could not be established.
    #[snafu(display("cannot connect to {addr}: {source}"))]
    Connect {
        /// The peer.
        addr: SocketAddr,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The connection, the WebSocket handshake and the exchange of `Hello` took too long.
    #[snafu(display("the link was not established within {} ms", HANDSHAKE_TIMEOUT.as_millis()))]
    HandshakeTimeout,
    /// The peer uses another version of the protocol.
    #[snafu(display("the peer uses protocol version {theirs}, not {ours}"))]
    Version {
        /// Version of the peer.
        theirs: u8,
        /// Version of this side.
        ours: u8,
    },
    /// The address belongs to another instance than the expected one.
    #[snafu(display("the address belongs to {found}, not to {expected}"))]
    WrongPeer {
        /// Instance that was expected at the address.
        expected: InstanceId,
        /// Instance that sent `Hello`.
        found: InstanceId,
    },
    /// The message is not valid at this point of the protocol.
    #[snafu(display("unexpected message: {message}"))]
    Unexpected {
        /// The kind of message.
        message: &'static str,
    },
    /// A message could not be encoded or decoded.
    #[snafu(context(false), display("{source}"))]
    Codec {
        /// Cause reported by the codec.
        source: PeerCodecError,
    },
    /// The WebSocket failed.
    #[snafu(context(false), display("{source}"))]
    WebSocket {
        /// Cause reported by the WebSocket library.
        #[snafu(source(from(tungstenite::Error, Box::new)))]
        source: Box<tungstenite::Error>,
    },
    /// The peer closed the link.
    #[snafu(display("the peer closed the link"))]
    Closed,
    /// No message arrived within the idle timeout.
    #[snafu(display("no message arrived for {} ms", IDLE_TIMEOUT.as_millis()))]
    Idle,
}

/// Connects to a peer, without `Hello`.
pub(super) async fn dial(addr: SocketAddr) -> Result<Socket, LinkError> {
    let stream = Async::<TcpStream>::connect(addr)
        .await
        .context(ConnectSnafu { addr })?;
    // Nagle's algorithm would delay heartbeats and calls, which are small, until acknowledgements
    // arrive.
    let _ = stream.get_ref().set_nodelay(true);
    let url = format!("ws://{addr}/peer");
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream.compat(), Some(config())).await?;
    Ok(socket)
}

/// Accepts the WebSocket handshake of a peer, without `Hello`.
pub(super) async fn accept(stream: Async<TcpStream>) -> Result<Socket, LinkError> {
    let _ = stream.get_ref().set_nodelay(true);
    let socket =
        tokio_tungstenite::accept_async_with_config(stream.compat(), Some(config())).await?;
    Ok(socket)
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Exchanges `Hello`; both sides send before they receive.
pub(super) async fn exchange_hello(socket: &mut Socket, hello: &Hello) -> Result<Hello, LinkError> {
    send(socket, &PeerMessage::Hello(hello.clone())).await?;
    let message = receive(socket).await?;
    let PeerMessage::Hello(peer) = message else {
        return UnexpectedSnafu {
            message: message_kind(&message),
        }
        .fail();
    };
    let (theirs, ours) = (peer.version, hello.version);
    ensure!(theirs == ours, VersionSnafu { theirs, ours });
    Ok(peer)
}

/// Sends one message and flushes it.
pub(super) async fn send<S>(sink: &mut S, message: &PeerMessage) -> Result<(), LinkError>
where
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    let bytes = message.encode()?;
    sink.send(Message::binary(bytes)).await?;
    Ok(())
}

/// Receives the next peer message; pings and pongs only reset the idle timeout.
pub(super) async fn receive<S>(stream: &mut S) -> Result<PeerMessage, LinkError>
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        let idle_deadline = Instant::now() + IDLE_TIMEOUT;
        let next = timeout_at(idle_deadline, stream.next())
            .await
            .context(IdleSnafu)?;
        match next.context(ClosedSnafu)?? {
            Message::Binary(bytes) => return Ok(PeerMessage::decode(&bytes)?),
            Message::Close(_) => return ClosedSnafu.fail(),
            Message::Text(_) => return UnexpectedSnafu { message: "text" }.fail(),
            Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
        }
    }
}

/// Returns the kind of a message for error messages.
pub(super) fn message_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Hello(_) => "Hello",
        PeerMessage::Heartbeat(_) => "Heartbeat",
        PeerMessage::Call { .. } => "Call",
        PeerMessage::Reply { .. } => "Reply",
        PeerMessage::Yield { .. } => "Yield",
    }
}
