//! Stand-in of the platform's store: keyed topics, conditional appends, reads that wait, and listings.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::io::{
    BufReader,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::atomic::{
    AtomicUsize,
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

use crate::net::{
    Message,
    read_body,
    read_head,
    write_response, //
};

/// Largest record and largest call, as the settings of the instances state them.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// Bytes in all, beyond which appends get 507.
const TOTAL_BYTES: usize = 400_000_000;

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Partition {
    /// Key and value of each record.
    records: Vec<(Arc<str>, Arc<[u8]>)>,
    /// Offset of the newest record of each key that has a value.
    newest: BTreeMap<Arc<str>, usize>,
}

impl Partition {
    fn add(&mut self, key: &str, value: &[u8]) {
        let key: Arc<str> = key.into();
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key.clone(), self.records.len()),
        };
        self.records.push((key, value.into()));
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u32), Partition>,
    bytes: usize,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Number of times that the open connections went silent.
    silences: Arc<AtomicUsize>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            shared: Arc::default(),
            silences: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (state, grown) = &*self.shared;
        let mut state = state.lock().expect("the state");
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.add(key, value.as_bytes());
        grown.notify_all();
    }

    /// Bytes of all records.
    pub fn bytes(&self) -> usize {
        self.shared.0.lock().expect("the state").bytes
    }

    /// Lets all open connections go silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::AcqRel);
    }

    fn serve(&self, stream: TcpStream) {
        let accepted = self.silences.load(Ordering::Acquire);
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            if self.silences.load(Ordering::Acquire) != accepted {
                thread::sleep(Duration::from_secs(600));
            }
            let (status, body) = self.handle(&request);
            if self.silences.load(Ordering::Acquire) != accepted {
                thread::sleep(Duration::from_secs(600));
            }
            if write_response(&mut writer, status, &[], &body).is_err() || writer.flush().is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let key = (topic, number("part").unwrap_or(0) as u32);
        match request.path() {
            "/log-append" => self.append(key, number("at"), &request.body),
            "/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let most = number("maximumKilobytes").unwrap_or(1_024) as usize * 1_000;
                self.read(&key, number("from").unwrap_or(0) as usize, most, wait)
            }
            "/log-newest" => self.newest(&key, request.query("after")),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, key: (String, u32), at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        thread::sleep(APPEND_TIME);
        let mut records = Vec::new();
        let mut rest = body;
        while !rest.is_empty() {
            let len = rest
                .get(..4)
                .map(|b| u32::from_be_bytes(b.try_into().expect("4 bytes")));
            let len = len.unwrap_or(u32::MAX) as usize;
            let Some(record) = rest.get(4..4 + len).filter(|r| r.len() <= RECORD_BYTES) else {
                return (400, Vec::new());
            };
            let key_len = usize::from(record.first().copied().unwrap_or(0));
            let Some(key) = record.get(1..1 + key_len) else {
                return (400, Vec::new());
            };
            records.push((
                String::from_utf8_lossy(key).into_owned(),
                &record[1 + key_len..],
            ));
            rest = &rest[4 + len..];
        }
        if body.len() > CALL_BYTES + 4 * records.len() {
            return (413, Vec::new());
        }
        let (state, grown) = &*self.shared;
        let mut state = state.lock().expect("the state");
        if state.bytes + body.len() > TOTAL_BYTES {
            return (507, Vec::new());
        }
        let partition = state.partitions.entry(key).or_default();
        let offset = partition.records.len();
        if at.is_some_and(|at| at != offset as u64) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        for (key, value) in &records {
            partition.add(key, value);
        }
        let end = partition.records.len();
        state.bytes += body.len();
        grown.notify_all();
        let answer = format!("{{\"offset\":{offset},\"end\":{end}}}");
        (200, answer.into_bytes())
    }

    fn read(
        &self,
        key: &(String, u32),
        from: usize,
        most: usize,
        wait: Duration,
    ) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let (state, grown) = &*self.shared;
        let mut state = state.lock().expect("the state");
        loop {
            let partition = state.partitions.get(key);
            let end = partition.map_or(0, |p| p.records.len());
            let now = Instant::now();
            if end > from || now >= until {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in partition.iter().flat_map(|p| p.records.iter().skip(from)) {
                    let len = 1 + key.len() + value.len();
                    if body.len() > 16 && body.len() + len > most {
                        break;
                    }
                    body.extend_from_slice(&(len as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return (200, body);
            }
            state = grown.wait_timeout(state, until - now).expect("the state").0;
        }
    }

    fn newest(&self, key: &(String, u32), after: Option<String>) -> (u16, Vec<u8>) {
        let state = self.shared.0.lock().expect("the state");
        let empty = Partition::default();
        let partition = state.partitions.get(key).unwrap_or(&empty);
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, offset) in &partition.newest {
            if after.as_ref().is_some_and(|after| **key <= **after) {
                continue;
            }
            let value = &partition.records[*offset].1;
            if !items.is_empty() && (items.len() >= 500 || bytes + value.len() > 1_000_000) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let end = partition.records.len();
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"end\":{end}}}");
        (200, body.into_bytes())
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            match digit <= chunk.len() {
                true => out.push(char::from(DIGITS[index as usize])),
                false => out.push('='),
            }
        }
    }
    out
}
