//! Callers that do not read their responses, and callers whose link stalls, at a server.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::io::{
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::sync::Arc;
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use hyper::{
    Request,
    Response, //
};
use limpetweir_transport::Runtime;
use limpetweir_transport::http::{
    Body,
    FREE_BYTES,
    RequestBody,
    Responses,
    Server,
    ServerLimits, //
};

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(40);

/// Time for which a link stalls; a server on a busy machine sees up to a second more.
const LINK_STALL: Duration = Duration::from_secs(3);

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Bytes of a response, more than the buffers of the system hold.
const RESPONSE: usize = 40 << 20;

/// Starts a server whose responses have [`RESPONSE`] bytes.
fn start(runtime: &Runtime, connections: usize, responses: &Arc<Responses>) -> Server {
    let limits = ServerLimits {
        connections,
        ..ServerLimits::default()
    };
    let spawner = runtime.spawner();
    let handle = move |_: Request<RequestBody>| {
        let (sender, body) = Body::channel();
        let send = async move {
            let part = vec![b'x'; 16 << 10];
            for _ in 0..RESPONSE / part.len() {
                if sender.send(part.clone()).await.is_err() {
                    return;
                }
            }
            let _ = sender.finish().await;
        };
        spawner.spawn(send).detach();
        async { Response::new(body) }
    };
    Server::start_within(&runtime.spawner(), LOCAL, limits, responses, handle).unwrap()
}

fn ask(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    stream
}

/// Reads to the end of the connection, and returns whether the response was whole.
fn read_whole(stream: &mut TcpStream) -> bool {
    let mut buf = vec![0; 64 << 10];
    let mut total = 0;
    let mut last = 0;
    while let Ok(len @ 1..) = stream.read(&mut buf) {
        total += len;
        last = buf[len - 1];
    }
    total > RESPONSE && last == b'\n'
}

fn wait_until(condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < HANG_TIMEOUT, "no change");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against responses that wait for their callers without a bound, against a caller that is cut although
/// others read nothing, and against shares that stay after their connection.
#[test]
fn callers_that_read_nothing_make_room() {
    let runtime = Runtime::start(2).unwrap();
    let responses = Responses::new(200_000);
    let server = start(&runtime, 100, &responses);
    let silent: Vec<_> = (0..10).map(|_| ask(server.addr())).collect();
    wait_until(|| responses.used() > 200_000 - 2 * FREE_BYTES);
    let mut reading = ask(server.addr());
    assert!(read_whole(&mut reading), "the response was cut");
    // A part that the connection has taken from the channel may be counted late.
    assert!(responses.used() <= 200_000 + 10 * FREE_BYTES);
    drop(silent);
    wait_until(|| responses.used() == 0);
}

/// Guards against a full listener that cuts the response of a caller whose link stalls for some seconds.
#[test]
fn a_full_listener_waits_for_a_link_that_stalls() {
    let runtime = Runtime::start(2).unwrap();
    let server = start(&runtime, 1, &Responses::new(usize::MAX));
    let mut stalling = ask(server.addr());
    thread::sleep(Duration::from_millis(200));
    let others: Vec<_> = (0..2).map(|_| ask(server.addr())).collect();
    thread::sleep(LINK_STALL);
    assert!(read_whole(&mut stalling), "the response was cut");
    drop(others);
}
