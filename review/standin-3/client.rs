//! Clients.

use std::{
    io::{self, BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{Message, read_response};

/// The longest time for which a client waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A client's connection.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) reader: BufReader<TcpStream>,
}

impl Connection {
    pub(crate) fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a response and returns whether it is complete.
    pub(crate) fn receive(&mut self) -> io::Result<(Message, bool)> {
        read_response(&mut self.reader)
    }
}

/// Sends a request on a new connection and reads the response.
pub(crate) fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<(Message, bool)> {
    let mut connection = Connection::open(address)?;
    connection.send(request)?;
    connection.receive()
}

/// Returns the head of a request; `more` are further fields.
pub(crate) fn head(method: &str, path: &str, id: &str, key: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: host.example\r\nX-Clementinehall-Request-Id: {id}\r\n\
         Authorization: Bearer {key}\r\n{more}\r\n"
    )
}
