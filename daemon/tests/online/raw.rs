//! HTTP over raw TCP connections, for tests that control the written bytes.

use std::io::{
    BufRead,
    BufReader,
    Read,
    Write, //
};
use std::net::{
    TcpListener,
    TcpStream, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread;

/// A keep-alive connection.
pub(crate) struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub(crate) fn open(address: &str) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Writes a request without waiting for the response.
    pub(crate) fn write(&mut self, method: &str, path: &str, key: &str, body: &str) {
        self.write_part(method, path, key, body.len(), body);
    }

    /// Writes a request with the first part of its body.
    pub(crate) fn write_part(
        &mut self,
        method: &str,
        path: &str,
        key: &str,
        length: usize,
        part: &str,
    ) {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {key}\r\n\
             content-length: {length}\r\n\r\n{part}"
        );
        self.write_rest(&text);
    }

    /// Writes the rest of a body.
    pub(crate) fn write_rest(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads a response with a content length and returns its status and body.
    pub(crate) fn read(&mut self) -> (u16, String) {
        let (head, body) = read_message(&mut self.reader);
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        (status, body)
    }
}

/// Reads the head and the body of a message with a content length.
///
/// The head is empty at the end of the connection.
pub(crate) fn read_message(reader: &mut BufReader<TcpStream>) -> (String, String) {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap() == 0 {
            return (head, String::new());
        }
    }
    let lines = head.lines().map(str::to_ascii_lowercase);
    let length = lines
        .filter_map(|line| line.strip_prefix("content-length: ").map(str::to_owned))
        .map(|length| length.parse().unwrap())
        .next();
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).unwrap();
    (head, String::from_utf8(body).unwrap())
}

/// A backend server that records the requests that it receives and echoes the attempt id.
pub(crate) struct Capture {
    pub(crate) address: String,
    captured: Arc<Mutex<String>>,
}

impl Capture {
    /// Starts the server; its threads end with the test process.
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let captured = Arc::new(Mutex::new(String::new()));
        let shared = captured.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Self { address, captured }
    }

    /// Returns all requests that were received so far.
    pub(crate) fn captured(&self) -> String {
        self.captured.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, captured: &Mutex<String>) {
    let mut reader = BufReader::new(stream);
    loop {
        let (head, body) = read_message(&mut reader);
        if head.is_empty() {
            return;
        }
        let echo = head
            .lines()
            .find(|line| line.starts_with("x-attempt-id: "))
            .unwrap()
            .to_owned();
        captured.lock().unwrap().push_str(&format!("{head}{body}"));
        let response = format!(
            "HTTP/1.1 200 OK\r\n{echo}\r\nconnection: x-private\r\nx-private: 1\r\n\
             x-public: 2\r\ncontent-length: 2\r\n\r\nok"
        );
        if reader.get_mut().write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
