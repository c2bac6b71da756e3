//! Amounts of the two resources of engines.

use std::ops::{Add, Mul};

/// An amount of work, or the room for it.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Work {
    /// Requests at the same time.
    pub(crate) attempts: f64,
    /// Prompt tokens to read.
    pub(crate) tokens: f64,
}

impl Work {
    /// Returns an amount that was told; `None` if it is not finite.
    pub(crate) fn new(attempts: u32, tokens: f64) -> Option<Self> {
        let attempts = f64::from(attempts);
        tokens.is_finite().then(|| Self { attempts, tokens: tokens.max(0.0) })
    }

    /// Returns what is left after taking away `other`, of each resource at least nothing.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            attempts: (self.attempts - other.attempts).max(0.0),
            tokens: (self.tokens - other.tokens).max(0.0),
        }
    }

    /// Returns how many times this work is in `room`, by the resource that is scarcer; 0 if there is no
    /// work.
    pub(crate) fn use_of(self, room: Self) -> f64 {
        ratio(self.attempts, room.attempts).max(ratio(self.tokens, room.tokens))
    }

    /// Returns how many times this room holds `work`, by the resource that is scarcer; infinite if there
    /// is no work.
    pub(crate) fn holds(self, work: Self) -> f64 {
        let times = |room: f64, work: f64| if work > 0.0 { room / work } else { f64::INFINITY };
        times(self.attempts, work.attempts).min(times(self.tokens, work.tokens))
    }

    /// Returns the part of `total` that this is, by the resource of which it is less; 0 if there is none.
    pub(crate) fn part_of(self, total: Self) -> f64 {
        let part = self.holds(total);
        if part.is_finite() { part } else { 0.0 }
    }
}

fn ratio(work: f64, room: f64) -> f64 {
    if work > 0.0 { work / room } else { 0.0 }
}

impl Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { attempts: self.attempts + other.attempts, tokens: self.tokens + other.tokens }
    }
}

impl Mul<f64> for Work {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self { attempts: self.attempts * factor, tokens: self.tokens * factor }
    }
}
