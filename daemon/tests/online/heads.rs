//! Tests of plain services whose response breaks off, or is silent, behind its head.

use std::io::{
    BufReader,
    Read,
    Write, //
};
use std::net::{
    TcpListener,
    TcpStream, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::thread;

use rstest::rstest;
use serde_json::Value;

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    TEST_TIMEOUT,
    error_code, //
};
use crate::raw::read_message;

const PATH: &str = "/services/pumps/state";
const WITH_LENGTH: &str = "content-length: 2\r\n\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// Short enough for a test, and long enough for a sound server on a busy machine.
const SHORT_SILENCE: Setup = Setup {
    plain_silence_ms: 2_000,
    ..Setup::SMALL
};

/// What a server does behind the beginning of its first response.
#[derive(Clone, Copy)]
enum Then {
    Closes,
    /// Sends this only after [`TEST_TIMEOUT`].
    IsSilent(&'static str),
}

/// Two backend servers; whichever gets the first request does not complete its response.
struct Pumps {
    addresses: Vec<String>,
    requests: Arc<AtomicUsize>,
}

impl Pumps {
    /// Starts the servers; `beginning` follows the status line and the attempt id of the first response.
    fn start(beginning: &'static str, then: Then) -> Self {
        let requests = Arc::new(AtomicUsize::new(0));
        let start = |_| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap().to_string();
            let requests = requests.clone();
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let requests = requests.clone();
                    thread::spawn(move || serve(stream, beginning, then, &requests));
                }
            });
            address
        };
        Self {
            addresses: (0..2).map(start).collect(),
            requests,
        }
    }

    /// Starts a fleet with the service `pumps`, whose `GET` is idempotent.
    fn fleet(&self, setup: Setup) -> Fleet {
        let mut fleet = Fleet::start(setup);
        let keyed = "kind = \"plain\"\naccess = \"keyed\"\nidempotent = [\"GET\"]";
        let document = fleet
            .document_for(&["chat", "tanks", "pumps"], &[("k1", KEY)])
            .service("pumps", keyed, 'c', self.addresses.iter());
        fleet.publish(&document);
        fleet
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(stream: TcpStream, beginning: &str, then: Then, requests: &AtomicUsize) {
    let mut reader = BufReader::new(stream);
    loop {
        let (head, _) = read_message(&mut reader);
        let Some(echo) = head.lines().find(|line| line.starts_with("x-attempt-id: ")) else {
            return;
        };
        let is_first = requests.fetch_add(1, Ordering::SeqCst) == 0;
        let rest = match is_first {
            true => beginning,
            false => "content-length: 5\r\n\r\nwhole",
        };
        let response = format!("HTTP/1.1 200 OK\r\n{echo}\r\n{rest}");
        let written = reader.get_mut().write_all(response.as_bytes());
        if written.is_err() {
            return;
        }
        match then {
            _ if !is_first => {}
            Then::Closes => return,
            Then::IsSilent(rest) => return end_silence(reader.into_inner(), rest),
        }
    }
}

/// Sends the rest of a response late, unless the connection is closed before.
fn end_silence(mut stream: TcpStream, rest: &str) {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    if stream.read(&mut [0]).is_err() {
        // Fails if the connection was reset, which ends the silence too.
        let _ = stream.write_all(rest.as_bytes());
    }
}

/// Guards against a 200 with a broken body for an idempotent call whose response was lost before its
/// first byte.
#[rstest]
#[case::with_length(WITH_LENGTH)]
#[case::chunked(CHUNKED)]
fn a_response_lost_before_its_first_byte_is_replaced(#[case] beginning: &'static str) {
    let pumps = Pumps::start(beginning, Then::Closes);
    let response = pumps
        .fleet(Setup::SMALL)
        .send("GET", PATH, &Value::Null, KEY);
    assert_eq!((response.status, response.text().as_str()), (200, "whole"));
    assert!(response.complete);
    assert_eq!(pumps.requests(), 2);
}

/// Guards against a 200 with a broken body, or a second run, for a call that must not be repeated.
#[rstest]
#[case::with_length(WITH_LENGTH)]
#[case::chunked(CHUNKED)]
fn a_call_without_a_first_byte_fails_with_a_status(#[case] beginning: &'static str) {
    let pumps = Pumps::start(beginning, Then::Closes);
    let response = pumps
        .fleet(Setup::SMALL)
        .send("POST", PATH, &Value::Null, KEY);
    assert_eq!(error_code(&response, 502, "may-have-run"), "backend_failed");
    assert!(response.complete);
    assert_eq!(pumps.requests(), 1);
}

/// Guards against a call that is repeated, or looks complete, after a part of its response was sent.
#[rstest]
#[case::with_length("content-length: 2\r\n\r\no")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n1\r\no\r\n")]
fn a_response_lost_behind_its_first_byte_is_cut(#[case] beginning: &'static str) {
    let pumps = Pumps::start(beginning, Then::Closes);
    let response = pumps
        .fleet(Setup::SMALL)
        .send("GET", PATH, &Value::Null, KEY);
    assert_eq!(response.status, 200);
    assert!(!response.complete);
    assert_eq!(pumps.requests(), 1);
}

/// Guards against empty responses that are taken for lost ones.
#[rstest]
#[case::with_length("content-length: 0\r\n\r\n")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
fn an_empty_response_is_complete(#[case] beginning: &'static str) {
    let pumps = Pumps::start(beginning, Then::Closes);
    let response = pumps
        .fleet(Setup::SMALL)
        .send("GET", PATH, &Value::Null, KEY);
    assert_eq!((response.status, response.text().as_str()), (200, ""));
    assert!(response.complete);
    assert_eq!(pumps.requests(), 1);
}

/// Guards against a caller that waits without end for a server that sends nothing behind its head.
#[rstest]
#[case::repeated("GET", (200, 2))]
#[case::not_repeated("POST", (502, 1))]
fn a_server_without_a_first_byte_is_given_up(#[case] method: &str, #[case] expected: (u16, usize)) {
    let pumps = Pumps::start(WITH_LENGTH, Then::IsSilent("ok"));
    let fleet = pumps.fleet(SHORT_SILENCE);
    let response = fleet.send(method, PATH, &Value::Null, KEY);
    assert_eq!((response.status, pumps.requests()), expected);
    assert!(response.complete);
}

/// Guards against a caller, and a place at a server, that are held without end by a server that falls
/// silent within its response.
#[rstest]
#[case::with_length("content-length: 2\r\n\r\no", "k")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n1\r\no\r\n", "0\r\n\r\n")]
fn silence_within_a_response_ends_it(#[case] beginning: &'static str, #[case] rest: &'static str) {
    let pumps = Pumps::start(beginning, Then::IsSilent(rest));
    let fleet = pumps.fleet(SHORT_SILENCE);
    let query = "organisation=reef&service=pumps";
    let free = |explained: &Value| -> Vec<Value> {
        let considered = explained["considered"].as_array().unwrap();
        considered.iter().map(|c| c["free"].clone()).collect()
    };
    let before = free(&fleet.explain(0, query));
    let response = fleet.send("GET", PATH, &Value::Null, KEY);
    assert_eq!((response.status, response.complete), (200, false));
    fleet.await_explained(0, query, |explained| free(explained) == before);
}
