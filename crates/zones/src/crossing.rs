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

impl Crossing {
    /// Returns the cost for a prompt of this many bytes.
    pub fn cost(&self, bytes: u32) -> Duration {
        self.round_trip + self.per_kib.mul_f64(f64::from(bytes) / 1_024.0)
    }
}
