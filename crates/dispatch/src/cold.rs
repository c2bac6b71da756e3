//! The rate of requests to a cold server.

use std::collections::VecDeque;

use model::prelude::*;

/// The time over which the requests to a cold server are counted. Limits are rates in a second; the
/// rest allows for requests that arrive closer together than they were sent.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Counts the requests that this instance has sent to a server lately, so that it stays within its
/// share of the rate limit while the server is cold.
#[derive(Clone, Debug, Default)]
pub struct RequestWindow {
    sent: VecDeque<Time>,
}

impl RequestWindow {
    /// Records that a request is sent to the server.
    pub fn record(&mut self, now: Time) {
        self.drop_old(now);
        self.sent.push_back(now);
    }

    /// Returns how many requests were sent to the server within the window that ends at `now`.
    pub fn count(&self, now: Time) -> u32 {
        let recent = self.sent.iter().rev().take_while(|time| now.since(**time) < WINDOW).count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    fn drop_old(&mut self, now: Time) {
        while self.sent.front().is_some_and(|time| now.since(*time) >= WINDOW) {
            self.sent.pop_front();
        }
    }
}
