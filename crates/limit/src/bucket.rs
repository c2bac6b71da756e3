//! A token bucket.

use model::prelude::*;

/// Added to the time at which a token is expected: a time rounded down would wake the owner before
/// the token is whole.
const ROUNDING: Duration = Duration::from_micros(1);

/// A token bucket. Rate and cap are parameters, as they change over time.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: f64,
    /// When the bucket was last refilled. If it is in the future, refilling starts only then.
    refilled_at: Time,
}

impl Bucket {
    pub(crate) fn new(level: f64, refilled_at: Time) -> Self {
        Self { level, refilled_at }
    }

    /// Returns the tokens in the bucket, with fractions.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Adds the tokens that accrued since the last refill, at `rate` tokens a second up to `cap`
    /// tokens. A level above the cap is cut to it.
    pub(crate) fn refill(&mut self, now: Time, rate: f64, cap: f64) {
        let span = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + rate * span).min(cap).max(0.0);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Removes one token. Returns whether there was a whole one.
    pub(crate) fn take(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Adds one token that was not used.
    pub(crate) fn put(&mut self) {
        self.level += 1.0;
    }

    /// Returns when the bucket would hold this many tokens if it had no cap, or `None` if never.
    pub(crate) fn available_at(&self, tokens: f64, rate: f64) -> Option<Time> {
        let missing = tokens - self.level;
        if missing <= 0.0 {
            return Some(self.refilled_at);
        }
        let span = Duration::try_from_secs_f64(missing / rate).ok()?;
        Some(self.refilled_at + span + ROUNDING)
    }
}
