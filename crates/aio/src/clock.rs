//! The process's clock.

use std::time::Duration;

use async_io::Timer;
use model::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Time from the clock's origin to the start of the process, so that subtracting a span from an
/// early time does not end at zero.
const HEAD_START: Duration = Duration::from_secs(3_600);

/// The process's monotonic clock. It goes on while the process is stopped and while the machine
/// is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts the clock. All threads of a process share copies of one clock.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the present time.
    pub fn now(self) -> Time {
        Time::default() + HEAD_START + boot_time().saturating_sub(self.start)
    }

    /// Waits until `time`. Timers stand still while the machine is suspended, so this may be late
    /// by the time of a suspension.
    pub async fn sleep_until(self, time: Time) {
        Timer::after(self.now().until(time)).await;
    }
}

/// Returns the time since the machine started, suspensions included.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The kernel gives neither part a sign.
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}
