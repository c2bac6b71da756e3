//! A token bucket.

use model::prelude::*;

/// Added to the time of the next token, so that rounding never wakes the owner too early.
const ROUNDING: Duration = Duration::from_micros(1);

/// Tokens at hand; refilled up to a cap that the caller gives.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: f64,
    /// Up to when the bucket is refilled. It may lie ahead: there is no refill before it.
    refilled_at: Time,
}

impl Bucket {
    pub(crate) fn new(level: f64, refilled_at: Time) -> Self {
        Self { level, refilled_at }
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    pub(crate) fn refill(&mut self, now: Time, rate: f64, cap: f64) {
        let span = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + rate * span).min(cap).max(0.0);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes a whole token out, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Puts a whole token in.
    pub(crate) fn put(&mut self) {
        self.level += 1.0;
    }

    /// Returns when this many tokens will be at hand or refilled, if ever.
    pub(crate) fn time_of(&self, tokens: f64, rate: f64) -> Option<Time> {
        let missing = tokens - self.level;
        if missing <= 0.0 {
            return Some(self.refilled_at);
        }
        let span = Duration::try_from_secs_f64(missing / rate).ok()?;
        Some(self.refilled_at + span + ROUNDING)
    }
}
