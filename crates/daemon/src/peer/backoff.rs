//! Exponential backoff between attempts to connect.

use std::time::Duration;

/// The pause after the first failure.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Upper bound up to which the pauses double.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Pauses that double after each failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: MIN_PAUSE }
    }
}

impl Backoff {
    /// Returns the pause after a failure, and doubles the next one.
    pub(super) fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(MAX_PAUSE);
        pause
    }

    /// Resets the pause to the shortest one, after a success.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}
