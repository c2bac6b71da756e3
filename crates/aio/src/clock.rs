//! The monotonic clock of the process.

use std::time::Duration;

use async_io::Timer;
use model::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// What the clock reads when the process starts. Not zero, so that subtracting a duration from an
/// early time does not saturate at zero.
const START_READING: Duration = Duration::from_secs(3_600);

/// The process's monotonic clock. It keeps running while the process is stopped and while the
/// machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts the clock. All threads of a process share copies of one clock.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the current time.
    pub fn now(self) -> Time {
        Time::default() + START_READING + boot_time().saturating_sub(self.start)
    }

    /// Waits until `time`. Timers stop while the machine is suspended, so this may be late by the
    /// duration of a suspension.
    pub async fn sleep_until(self, time: Time) {
        Timer::after(self.now().until(time)).await;
    }
}

/// Returns the time since the machine booted, including suspensions.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is ever negative.
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}
