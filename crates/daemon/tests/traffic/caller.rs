//! A caller that reads and writes raw bytes.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
};

use crate::bench::{KEY, WAIT_LIMIT};

/// A caller's connection.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    buf: Vec<u8>,
}

/// A response as it was received.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body ended as stated by its framing.
    pub(crate) is_complete: bool,
}

impl CallerResponse {
    /// Returns a header field.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.split_once(": ").filter(|field| field.0 == name))
            .map(|field| field.1)
    }

    /// Returns the type and the outcome of a refusal, and checks its header fields against them.
    pub(crate) fn error(&self) -> (String, String) {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        let text = |field: &str| body["error"][field].as_str().unwrap().to_owned();
        assert_eq!(self.field("x-outcome"), Some(&*text("outcome")));
        assert_eq!(self.field("x-request-id"), Some(&*text("request_id")));
        (text("type"), text("outcome"))
    }
}

/// A request with the key and a body.
pub(crate) fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request with the key and further header fields, without a body.
pub(crate) fn get(path: &str, fields: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n{fields}\r\n")
}

/// Sends a request on a connection of its own.
pub(crate) fn call(address: SocketAddr, request: &str) -> CallerResponse {
    let mut caller = Caller::connect(address);
    caller.send(request);
    caller.response()
}

impl Caller {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        Self { stream, buf: Vec::new() }
    }

    pub(crate) fn send(&mut self, text: impl AsRef<[u8]>) {
        self.stream.write_all(text.as_ref()).unwrap();
    }

    /// Reads until `text` has arrived.
    pub(crate) fn wait_for(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buf).contains(text) {
            assert!(self.fill(), "{text:?} is not in {:?}", String::from_utf8_lossy(&self.buf));
        }
    }

    /// Waits until the connection closes. Returns `false` if there is further data.
    pub(crate) fn is_closed(&mut self) -> bool {
        self.buf.is_empty() && !self.fill()
    }

    /// Reads a response.
    pub(crate) fn response(&mut self) -> CallerResponse {
        let head = self.response_head();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut response = CallerResponse { status, head, body: String::new(), is_complete: false };
        let body = match response.field("content-length") {
            Some(length) => self.take(length.parse().unwrap()),
            None => self.chunks(),
        };
        response.is_complete = body.is_ok();
        let (Ok(bytes) | Err(bytes)) = body;
        response.body = String::from_utf8_lossy(&bytes).into_owned();
        response
    }

    /// Reads the head of a response.
    pub(crate) fn response_head(&mut self) -> String {
        self.wait_for("\r\n\r\n");
        let end = self.buf.windows(4).position(|window| window == b"\r\n\r\n").unwrap();
        let rest = self.buf.split_off(end + 4);
        String::from_utf8(std::mem::replace(&mut self.buf, rest)).unwrap()
    }

    /// Reads this many bytes. The error contains those that arrived before the connection closed.
    fn take(&mut self, length: usize) -> Result<Vec<u8>, Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill() {
                return Err(std::mem::take(&mut self.buf));
            }
        }
        let rest = self.buf.split_off(length);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn chunks(&mut self) -> Result<Vec<u8>, Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let Some(end) = self.buf.windows(2).position(|window| window == b"\r\n") else {
                if self.fill() {
                    continue;
                }
                return Err(body);
            };
            let line = String::from_utf8(self.buf.drain(..end + 2).collect()).unwrap();
            let size = usize::from_str_radix(line.trim(), 16).unwrap();
            let Ok(mut piece) = self.take(size + 2) else { return Err(body) };
            piece.truncate(size);
            body.extend_from_slice(&piece);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads more bytes. Returns `false` if the connection is closed.
    fn fill(&mut self) -> bool {
        let mut buf = [0; 4_096];
        match self.stream.read(&mut buf) {
            Ok(n) => {
                self.buf.extend_from_slice(&buf[..n]);
                n > 0
            }
            Err(err) if err.kind() == std::io::ErrorKind::ConnectionReset => false,
            Err(err) => panic!("the daemon neither responds nor closes the connection: {err}"),
        }
    }
}
