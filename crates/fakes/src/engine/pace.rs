//! The speed of an engine.

use std::time::{Duration, Instant};

use super::serve::Run;
use crate::rt::{lock, sleep};

/// Tokens are generated in steps of this length.
const STEP: Duration = Duration::from_millis(10);

/// Generates tokens at the engine's present speed.
pub(super) struct Pace {
    skipped: u32,
    pub(super) made: u32,
    /// The part of the next token that is done.
    part: f64,
    last: Instant,
}

impl Pace {
    pub(super) fn new(skipped: u32) -> Self {
        Self { skipped, made: skipped, part: 0.0, last: Instant::now() }
    }

    pub(super) async fn step(&mut self, run: &Run, wanted: u32) {
        let speed = lock(&run.state).speed();
        let missing = f64::from(wanted - self.made) - self.part;
        let needed = Duration::try_from_secs_f64(missing / speed).unwrap_or(STEP);
        sleep(needed.min(STEP)).await;
        let now = Instant::now();
        let done = self.part + (now - self.last).as_secs_f64() * speed;
        self.last = now;
        let whole = (done.min(f64::from(wanted)) as u32).min(wanted - self.made);
        self.part = (done - f64::from(whole)).clamp(0.0, 1.0);
        self.made += whole;
        if let Some(entry) = lock(&run.state).entry(run.no) {
            entry.tokens = self.made - self.skipped;
        }
    }
}
