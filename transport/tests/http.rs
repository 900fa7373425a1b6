//! Tests of the HTTP server and client against each other and against raw sockets.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::io::{
    ErrorKind,
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use hyper::header::CONNECTION;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    BodyError,
    BodySender,
    Client,
    ClientLimits,
    EventReader,
    EventWriter,
    RemoteAddr,
    RequestBody,
    SendOptions,
    Server,
    ServerLimits,
    TrafficClass, //
};
use limpetweir_transport::{
    Runtime,
    Spawner, //
};

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn options() -> SendOptions {
    SendOptions::within(TrafficClass::Online, HANG_TIMEOUT)
}

fn get(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).unwrap()
}

async fn echo(req: Request<RequestBody>) -> Response<Body> {
    match req.into_body().collect_bytes().await {
        Ok(bytes) => Response::new(Body::from(bytes)),
        Err(BodyError::TooLarge { .. }) => status(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn echo_server(spawner: &Spawner, limits: ServerLimits) -> Server {
    Server::start(spawner, LOCAL, limits, echo).unwrap()
}

/// Sends raw bytes and returns everything that the server sends until it closes the connection.
fn raw_exchange(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    // The server may respond and close the connection before it has read everything.
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    if let Err(err) = stream.read_to_end(&mut response) {
        let text = String::from_utf8_lossy(&response);
        assert_ne!(
            err.kind(),
            ErrorKind::WouldBlock,
            "left open after {text:?}"
        );
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against a lost body, or the body of another request, on a reused connection.
#[test]
fn answers_requests_on_one_pooled_connection() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let server = echo_server(&spawner, ServerLimits::default());
    let client = Client::new(&spawner, ClientLimits::default());
    let addr = server.addr();
    runtime.block_on(async move {
        for index in 0..20 {
            let sent = Bytes::from(format!("body {index}"));
            let req = Request::post("/").body(sent.clone()).unwrap();
            let response = client.send(addr, req, options()).await.unwrap();
            let got = response.into_body().collect_bytes(1024).await.unwrap();
            assert_eq!(got, sent);
        }
    });
}

/// Guards against reuse of a connection that delivered the response of another request, because
/// that response has no body.
#[test]
fn closing_a_response_without_a_body_closes_its_connection() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let remote = |req: Request<RequestBody>| async move {
        let RemoteAddr(remote) = *req.extensions().get().unwrap();
        let mut response = status(StatusCode::NO_CONTENT);
        let remote = remote.to_string().parse().unwrap();
        response.headers_mut().insert("x-remote", remote);
        response
    };
    let server = Server::start(&spawner, LOCAL, ServerLimits::default(), remote).unwrap();
    let addr = server.addr();
    let client = Client::new(&spawner, ClientLimits::default());
    runtime.block_on(async move {
        let first = client.send(addr, get("/"), options()).await.unwrap();
        let (first, body) = first.into_parts();
        drop(body);
        let second = client.send(addr, get("/"), options()).await.unwrap();
        let (second, body) = second.into_parts();
        assert_eq!(first.headers["x-remote"], second.headers["x-remote"]);
        body.close();
        let third = client.send(addr, get("/"), options()).await.unwrap();
        assert_ne!(second.headers["x-remote"], third.headers()["x-remote"]);
    });
}

/// Guards against a handler panic that terminates an executor thread or leaves its caller without an
/// answer, whether or not the handler has returned its future.
#[test]
fn a_panic_in_a_handler_is_answered_and_ends_only_its_connection() {
    let runtime = Runtime::start(1).unwrap();
    let spawner = runtime.spawner();
    let handler = |req: Request<RequestBody>| {
        assert_ne!(req.uri().path(), "/early", "requested by the test");
        async move {
            assert_ne!(req.uri().path(), "/late", "requested by the test");
            Response::new(Body::from("fine"))
        }
    };
    let server = Server::start(&spawner, LOCAL, ServerLimits::default(), handler).unwrap();
    let client = Client::new(&spawner, ClientLimits::default());
    let addr = server.addr();
    runtime.block_on(async move {
        for path in ["/early", "/late"] {
            let response = client.send(addr, get(path), options()).await.unwrap();
            assert_eq!(response.status(), StatusCode::INTERNAL_SERVER_ERROR);
            assert_eq!(response.headers()[CONNECTION], "close");
        }
        let response = client.send(addr, get("/"), options()).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
    });
}

/// Guards against unbounded memory for one request.
#[test]
fn rejects_oversized_heads_and_bodies() {
    let runtime = Runtime::start(1).unwrap();
    let limits = ServerLimits {
        head_bytes: 8192,
        body_bytes: 1000,
        ..ServerLimits::default()
    };
    let server = echo_server(&runtime.spawner(), limits);
    let long = "a".repeat(10_000);
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {long}\r\n\r\n");
    assert!(raw_exchange(server.addr(), head.as_bytes()).starts_with("HTTP/1.1 431"));
    let many = "x: y\r\n".repeat(200);
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\n{many}\r\n");
    assert!(raw_exchange(server.addr(), head.as_bytes()).starts_with("HTTP/1.1 431"));
    let with_length =
        format!("POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 10000\r\n\r\n{long}");
    assert!(raw_exchange(server.addr(), with_length.as_bytes()).starts_with("HTTP/1.1 413"));
    let chunked = format!(
        "POST / HTTP/1.1\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2710\r\n{long}\r\n"
    );
    assert!(raw_exchange(server.addr(), chunked.as_bytes()).starts_with("HTTP/1.1 413"));
}

/// Guards against a malformed request that reaches a handler or hangs its connection.
#[test]
fn rejects_malformed_requests() {
    let runtime = Runtime::start(1).unwrap();
    let server = echo_server(&runtime.spawner(), ServerLimits::default());
    for request in [
        "no request at all\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: many\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ] {
        let response = raw_exchange(server.addr(), request.as_bytes());
        assert!(
            response.starts_with("HTTP/1.1 400"),
            "{request:?}: {response:?}"
        );
    }
}

/// Guards against a connection that stays open although its request or body is never sent.
#[test]
fn closes_stalled_requests() {
    let runtime = Runtime::start(1).unwrap();
    let limits = ServerLimits {
        head_timeout: Duration::from_millis(20),
        body_timeout: Duration::from_millis(20),
        ..ServerLimits::default()
    };
    let server = echo_server(&runtime.spawner(), limits);
    let response = raw_exchange(server.addr(), b"GET / HTTP/1.1\r\nhost");
    assert!(!response.starts_with("HTTP/1.1 200"), "{response:?}");
    let body = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab";
    assert!(raw_exchange(server.addr(), body).starts_with("HTTP/1.1 400"));
}

/// Guards against a graceful shutdown that interrupts a running request.
#[test]
fn graceful_close_waits_for_running_requests() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let (senders_tx, senders) = async_channel::unbounded::<BodySender>();
    let handler = move |_req: Request<RequestBody>| {
        let senders_tx = senders_tx.clone();
        async move {
            let (sender, body) = Body::channel();
            senders_tx.send(sender).await.unwrap();
            Response::new(body)
        }
    };
    let server = Server::start(&spawner, LOCAL, ServerLimits::default(), handler).unwrap();
    let client = Client::new(&spawner, ClientLimits::default());
    let addr = server.addr();
    runtime.block_on(async move {
        let first = client.send(addr, get("/"), options()).await.unwrap();
        assert!(!first.headers().contains_key(CONNECTION));
        server.drain();
        let second = client.send(addr, get("/"), options()).await.unwrap();
        assert_eq!(second.headers()[CONNECTION], "close");
        let closing = spawner.spawn(server.close(Instant::now() + HANG_TIMEOUT));
        for response in [first, second] {
            let sender = senders.recv().await.unwrap();
            sender.send("whole answer").await.unwrap();
            sender.finish().await.unwrap();
            let body = response.into_body().collect_bytes(1024).await.unwrap();
            assert_eq!(body, "whole answer");
        }
        assert!(closing.await);
        client.send(addr, get("/"), options()).await.unwrap_err();
    });
}

/// Guards against a truncated stream that looks complete to its reader.
#[test]
fn a_stream_of_a_dropped_sender_is_an_error_for_its_reader() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let (senders_tx, senders) = async_channel::unbounded::<BodySender>();
    let handler = move |_req: Request<RequestBody>| {
        let (sender, body) = Body::channel();
        let sent = senders_tx.try_send(sender);
        async move {
            sent.unwrap();
            Response::new(body)
        }
    };
    let server = Server::start(&spawner, LOCAL, ServerLimits::default(), handler).unwrap();
    let client = Client::new(&spawner, ClientLimits::default());
    let addr = server.addr();
    runtime.block_on(async move {
        let response = client.send(addr, get("/"), options()).await.unwrap();
        let sender = senders.recv().await.unwrap();
        let mut reader = EventReader::new(response.into_body());
        sender.send("data: 1\n\ndata: 2").await.unwrap();
        assert_eq!(reader.next_event().await.unwrap().unwrap().data, "1");
        drop(sender);
        reader.next_event().await.unwrap_err();
    });
}

/// A writer is dropped at once behind the first part. Guards against a connection that drops the head and
/// the part with the rest, so that its caller sees no response at all.
#[test]
fn a_part_before_a_dropped_sender_reaches_its_reader() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let server = Server::start(&spawner, LOCAL, ServerLimits::default(), |_| async {
        let (_, body) = Body::channel_with(Bytes::from_static(b"part"));
        Response::new(body)
    });
    let server = server.unwrap();
    let received = raw_exchange(server.addr(), b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(received.starts_with("HTTP/1.1 200 OK\r\n"), "{received}");
    assert!(received.ends_with("4\r\npart\r\n"), "{received}");
}

/// Guards against work that continues after its caller has disconnected.
#[test]
fn dropping_a_response_closes_the_writer() {
    let runtime = Runtime::start(2).unwrap();
    let spawner = runtime.spawner();
    let (closed_tx, closed) = async_channel::bounded::<()>(1);
    let tasks = spawner.clone();
    let handler = move |_req: Request<RequestBody>| {
        let (sender, body) = Body::channel();
        let writer = EventWriter::new(sender);
        let closed_tx = closed_tx.clone();
        let work = async move {
            writer.data("first").await.unwrap();
            writer.closed().await;
            closed_tx.send(()).await.unwrap();
        };
        tasks.spawn(work).detach();
        async move { Response::new(body) }
    };
    let server = Server::start(&spawner, LOCAL, ServerLimits::default(), handler).unwrap();
    let client = Client::new(&spawner, ClientLimits::default());
    let addr = server.addr();
    runtime.block_on(async move {
        let response = client.send(addr, get("/"), options()).await.unwrap();
        let mut reader = EventReader::new(response.into_body());
        assert_eq!(reader.next_event().await.unwrap().unwrap().data, "first");
        drop(reader);
        closed.recv().await.unwrap();
    });
}

/// Guards against a caller that sends an endless chunk size. It occupied the only executor thread,
/// so that no request was served and no deadline expired.
#[test]
fn an_endless_chunk_size_does_not_block_other_requests() {
    let runtime = Runtime::start(1).unwrap();
    let spawner = runtime.spawner();
    let limits = ServerLimits {
        body_timeout: Duration::from_millis(300),
        ..ServerLimits::default()
    };
    let handler = |req: Request<RequestBody>| async move {
        let read = req.into_body().collect_bytes().await;
        Response::new(Body::from(if read.is_ok() { "whole" } else { "broken" }))
    };
    let server = Server::start(&spawner, LOCAL, limits, handler).unwrap();
    let addr = server.addr();
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(addr).unwrap();
        let head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head).unwrap();
        while stream.write_all(&[b'0'; 4096]).is_ok() {}
    });
    std::thread::sleep(Duration::from_millis(100));
    runtime.block_on(async move {
        let client = Client::new(&spawner, ClientLimits::default());
        for _ in 0..3 {
            let req = Request::post("/").body(Bytes::from_static(b"ok")).unwrap();
            let options = SendOptions::within(TrafficClass::Online, Duration::from_secs(5));
            let response = client.send(addr, req, options).await.unwrap();
            let body = response.into_body().collect_bytes(64).await.unwrap();
            assert_eq!(body, "whole");
        }
    });
}
