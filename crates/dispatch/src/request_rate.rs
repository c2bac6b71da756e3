//! A number of requests a second.

use std::{fmt, time::Duration};

/// A number of requests a second: finite, and 0 or more.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns a rate of this many requests a second; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second.abs()))
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns how many requests this rate gives in a time, not rounded.
    pub fn over(self, span: Duration) -> f64 {
        self.0 * span.as_secs_f64()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
