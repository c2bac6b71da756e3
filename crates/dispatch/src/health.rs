//! What is known of a server's health from its answers.

use model::prelude::*;

/// Weight of one more outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// The share of failures halves in this time without outcomes, so that a server is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for which a server gets nothing after it could not be connected to, doubled each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(300);
/// The longest such time.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);
/// Time for which a server gets nothing after it refused a request as full.
const BUSY_BACKOFF: Duration = Duration::from_millis(80);
/// Time for which a server gets nothing after another one answered at its address: three
/// heartbeats of the sites.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(3_600);
/// A busy server that sends nothing for this time is suspected: a few times what a server of the
/// sites takes between two answers.
const SILENCE: Duration = Duration::from_millis(350);
/// Weight of one more first byte in the ratio of measured to expected times.
const PACE_WEIGHT: f64 = 0.1;
/// Bounds of that ratio.
const PACE_RANGE: (f64, f64) = (0.5, 6.0);

/// What is known of a server's health from its answers.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: f64,
    judged_at: Time,
    blocked_until: Time,
    backoff: Duration,
    heard_at: Time,
    busy_since: Option<Time>,
    pace: f64,
    /// Whether it could not be reached, and may have been restarted since.
    pub(crate) was_down: bool,
}

impl Health {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            failures: 0.0,
            judged_at: now,
            blocked_until: Time::default(),
            backoff: FIRST_BACKOFF,
            heard_at: now,
            busy_since: None,
            pace: 1.0,
            was_down: false,
        }
    }

    /// Returns whether the server gets nothing for now.
    pub(crate) fn is_blocked(&self, now: Time) -> bool {
        now < self.blocked_until
    }

    /// Returns the share of failures, lately.
    pub(crate) fn failures(&self, now: Time) -> f64 {
        let half_lives = now.since(self.judged_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5f64.powf(half_lives)
    }

    /// Returns how slow the server is against what is expected, 1 being as expected.
    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns for how long the server has been silent beyond what is usual while it had work.
    pub(crate) fn silence(&self, now: Time) -> Duration {
        let Some(busy_since) = self.busy_since else { return Duration::ZERO };
        now.since(self.heard_at.max(busy_since)).saturating_sub(SILENCE)
    }

    pub(crate) fn heard(&mut self, now: Time) {
        self.heard_at = now;
    }

    /// Notes how many attempts run.
    pub(crate) fn busy(&mut self, now: Time, attempts: u32) {
        if attempts == 0 {
            self.busy_since = None;
        } else if self.busy_since.is_none() {
            self.busy_since = Some(now);
        }
    }

    /// Notes an outcome that tells of the server's health.
    pub(crate) fn outcome(&mut self, now: Time, failed: bool) {
        let failures = self.failures(now);
        self.failures = failures + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - failures);
        self.judged_at = now;
        if !failed {
            self.backoff = FIRST_BACKOFF;
        }
    }

    pub(crate) fn not_connected(&mut self, now: Time) {
        self.outcome(now, true);
        self.was_down = true;
        if !self.is_blocked(now) {
            self.blocked_until = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    pub(crate) fn rejected(&mut self, now: Time, is_misdirected: bool) {
        let span = if is_misdirected { MISDIRECTED_BACKOFF } else { BUSY_BACKOFF };
        self.blocked_until = self.blocked_until.max(now + span);
    }

    /// Learns from the time to a first byte.
    pub(crate) fn first_byte(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace += PACE_WEIGHT * (ratio - self.pace);
    }
}
