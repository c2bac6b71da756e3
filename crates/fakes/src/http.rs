//! HTTP messages of the fakes.
//!
//! Requests are parsed by `async-h1`. Responses are formatted by hand, because the fakes must be
//! able to send malformed ones.

use std::{
    fmt::{self, Write},
    io,
};

use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use serde_json::Value;

/// A header of a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value, undecoded.
    pub value: String,
}

impl Header {
    pub(crate) fn new(name: &str, value: impl fmt::Display) -> Self {
        Self { name: name.to_owned(), value: format!("{value}") }
    }
}

/// A request received by a fake.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ReceivedRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query; empty if there is none.
    pub query: String,
    /// All headers; a name may occur several times.
    pub headers: Vec<Header>,
    /// The body, without transfer coding.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of the first header with this name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.name == name).map(|it| it.value.as_str())
    }

    /// Returns a query parameter, undecoded.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a string field of the JSON body or, if there is none, a query parameter; empty if
    /// neither exists. [`crate::Call::mark`] sets it.
    pub fn mark(&self, name: &str) -> String {
        let body = self.json();
        let mark = body[name].as_str().or(self.param(name));
        mark.unwrap_or_default().to_owned()
    }

    /// Returns whether `text` occurs in the path, query, headers or body.
    pub fn contains(&self, text: &str) -> bool {
        let in_head = self.path.contains(text) || self.query.contains(text);
        let in_headers =
            self.headers.iter().any(|it| it.name.contains(text) || it.value.contains(text));
        in_head || in_headers || String::from_utf8_lossy(&self.body).contains(text)
    }
}

/// Reads a request; `None` if the connection was closed or the bytes are not a valid request.
pub(crate) async fn read_request(stream: &TcpStream) -> Option<ReceivedRequest> {
    let (mut req, _reader) = async_h1::server::decode(stream.clone()).await.ok()??;
    let body = req.body_bytes().await.ok()?;
    let mut headers = Vec::new();
    for (name, values) in &req {
        headers.extend(values.iter().map(|it| Header::new(name.as_str(), it.as_str())));
    }
    Some(ReceivedRequest {
        method: req.method().to_string(),
        path: req.url().path().to_owned(),
        query: req.url().query().unwrap_or_default().to_owned(),
        headers,
        body,
    })
}

/// Formats the status line and headers of a response.
pub(crate) fn head(status: u16, headers: &[Header]) -> String {
    let mut buf = format!("HTTP/1.1 {status} Status\r\n");
    for header in headers {
        let _ = write!(buf, "{}: {}\r\n", header.name, header.value);
    }
    buf.push_str("\r\n");
    buf
}

/// Writes a complete response with its content length.
pub(crate) async fn respond(
    stream: &mut TcpStream,
    status: u16,
    mut headers: Vec<Header>,
    body: &[u8],
) -> io::Result<()> {
    headers.push(Header::new("content-length", body.len()));
    let mut buf = head(status, &headers).into_bytes();
    buf.extend_from_slice(body);
    stream.write_all(&buf).await
}

/// Writes one chunk of a response in chunked transfer coding.
pub(crate) async fn write_chunk(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let mut buf = format!("{:x}\r\n", body.len()).into_bytes();
    buf.extend_from_slice(body);
    buf.extend_from_slice(b"\r\n");
    stream.write_all(&buf).await
}

/// Waits until the peer closes the connection.
pub(crate) async fn wait_closed(stream: &TcpStream) {
    let mut buf = [0; 1];
    match stream.peek(&mut buf).await {
        // A pipelined request is waiting, so the peer has not closed the connection.
        Ok(n) if n > 0 => std::future::pending().await,
        _ => {}
    }
}
