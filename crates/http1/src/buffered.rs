//! A buffered reader.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt as _, future};

/// Bytes by which the buffer grows when it is full; also the least room for a read into a body.
const STEP_BYTES: usize = 4_096;
/// Bytes after which a reader lets other tasks run. A peer that sends faster than they are
/// processed would otherwise keep the thread to itself, and timers would not fire.
const YIELD_BYTES: usize = 16 << 10;

/// A buffered reader that keeps unconsumed bytes from one message to the next.
#[derive(Debug)]
pub struct Buffered<R> {
    io: R,
    buf: Vec<u8>,
    start: usize,
    end: usize,
    /// Bytes that were read since other tasks could run last.
    unyielded: usize,
}

impl<R: AsyncRead + Unpin> Buffered<R> {
    /// Wraps a reader.
    pub fn new(io: R) -> Self {
        Self { io, buf: Vec::new(), start: 0, end: 0, unyielded: 0 }
    }

    /// Returns the bytes that were read but not consumed.
    pub fn data(&self) -> &[u8] {
        &self.buf[self.start..self.end]
    }

    /// Consumes the first `n` bytes of [`Buffered::data`], or all of them if there are fewer.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    /// Frees the buffer if all of it was consumed, so that an idle connection holds no memory.
    pub fn shrink(&mut self) {
        if self.start == self.end {
            self.buf = Vec::new();
        }
    }

    /// Reads more bytes and returns how many; 0 at the end of the input. Dropping the future loses
    /// no data.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.let_others_run().await;
        self.make_room();
        let n = self.io.read(&mut self.buf[self.end..]).await?;
        self.end += n;
        self.unyielded += n;
        Ok(n)
    }

    /// Returns whether nothing waits to be read: no bytes, no end of the input and no error. If
    /// something does, a byte of it may be lost, and the input must not be used further.
    pub async fn is_quiet(&mut self) -> bool {
        // Unlike `fill`, this never lets other tasks run first, which would look like a quiet input.
        self.data().is_empty() && future::poll_once(self.io.read(&mut [0])).await.is_none()
    }

    /// Appends bytes to `body`, up to a total of `length`: buffered ones if there are any, else
    /// those of one read. Returns how many were appended; 0 at the end of the input.
    pub async fn read_into(&mut self, body: &mut Vec<u8>, length: usize) -> io::Result<usize> {
        let start = body.len();
        let missing = length.saturating_sub(start);
        let ready = missing.min(self.data().len());
        if ready > 0 {
            body.extend_from_slice(&self.data()[..ready]);
            self.consume(ready);
            return Ok(ready);
        }
        self.let_others_run().await;
        // Grows as bytes arrive, so that a large stated length alone allocates no memory.
        body.resize(start + missing.min(start.max(STEP_BYTES)), 0);
        let read = self.io.read(&mut body[start..]).await;
        let n = read.as_ref().copied().unwrap_or_default();
        body.truncate(start + n);
        self.unyielded += n;
        read
    }

    /// Returns the wrapped reader. Reading from it directly would bypass the buffer.
    pub fn get_ref(&self) -> &R {
        &self.io
    }

    async fn let_others_run(&mut self) {
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            future::yield_now().await;
        }
    }

    fn make_room(&mut self) {
        if self.end < self.buf.len() {
            return;
        }
        if self.start > 0 {
            self.buf.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        } else {
            self.buf.resize(self.buf.len() + STEP_BYTES, 0);
        }
    }
}
