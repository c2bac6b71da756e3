//! Generation of output tokens over time.

use std::time::{Duration, Instant};

use super::serve::RunningRequest;
use crate::rt::{lock, sleep};

/// The longest time between two updates of the token count, after which the speed is read again.
const STEP: Duration = Duration::from_millis(10);

/// Counts the tokens of one response, generated at the server's current speed.
pub(super) struct TokenGenerator {
    skipped_tokens: u32,
    /// Tokens so far, including the skipped ones of a resumed stream.
    pub(super) generated: u32,
    /// Generated fraction of the next token, 0 to 1.
    partial_token: f64,
    last: Instant,
}

impl TokenGenerator {
    pub(super) fn new(skipped_tokens: u32) -> Self {
        Self { skipped_tokens, generated: skipped_tokens, partial_token: 0.0, last: Instant::now() }
    }

    /// Waits for up to [`STEP`] and adds the tokens generated in that time.
    pub(super) async fn step(&mut self, run: &RunningRequest, total_tokens: u32) {
        let speed = lock(&run.state).tokens_per_s();
        let missing = f64::from(total_tokens - self.generated) - self.partial_token;
        let needed = Duration::try_from_secs_f64(missing / speed).unwrap_or(STEP);
        sleep(needed.min(STEP)).await;
        let now = Instant::now();
        let done = self.partial_token + (now - self.last).as_secs_f64() * speed;
        self.last = now;
        let whole = (done.min(f64::from(total_tokens)) as u32).min(total_tokens - self.generated);
        self.partial_token = (done - f64::from(whole)).clamp(0.0, 1.0);
        self.generated += whole;
        if let Some(entry) = lock(&run.state).entry(run.number) {
            entry.tokens = self.generated - self.skipped_tokens;
        }
    }
}
