//! Writing the response to a caller.

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

/// The response to a caller's request, and how far it was written.
#[derive(Debug)]
pub(crate) struct Response {
    stream: TcpStream,
    state: State,
    /// Whether the connection closes after the response, which then says so.
    pub(crate) closes_connection: bool,
    /// Whether the request's method is `HEAD`, so that the response has no body.
    pub(crate) is_head: bool,
    /// The id of the last server-sent event that was written.
    pub(crate) last_event_id: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum State {
    /// Nothing has been written.
    NotStarted,
    /// More of a chunked body follows.
    Chunked,
    /// More of a body whose length was stated follows, or a write has not finished.
    Sized,
    /// The whole response was written.
    Complete,
}

impl Response {
    pub(crate) fn new(stream: TcpStream, closes_connection: bool) -> Self {
        Self {
            stream,
            state: State::NotStarted,
            closes_connection,
            is_head: false,
            last_event_id: None,
        }
    }

    /// Returns whether a part of the response may have been written.
    pub(crate) fn has_started(&self) -> bool {
        self.state != State::NotStarted
    }

    /// Returns whether the whole response was written.
    pub(crate) fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Tells the caller to send its body.
    pub(crate) async fn send_continue(&mut self) -> io::Result<()> {
        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Writes a response whose whole body is known.
    pub(crate) async fn send_whole(&mut self, head: &ResponseHead, body: &[u8]) -> io::Result<()> {
        let mut buf = self.encode_head(head, Framing::Length(body.len() as u64));
        buf.extend_from_slice(body);
        self.state = State::Sized;
        self.stream.write_all(&buf).await?;
        self.state = State::Complete;
        Ok(())
    }

    /// Writes a response without a body: one to a `HEAD` request, or one whose status allows none.
    pub(crate) async fn send_bodiless(&mut self, head: &ResponseHead) -> io::Result<()> {
        let buf = self.encode_head(head, Framing::Absent);
        self.state = State::Sized;
        self.stream.write_all(&buf).await?;
        self.state = State::Complete;
        Ok(())
    }

    /// Writes the head and the first part of the body of a response whose parts all come from the
    /// backend server of this head; more parts follow.
    pub(crate) async fn start(&mut self, head: &ResponseHead, part: &[u8]) -> io::Result<()> {
        let framing = match head.framing() {
            Framing::Length(length) => Framing::Length(length),
            _ => Framing::Chunked,
        };
        self.start_framed(head, framing, part).await
    }

    /// Writes the head and the first events of a stream; more follow. Another server may continue it,
    /// with events of other sizes, so the length that this head states does not hold.
    pub(crate) async fn start_events(
        &mut self,
        head: &ResponseHead,
        events: &[u8],
    ) -> io::Result<()> {
        self.start_framed(head, Framing::Chunked, events).await
    }

    async fn start_framed(
        &mut self,
        head: &ResponseHead,
        framing: Framing,
        part: &[u8],
    ) -> io::Result<()> {
        let mut buf = self.encode_head(head, framing);
        self.state = match framing {
            Framing::Length(_) => State::Sized,
            _ => State::Chunked,
        };
        self.encode_part(&mut buf, part);
        self.stream.write_all(&buf).await
    }

    /// Writes the next part of the body.
    pub(crate) async fn send_part(&mut self, part: &[u8]) -> io::Result<()> {
        let mut buf = Vec::with_capacity(part.len() + 16);
        self.encode_part(&mut buf, part);
        self.stream.write_all(&buf).await
    }

    /// Ends a response after its last part.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        if self.state == State::Chunked {
            self.stream.write_all(b"0\r\n\r\n").await?;
        }
        self.state = State::Complete;
        Ok(())
    }

    /// Writes an error response of this process. `id` is the name and the value of the field with
    /// the request's id, if that is known.
    pub(crate) async fn send_problem(
        &mut self,
        problem: &Problem,
        id: Option<(&str, &str)>,
    ) -> io::Result<()> {
        self.state = State::Sized;
        let buf = problem.encode(id, !self.closes_connection, self.is_head);
        self.stream.write_all(&buf).await?;
        self.state = State::Complete;
        Ok(())
    }

    /// Encodes a head with the given framing in place of that of the backend server.
    fn encode_head(&self, head: &ResponseHead, framing: Framing) -> Vec<u8> {
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
        if self.closes_connection {
            push_field(&mut buf, "Connection", b"close");
        }
        buf.extend_from_slice(b"\r\n");
        buf
    }

    /// Appends a part of the body, as a chunk if the body is chunked.
    fn encode_part(&self, buf: &mut Vec<u8>, part: &[u8]) {
        // An empty chunk would end the body.
        if self.state != State::Chunked || part.is_empty() {
            buf.extend_from_slice(part);
            return;
        }
        buf.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        buf.extend_from_slice(part);
        buf.extend_from_slice(b"\r\n");
    }
}
