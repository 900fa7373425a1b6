//! Verdicts of the client for failures at each step of a request.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::io::{
    BufRead,
    BufReader,
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::thread::{
    self,
    JoinHandle, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_io::block_on;
use futures_lite::future;
use hyper::Request;
use hyper::body::Bytes;
use limpetweir_state::Verdict;
use limpetweir_transport::Runtime;
use limpetweir_transport::http::{
    BodyError,
    Client,
    ClientError,
    ClientLimits,
    SendOptions,
    TrafficClass, //
};
use rstest::rstest;

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

fn options(class: TrafficClass) -> SendOptions {
    SendOptions::within(class, HANG_TIMEOUT)
}

fn post() -> Request<Bytes> {
    Request::post("/")
        .body(Bytes::from_static(b"body"))
        .unwrap()
}

/// Accepts `connections` connections and runs `script` on each, one after the other.
fn scripted_server(
    connections: usize,
    script: impl Fn(usize, TcpStream) + Send + 'static,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        for index in 0..connections {
            let (stream, _) = listener.accept().unwrap();
            stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
            script(index, stream);
        }
    });
    (addr, thread)
}

/// Reads one request with a body of four bytes; returns false at the end of the connection.
fn read_request(stream: &TcpStream) -> bool {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).unwrap() == 0 {
            return false;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = [0; 4];
    reader.read_exact(&mut body).unwrap();
    true
}

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn runtime_and_client() -> (Runtime, Client) {
    let runtime = Runtime::start(2).unwrap();
    let client = Client::new(&runtime.spawner(), ClientLimits::default());
    (runtime, client)
}

/// Guards against "may have run" for a request whose connection was refused.
#[test]
fn connection_refused_is_not_run() {
    let (runtime, client) = runtime_and_client();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let err = runtime.block_on(async move {
        let sent = client.send(addr, post(), options(TrafficClass::Online));
        sent.await.unwrap_err()
    });
    assert!(matches!(err, ClientError::Connect { .. }));
    assert_eq!(err.verdict(), Verdict::NotRun);
}

/// Guards against a request that is sent although its deadline has expired.
#[test]
fn a_deadline_before_the_connection_is_not_run() {
    let (runtime, client) = runtime_and_client();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let expired = SendOptions {
        class: TrafficClass::Online,
        deadline: Some(Instant::now()),
    };
    let err =
        runtime.block_on(async move { client.send(addr, post(), expired).await.unwrap_err() });
    assert_eq!(err.verdict(), Verdict::NotRun);
}

/// Guards against "not run" for a request whose response is late.
/// Guards against a process that is not scheduled for a while and takes servers for unreachable.
#[test]
fn a_connection_that_is_established_in_time_is_used_although_it_is_read_late() {
    let runtime = Runtime::start(1).unwrap();
    let connect_timeout = Duration::from_millis(50);
    let limits = ClientLimits {
        connect_timeout,
        ..ClientLimits::default()
    };
    let client = Client::new(&runtime.spawner(), limits);
    for _ in 0..20 {
        let (addr, server) = scripted_server(1, |_, mut stream| {
            read_request(&stream);
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        });
        let mut response = Box::pin(client.send(addr, post(), options(TrafficClass::Online)));
        let response = async {
            assert!(future::poll_once(&mut response).await.is_none());
            thread::sleep(2 * connect_timeout);
            response.await
        };
        assert_eq!(block_on(response).unwrap().status(), 200);
        server.join().unwrap();
    }
}

#[test]
fn a_deadline_after_the_request_may_have_run() {
    let (runtime, client) = runtime_and_client();
    let (addr, thread) = scripted_server(1, |_, stream| {
        assert!(read_request(&stream));
        // Waits until the client times out and closes the connection.
        let mut rest = Vec::new();
        let _ = (&stream).read_to_end(&mut rest);
        assert!(rest.is_empty());
    });
    let err = runtime.block_on(async move {
        let late = SendOptions::within(TrafficClass::Online, Duration::from_millis(100));
        client.send(addr, post(), late).await.unwrap_err()
    });
    thread.join().unwrap();
    assert!(matches!(err, ClientError::Deadline { .. }));
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
}

/// Guards against a truncated response that is accepted as complete.
#[test]
fn a_truncated_response_is_an_error() {
    let (runtime, client) = runtime_and_client();
    let (addr, thread) = scripted_server(2, |index, mut stream| {
        assert!(read_request(&stream));
        let response = match index {
            0 => "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
            _ => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        };
        stream.write_all(response.as_bytes()).unwrap();
    });
    runtime.block_on(async move {
        for _ in 0..2 {
            let sent = client.send(addr, post(), options(TrafficClass::Online));
            let body = sent.await.unwrap().into_body();
            let err = body.collect_bytes(1024).await.unwrap_err();
            assert!(matches!(err, BodyError::Interrupted { .. }));
            assert_eq!(err.verdict(), Verdict::MayHaveRun);
        }
    });
    thread.join().unwrap();
}

/// Guards against "not run" for a request that the server has read before it closes the connection
/// or sends bytes that are not HTTP.
#[rstest]
#[case::closed("")]
#[case::malformed("no answer at all\r\n\r\n")]
fn a_request_without_a_response_may_have_run(#[case] response: &'static str) {
    let (runtime, client) = runtime_and_client();
    let (addr, thread) = scripted_server(1, move |_, mut stream| {
        assert!(read_request(&stream));
        stream.write_all(response.as_bytes()).unwrap();
    });
    let err = runtime.block_on(async move {
        let sent = client.send(addr, post(), options(TrafficClass::Online));
        sent.await.unwrap_err()
    });
    thread.join().unwrap();
    assert_eq!(err.verdict(), Verdict::MayHaveRun);
}

/// Guards against a request that fails because its pooled connection was closed while idle.
#[test]
fn a_connection_closed_while_idle_is_replaced() {
    let (runtime, client) = runtime_and_client();
    let (closed_tx, closed) = async_channel::bounded(1);
    let (addr, thread) = scripted_server(2, move |_, mut stream| {
        assert!(read_request(&stream));
        stream.write_all(RESPONSE).unwrap();
        drop(stream);
        closed_tx.send_blocking(()).unwrap();
    });
    runtime.block_on(async move {
        for _ in 0..2 {
            let sent = client.send(addr, post(), options(TrafficClass::Online));
            let body = sent.await.unwrap().into_body();
            assert_eq!(body.collect_bytes(16).await.unwrap(), "ok");
            closed.recv().await.unwrap();
        }
    });
    thread.join().unwrap();
}

/// Guards against head-of-line blocking between traffic classes on a shared connection.
#[test]
fn traffic_classes_do_not_share_connections() {
    let (runtime, client) = runtime_and_client();
    let (addr, thread) = scripted_server(2, |_, mut stream| {
        assert!(read_request(&stream));
        stream.write_all(RESPONSE).unwrap();
        let handle = thread::spawn(move || assert!(!read_request(&stream)));
        drop(handle);
    });
    runtime.block_on(async move {
        for class in [TrafficClass::Online, TrafficClass::Batch] {
            let body = client.send(addr, post(), options(class)).await.unwrap();
            body.into_body().collect_bytes(16).await.unwrap();
        }
    });
    thread.join().unwrap();
}

/// Guards against a dropped request that continues to run at the server.
#[test]
fn dropping_a_request_closes_its_connection() {
    let (runtime, client) = runtime_and_client();
    let (read_tx, read) = async_channel::bounded::<()>(1);
    let (addr, thread) = scripted_server(1, move |_, stream| {
        assert!(read_request(&stream));
        read_tx.send_blocking(()).unwrap();
        assert!(!read_request(&stream));
    });
    let spawner = runtime.spawner();
    runtime.block_on(async move {
        let sending = spawner.spawn(async move {
            let sent = client.send(addr, post(), options(TrafficClass::Online));
            sent.await.map(|_| ())
        });
        read.recv().await.unwrap();
        drop(sending);
    });
    thread.join().unwrap();
}
