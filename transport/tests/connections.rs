//! Tests of the server's time-outs and of the connections that it closes.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::io::{
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    HeadLimits,
    RequestBody,
    Server,
    ServerLimits, //
};
use limpetweir_transport::{
    Runtime,
    sleep, //
};
use rstest::rstest;

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// A time-out that no test reaches.
const NEVER: Duration = Duration::from_secs(120);

/// A time-out that a test reaches.
const SHORT: Duration = Duration::from_millis(200);

/// Several times as long as the short time-out.
const LONG_PAUSE: Duration = Duration::from_millis(900);

/// Time for which the handler of `/block` occupies its executor thread.
const BLOCKED: Duration = Duration::from_millis(1_000);

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

async fn handle(req: Request<RequestBody>) -> Response<Body> {
    match req.uri().path() {
        "/block" => thread::sleep(BLOCKED),
        "/wait" => sleep(BLOCKED).await,
        "/refuse" => {
            let mut response = Response::new(Body::from("refused"));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        _ => {}
    }
    Response::new(Body::from("fine"))
}

fn start(runtime: &Runtime, head_timeout: Duration, idle_timeout: Duration) -> Server {
    let limits = ServerLimits {
        head_timeout,
        idle_timeout,
        ..ServerLimits::default()
    };
    Server::start(&runtime.spawner(), LOCAL, limits, handle).unwrap()
}

fn set_idle(server: &Server, idle: Duration) {
    let head = HeadLimits {
        timeout: NEVER,
        bytes: 64 << 10,
    };
    server.connection_limits().set(head, idle);
}

struct Caller(TcpStream);

impl Caller {
    fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        Self(stream)
    }

    fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Reads one response, whose body is `fine`.
    fn response(&mut self) -> String {
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\nfine") {
            let mut byte = [0];
            let len = self.0.read(&mut byte).unwrap();
            assert_ne!(len, 0, "{}", String::from_utf8_lossy(&received));
            received.push(byte[0]);
        }
        String::from_utf8(received).unwrap()
    }

    fn call(&mut self) -> String {
        self.send(GET);
        self.response()
    }

    /// Reads until the connection is closed; a reset fails the test.
    fn rest(&mut self) -> String {
        let mut text = String::new();
        self.0.read_to_string(&mut text).unwrap();
        text
    }
}

/// Guards against the time-out of a head that ends the idle time between two requests.
#[test]
fn the_head_timeout_does_not_close_an_idle_connection() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, SHORT, NEVER);
    let mut caller = Caller::connect(server.addr());
    thread::sleep(LONG_PAUSE);
    caller.call();
    thread::sleep(LONG_PAUSE);
    caller.call();
    caller.send("GET / HTTP/1.1\r\nhost");
    assert_eq!(caller.rest(), "");
}

/// Guards against connections that callers leave open for ever, and against closing them early.
#[test]
fn an_idle_connection_is_closed_after_the_idle_timeout() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, SHORT);
    let mut caller = Caller::connect(server.addr());
    caller.call();
    let idle = Instant::now();
    assert_eq!(caller.rest(), "");
    // The clock of the server starts a little earlier.
    assert!(idle.elapsed() > SHORT / 2, "{:?}", idle.elapsed());
    assert_eq!(Caller::connect(server.addr()).rest(), "");
}

/// Callers follow a change at different times. Guards against closing a connection that its caller
/// still uses by the earlier limit, also after two changes within a second.
#[test]
fn a_shorter_idle_timeout_spares_connections_that_are_idle() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, NEVER);
    let mut idle = Caller::connect(server.addr());
    idle.call();
    set_idle(&server, NEVER / 2);
    set_idle(&server, SHORT);
    let mut later = Caller::connect(server.addr());
    later.call();
    thread::sleep(LONG_PAUSE);
    idle.call();
    later.call();
}

/// Guards against forgetting the limit under which a connection became idle once the change is over,
/// and against keeping the earlier limit for ever.
#[test]
fn a_connection_keeps_the_idle_timeout_that_held_as_it_became_idle() {
    let runtime = Runtime::start(1).unwrap();
    // The timer of the first idle time goes off in the second one, after the change is over.
    let timer = Duration::from_secs(6);
    let server = start(&runtime, NEVER, timer);
    let mut idle = Caller::connect(server.addr());
    idle.call();
    set_idle(&server, NEVER);
    idle.call();
    set_idle(&server, SHORT);
    thread::sleep(timer + LONG_PAUSE);
    idle.call();
    let begin = Instant::now();
    assert_eq!(idle.rest(), "");
    assert!(begin.elapsed() < HANG_TIMEOUT / 2, "{:?}", begin.elapsed());
}

/// Guards against a longer limit that connections which are idle already do not get.
#[test]
fn a_longer_idle_timeout_holds_for_connections_that_are_idle() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, LONG_PAUSE);
    let mut idle = Caller::connect(server.addr());
    idle.call();
    set_idle(&server, NEVER);
    thread::sleep(LONG_PAUSE * 2);
    idle.call();
}

/// Guards against a request that has arrived and is dropped, because the idle time ended before the
/// server came to read it.
#[test]
fn a_request_that_arrives_as_the_idle_time_ends_is_served() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, BLOCKED / 2);
    let mut caller = Caller::connect(server.addr());
    caller.call();
    // The only executor thread is occupied while the idle time ends and the request arrives.
    let mut blocking = Caller::connect(server.addr());
    blocking.send("GET /block HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(BLOCKED * 3 / 4);
    caller.call();
}

/// Guards against a request that is dropped because its head had arrived only in part as the server
/// stopped.
#[test]
fn a_head_that_is_half_read_as_the_server_stops_is_completed() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, NEVER);
    let mut caller = Caller::connect(server.addr());
    caller.call();
    caller.send(&GET[..20]);
    thread::sleep(SHORT);
    let closing = server.close(Instant::now() + HANG_TIMEOUT);
    let closing = runtime.spawner().spawn(closing);
    thread::sleep(SHORT);
    caller.send(&GET[20..]);
    assert!(caller.response().contains("connection: close"));
    assert_eq!(caller.rest(), "");
    assert!(async_io::block_on(closing));
}

/// Guards against a reset of connections whose callers have sent a request already.
#[test]
fn connections_in_the_accept_queue_are_served_as_the_server_stops() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, NEVER);
    let addr = server.addr();
    let mut blocking = Caller::connect(addr);
    blocking.send("GET /block HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(BLOCKED / 4);
    let callers = (0..20).map(|_| Caller::connect(addr));
    let mut callers: Vec<Caller> = callers.collect();
    for caller in &mut callers {
        caller.send(GET);
    }
    assert!(async_io::block_on(
        server.close(Instant::now() + HANG_TIMEOUT)
    ));
    for caller in &mut callers {
        assert!(caller.response().contains("connection: close"));
        assert_eq!(caller.rest(), "");
    }
}

/// Guards against a reset of connections that waited for others to end, as the server stops.
#[test]
fn connections_above_their_limit_are_served_as_the_server_stops() {
    let runtime = Runtime::start(1).unwrap();
    let limits = ServerLimits {
        connections: 2,
        ..ServerLimits::default()
    };
    let server = Server::start(&runtime.spawner(), LOCAL, limits, handle).unwrap();
    let addr = server.addr();
    let open = [Caller::connect(addr), Caller::connect(addr)];
    // Idle ones would be closed in favour of the others.
    let open = open.map(|mut caller| {
        caller.send("GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
        caller
    });
    thread::sleep(SHORT);
    let waiting = (0..20).map(|_| Caller::connect(addr));
    let mut waiting: Vec<Caller> = waiting.collect();
    for caller in &mut waiting {
        caller.send(GET);
    }
    thread::sleep(SHORT);
    assert!(async_io::block_on(
        server.close(Instant::now() + HANG_TIMEOUT)
    ));
    for caller in &mut waiting {
        assert!(caller.response().contains("connection: close"));
        assert_eq!(caller.rest(), "");
    }
    for mut caller in open {
        assert!(caller.response().contains("connection: close"));
        assert_eq!(caller.rest(), "");
    }
}

/// Guards against a crowd of connections without a request that keeps callers out, and against a request that
/// is cut in favour of others.
#[test]
fn a_connection_without_a_request_yields_its_place() {
    let runtime = Runtime::start(1).unwrap();
    let limits = ServerLimits {
        connections: 2,
        idle_timeout: NEVER,
        ..ServerLimits::default()
    };
    let server = Server::start(&runtime.spawner(), LOCAL, limits, handle).unwrap();
    let mut idle = Caller::connect(server.addr());
    let mut busy = Caller::connect(server.addr());
    busy.send("GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(SHORT);
    let mut callers: Vec<Caller> = (0..10).map(|_| Caller::connect(server.addr())).collect();
    for caller in &mut callers {
        caller.send(GET);
        caller.response();
    }
    busy.response();
    assert_eq!(idle.rest(), "");
}

/// Guards against a reset that takes a response away, because a part of the body was unread as the
/// connection closed.
#[test]
fn a_response_that_comes_before_the_end_of_the_body_is_not_lost() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, NEVER);
    server.drain();
    // The executor thread is occupied until the body has arrived.
    let mut blocking = Caller::connect(server.addr());
    blocking.send("GET /block HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(BLOCKED / 4);
    let mut caller = Caller::connect(server.addr());
    let size = 700_000;
    let head = format!("POST /refuse HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n");
    caller.send(&(head + &"a".repeat(size)));
    let response = caller.rest();
    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(response.ends_with("refused"), "{response:?}");
}

/// Guards against a denial that closes its connection although the whole body has arrived with its head or
/// right after it, so that each denied call costs its caller a new connection.
#[rstest]
#[case::with_its_head("content-length: 8", &["all of i".to_owned()])]
#[case::longer_than_a_read("content-length: 40000", &["a".repeat(40_000)])]
#[case::in_parts("content-length: 8", &["all ", "of i"].map(str::to_owned))]
#[case::chunks("transfer-encoding: chunked", &["4\r\nall \r\n", "4\r\nof i\r\n0\r\n\r\n"].map(str::to_owned))]
fn a_body_that_has_arrived_does_not_close_its_connection(
    #[case] framing: &str,
    #[case] parts: &[String],
) {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, NEVER);
    // The executor thread is occupied until the request has arrived.
    let mut blocking = Caller::connect(server.addr());
    blocking.send("GET /block HTTP/1.1\r\nhost: a\r\n\r\n");
    thread::sleep(BLOCKED / 4);
    let mut caller = Caller::connect(server.addr());
    caller.send(&format!(
        "POST /ignore HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n"
    ));
    for part in parts {
        caller.send(part);
    }
    let response = caller.response().to_ascii_lowercase();
    assert!(
        !response.contains("\r\nconnection: close\r\n"),
        "{response}"
    );
    caller.call();
}

/// Guards against a server that takes a body of any length for a request that it has denied, and against
/// asking a caller for a body that nobody reads.
#[rstest]
#[case::long("content-length: 400000", &"a".repeat(400_000))]
#[case::endless("transfer-encoding: chunked", &("fffff\r\n".to_owned() + &"a".repeat(400_000)))]
#[case::expects("expect: 100-continue\r\ncontent-length: 8", "")]
fn a_body_that_is_long_or_was_not_asked_for_closes_its_connection(
    #[case] framing: &str,
    #[case] body: &str,
) {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, NEVER);
    let mut caller = Caller::connect(server.addr());
    let head = format!("POST /ignore HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
    caller.send(&(head + body));
    let response = caller.rest().to_ascii_lowercase();
    assert!(response.starts_with("http/1.1 200"), "{response}");
    assert!(response.contains("\r\nconnection: close\r\n"), "{response}");
}

/// Guards against a connection that seems open after a response that came before the end of its body:
/// the next request on it was read and discarded, and got neither an answer nor a refusal.
#[test]
fn a_connection_whose_body_was_left_unread_takes_no_further_request() {
    let runtime = Runtime::start(1).unwrap();
    let server = start(&runtime, NEVER, NEVER);
    let mut caller = Caller::connect(server.addr());
    caller.send("POST /refuse HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\nhalf");
    let begin = Instant::now();
    let response = caller.rest().to_ascii_lowercase();
    assert!(response.starts_with("http/1.1 503"), "{response}");
    assert!(response.contains("\r\nconnection: close\r\n"), "{response}");
    assert!(response.ends_with("refused"), "{response}");
    // The close is seen at once, and the rest of the body is still read.
    assert!(begin.elapsed() < SHORT, "{:?}", begin.elapsed());
    caller.send("body");
}
