//! The number of live streams.

use model::prelude::*;

/// The time constant of the exponential moving average of running streams, which covers some ten
/// streams of an instance.
const AVERAGING_TIME: Duration = Duration::from_secs(8);

/// The number of live streams that this instance runs in a pool, with its moving average.
#[derive(Clone, Copy, Default, Debug)]
pub struct LiveDemand {
    running: u32,
    /// The average at `updated_at`.
    mean: f64,
    updated_at: Time,
}

impl LiveDemand {
    /// Counts a stream that starts.
    pub fn started(&mut self, now: Time) {
        self.update(now);
        self.running += 1;
    }

    /// Counts a stream that ends.
    pub fn ended(&mut self, now: Time) {
        self.update(now);
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the moving average of the number of running streams.
    pub fn mean(&self, now: Time) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        let running = f64::from(self.running);
        running + (self.mean - running) * (-passed).exp()
    }

    fn update(&mut self, now: Time) {
        self.mean = self.mean(now);
        self.updated_at = now;
    }
}
