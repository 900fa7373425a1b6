//! Stand-in of an engine: it answers each request for tokens with a stream of numbered events.

use std::io::{
    self,
    BufReader,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::thread;
use std::time::Duration;

use crate::net::{
    Message,
    read_body,
    read_head,
    write_response, //
};
use crate::record::Record;

/// Version of the weights of all engines.
const WEIGHTS_VERSION: &str = "1";

/// What an engine answers.
#[derive(Clone)]
pub struct Output {
    /// Number of events.
    pub events: u64,
    /// Bytes of data of an event.
    pub bytes: usize,
    /// Pause before each event.
    pub pause: Duration,
    /// Whether the response has chunks; otherwise it ends with its connection.
    pub is_framed: bool,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    output: Arc<Output>,
    /// Whether its process has exited.
    has_exited: Arc<AtomicBool>,
    record: Record,
}

impl Engine {
    pub fn start(id: &str, listener: TcpListener, output: Output, record: &Record) -> Self {
        let engine = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            output: Arc::new(output),
            has_exited: Arc::default(),
            record: record.clone(),
        };
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.has_exited.load(Ordering::Acquire) {
                    return;
                }
                let engine = shared.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Ends as a process that exits: its connections and its listener are closed.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::Release);
        // Ends the wait of the listener.
        let _ = TcpStream::connect(self.addr);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            match self.answer(&mut writer, &request) {
                Ok(()) if self.output.is_framed => {}
                _ => return,
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("x-request-identifier").unwrap_or("");
        if request.method() == "GET" && request.path() == "/health" {
            return write_response(writer, 200, &[("X-Instance-Identifier", &self.id)], b"");
        }
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Request-Identifier", id), ("X-Not-Executed", "1")];
            return write_response(writer, 421, &headers, b"");
        }
        let version = request.header("x-expected-version");
        if version.is_some_and(|version| version != WEIGHTS_VERSION) {
            self.record
                .count("requests for other weights at engines, answered 421");
            let headers = [("X-Request-Identifier", id), ("X-Not-Executed", "1")];
            return write_response(writer, 421, &headers, b"");
        }
        self.record.count("runs at engines");
        if request.method() != "POST" {
            let headers = [("X-Request-Identifier", id), ("X-Response-Signature", "s")];
            return write_response(writer, 404, &headers, b"no such resource");
        }
        let last = request.header("last-event-id").and_then(|n| n.parse().ok());
        let framing = match self.output.is_framed {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Identifier: {id}\r\n\
             X-Response-Signature: s\r\n{framing}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in last.unwrap_or(0) + 1..=self.output.events {
            thread::sleep(self.output.pause);
            if self.has_exited.load(Ordering::Acquire) {
                let text = format!("{} exits beside {id}, after event {}", self.id, number - 1);
                self.record.line(&text);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let data = format!("{number:x>width$}", width = self.output.bytes);
            let event = format!("id: {number}\ndata: {data}\n\n");
            match self.output.is_framed {
                true => write!(writer, "{:x}\r\n{event}\r\n", event.len())?,
                false => writer.write_all(event.as_bytes())?,
            }
        }
        match self.output.is_framed {
            true => writer.write_all(b"0\r\n\r\n"),
            false => Ok(()),
        }
    }
}
