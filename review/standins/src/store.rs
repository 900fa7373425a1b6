//! The platform's store: a log of keyed topics. Reads and appends take as long as the store is slow.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::io::BufReader;
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Condvar,
    Mutex, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::http::{
    Message,
    base64,
    read_message,
    respond, //
};

/// Time of an answer of the store that is not slow, and of an append (`appendMs`).
const ANSWER_MS: f64 = 4.0;
/// `partMbPerS` and `readMbPerS`, in bytes for each millisecond.
const APPEND_BYTES_PER_MS: f64 = 20_000.0;
const READ_BYTES_PER_MS: f64 = 80_000.0;
/// `recordBytes` and `callBytes`.
const MAX_RECORD_BYTES: usize = 262_144;
const MAX_CALL_BYTES: usize = 2_097_152;
/// Waiting appends of a partition above which further ones get 503.
const MAX_BACKLOG: Duration = Duration::from_secs(2);

type Key = (String, u32);

#[derive(Default)]
struct Logs {
    records: HashMap<Key, Vec<Vec<u8>>>,
    turns: HashMap<Key, Turns>,
    read_free_at: Option<Instant>,
}

/// The appends of a partition, which take their turn in the order of their arrival.
#[derive(Default)]
struct Turns {
    next: u64,
    serving: u64,
    /// Time of the appends that wait or are in their turn.
    queued: Duration,
}

pub struct Store {
    logs: Mutex<Logs>,
    /// Notified when records or turns have changed.
    changed: Condvar,
    /// How many times as long everything takes.
    slow: AtomicU64,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let store = Arc::new(Self {
            logs: Mutex::default(),
            changed: Condvar::new(),
            slow: AtomicU64::new(1),
            addr: listener.local_addr().expect("an address"),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn set_slow(&self, times: u64) {
        self.slow.store(times, Ordering::SeqCst);
    }

    fn ms(&self, ms: f64) -> Duration {
        Duration::from_secs_f64(ms * self.slow.load(Ordering::SeqCst) as f64 / 1_000.0)
    }

    /// Writes a record as the operator or a backend server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut raw = vec![key.len() as u8];
        raw.extend_from_slice(key.as_bytes());
        raw.extend_from_slice(value.as_bytes());
        let mut logs = self.logs.lock().unwrap();
        logs.records
            .entry((topic.to_owned(), 0))
            .or_default()
            .push(raw);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_message(&mut reader) {
            let (status, body) = self.answer(&req);
            if respond(&mut out, status, &[], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, Vec<u8>) {
        let number = |name: &str| req.query(name).and_then(|n| n.parse::<u64>().ok());
        let topic = req.query("topic").unwrap_or_default();
        let key = (topic, number("part").unwrap_or(0) as u32);
        match req.path() {
            "/log-append" => self.append(key, number("at"), &req.body),
            "/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let max_bytes = number("maximumKilobytes").unwrap_or(1_024) as usize * 1_000;
                self.read(&key, number("from").unwrap_or(0), max_bytes, wait)
            }
            "/log-newest" => self.newest(&key, req.query("after")),
            _ => (404, Vec::new()),
        }
    }

    /// Appends take their turn one at a time. The condition is checked as the turn begins; the records
    /// are there as it ends.
    fn append(&self, key: Key, at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        if !fits(body) {
            thread::sleep(self.ms(ANSWER_MS));
            return (400, b"a record or the call is too large".to_vec());
        }
        let estimate = self.ms(ANSWER_MS + body.len() as f64 / APPEND_BYTES_PER_MS);
        let mut logs = self.logs.lock().unwrap();
        let turns = logs.turns.entry(key.clone()).or_default();
        if turns.queued > MAX_BACKLOG {
            drop(logs);
            thread::sleep(self.ms(ANSWER_MS));
            return (503, Vec::new());
        }
        let turn = turns.next;
        turns.next += 1;
        turns.queued += estimate;
        while logs.turns[&key].serving != turn {
            logs = self.changed.wait(logs).unwrap();
        }
        let end = logs.records.entry(key.clone()).or_default().len() as u64;
        let fails = at.is_some_and(|at| at != end);
        drop(logs);
        thread::sleep(if fails { self.ms(ANSWER_MS) } else { estimate });
        let mut logs = self.logs.lock().unwrap();
        let turns = logs.turns.entry(key.clone()).or_default();
        turns.serving += 1;
        turns.queued -= estimate;
        let mut answer = (412, format!("{{\"end\":{end}}}"));
        if !fails {
            let log = logs.records.entry(key).or_default();
            let mut rest = body;
            while rest.len() >= 4 {
                let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                log.push(rest[4..4 + len].to_vec());
                rest = &rest[4 + len..];
            }
            answer = (200, format!("{{\"offset\":{end},\"end\":{}}}", log.len()));
        }
        self.changed.notify_all();
        (answer.0, answer.1.into_bytes())
    }

    fn read(&self, key: &Key, from: u64, max_bytes: usize, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut logs = self.logs.lock().unwrap();
        loop {
            let end = logs.records.get(key).map_or(0, Vec::len) as u64;
            let now = Instant::now();
            if from < end || now >= deadline {
                break;
            }
            logs = self.changed.wait_timeout(logs, deadline - now).unwrap().0;
        }
        let empty = Vec::new();
        let log = logs.records.get(key).unwrap_or(&empty);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for raw in log.iter().skip(from as usize) {
            if body.len() > 16 && body.len() + raw.len() > max_bytes {
                break;
            }
            body.extend_from_slice(&(raw.len() as u32).to_be_bytes());
            body.extend_from_slice(raw);
        }
        self.send_in_turn(logs, body.len());
        (200, body)
    }

    /// Waits for the answer time and for the share of the bandwidth of all reads.
    fn send_in_turn(&self, mut logs: std::sync::MutexGuard<'_, Logs>, bytes: usize) {
        let now = Instant::now();
        let start = logs.read_free_at.map_or(now, |at| at.max(now));
        let end = start + self.ms(bytes as f64 / READ_BYTES_PER_MS);
        logs.read_free_at = Some(end);
        drop(logs);
        thread::sleep(end.saturating_duration_since(Instant::now()) + self.ms(ANSWER_MS));
    }

    fn newest(&self, key: &Key, after: Option<String>) -> (u16, Vec<u8>) {
        let logs = self.logs.lock().unwrap();
        let empty = Vec::new();
        let log = logs.records.get(key).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, raw) in log.iter().enumerate() {
            let len = usize::from(raw[0]);
            let name = String::from_utf8_lossy(&raw[1..=len]).into_owned();
            match raw.len() > 1 + len {
                true => drop(newest.insert(name, (offset, &raw[1 + len..]))),
                false => drop(newest.remove(&name)),
            }
        }
        let rest: Vec<_> = newest
            .iter()
            .filter(|(name, _)| after.as_ref().is_none_or(|after| *name > after))
            .collect();
        let mut bytes = 0;
        let mut items = Vec::new();
        for (name, (offset, value)) in rest.iter().take(500) {
            bytes += value.len();
            if bytes > 1_000_000 && !items.is_empty() {
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{name}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let more = rest.len() > items.len();
        let end = log.len();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{more},\"end\":{end}}}",
            items.join(",")
        );
        self.send_in_turn(logs, body.len());
        (200, body.into_bytes())
    }
}

/// Returns whether the records of an append, and the append, are within the limits of the store.
fn fits(body: &[u8]) -> bool {
    let mut rest = body;
    while rest.len() >= 4 {
        let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if len > MAX_RECORD_BYTES || rest.len() < 4 + len {
            return false;
        }
        rest = &rest[4 + len..];
    }
    body.len() <= MAX_CALL_BYTES
}
