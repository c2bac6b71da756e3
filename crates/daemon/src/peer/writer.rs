//! The writing end of a connection, which writes nothing late.

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
    /// A call that waits for its answer.
    struct CallKey;
}

/// The deadlines of the calls that wait for their answers.
#[derive(Debug, Default)]
pub(super) struct Deadlines {
    calls: RefCell<SlotMap<CallKey, Time>>,
}

/// A call's deadline, forgotten when this is dropped.
#[derive(Debug)]
pub(super) struct Pending {
    deadlines: Rc<Deadlines>,
    key: CallKey,
}

impl Deadlines {
    /// Adds a call's deadline.
    pub(super) fn add(self: &Rc<Self>, by: Time) -> Pending {
        let key = self.calls.borrow_mut().insert(by);
        Pending { deadlines: Rc::clone(self), key }
    }

    fn has_passed(&self, now: Time) -> bool {
        self.calls.borrow().values().any(|by| *by < now)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.deadlines.calls.borrow_mut().remove(self.key);
    }
}

/// Writes to a socket until a call's deadline has passed.
///
/// A process that is stopped between the making and the writing of a call would otherwise send it
/// late when it goes on, before any timer has fired.
#[derive(Debug)]
pub(super) struct TimedWriter {
    stream: TcpStream,
    clock: Clock,
    deadlines: Rc<Deadlines>,
}

impl TimedWriter {
    /// Makes a writer that heeds these deadlines.
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
