//! Callers of online requests on kept connections.

use std::io::{
    BufReader,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread::sleep;
use std::time::Duration;

use crate::http::read_message;
use crate::jobs::{
    HOST,
    KEY, //
};
use crate::record::Record;

/// Sends one request after the other on a connection that it keeps.
pub struct Caller {
    pub name: String,
    /// Time before its first request; callers do not all send at the same moment.
    pub delay: Duration,
    pub at: SocketAddr,
    pub path: String,
    pub record: Arc<Record>,
    /// Requests on kept connections that were closed without any answer.
    pub closed: Arc<Mutex<Vec<(SocketAddr, String)>>>,
    pub stopped: Arc<AtomicBool>,
}

impl Caller {
    pub fn run(self) {
        sleep(self.delay);
        let Ok(stream) = TcpStream::connect(self.at) else {
            self.record
                .line(&format!("{} cannot connect to {}", self.name, self.at));
            return;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        for n in 0.. {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{}-{n}", self.name);
            let req = format!(
                "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\nX-Request-Identifier: {id}\r\nX-Deadline-Milliseconds: 5000\r\nContent-Length: 2\r\n\r\nhi",
                self.path
            );
            self.record
                .line(&format!("caller sends {id} to {}", self.at));
            if out.write_all(req.as_bytes()).is_err() {
                return;
            }
            match read_message(&mut reader) {
                Ok(Some(response)) => {
                    self.record.line(&format!(
                        "{} answers {id} with {}",
                        self.at,
                        response.status()
                    ));
                    if response.header("connection").is_some_and(|v| v == "close") {
                        return;
                    }
                }
                Ok(None) => return self.lost(id, "closed"),
                Err(err) => return self.lost(id, &err.to_string()),
            }
        }
    }

    fn lost(&self, id: String, cause: &str) {
        self.record.line(&format!(
            "{} closes the connection of {id}: {cause}",
            self.at
        ));
        self.closed.lock().unwrap().push((self.at, id));
    }
}
