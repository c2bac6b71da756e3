//! Writing the response to a caller.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use async_h1::server::Encoder;
use async_net::TcpStream;
use futures_lite::future;
use futures_lite::{AsyncRead, AsyncReadExt as _, AsyncWriteExt as _, io::BufReader};
use http_types::{Body, Method, Response};

use crate::{Shared, deadline};

/// Size of the buffer through which a response is encoded, in bytes.
const ENCODE_BUFFER_BYTES: usize = 16_384;
/// Timeout for a write during which the caller accepts no byte.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Writes the response to one request, at once or as a stream of parts.
///
/// A stream can be continued by further attempts. If the writer is dropped before
/// [`ResponseWriter::finish`], the end of the body is never written, so that the caller sees that
/// the response is incomplete.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    stream: TcpStream,
    shared: Arc<Shared>,
    method: Method,
    closes_connection: bool,
    stall_timeout: Duration,
    started: Arc<AtomicBool>,
    streamed: Option<StreamedBody>,
    event_count: u32,
    /// Whether the parts are events: these are counted, and a server that resumes the stream skips
    /// those that the caller has received.
    is_resumable: bool,
    /// Whether a write has not finished, so that it is unknown how much the caller receives.
    has_partial_write: bool,
}

/// The state of a response that is written in parts.
#[derive(Debug)]
struct StreamedBody {
    encoder: Encoder,
    feed: BodyFeed,
}

impl ResponseWriter {
    /// Creates a writer; nothing is written yet. `method` is that of the request.
    pub(crate) fn new(stream: TcpStream, shared: Arc<Shared>, method: Method) -> Self {
        Self {
            stream,
            shared,
            method,
            closes_connection: false,
            stall_timeout: DEFAULT_STALL_TIMEOUT,
            started: Arc::default(),
            streamed: None,
            event_count: 0,
            is_resumable: false,
            has_partial_write: false,
        }
    }

    /// Sets whether the head announces that the connection will be closed. It does so in any case if
    /// the process is draining when the head is written.
    #[must_use]
    pub(crate) fn closes_connection(mut self, closes: bool) -> Self {
        self.closes_connection = closes;
        self
    }

    /// Sets the timeout for a write during which the caller accepts no byte.
    #[must_use]
    pub(crate) fn stall_timeout(mut self, timeout: Duration) -> Self {
        self.stall_timeout = timeout;
        self
    }

    /// Returns whether the caller may have received a byte.
    pub(crate) fn is_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Returns the flag behind [`ResponseWriter::is_started`], which can be read during a write.
    pub(crate) fn started_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.started)
    }

    /// Returns whether another attempt can continue the response where the last one ended.
    pub(crate) fn can_resume(&self) -> bool {
        self.is_resumable && !self.has_partial_write
    }

    /// Returns whether the head announces that the connection will be closed.
    pub(crate) fn closes(&self) -> bool {
        self.closes_connection
    }

    /// Returns the number of events written.
    pub(crate) fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Writes a response whose body is in memory.
    pub(crate) async fn write_whole(&mut self, res: Response) -> io::Result<()> {
        let mut encoder = self.encoder(res);
        let mut bytes = Vec::new();
        encoder.read_to_end(&mut bytes).await?;
        self.write(&bytes).await
    }

    /// Writes a response of a server that has no body because of the request's method or its status.
    pub(crate) async fn write_without_body(&mut self, res: Response) -> io::Result<()> {
        let mut encoder = self.encoder(res);
        let mut head = Vec::new();
        encoder.read_to_end(&mut head).await?;
        self.write(&without_length(&head)).await
    }

    /// Begins a response that is written in parts. The head is written with the first part. If
    /// `is_resumable`, each part consists of complete events.
    pub(crate) fn begin(&mut self, mut res: Response, is_resumable: bool) {
        self.is_resumable = is_resumable;
        let has_content_type = res.header("content-type").is_some();
        let feed = BodyFeed::default();
        res.set_body(Body::from_reader(BufReader::new(feed.clone()), None));
        if !has_content_type {
            res.remove_header("content-type");
        }
        let encoder = self.encoder(res);
        self.streamed = Some(StreamedBody { encoder, feed });
    }

    /// Returns whether [`ResponseWriter::begin`] was called.
    pub(crate) fn is_begun(&self) -> bool {
        self.streamed.is_some()
    }

    /// Writes a part of the body, which contains this many events.
    pub(crate) async fn write_part(&mut self, bytes: &[u8], events: u32) -> io::Result<()> {
        if let Some(streamed) = &self.streamed {
            streamed.feed.push(bytes);
        }
        self.write_encoded().await?;
        self.event_count += events;
        Ok(())
    }

    /// Writes the end of the body.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        if let Some(streamed) = &self.streamed {
            streamed.feed.end();
        }
        self.write_encoded().await
    }

    fn encoder(&mut self, mut res: Response) -> Encoder {
        self.closes_connection |= self.shared.is_draining();
        if self.closes_connection {
            res.insert_header("connection", "close");
        }
        Encoder::new(res, self.method)
    }

    /// Writes what the encoder yields until it waits for another part.
    async fn write_encoded(&mut self) -> io::Result<()> {
        let Some(streamed) = &mut self.streamed else { return Ok(()) };
        let mut bytes = Vec::new();
        let mut buf = vec![0; ENCODE_BUFFER_BYTES];
        while let Some(n) = future::poll_once(streamed.encoder.read(&mut buf)).await {
            match n? {
                0 => break,
                n => bytes.extend_from_slice(&buf[..n]),
            }
        }
        self.write(&bytes).await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.started.store(true, Ordering::Relaxed);
        self.has_partial_write = true;
        let mut rest = bytes;
        while !rest.is_empty() {
            let n = deadline::io_within(self.stall_timeout, self.stream.write(rest)).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[n..];
        }
        self.has_partial_write = false;
        Ok(())
    }
}

/// Removes the length from an encoded head. The encoder states that of the body that it has, 0.
fn without_length(head: &[u8]) -> Vec<u8> {
    let lines = head.split_inclusive(|byte| *byte == b'\n');
    lines.filter(|line| !line.starts_with(b"content-length:")).flatten().copied().collect()
}

/// The body of a response in parts: a reader that is pending until another part is pushed.
///
/// It does not wake its reader, which must be polled again after each push.
#[derive(Clone, Debug, Default)]
struct BodyFeed {
    state: Arc<Mutex<BodyFeedState>>,
}

#[derive(Debug, Default)]
struct BodyFeedState {
    bytes: VecDeque<u8>,
    is_ended: bool,
}

impl BodyFeed {
    fn push(&self, bytes: &[u8]) {
        self.lock().bytes.extend(bytes);
    }

    fn end(&self) {
        self.lock().is_ended = true;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BodyFeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for BodyFeed {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.bytes.is_empty() {
            return if state.is_ended { Poll::Ready(Ok(0)) } else { Poll::Pending };
        }
        Poll::Ready(io::Read::read(&mut state.bytes, buf))
    }
}
