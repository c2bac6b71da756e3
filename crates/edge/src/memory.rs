//! The memory that callers and backend servers make the process hold.

use std::{cell::Cell, rc::Rc};

use model::prelude::*;

/// Time between two log lines about requests for memory that were turned down.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What memory is used for. Each use has its own share, so that none takes that of another.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum MemoryUse {
    /// Open connections of callers, with what they send ahead.
    Connections,
    /// Heads of requests that have not arrived whole.
    PartialHeads,
    /// Bodies of requests, from their first byte until the request ends.
    Bodies,
    /// Parts of responses that wait for their rest or for their caller.
    Responses,
    /// Large events of streams, each with the memory of the largest. Apart from other parts of
    /// responses, so that streams which wait for this memory do not hold what others need to end.
    LargeEvents,
}

impl MemoryUse {
    /// The share is the memory of the process divided by this. An eighth is left for the rest: the
    /// program itself, its view of the platform and connections to servers.
    fn divisor(self) -> usize {
        match self {
            Self::PartialHeads | Self::Responses | Self::LargeEvents => 8,
            Self::Connections | Self::Bodies => 4,
        }
    }
}

/// The memory of the process, by use.
#[derive(Debug)]
pub(crate) struct Memory {
    /// In bytes.
    total: usize,
    /// Bytes that are reserved for each use.
    taken: [Cell<usize>; 5],
    /// Requests for memory that were turned down since the last log line.
    denied: Cell<u64>,
    logged_at: Cell<Option<Time>>,
}

impl Memory {
    pub(crate) fn new(total: usize) -> Self {
        Self { total, taken: Default::default(), denied: Cell::new(0), logged_at: Cell::new(None) }
    }

    /// Returns the share of a use, in bytes.
    pub(crate) fn share(&self, purpose: MemoryUse) -> usize {
        self.total / purpose.divisor()
    }

    /// Returns whether less than a quarter of the share of a use is left.
    pub(crate) fn is_scarce(&self, purpose: MemoryUse) -> bool {
        self.taken[purpose as usize].get() > self.share(purpose) / 4 * 3
    }

    /// Logs that memory was turned down, at most once in [`LOG_INTERVAL`].
    fn deny(&self, now: Time, purpose: MemoryUse, bytes: usize) {
        self.denied.set(self.denied.get() + 1);
        if self.logged_at.get().is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        log::warn!(
            purpose:? = purpose, bytes, taken_bytes = self.taken[purpose as usize].get(),
            share_bytes = self.share(purpose), count = self.denied.take();
            "no memory left"
        );
    }
}

/// Memory that is reserved for one use, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Rc<Memory>,
    purpose: MemoryUse,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub(crate) fn new(memory: &Rc<Memory>, purpose: MemoryUse) -> Self {
        Self { memory: Rc::clone(memory), purpose, bytes: 0 }
    }

    /// Changes the number of bytes. Returns `false` and leaves it as it is if the other reservations
    /// leave too little. The only one of its use is granted even if it exceeds the share.
    pub(crate) fn resize(&mut self, now: Time, bytes: usize) -> bool {
        let taken = &self.memory.taken[self.purpose as usize];
        let others = taken.get() - self.bytes;
        let is_granted =
            bytes <= self.bytes || others == 0 || others + bytes <= self.memory.share(self.purpose);
        if is_granted {
            taken.set(others + bytes);
            self.bytes = bytes;
        } else {
            self.memory.deny(now, self.purpose, bytes);
        }
        is_granted
    }

    /// Reserves further bytes, like [`Self::resize`].
    pub(crate) fn grow(&mut self, now: Time, more: usize) -> bool {
        self.resize(now, self.bytes.saturating_add(more))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let taken = &self.memory.taken[self.purpose as usize];
        taken.set(taken.get() - self.bytes);
    }
}
