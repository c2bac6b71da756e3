//! A stand-in of a client.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::http::{Response, read_response};

/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than any request lasts.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Numbers the requests of all clients.
static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id that begins with `kind`.
pub fn new_id(kind: &str) -> String {
    format!("{kind}-{:06}", REQUESTS.fetch_add(1, Ordering::SeqCst))
}

/// A connection to a machine.
pub struct Connection {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Sends the bytes of a request and reads the response.
    pub fn exchange(&mut self, bytes: &[u8], method: &str) -> io::Result<Response> {
        self.stream.write_all(bytes)?;
        read_response(&mut self.reader, method)
    }
}

/// A request in the making.
pub struct Draft<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    pub more: String,
    pub body: &'a [u8],
}

impl Draft<'_> {
    /// Encodes the request, with a length if it has a body.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: a.example\r\nX-Clementinehall-Request-Id: {}\r\n\
             X-Clementinehall-Deadline-Ms: {}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        if let Some(key) = self.key {
            text.push_str(&format!("Authorization: Bearer {key}\r\n"));
        }
        text.push_str(&self.more);
        if !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}
