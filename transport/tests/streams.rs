//! Server-sent events and forwarded streams.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::pin::pin;
use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::{
    Request,
    Response, //
};
use limpetweir_transport::Runtime;
use limpetweir_transport::http::{
    Body,
    Client,
    ClientLimits,
    Event,
    EventParser,
    EventReader,
    EventWriter,
    RequestBody,
    SendOptions,
    Server,
    ServerLimits,
    SseError,
    TrafficClass, //
};
use rstest::rstest;

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

const LOCAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn options() -> SendOptions {
    SendOptions::within(TrafficClass::Online, HANG_TIMEOUT)
}

fn get() -> Request<Bytes> {
    Request::get("/").body(Bytes::new()).unwrap()
}

fn event(name: &str, data: &str) -> Event {
    Event {
        name: name.to_owned(),
        data: data.to_owned(),
    }
}

/// Parses a stream in chunks of `size` bytes.
fn parse(stream: &str, size: usize) -> Vec<Event> {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    for chunk in stream.as_bytes().chunks(size) {
        parser.push(chunk).unwrap();
        while let Some(event) = parser.next_event() {
            events.push(event);
        }
    }
    events
}

/// Guards against tokens that are lost or joined if a chunk ends within an event.
#[rstest]
#[case::plain("data: a\n\ndata: b\n\n", vec![event("", "a"), event("", "b")])]
#[case::named("event: error\ndata: x\n\n", vec![event("error", "x")])]
#[case::lines("data: a\ndata:\ndata:  b\n\n", vec![event("", "a\n\n b")])]
#[case::returns("data: a\r\n\r\ndata: b\r\rdata: c\n\n", vec![event("", "a"), event("", "b"), event("", "c")])]
#[case::comments(": ping\n\nid: 7\nretry: 1\ndata: ä→\n\n", vec![event("", "ä→")])]
#[case::unfinished("data: a\n\ndata: b\n", vec![event("", "a")])]
#[case::no_data("event: x\n\ndata\n\n", vec![event("", "")])]
fn parses_events_at_any_chunk_size(#[case] stream: &str, #[case] expected: Vec<Event>) {
    for size in 1..=stream.len() {
        assert_eq!(parse(stream, size), expected, "chunks of {size}");
    }
}

/// Guards against unbounded memory for a stream without line ends, and against invalid UTF-8.
#[test]
fn rejects_endless_and_invalid_events() {
    let mut parser = EventParser::default();
    let endless = vec![b'a'; 2 << 20];
    assert!(matches!(parser.push(&endless), Err(SseError::TooLong)));
    let mut parser = EventParser::default();
    let invalid = parser.push(b"data: \xff\n");
    assert!(matches!(invalid, Err(SseError::InvalidUtf8)));
}

/// Guards against a proxy that buffers or changes the events of a stream.
#[test]
fn a_stream_is_forwarded_event_by_event() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let client = Client::new(&spawner, ClientLimits::default());
    let (writers_tx, writers) = async_channel::unbounded::<EventWriter>();
    let origin = move |_req: Request<RequestBody>| {
        let (sender, body) = Body::channel();
        let sent = writers_tx.try_send(EventWriter::new(sender));
        async move {
            sent.unwrap();
            Response::new(body)
        }
    };
    let origin = Server::start(&spawner, LOCAL, ServerLimits::default(), origin).unwrap();
    let upstream = origin.addr();
    let inner = client.clone();
    let proxy = move |_req: Request<RequestBody>| {
        let inner = inner.clone();
        async move {
            let response = inner.send(upstream, get(), options()).await.unwrap();
            response.map(Body::upstream)
        }
    };
    let proxy = Server::start(&spawner, LOCAL, ServerLimits::default(), proxy).unwrap();
    let addr = proxy.addr();
    runtime.block_on(async move {
        let response = client.send(addr, get(), options()).await.unwrap();
        let mut reader = EventReader::new(response.into_body());
        let writer = writers.recv().await.unwrap();
        for data in ["one", "two\nlines", ""] {
            writer.data(data).await.unwrap();
            let event = reader.next_event().await.unwrap().unwrap();
            assert_eq!(event.data, data);
        }
        writer.named("error", "late").await.unwrap();
        let named = reader.next_event().await.unwrap().unwrap();
        assert_eq!(named, event("error", "late"));
        writer.done().await.unwrap();
        assert!(reader.next_event().await.unwrap().unwrap().is_done());
        assert_eq!(reader.next_event().await.unwrap(), None);
    });
}

/// Sends a message when the future that owns it is dropped.
struct DropNotice(Sender<()>);

impl Drop for DropNotice {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

/// Guards against a handler that continues to run after its caller disconnected before the
/// response.
#[test]
fn a_disconnected_caller_cancels_its_handler() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let client = Client::new(&spawner, ClientLimits::default());
    let (dropped_tx, dropped) = async_channel::unbounded();
    let (started_tx, started): (Sender<()>, Receiver<()>) = async_channel::unbounded();
    let handler = move |_req: Request<RequestBody>| {
        let notice = DropNotice(dropped_tx.clone());
        let started = started_tx.try_send(());
        async move {
            started.unwrap();
            std::future::pending::<()>().await;
            drop(notice);
            Response::new(Body::empty())
        }
    };
    let server = Server::start(&spawner, LOCAL, ServerLimits::default(), handler).unwrap();
    let addr = server.addr();
    let sending = spawner.spawn(async move {
        let _ = client.send(addr, get(), options()).await;
    });
    runtime.block_on(async move {
        started.recv().await.unwrap();
        drop(sending);
        dropped.recv().await.unwrap();
    });
}

/// Guards against the memory of a body whose reader is slow: it has a bound in bytes, as parts may be
/// as large as a read.
#[test]
fn a_slow_reader_holds_few_bytes() {
    const PART: usize = 40 << 10;
    future::block_on(async {
        let (sender, body) = Body::channel();
        for _ in 0..2 {
            sender.send(vec![b'x'; PART]).await.expect("a reader");
        }
        let mut blocked = pin!(sender.send(vec![b'x'; PART]));
        assert!(future::poll_once(&mut blocked).await.is_none());
        let mut body = body;
        let part = body.frame().await.expect("a part").expect("a part");
        assert_eq!(part.into_data().expect("bytes").len(), PART);
        blocked.await.expect("room");
        let mut blocked = pin!(sender.send(vec![b'x'; PART]));
        assert!(future::poll_once(&mut blocked).await.is_none());
        drop(body);
        assert!(blocked.await.is_err());
    });
}
