//! How many live streams run at a time.

use model::prelude::*;

/// Time over which running streams are averaged: some ten streams of an instance of the sites.
const AVERAGED_OVER: Duration = Duration::from_secs(8);

/// The live streams of this instance in a pool: how many run, and how many ran lately on average.
#[derive(Clone, Copy, Default, Debug)]
pub struct LiveDemand {
    running: u32,
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

    /// Returns how many ran at a time, lately.
    pub fn mean(&self, now: Time) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64() / AVERAGED_OVER.as_secs_f64();
        let running = f64::from(self.running);
        running + (self.mean - running) * (-passed).exp()
    }

    fn update(&mut self, now: Time) {
        self.mean = self.mean(now);
        self.updated_at = now;
    }
}
