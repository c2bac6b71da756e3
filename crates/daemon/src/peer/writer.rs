//! A socket writer that writes nothing after a deadline.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use async_net::TcpStream;
use futures_lite::AsyncWrite;
use model::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::Clock;

new_key_type! {
    /// A call without a reply yet.
    struct CallKey;
}

/// The deadlines of a connection's calls without a reply yet.
#[derive(Debug, Default)]
pub(super) struct Deadlines {
    calls: RefCell<SlotMap<CallKey, Time>>,
}

/// Keeps the deadline of a call in [`Deadlines`] until it is dropped.
#[derive(Debug)]
pub(super) struct DeadlineGuard {
    deadlines: Rc<Deadlines>,
    key: CallKey,
}

impl Deadlines {
    /// Adds the deadline of a call.
    pub(super) fn add(self: &Rc<Self>, by: Time) -> DeadlineGuard {
        let key = self.calls.borrow_mut().insert(by);
        DeadlineGuard { deadlines: Rc::clone(self), key }
    }

    fn has_passed(&self, now: Time) -> bool {
        self.calls.borrow().values().any(|by| *by < now)
    }
}

impl Drop for DeadlineGuard {
    fn drop(&mut self) {
        self.deadlines.calls.borrow_mut().remove(self.key);
    }
}

/// Writes to a socket; fails once the deadline of any call has passed.
///
/// Without this, a process that is paused between creating and writing a call would write it late
/// after the pause, before any timer fires.
#[derive(Debug)]
pub(super) struct TimedWriter {
    stream: TcpStream,
    clock: Clock,
    deadlines: Rc<Deadlines>,
}

impl TimedWriter {
    /// Creates a writer that checks these deadlines.
    pub(super) fn new(stream: TcpStream, clock: Clock, deadlines: Rc<Deadlines>) -> Self {
        Self { stream, clock, deadlines }
    }
}

impl AsyncWrite for TimedWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.deadlines.has_passed(self.clock.now()) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
