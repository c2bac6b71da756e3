//! The health of a backend server, as its responses show it.

use model::prelude::*;

/// The weight of the latest outcome in the failure rate, an exponential moving average.
const OUTCOME_WEIGHT: f64 = 0.15;
/// The failure rate halves in this time without outcomes, so that a server that failed gets
/// requests again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// A server that could not be connected to gets no requests for this time, which doubles with each
/// further failure to connect.
const FIRST_BACKOFF: Duration = Duration::from_millis(300);
/// The longest time for which such a server gets no requests.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);
/// A server that rejected a request because it is full gets no requests for this time.
const REJECTED_BACKOFF: Duration = Duration::from_millis(80);
/// A server gets no requests for this time after another one answered at its address: three of the
/// heartbeats, 1.2 s apart, with which servers keep themselves listed at the platform.
const MISDIRECTED_BACKOFF: Duration = Duration::from_millis(3_600);
/// A server with running attempts that sends nothing for longer than this is suspected of having
/// failed, and each further millisecond raises its cost. It is a few times what a healthy server
/// takes between two responses.
const USUAL_SILENCE: Duration = Duration::from_millis(350);
/// The weight of the latest response in the slowdown, an exponential moving average.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// The range to which the ratio of measured to expected time to first byte is limited.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 6.0);

/// The health of a backend server, as its responses show it.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// The failure rate at `rated_at`, from 0 to 1.
    failure_rate: f64,
    rated_at: Time,
    backed_off_until: Time,
    /// How long the server is backed off after the next failure to connect.
    backoff: Duration,
    last_bytes_at: Time,
    /// Since when at least one attempt runs; `None` if none does.
    busy_since: Option<Time>,
    slowdown: f64,
    /// Whether no connection could be established since the server last sent something. It may have
    /// been restarted meanwhile.
    pub(crate) was_unreachable: bool,
}

impl Health {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            failure_rate: 0.0,
            rated_at: now,
            backed_off_until: Time::default(),
            backoff: FIRST_BACKOFF,
            last_bytes_at: now,
            busy_since: None,
            slowdown: 1.0,
            was_unreachable: false,
        }
    }

    /// Returns whether the server gets no requests for now.
    pub(crate) fn is_backed_off(&self, now: Time) -> bool {
        now < self.backed_off_until
    }

    /// Returns the share of recent attempts that failed, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: Time) -> f64 {
        let half_lives = now.since(self.rated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5f64.powf(half_lives)
    }

    /// Returns the ratio of measured to expected time to first byte: 1 is as expected, more is
    /// slower.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns for how long a server with running attempts has sent nothing, beyond what is usual.
    pub(crate) fn excess_silence(&self, now: Time) -> Duration {
        let Some(busy_since) = self.busy_since else { return Duration::ZERO };
        now.since(self.last_bytes_at.max(busy_since)).saturating_sub(USUAL_SILENCE)
    }

    /// Returns when the server last sent something; when it became known if it has not.
    pub(crate) fn last_bytes_at(&self) -> Time {
        self.last_bytes_at
    }

    /// Records that the server has sent something.
    pub(crate) fn bytes_received(&mut self, now: Time) {
        self.last_bytes_at = now;
    }

    /// Sets how many attempts of this instance run at the server.
    pub(crate) fn set_attempts(&mut self, now: Time, attempts: u32) {
        if attempts == 0 {
            self.busy_since = None;
        } else if self.busy_since.is_none() {
            self.busy_since = Some(now);
        }
    }

    /// Records the outcome of an attempt. Outcomes that say nothing of the server's health, such as
    /// a caller that left, must not be recorded.
    pub(crate) fn record_outcome(&mut self, now: Time, failed: bool) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - rate);
        self.rated_at = now;
        if !failed {
            self.backoff = FIRST_BACKOFF;
        }
    }

    /// Records that no connection could be established. Attempts that fail while the server is
    /// backed off were started before, and do not extend the time.
    pub(crate) fn connect_failed(&mut self, now: Time) {
        self.record_outcome(now, true);
        self.was_unreachable = true;
        if !self.is_backed_off(now) {
            self.backed_off_until = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Records that the server did not run a request. `is_misdirected` says that another server
    /// answered at its address.
    pub(crate) fn rejected(&mut self, now: Time, is_misdirected: bool) {
        let span = if is_misdirected { MISDIRECTED_BACKOFF } else { REJECTED_BACKOFF };
        self.backed_off_until = self.backed_off_until.max(now + span);
    }

    /// Updates the slowdown with the time to first byte of an attempt.
    pub(crate) fn record_first_byte(&mut self, took: Duration, expected: Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
    }
}
