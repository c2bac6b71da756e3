//! What may be sent to a cold server.

use std::collections::VecDeque;

use model::prelude::*;

/// The span over which a cold server's requests are counted, and some time by which two requests
/// may come closer together on their way.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Counts what this instance sends to a server, so that it keeps to its part while the server is
/// cold.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    sent: VecDeque<Time>,
}

impl ColdGate {
    /// Notes that a request goes to the server.
    pub fn sent(&mut self, now: Time) {
        self.drop_old(now);
        self.sent.push_back(now);
    }

    /// Returns how many requests went to the server within a window.
    pub fn recent(&self, now: Time) -> u32 {
        let recent = self.sent.iter().rev().take_while(|it| now.since(**it) < WINDOW).count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    fn drop_old(&mut self, now: Time) {
        while self.sent.front().is_some_and(|it| now.since(*it) >= WINDOW) {
            self.sent.pop_front();
        }
    }
}
