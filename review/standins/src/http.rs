//! The small part of HTTP/1.1 that the stand-ins need.

use std::io::{
    self,
    BufRead,
    BufReader,
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::time::Duration;

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(n, _)| *n == name)?.1;
        Some(unescape(value))
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message; `None` if the connection ends before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    message.first.truncate(message.first.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let is_response = message.first.starts_with("HTTP/");
    let chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|n| n.parse().ok());
    if chunked {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let len = usize::from_str_radix(line.trim(), 16);
        let len = len.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..len]);
        if len == 0 {
            return Ok(());
        }
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    addr: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let connect = timeout.min(Duration::from_secs(1));
    let mut stream = TcpStream::connect_timeout(&addr, connect)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{first} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let response = read_message(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for n in 0..3 {
            word = word << 8 | u32::from(*group.get(n).unwrap_or(&0));
        }
        for n in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * n)) as usize & 63];
            out.push(if n <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
