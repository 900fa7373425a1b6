//! Tests of a graceful stop while callers use cached addresses.

use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_standins::client::{
    self,
    Exchange,
    Received, //
};
use limpetweir_standins::fleet::is_done;
use serde_json::Value;

use crate::fleet::{
    Fleet,
    KEY,
    Setup,
    bearer,
    completion, //
};

/// Time before and after the stop during which callers send requests.
const MARGIN: Duration = Duration::from_millis(1_500);

/// Number of callers, enough that some fetch the address just before the peers receive the notice of
/// the stop.
const CALLERS: u32 = 20;

/// Delay between the first discovery requests of two callers; those of all callers are spread over
/// one discovery TTL.
const STAGGER: Duration = Duration::from_millis(50);

fn send(address: &str, method: &str, path: &str, body: &[u8]) -> Result<Received, String> {
    let key = bearer(KEY);
    let exchange = Exchange {
        address,
        method,
        path,
        headers: &[("authorization", &key)],
        body: body.to_vec(),
    };
    client::send(exchange).map_err(|err| format!("{method} {path} at {address}: {err}"))
}

/// Sends streamed requests to `stopping` while an unexpired discovery response of `other` lists it,
/// otherwise to `other`.
///
/// Returns the number of streams, or the error of the first one that failed.
fn call(stopping: &str, other: &str, ended: &AtomicBool) -> Result<usize, String> {
    let body = completion("tide table", 40, true).to_string();
    let mut streams = 0;
    while !ended.load(Ordering::Relaxed) {
        let known = send(other, "GET", "/v1/addresses", b"")?;
        let received = Instant::now();
        let known: Value = known.json().map_err(|err| err.to_string())?;
        let ttl = Duration::from_millis(known["ttl_ms"].as_u64().unwrap_or(0));
        let entries = known["addresses"].as_array().cloned().unwrap_or_default();
        let named = entries.iter().any(|entry| entry["address"] == stopping);
        let address = if named { stopping } else { other };
        while received.elapsed() < ttl && !ended.load(Ordering::Relaxed) {
            let response = send(address, "POST", "/v1/completions", body.as_bytes())?;
            if response.status != 200 || !is_done(&response).unwrap_or(false) {
                let text = response.text();
                return Err(format!("{} from {address}: {text}", response.status));
            }
            streams += 1;
        }
    }
    Ok(streams)
}

/// Guards against a graceful stop that interrupts streams, or that rejects callers whose cached
/// address has not expired.
#[test]
fn a_planned_stop_cuts_no_request() {
    let mut fleet = Fleet::start(Setup {
        instances: 3,
        engines: 2,
        ..Setup::SMALL
    });
    let (stopping, other) = (fleet.public(0), fleet.public(1));
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let spawn = |index| {
            let (stopping, other, ended) = (&stopping, &other, &ended);
            scope.spawn(move || {
                thread::sleep(STAGGER * index);
                call(stopping, other, ended)
            })
        };
        let callers: Vec<_> = (0..CALLERS).map(spawn).collect();
        thread::sleep(MARGIN);
        let complete = fleet.stop(0);
        thread::sleep(MARGIN);
        ended.store(true, Ordering::Relaxed);
        assert!(complete, "the stop cut requests");
        for caller in callers {
            let streams = caller.join().unwrap();
            assert!(streams.as_ref().is_ok_and(|n| *n > 0), "{streams:?}");
        }
    });
}
