//! A reader that keeps what was read but not used yet.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt as _};

/// Bytes by which the buffer grows.
const STEP_BYTES: usize = 4_096;

/// A reader that keeps what was read but not used yet, across messages.
#[derive(Debug)]
pub struct Buffered<R> {
    io: R,
    buf: Vec<u8>,
    start: usize,
    end: usize,
}

impl<R: AsyncRead + Unpin> Buffered<R> {
    /// Wraps a reader.
    pub fn new(io: R) -> Self {
        Self { io, buf: Vec::new(), start: 0, end: 0 }
    }

    /// Returns what was read but not used yet.
    pub fn data(&self) -> &[u8] {
        &self.buf[self.start..self.end]
    }

    /// Marks the first `n` bytes of [`Buffered::data`] as used.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    /// Frees the buffer if all of it was used, since an idle connection may stay for long.
    pub fn shrink(&mut self) {
        if self.start == self.end {
            self.buf = Vec::new();
        }
    }

    /// Reads more and returns how many bytes came; 0 at the end. Nothing is lost if the future is
    /// dropped.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.make_room();
        let n = self.io.read(&mut self.buf[self.end..]).await?;
        self.end += n;
        Ok(n)
    }

    /// Appends to `body` until it has `length` bytes at most: what was read already, else what one
    /// read gives. Returns how many bytes came; 0 at the end.
    pub async fn read_into(&mut self, body: &mut Vec<u8>, length: usize) -> io::Result<usize> {
        let start = body.len();
        let missing = length.saturating_sub(start);
        let ready = missing.min(self.data().len());
        if ready > 0 {
            body.extend_from_slice(&self.data()[..ready]);
            self.consume(ready);
            return Ok(ready);
        }
        // Grows with what comes, so that a stated length alone takes no memory.
        body.resize(start + missing.min(start.max(STEP_BYTES)), 0);
        let read = self.io.read(&mut body[start..]).await;
        body.truncate(start + read.as_ref().copied().unwrap_or_default());
        read
    }

    /// Returns the reader.
    pub fn get_ref(&self) -> &R {
        &self.io
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
