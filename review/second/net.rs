//! HTTP/1.1 over blocking sockets, for the stand-ins and their clients.

use std::io::{
    self,
    BufRead,
    BufReader,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::os::fd::AsRawFd;
use std::time::{
    Duration,
    Instant, //
};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Level and name of the option for the size of the receive buffer.
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Gives a connection a small receive buffer, so that the other side notices soon that nothing is read.
pub fn set_small_buffer(stream: &TcpStream) {
    let bytes = 4_096;
    // SAFETY: the value is an integer of the stated length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Head and body of a request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| unescape(v))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(invalid("the head is cut off")),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some();
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("the body is cut off"));
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("no chunk size"))?;
            let at = message.body.len();
            message.body.resize(at + size, 0);
            reader.read_exact(&mut message.body[at..])?;
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").map(str::to_owned);
    match length {
        Some(length) => {
            let length = length.parse().map_err(|_| invalid("no length"))?;
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if to_end => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Connects and sends a request.
pub fn send(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    send_on(stream, method, target, headers, body, timeout)
}

/// Sends a request on a new connection.
pub fn send_on(
    mut stream: TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    Ok(stream)
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let started = Instant::now();
    let stream = send(addr, method, target, headers, body, timeout)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut response = head.ok_or_else(|| invalid("no response"))?;
    read_body(&mut reader, &mut response, true)?;
    match started.elapsed() > timeout + Duration::from_secs(1) {
        true => Err(invalid("the response was late")),
        false => Ok(response),
    }
}
