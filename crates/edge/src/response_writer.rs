//! Writing the parts of a response in the order that HTTP allows.
//!
//! Each type is a state in the life cycle of a response and offers only what may follow in it. A method
//! consumes its state and returns the next one once everything is written, so a write that fails or is
//! cancelled leaves no state from which another part could be written.

use std::io;

use async_net::TcpStream;
use futures_lite::AsyncWriteExt as _;
use http1::{Fields, Framing, ResponseHead, push_field};

use crate::problem::Problem;

/// Header fields that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header field applies to one connection only, by its name or because the
/// `Connection` field lists it.
pub(crate) fn is_hop_by_hop(fields: &Fields, name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop))
        || fields.has_token("connection", name)
}

/// A response of which nothing was written.
#[derive(Debug)]
pub(crate) struct Unstarted {
    stream: TcpStream,
}

/// A body that comes from one backend server, of which a part was written.
#[derive(Debug)]
pub(crate) struct Body {
    stream: TcpStream,
    is_chunked: bool,
}

/// A stream of which whole events were written.
#[derive(Debug)]
pub(crate) struct EventStream {
    stream: TcpStream,
}

/// A response that was written whole.
#[derive(Debug)]
pub(crate) struct Complete(());

impl Unstarted {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Tells the caller to send its body.
    pub(crate) async fn send_continue(mut self) -> io::Result<Self> {
        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        Ok(self)
    }

    /// Writes a response whose whole body is known.
    pub(crate) async fn send_whole(
        mut self,
        head: &ResponseHead,
        body: &[u8],
        closes_connection: bool,
    ) -> io::Result<Complete> {
        let framing = Framing::Length(body.len() as u64);
        let mut buf = encode_head(head, framing, closes_connection);
        buf.extend_from_slice(body);
        self.stream.write_all(&buf).await?;
        Ok(Complete(()))
    }

    /// Writes a response without a body: one to a `HEAD` request, or one whose status allows none.
    pub(crate) async fn send_bodiless(
        mut self,
        head: &ResponseHead,
        closes_connection: bool,
    ) -> io::Result<Complete> {
        let buf = encode_head(head, Framing::Absent, closes_connection);
        self.stream.write_all(&buf).await?;
        Ok(Complete(()))
    }

    /// Writes an error response of this process. `id` is the name and the value of the field with
    /// the request's id, if that is known.
    pub(crate) async fn send_problem(
        mut self,
        problem: &Problem,
        id: Option<(&str, &str)>,
        closes_connection: bool,
        is_head: bool,
    ) -> io::Result<Complete> {
        let buf = problem.encode(id, !closes_connection, is_head);
        self.stream.write_all(&buf).await?;
        Ok(Complete(()))
    }

    /// Writes the head and the first part of a body. All other parts come from the backend server of
    /// this head, so the length that it states holds.
    pub(crate) async fn start_body(
        mut self,
        head: &ResponseHead,
        part: &[u8],
        closes_connection: bool,
    ) -> io::Result<Body> {
        let is_chunked = !matches!(head.framing(), Framing::Length(_));
        let framing = if is_chunked { Framing::Chunked } else { head.framing() };
        let mut buf = encode_head(head, framing, closes_connection);
        encode_part(&mut buf, part, is_chunked);
        self.stream.write_all(&buf).await?;
        Ok(Body { stream: self.stream, is_chunked })
    }

    /// Writes the head and the first events of a stream. Another server may continue it, with events
    /// of other sizes, so the length that this head states does not hold.
    pub(crate) async fn start_events(
        mut self,
        head: &ResponseHead,
        events: &[u8],
        closes_connection: bool,
    ) -> io::Result<EventStream> {
        let mut buf = encode_head(head, Framing::Chunked, closes_connection);
        encode_part(&mut buf, events, true);
        self.stream.write_all(&buf).await?;
        Ok(EventStream { stream: self.stream })
    }
}

impl Body {
    /// Writes the next part.
    pub(crate) async fn send_part(mut self, part: &[u8]) -> io::Result<Self> {
        let mut buf = Vec::with_capacity(part.len() + 16);
        encode_part(&mut buf, part, self.is_chunked);
        self.stream.write_all(&buf).await?;
        Ok(self)
    }

    /// Ends the body after its last part.
    pub(crate) async fn finish(mut self) -> io::Result<Complete> {
        if self.is_chunked {
            self.stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(Complete(()))
    }
}

impl EventStream {
    /// Writes further events.
    pub(crate) async fn send_events(mut self, events: &[u8]) -> io::Result<Self> {
        let mut buf = Vec::with_capacity(events.len() + 16);
        encode_part(&mut buf, events, true);
        self.stream.write_all(&buf).await?;
        Ok(self)
    }

    /// Ends the stream after its last event.
    pub(crate) async fn finish(mut self) -> io::Result<Complete> {
        self.stream.write_all(b"0\r\n\r\n").await?;
        Ok(Complete(()))
    }
}

/// Encodes a head with the given framing in place of that of the backend server.
fn encode_head(head: &ResponseHead, framing: Framing, closes_connection: bool) -> Vec<u8> {
    let mut buf = format!("HTTP/1.1 {} \r\n", head.status()).into_bytes();
    for (name, value) in head.fields().iter() {
        if is_hop_by_hop(head.fields(), name) {
            continue;
        }
        push_field(&mut buf, name, value);
    }
    match framing {
        Framing::Length(length) => {
            push_field(&mut buf, "Content-Length", length.to_string().as_bytes());
        }
        Framing::Chunked => push_field(&mut buf, "Transfer-Encoding", b"chunked"),
        Framing::Absent | Framing::UntilClose => {}
    }
    if closes_connection {
        push_field(&mut buf, "Connection", b"close");
    }
    buf.extend_from_slice(b"\r\n");
    buf
}

/// Appends a part of a body.
fn encode_part(buf: &mut Vec<u8>, part: &[u8], is_chunked: bool) {
    // An empty chunk would end the body.
    if !is_chunked || part.is_empty() {
        buf.extend_from_slice(part);
        return;
    }
    buf.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
    buf.extend_from_slice(part);
    buf.extend_from_slice(b"\r\n");
}
