//! Counts what becomes of messages to other instances.

use std::cell::Cell;

use serde::Serialize;

/// What became of the messages to other instances since the start.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct Stats {
    /// Addresses that messages were sent to lately.
    pub addresses: usize,
    /// Messages that were acknowledged.
    pub delivered: u64,
    /// Messages that the receiver did not take.
    pub refused: u64,
    /// Messages that were not sent, because they waited for too long or the queue was full.
    pub dropped: u64,
    /// Messages that were sent and not acknowledged.
    pub unanswered: u64,
    /// Connections that failed, or could not be established.
    pub failures: u64,
}

/// Counts for [`Stats`].
#[derive(Debug, Default)]
pub(super) struct Counters {
    delivered: Cell<u64>,
    refused: Cell<u64>,
    dropped: Cell<u64>,
    unanswered: Cell<u64>,
    failures: Cell<u64>,
}

impl Counters {
    /// Messages were acknowledged.
    pub(super) fn delivered(&self, msgs: usize) {
        add(&self.delivered, msgs);
    }

    /// Messages were not taken by the receiver.
    pub(super) fn refused(&self, msgs: usize) {
        add(&self.refused, msgs);
    }

    /// Messages were not sent.
    pub(super) fn dropped(&self, msgs: usize) {
        add(&self.dropped, msgs);
    }

    /// Messages were sent and not acknowledged.
    pub(super) fn unanswered(&self, msgs: usize) {
        add(&self.unanswered, msgs);
    }

    /// A connection failed.
    pub(super) fn failed(&self) {
        add(&self.failures, 1);
    }

    /// Returns the counts.
    pub(super) fn stats(&self, addresses: usize) -> Stats {
        Stats {
            addresses,
            delivered: self.delivered.get(),
            refused: self.refused.get(),
            dropped: self.dropped.get(),
            unanswered: self.unanswered.get(),
            failures: self.failures.get(),
        }
    }
}

fn add(counter: &Cell<u64>, count: usize) {
    counter.set(counter.get() + count as u64);
}
