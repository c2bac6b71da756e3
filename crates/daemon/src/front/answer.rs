//! Writes the answer to a caller.

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

/// Bytes that are encoded at a time.
const ENCODE_BYTES: usize = 16_384;
/// Time for which a caller may take nothing of what is written.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The answer to one request, whole or in parts.
///
/// An answer in parts stays open over several attempts. If it is dropped before
/// [`Answer::finish`], the caller does not get the end mark.
#[derive(Debug)]
pub(crate) struct Answer {
    stream: TcpStream,
    shared: Arc<Shared>,
    method: Method,
    close: bool,
    stall_timeout: Duration,
    started: Arc<AtomicBool>,
    parts: Option<Parts>,
    events: u32,
    /// Whether the parts are events, which can be counted and left out by a resumed stream.
    resumable: bool,
    /// Whether a write was begun and not finished, so that it is not known what the caller has.
    torn: bool,
}

/// An answer that was begun and goes on.
#[derive(Debug)]
struct Parts {
    encoder: Encoder,
    feed: Feed,
}

impl Answer {
    /// Starts without anything written.
    pub(crate) fn new(stream: TcpStream, shared: Arc<Shared>, method: Method) -> Self {
        Self {
            stream,
            shared,
            method,
            close: false,
            stall_timeout: DEFAULT_STALL_TIMEOUT,
            started: Arc::default(),
            parts: None,
            events: 0,
            resumable: false,
            torn: false,
        }
    }

    /// Sets whether the caller is told that the connection will be closed. It is told so, too, if
    /// the process drains when the head is written.
    #[must_use]
    pub(crate) fn close(mut self, close: bool) -> Self {
        self.close = close;
        self
    }

    /// Sets how long the caller may take nothing of what is written.
    #[must_use]
    pub(crate) fn stall_timeout(mut self, span: Duration) -> Self {
        self.stall_timeout = span;
        self
    }

    /// Returns whether a byte may have gone to the caller.
    pub(crate) fn is_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Returns [`Answer::is_started`] as a value that can be asked while the answer is written.
    pub(crate) fn started(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.started)
    }

    /// Returns whether another attempt can go on where the last one ended.
    pub(crate) fn can_resume(&self) -> bool {
        self.resumable && !self.torn
    }

    /// Returns whether the caller is told that the connection will be closed.
    pub(crate) fn closes(&self) -> bool {
        self.close
    }

    /// Returns how many events the caller has got.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }

    /// Writes an answer whose body is in memory.
    pub(crate) async fn whole(&mut self, res: Response) -> io::Result<()> {
        let mut encoder = self.encoder(res);
        let mut bytes = Vec::new();
        encoder.read_to_end(&mut bytes).await?;
        self.write(&bytes).await
    }

    /// Begins an answer whose body comes in parts. The head is written with the first part. With
    /// `resumable`, each part holds whole events.
    pub(crate) fn begin(&mut self, mut res: Response, resumable: bool) {
        self.resumable = resumable;
        let typed = res.header("content-type").is_some();
        let feed = Feed::default();
        res.set_body(Body::from_reader(BufReader::new(feed.clone()), None));
        if !typed {
            res.remove_header("content-type");
        }
        let encoder = self.encoder(res);
        self.parts = Some(Parts { encoder, feed });
    }

    /// Returns whether [`Answer::begin`] was called.
    pub(crate) fn is_begun(&self) -> bool {
        self.parts.is_some()
    }

    /// Writes a part of the body that holds this many events.
    pub(crate) async fn part(&mut self, bytes: &[u8], events: u32) -> io::Result<()> {
        if let Some(parts) = &self.parts {
            parts.feed.push(bytes);
        }
        self.write_encoded().await?;
        self.events += events;
        Ok(())
    }

    /// Writes the end mark.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        if let Some(parts) = &self.parts {
            parts.feed.end();
        }
        self.write_encoded().await
    }

    fn encoder(&mut self, mut res: Response) -> Encoder {
        self.close |= self.shared.is_draining();
        if self.close {
            res.insert_header("connection", "close");
        }
        Encoder::new(res, self.method)
    }

    /// Writes what the encoder has until it waits for another part.
    async fn write_encoded(&mut self) -> io::Result<()> {
        let Some(parts) = &mut self.parts else { return Ok(()) };
        let mut bytes = Vec::new();
        let mut buf = vec![0; ENCODE_BYTES];
        while let Some(n) = future::poll_once(parts.encoder.read(&mut buf)).await {
            match n? {
                0 => break,
                n => bytes.extend_from_slice(&buf[..n]),
            }
        }
        self.write(&bytes).await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.started.store(true, Ordering::Relaxed);
        self.torn = true;
        let mut left = bytes;
        while !left.is_empty() {
            let n = deadline::io_within(self.stall_timeout, self.stream.write(left)).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            left = &left[n..];
        }
        self.torn = false;
        Ok(())
    }
}

/// The body of an answer in parts: a reader that is pending until another part is pushed.
///
/// It wakes nobody; its reader is polled after each push.
#[derive(Clone, Debug, Default)]
struct Feed {
    state: Arc<Mutex<FeedState>>,
}

#[derive(Debug, Default)]
struct FeedState {
    bytes: VecDeque<u8>,
    ended: bool,
}

impl Feed {
    fn push(&self, bytes: &[u8]) {
        self.lock().bytes.extend(bytes);
    }

    fn end(&self) {
        self.lock().ended = true;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for Feed {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.bytes.is_empty() {
            return if state.ended { Poll::Ready(Ok(0)) } else { Poll::Pending };
        }
        Poll::Ready(io::Read::read(&mut state.bytes, buf))
    }
}
