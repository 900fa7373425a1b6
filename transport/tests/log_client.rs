//! Outcomes of the log and list clients, in particular when a response is lost.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::io::{
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::thread::{
    self,
    JoinHandle, //
};
use std::time::Duration;

use limpetweir_state::Offset;
use limpetweir_transport::http::{
    Client,
    ClientLimits, //
};
use limpetweir_transport::{
    AppendOutcome,
    Clock,
    ListClient,
    ListError,
    LogClient,
    ReadOutcome,
    ReadRequest,
    Runtime, //
};
use rstest::rstest;

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

const RECORD: &[u8] = b"record-to-append";

/// Serves one request, whose head or body ends with `end`, with a fixed response.
fn serve_one_response(end: &'static [u8], response: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        let mut request = Vec::new();
        let mut buf = [0; 4096];
        while !request.ends_with(end) {
            let len = stream.read(&mut buf).unwrap();
            assert_ne!(len, 0);
            request.extend_from_slice(&buf[..len]);
        }
        stream.write_all(response.as_bytes()).unwrap();
        String::from_utf8(request).unwrap()
    });
    (addr, thread)
}

fn response(head: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {head}\r\ncontent-length: {len}\r\n\r\n{body}")
}

fn append(addr: SocketAddr) -> AppendOutcome {
    let runtime = Runtime::start(1).unwrap();
    let client = Client::new(&runtime.spawner(), ClientLimits::default());
    let log = LogClient::new(client, addr, Clock::start());
    runtime.block_on(async move { log.append("jobs-1", RECORD, HANG_TIMEOUT).await })
}

fn retry_later(ms: u64) -> AppendOutcome {
    AppendOutcome::RetryLater {
        retry_after: Duration::from_millis(ms),
    }
}

/// Guards against a lost response that is treated as a rejection, which would append a record twice
/// without notice, and against a rejection that is treated as a lost response.
#[rstest]
#[case::appended(
    response("200 OK", r#"{"offset":7}"#),
    AppendOutcome::Appended(Offset(7))
)]
#[case::lost(String::new(), AppendOutcome::Unknown)]
#[case::truncated("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"off".to_owned(), AppendOutcome::Unknown)]
#[case::not_json(response("200 OK", "offset 7"), AppendOutcome::Unknown)]
#[case::server_error(response("500 Internal Server Error", ""), AppendOutcome::Unknown)]
#[case::over_rate_limit(
    response("429 Too Many Requests\r\nretry-after: 1", ""),
    retry_later(1000)
)]
#[case::outage(response("503 Service Unavailable", ""), retry_later(250))]
#[case::too_long(response("413 Payload Too Large", ""), AppendOutcome::Rejected { status: 413 })]
fn append_outcomes(#[case] response: String, #[case] expected: AppendOutcome) {
    let (addr, server) = serve_one_response(RECORD, response);
    assert_eq!(append(addr), expected);
    let request = server.join().unwrap();
    assert!(request.starts_with("POST /streams/jobs-1/records HTTP/1.1\r\n"));
}

/// Guards against an unnecessary read of the stream while the log service is unreachable.
#[test]
fn an_unreachable_log_gives_retry_later() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(append(addr), retry_later(250));
}

fn read(addr: SocketAddr) -> ReadOutcome {
    let runtime = Runtime::start(1).unwrap();
    let client = Client::new(&runtime.spawner(), ClientLimits::default());
    let log = LogClient::new(client, addr, Clock::start());
    let request = ReadRequest {
        from: Offset(3),
        limit: 10,
        wait: Duration::from_secs(1),
    };
    runtime.block_on(async move { log.read("config", request).await })
}

/// Guards against a read that skips records or does not report that they were trimmed.
#[test]
fn read_outcomes() {
    let body = r#"{"first":0,"next":4,"records":[{"offset":3,"data":"aGk="}]}"#;
    let (addr, server) = serve_one_response(b"\r\n\r\n", response("200 OK", body));
    let ReadOutcome::Records { answer: page, .. } = read(addr) else {
        panic!("no records");
    };
    assert_eq!(page.next, Offset(4));
    assert_eq!(page.records[0].data, b"hi");
    let request = server.join().unwrap();
    let line = "GET /streams/config/records?from=3&limit=10&wait_ms=1000 HTTP/1.1\r\n";
    assert!(request.starts_with(line), "{request}");

    let trimmed = response("410 Gone", r#"{"first":9,"next":12}"#);
    let (addr, _server) = serve_one_response(b"\r\n\r\n", trimmed);
    let (first, next) = (Offset(9), Offset(12));
    assert_eq!(read(addr), ReadOutcome::Trimmed { first, next });

    let (addr, _server) = serve_one_response(b"\r\n\r\n", response("503 Service Unavailable", ""));
    assert!(matches!(read(addr), ReadOutcome::Unavailable { .. }));
}

fn read_list(addr: SocketAddr) -> Result<usize, ListError> {
    let runtime = Runtime::start(1).unwrap();
    let client = Client::new(&runtime.spawner(), ClientLimits::default());
    let list = ListClient::new(client, addr);
    let response = runtime.block_on(async move { list.read(HANG_TIMEOUT).await });
    response.map(|list| list.backends.len())
}

/// Guards against an invalid list that is read as an empty fleet.
#[test]
fn an_invalid_list_is_an_error() {
    let body = r#"{"instances":[],"backends":[{"name":"e1","state":"live"}]}"#;
    let (addr, _server) = serve_one_response(b"\r\n\r\n", response("200 OK", body));
    assert_eq!(read_list(addr).unwrap(), 1);
    let (addr, _server) = serve_one_response(b"\r\n\r\n", response("200 OK", "{}"));
    assert!(matches!(read_list(addr), Err(ListError::Malformed)));
    let (addr, _server) =
        serve_one_response(b"\r\n\r\n", response("500 Internal Server Error", ""));
    assert!(matches!(
        read_list(addr),
        Err(ListError::Status { status: 500 })
    ));
}
