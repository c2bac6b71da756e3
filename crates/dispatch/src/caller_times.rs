//! How long callers wait for streams.

use model::prelude::*;

/// A time counts for this long at least, and for twice as long at most.
const WINDOW: Duration = Duration::from_secs(60);
/// The longest time that a caller is taken to wait.
const MAX_TIME: Duration = Duration::from_secs(60);

/// The longest time that callers of a pool have lately said that they wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallerTimes {
    window_start: Time,
    current: Duration,
    previous: Duration,
}

impl CallerTimes {
    /// Records that a caller waits for this long.
    pub(crate) fn record(&mut self, now: Time, time: Duration) {
        let passed = now.since(self.window_start);
        if passed >= WINDOW {
            self.previous = if passed < 2 * WINDOW { self.current } else { Duration::ZERO };
            self.current = Duration::ZERO;
            self.window_start = now;
        }
        self.current = time.min(MAX_TIME).max(self.current);
    }

    /// Returns the longest time; zero if none is known.
    pub(crate) fn longest(&self) -> Duration {
        self.current.max(self.previous)
    }
}
