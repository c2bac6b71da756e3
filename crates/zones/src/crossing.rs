//! What a request pays for going to another zone.

use model::prelude::*;

/// What a request pays for going to another zone, in expected time: another zone is chosen only if it
/// saves more.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Crossing {
    /// The time of the round trips of a request.
    pub round_trip: Duration,
    /// What a KiB of its prompt is worth.
    pub per_kib: Duration,
}

impl Default for Crossing {
    /// 5 ms and 0.5 ms for each KiB: 10 ms for a prompt of 10 KiB.
    fn default() -> Self {
        Self { round_trip: Duration::from_millis(5), per_kib: Duration::from_micros(500) }
    }
}

impl Crossing {
    /// Returns the cost for a prompt of this many bytes.
    pub fn cost(&self, bytes: u32) -> Duration {
        self.round_trip + self.per_kib.mul_f64(f64::from(bytes) / 1_024.0)
    }
}
