//! The process's monotonic clock.

use std::time::{Duration, Instant};

use model::prelude::*;

/// Time from the clock's origin to the start of the process, so that subtracting a span from an
/// early time does not end at zero.
const HEAD_START: Duration = Duration::from_secs(3_600);

/// The process's monotonic clock; it goes on while the process is stopped.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock. All threads of a process share copies of one clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the present time.
    pub fn now(self) -> Time {
        Time::default() + HEAD_START + self.start.elapsed()
    }

    /// Returns the time as the operating system's timers need it.
    pub fn instant(self, time: Time) -> Instant {
        self.start + time.since(Time::default() + HEAD_START)
    }
}
