//! The rate of requests to a server that is cold or names a limit.

use std::collections::VecDeque;

use model::prelude::*;

/// The time over which the limits of cold servers are stated.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Requests are counted over a tenth more than the window of their limit, as they may arrive closer
/// together than they were sent.
const ARRIVAL_MARGIN: u32 = 10;

/// Counts the requests that this instance has sent to a server lately, so that it stays within its
/// share of a limit on the requests in each window.
#[derive(Clone, Debug)]
pub struct RequestWindow {
    span: Duration,
    sent: VecDeque<Time>,
}

impl Default for RequestWindow {
    /// Counts for the limit of cold servers.
    fn default() -> Self {
        Self::new(COLD_WINDOW)
    }
}

impl RequestWindow {
    /// Counts for a limit on the requests in each `window`.
    pub fn new(window: Duration) -> Self {
        Self { span: window + window / ARRIVAL_MARGIN, sent: VecDeque::new() }
    }

    /// Records that a request is sent to the server.
    pub fn record(&mut self, now: Time) {
        self.drop_old(now);
        self.sent.push_back(now);
    }

    /// Returns how many requests were sent to the server within the window that ends at `now`.
    pub fn count(&self, now: Time) -> u32 {
        let recent =
            self.sent.iter().rev().take_while(|time| now.since(**time) < self.span).count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    fn drop_old(&mut self, now: Time) {
        while self.sent.front().is_some_and(|time| now.since(*time) >= self.span) {
            self.sent.pop_front();
        }
    }
}
