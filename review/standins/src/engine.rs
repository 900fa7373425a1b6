//! Backend servers that run requests and items as streams of events.

use std::collections::HashMap;
use std::io::{
    self,
    BufRead,
    BufReader,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::process::{
    Child,
    Command,
    Stdio, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use crate::http::{
    Message,
    read_message,
    respond, //
};
use crate::record::Record;
use crate::store::Store;

/// Time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// How a server answers, beside what the path of a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Manner {
    /// Answers the first run of each request with 500.
    pub fails_first: bool,
    /// Sends a second copy of such an answer, late: where the next answer on the connection is due.
    pub repeats_failure: bool,
    /// States no length: the end of the connection ends the answer.
    pub unframed: bool,
    /// Sends bytes that are no event in the first run of each item that asks for them, and breaks off.
    pub noise: Option<Noise>,
}

/// Blocks without an identifier, within a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Noise {
    /// Length of the data of a block.
    pub block_bytes: usize,
    /// Number of blocks; `None` for blocks until the connection is closed.
    pub blocks: Option<usize>,
    /// Event before which they come.
    pub before: u64,
}

pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    /// Number of runs of each request, at all servers that share it.
    runs: Runs,
    /// Runs that began here.
    own: Mutex<HashMap<String, u32>>,
    manner: Manner,
    record: Arc<Record>,
}

/// Number of runs of each request.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Returns the data of event `n` of a request.
pub fn data(id: &str, n: u64) -> String {
    format!("{id} says {n}")
}

/// Returns the number of events that a path asks for: its last segment is `e` and the number.
pub fn events_of(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or("");
    last.strip_prefix('e')
        .and_then(|n| n.parse().ok())
        .unwrap_or(6)
}

impl Engine {
    pub fn start(id: &str, manner: Manner, runs: &Runs, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            runs: runs.clone(),
            own: Mutex::default(),
            manner,
            record: record.clone(),
        });
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = shared.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Returns how often a request has begun to run here.
    pub fn runs(&self, id: &str) -> u32 {
        self.own.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        // An answer of which another copy is sent.
        let mut again: Option<Vec<u8>> = None;
        while let Ok(Some(req)) = read_message(&mut reader) {
            if let Some(copy) = again.take() {
                self.record.line(&format!(
                    "server {} sends another copy of its last answer",
                    self.id
                ));
                if out.write_all(&copy).is_err() {
                    return;
                }
            }
            match self.answer(&req, &mut out, &mut again) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Returns whether the connection goes on.
    fn answer(
        &self,
        req: &Message,
        out: &mut TcpStream,
        again: &mut Option<Vec<u8>>,
    ) -> io::Result<bool> {
        let id = req.header("x-request-identifier").unwrap_or("").to_owned();
        let echo = ("X-Request-Identifier", id.as_str());
        let instance = req.header("x-expected-instance").unwrap_or(&self.id);
        if instance != self.id || id.is_empty() {
            let status = if id.is_empty() { 400 } else { 421 };
            let headers = [echo, ("X-Not-Executed", "1")];
            respond(out, status, &headers, b"")?;
            return Ok(true);
        }
        let run = {
            let mut runs = self.runs.lock().unwrap();
            let run = runs.entry(id.clone()).or_default();
            *run += 1;
            *run
        };
        *self.own.lock().unwrap().entry(id.clone()).or_default() += 1;
        let last: Option<u64> = req.header("last-event-id").and_then(|n| n.parse().ok());
        let from = last.map_or(0, |last| last + 1);
        let path = req.path();
        self.record.line(&format!(
            "server {} runs {id} (run {run}, from event {from}) {path}",
            self.id
        ));
        // The bodies of all items consist of this byte.
        if path.starts_with("/jobs/") && req.body.iter().any(|byte| *byte != b'x') {
            self.record.line(&format!("the body of {id} was changed"));
        }
        if self.manner.fails_first && run == 1 {
            let signature = ("X-Response-Signature", "0");
            respond(out, 500, &[echo, signature], b"")?;
            self.record
                .line(&format!("server {} answers {id} with 500", self.id));
            if self.manner.repeats_failure {
                let head = format!(
                    "HTTP/1.1 500 X\r\nContent-Length: 0\r\nX-Request-Identifier: {id}\r\nX-Response-Signature: 0\r\n\r\n"
                );
                *again = Some(head.into_bytes());
            }
            return Ok(true);
        }
        let framing = match self.manner.unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{framing}\r\nContent-Type: text/event-stream\r\nX-Request-Identifier: {id}\r\nX-Response-Signature: 1\r\n\r\n"
        );
        thread::sleep(prefill_of(path));
        out.write_all(head.as_bytes())?;
        for n in from..events_of(path) {
            thread::sleep(EVENT_PAUSE);
            if let Some(noise) = self.manner.noise
                && path.starts_with(NOISY_PATH)
                && run == 1
                && n == noise.before
            {
                self.record
                    .line(&format!("server {} sends noise in {id}", self.id));
                let sent = send_noise(out, noise);
                self.record
                    .line(&format!("server {} breaks {id} off: {sent:?}", self.id));
                return Ok(false);
            }
            let event = format!("id: {n}\ndata: {}\n\n", data(&id, n));
            let bytes = if self.manner.unframed { event } else { chunk(&event) };
            if let Err(err) = out.write_all(bytes.as_bytes()) {
                self.record
                    .line(&format!("server {} ends {id} at event {n}: {err}", self.id));
                return Err(err);
            }
        }
        self.record
            .line(&format!("server {} has sent all of {id}", self.id));
        if !self.manner.unframed {
            out.write_all(b"0\r\n\r\n")?;
        }
        Ok(!self.manner.unframed)
    }
}

/// Items below this path get noise from servers that send any.
const NOISY_PATH: &str = "/jobs/noisy/";

/// Returns the time before the first event that a path asks for: a segment `p` and milliseconds.
fn prefill_of(path: &str) -> Duration {
    let mut segments = path
        .split('/')
        .filter_map(|s| s.strip_prefix('p')?.parse().ok());
    Duration::from_millis(segments.next().unwrap_or(0))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends blocks that are no events, and returns their number.
fn send_noise(out: &mut TcpStream, noise: Noise) -> io::Result<usize> {
    let block = chunk(&format!("data: {}\n\n", "#".repeat(noise.block_bytes)));
    let mut sent = 0;
    while noise.blocks.is_none_or(|blocks| sent < blocks) {
        out.write_all(block.as_bytes())?;
        sent += 1;
    }
    // What was sent arrives before the connection ends.
    thread::sleep(EVENT_PAUSE);
    Ok(sent)
}

/// Time between two entries of a server in the store (`heartbeatIntervalMs`).
const CHECK_IN: Duration = Duration::from_millis(1_200);

/// Registers a server in the store, and does so again until `alive` is false.
pub fn register(
    store: &Arc<Store>,
    id: &str,
    addr: SocketAddr,
    alive: impl Fn() -> bool + Send + 'static,
) {
    let (store, id) = (store.clone(), id.to_owned());
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let entry = move |sequence: u64| {
        format!(
            r#"{{"service":"s1","address":"{addr}","zone":"z","version":"1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":{born}}}"#
        )
    };
    store.put("keyed.servers", &id, &entry(1));
    thread::spawn(move || {
        let mut sequence = 1;
        loop {
            thread::sleep(CHECK_IN);
            if !alive() {
                // The platform removes the entry after three intervals without a sign.
                thread::sleep(CHECK_IN * 2);
                store.put("keyed.servers", &id, "");
                return;
            }
            sequence += 1;
            store.put("keyed.servers", &id, &entry(sequence));
        }
    });
}

/// A server in a process of its own, which states no length in its answers.
pub struct EngineProcess {
    pub id: String,
    pub addr: SocketAddr,
    child: Child,
}

impl EngineProcess {
    /// Starts the server; what it does is written to `record`.
    pub fn start(id: &str, record: &Arc<Record>) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        let mut child = Command::new(program)
            .args(["engine", id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|err| err.to_string())?;
        let out = child.stdout.take().ok_or("a server without output")?;
        let mut lines = BufReader::new(out).lines().map_while(Result::ok);
        let addr = lines.next().and_then(|line| line.parse().ok());
        let addr = addr.ok_or("a server without an address")?;
        let record = record.clone();
        thread::spawn(move || lines.for_each(|line| record.line(&line)));
        Ok(Self {
            id: id.to_owned(),
            addr,
            child,
        })
    }

    /// Lets the process crash.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Runs a server that states no length in its answers until the process is killed.
pub fn run_process(id: &str) {
    let manner = Manner {
        unframed: true,
        ..Manner::default()
    };
    let record = Arc::new(Record::create("/dev/null"));
    let engine = Engine::start(id, manner, &Runs::default(), &record);
    println!("{}", engine.addr);
    loop {
        thread::park();
    }
}
