//! How fast engines read prompts, as a regression over attempts.

use serde::{Deserialize, Serialize};

/// Attempts from which a speed is derived at least.
const MIN_ATTEMPTS: f32 = 20.0;
/// Thousands of tokens by which the prompts of attempts must differ, as their standard deviation.
const MIN_DEVIATION: f32 = 0.3;

/// The sums of a linear regression of the time to first byte over the tokens that were read before
/// it. Its slope is the time for each token: what every attempt takes besides, such as round trips
/// and the first generation step, does not count. Sums of several members add up. The order of the
/// fields is the message format.
#[derive(Clone, Copy, PartialEq, Default, Debug, Serialize, Deserialize)]
pub struct ReadingFit {
    attempts: f32,
    tokens: f32,
    time: f32,
    tokens_squared: f32,
    tokens_time: f32,
}

impl ReadingFit {
    /// Creates the sums of one attempt that read this many tokens in this many milliseconds.
    pub fn of_attempt(tokens: f64, millis: f64) -> Self {
        let (tokens, time) = ((tokens / 1e3) as f32, millis as f32);
        Self {
            attempts: 1.0,
            tokens,
            time,
            tokens_squared: tokens * tokens,
            tokens_time: tokens * time,
        }
    }

    /// Returns the sums of both together.
    pub fn and(self, other: Self) -> Self {
        Self {
            attempts: self.attempts + other.attempts,
            tokens: self.tokens + other.tokens,
            time: self.time + other.time,
            tokens_squared: self.tokens_squared + other.tokens_squared,
            tokens_time: self.tokens_time + other.tokens_time,
        }
    }

    /// Returns the sums with this weight.
    pub fn weighted(self, weight: f64) -> Self {
        let weight = weight as f32;
        Self {
            attempts: self.attempts * weight,
            tokens: self.tokens * weight,
            time: self.time * weight,
            tokens_squared: self.tokens_squared * weight,
            tokens_time: self.tokens_time * weight,
        }
    }

    /// Returns the tokens that engines read in a millisecond; `None` if there are too few attempts, or
    /// they are too much alike.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        let n = self.attempts;
        let variance = n * self.tokens_squared - self.tokens * self.tokens;
        let covariance = n * self.tokens_time - self.tokens * self.time;
        let is_spread = variance >= n * n * MIN_DEVIATION * MIN_DEVIATION;
        // Sums that a damaged or lying message made infinite or not a number fail these checks too.
        let is_known = n >= MIN_ATTEMPTS && is_spread && covariance > 0.0;
        let speed = f64::from(variance / covariance) * 1e3;
        (is_known && speed.is_finite()).then_some(speed)
    }
}
