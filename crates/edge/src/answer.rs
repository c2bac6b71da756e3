//! The answer to a caller.

use std::io;

use async_net::TcpStream;
use futures_lite::AsyncWriteExt as _;
use http1::{Fields, Framing, ResponseHead, push_field};

use crate::problem::Problem;

/// Header fields that concern one connection only.
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

/// Returns whether a header field concerns one connection only.
pub(crate) fn is_hop_by_hop(fields: &Fields, name: &str) -> bool {
    HOP_BY_HOP.iter().any(|it| name.eq_ignore_ascii_case(it))
        || fields.has_token("connection", name)
}

/// The answer to a caller, as far as it was written.
#[derive(Debug)]
pub(crate) struct Answer {
    stream: TcpStream,
    state: State,
    /// Whether the connection ends with the answer.
    pub(crate) closes: bool,
    /// The id of the last event that was written.
    pub(crate) last_event: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum State {
    /// Nothing was written.
    Unstarted,
    /// The body goes on in chunks.
    Chunked,
    /// The body goes on, and its length was stated.
    Sized,
    /// The answer is whole.
    Finished,
}

impl Answer {
    pub(crate) fn new(stream: TcpStream, closes: bool) -> Self {
        Self { stream, state: State::Unstarted, closes, last_event: None }
    }

    /// Returns whether a part of the answer was written.
    pub(crate) fn is_begun(&self) -> bool {
        self.state != State::Unstarted
    }

    /// Returns whether the answer is whole.
    pub(crate) fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Says that the body may be sent.
    pub(crate) async fn go_on(&mut self) -> io::Result<()> {
        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Writes an answer whose body is known.
    pub(crate) async fn whole(&mut self, head: &ResponseHead, body: &[u8]) -> io::Result<()> {
        let mut buf = self.head(head, Framing::Length(body.len() as u64));
        buf.extend_from_slice(body);
        self.state = State::Sized;
        self.stream.write_all(&buf).await?;
        self.state = State::Finished;
        Ok(())
    }

    /// Writes the head of an answer without a body that was asked for by `HEAD` or that has none.
    pub(crate) async fn bodiless(&mut self, head: &ResponseHead) -> io::Result<()> {
        let buf = self.head(head, Framing::Absent);
        self.state = State::Sized;
        self.stream.write_all(&buf).await?;
        self.state = State::Finished;
        Ok(())
    }

    /// Writes the head and the first part of an answer that goes on.
    pub(crate) async fn begin(&mut self, head: &ResponseHead, part: &[u8]) -> io::Result<()> {
        let framing = match head.framing() {
            Framing::Length(length) => Framing::Length(length),
            _ => Framing::Chunked,
        };
        let mut buf = self.head(head, framing);
        self.state = match framing {
            Framing::Length(_) => State::Sized,
            _ => State::Chunked,
        };
        self.frame(&mut buf, part);
        self.stream.write_all(&buf).await
    }

    /// Writes a further part.
    pub(crate) async fn part(&mut self, part: &[u8]) -> io::Result<()> {
        let mut buf = Vec::with_capacity(part.len() + 16);
        self.frame(&mut buf, part);
        self.stream.write_all(&buf).await
    }

    /// Ends an answer all of whose parts were written.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        if self.state == State::Chunked {
            self.stream.write_all(b"0\r\n\r\n").await?;
        }
        self.state = State::Finished;
        Ok(())
    }

    /// Writes an answer of this process.
    pub(crate) async fn problem(
        &mut self,
        problem: &Problem,
        id: Option<(&str, &str)>,
    ) -> io::Result<()> {
        self.state = State::Sized;
        self.stream.write_all(&problem.encode(id, !self.closes)).await?;
        self.state = State::Finished;
        Ok(())
    }

    /// Returns the head of an answer with this framing.
    fn head(&self, head: &ResponseHead, framing: Framing) -> Vec<u8> {
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
        if self.closes {
            push_field(&mut buf, "Connection", b"close");
        }
        buf.extend_from_slice(b"\r\n");
        buf
    }

    fn frame(&self, buf: &mut Vec<u8>, part: &[u8]) {
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
