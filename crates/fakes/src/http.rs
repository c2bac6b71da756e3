//! HTTP messages as the fakes read and write them.
//!
//! Requests are read by `async-h1`. Answers are written byte by byte, because the fakes must be
//! able to write broken ones.

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
    /// The name, lower case.
    pub name: String,
    /// The value.
    pub value: String,
}

impl Header {
    pub(crate) fn new(name: &str, value: impl fmt::Display) -> Self {
        Self { name: name.to_owned(), value: format!("{value}") }
    }
}

/// A request that a fake received.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Received {
    /// The method, upper case.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query; empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

impl Received {
    /// Returns the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.name == name).map(|it| it.value.as_str())
    }

    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the body as JSON; null if it is something else.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a field of the body or, if there is none, a parameter of the query.
    pub fn mark(&self, name: &str) -> String {
        let body = self.json();
        let mark = body[name].as_str().or(self.param(name));
        mark.unwrap_or_default().to_owned()
    }

    /// Returns whether `text` occurs anywhere in the request.
    pub fn contains(&self, text: &str) -> bool {
        let in_head = self.path.contains(text) || self.query.contains(text);
        let in_headers =
            self.headers.iter().any(|it| it.name.contains(text) || it.value.contains(text));
        in_head || in_headers || String::from_utf8_lossy(&self.body).contains(text)
    }
}

/// Reads a request; none if the connection ended or carries something else.
pub(crate) async fn read(stream: &TcpStream) -> Option<Received> {
    let (mut req, _reader) = async_h1::server::decode(stream.clone()).await.ok()??;
    let body = req.body_bytes().await.ok()?;
    let mut headers = Vec::new();
    for (name, values) in &req {
        headers.extend(values.iter().map(|it| Header::new(name.as_str(), it.as_str())));
    }
    Some(Received {
        method: req.method().to_string(),
        path: req.url().path().to_owned(),
        query: req.url().query().unwrap_or_default().to_owned(),
        headers,
        body,
    })
}

/// Formats the head of an answer.
pub(crate) fn head(status: u16, headers: &[Header]) -> String {
    let mut buf = format!("HTTP/1.1 {status} Status\r\n");
    for header in headers {
        let _ = write!(buf, "{}: {}\r\n", header.name, header.value);
    }
    buf.push_str("\r\n");
    buf
}

/// Writes a whole answer.
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

/// Writes one chunk of an answer in chunked coding.
pub(crate) async fn write_chunk(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let mut buf = format!("{:x}\r\n", body.len()).into_bytes();
    buf.extend_from_slice(body);
    buf.extend_from_slice(b"\r\n");
    stream.write_all(&buf).await
}

/// Waits until the other side closes the connection.
pub(crate) async fn closed(stream: &TcpStream) {
    let mut buf = [0; 1];
    match stream.peek(&mut buf).await {
        // The next request waits already, so the other side is still there.
        Ok(n) if n > 0 => std::future::pending().await,
        _ => {}
    }
}
