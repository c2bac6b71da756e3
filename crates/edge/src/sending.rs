//! Writing requests to backend servers.

use std::{
    future::Future,
    io,
    pin::{Pin, pin},
    task::Poll,
};

use aio::{Latch, Socket};
use futures_lite::{AsyncWriteExt as _, future};

/// Request bodies up to this size are sent in one write with the head.
const MAX_JOINED_BODY_BYTES: usize = 4 << 10;

/// Writes a request to a server.
pub(crate) async fn write(mut stream: Socket, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
    if body.len() <= MAX_JOINED_BODY_BYTES {
        head.extend_from_slice(body);
        return stream.write_all(&head).await;
    }
    stream.write_all(&head).await?;
    stream.write_all(body).await
}

/// A request that is being written to a server. The server may respond before it has read all of it.
pub(crate) struct Sending<'a, W> {
    writing: Pin<&'a mut W>,
    /// Whether the writing succeeded; `None` while it goes on.
    is_written: Option<bool>,
    /// Set when the writing ends.
    ended: Latch,
}

impl<'a, W: Future<Output = io::Result<()>>> Sending<'a, W> {
    /// Prepares the writing; `ended` is set when it has ended, with success or not.
    pub(crate) fn new(writing: Pin<&'a mut W>, ended: Latch) -> Self {
        Self { writing, is_written: None, ended }
    }

    /// Returns whether all of the request was written.
    pub(crate) fn is_whole(&self) -> bool {
        self.is_written == Some(true)
    }

    /// Goes on writing until `reading` completes.
    pub(crate) async fn alongside<T>(&mut self, reading: impl Future<Output = T>) -> T {
        let mut reading = pin!(reading);
        future::poll_fn(|cx| {
            if self.is_written.is_none()
                && let Poll::Ready(result) = self.writing.as_mut().poll(cx)
            {
                // After a failed write a response may still arrive.
                self.is_written = Some(result.is_ok());
                self.ended.set();
            }
            reading.as_mut().poll(cx)
        })
        .await
    }
}
