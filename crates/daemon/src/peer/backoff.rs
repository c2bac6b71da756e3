//! Pauses between attempts to connect.

use std::time::Duration;

/// The first pause.
const MIN: Duration = Duration::from_millis(20);
/// The longest pause.
const MAX: Duration = Duration::from_millis(500);

/// Pauses that double from one to the next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: MIN }
    }
}

impl Backoff {
    /// Returns the pause that is due now.
    pub(super) fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(MAX);
        pause
    }

    /// Starts again with the first pause.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}
