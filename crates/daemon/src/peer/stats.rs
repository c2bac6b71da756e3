//! Counts of messages to other instances.

use std::cell::Cell;

use serde::Serialize;

/// Counts of messages to other instances since the start of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct Stats {
    /// Addresses with a running sender task, which ends after 30 seconds without a connection and
    /// without messages.
    pub addresses: usize,
    /// Messages that were acknowledged.
    pub delivered: u64,
    /// Messages that the receiver refused.
    pub refused: u64,
    /// Messages that were not sent because they waited for too long or the queue was full.
    pub dropped: u64,
    /// Messages that were sent but got no reply.
    pub unanswered: u64,
    /// Connections that failed, or could not be established.
    pub failures: u64,
}

/// Counters behind [`Stats`].
#[derive(Debug, Default)]
pub(super) struct Counters {
    delivered: Cell<u64>,
    refused: Cell<u64>,
    dropped: Cell<u64>,
    unanswered: Cell<u64>,
    failures: Cell<u64>,
}

impl Counters {
    /// Counts messages that were acknowledged.
    pub(super) fn add_delivered(&self, msgs: usize) {
        add(&self.delivered, msgs);
    }

    /// Counts messages that the receiver refused.
    pub(super) fn add_refused(&self, msgs: usize) {
        add(&self.refused, msgs);
    }

    /// Counts messages that were not sent.
    pub(super) fn add_dropped(&self, msgs: usize) {
        add(&self.dropped, msgs);
    }

    /// Counts messages that were sent but got no reply.
    pub(super) fn add_unanswered(&self, msgs: usize) {
        add(&self.unanswered, msgs);
    }

    /// Counts a connection that failed or could not be established.
    pub(super) fn add_failure(&self) {
        add(&self.failures, 1);
    }

    /// Returns the counts. `addresses` is [`Stats::addresses`].
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
