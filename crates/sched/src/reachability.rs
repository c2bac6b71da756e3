//! Whether a backend server can be reached, judged by load polls and attempts.

use model::prelude::*;

/// Load polls without a connection, and none answered in between, after which a server is down.
/// Load polls that time out in between don't restart the count.
const MAX_REFUSED_POLLS: u32 = 2;

/// Load polls that time out, and no load poll or attempt answered in between, after which a server
/// is down. Load polls without a connection in between don't restart the count.
const MAX_POLL_TIMEOUTS: u32 = 4;

/// Attempts without a connection, and no attempt or load poll answered in between, after which a
/// server is down, unless [`POLL_MAX_AGE`] prevents it.
const MAX_REFUSED_CONNECTS: u32 = 2;

/// While the last answered load poll is younger than this, attempts without a connection don't mark
/// a server as down: one instance that cannot connect must not take the server from the others.
const POLL_MAX_AGE: Duration = Duration::from_secs(1);

/// The delay before the first probe of a server that is down; it doubles after each failed probe.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(1);

/// The longest delay before a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(32);

/// Whether a server accepts connections and answers, by the results of load polls and attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reachability {
    /// When a load poll was last answered. None before the first answer, and from when a server
    /// that was down answers an attempt until its next answer to a poll: load polls that fail
    /// meanwhile don't mark it as down.
    last_poll_answer: Option<Time>,
    refused_polls: u32,
    poll_timeouts: u32,
    refused_connects: u32,
    down: Option<Down>,
}

#[derive(Clone, Copy, Debug)]
struct Down {
    since: Time,
    cause: Cause,
    probe_at: Time,
    failed_probes: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Cause {
    /// Attempts could not connect.
    Attempts,
    /// Load polls could not connect.
    RefusedPolls,
    /// Load polls timed out.
    PollTimeouts,
}

impl Reachability {
    pub(crate) fn is_down(&self) -> bool {
        self.down.is_some()
    }

    /// Returns whether the server is down and one attempt may probe whether it still is. A server
    /// that accepts connections without answering would block the attempt for long: only load
    /// polls, which it answered before, probe it.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        self.down.is_some_and(|down| down.cause != Cause::PollTimeouts && now >= down.probe_at)
    }

    /// Returns since when load polls show that the server is down; none if they don't.
    pub(crate) fn unresponsive_since(&self) -> Option<Time> {
        self.down.filter(|down| down.cause != Cause::Attempts).map(|down| down.since)
    }

    /// Records an answer to a load poll, valid or not; returns whether the server was down.
    pub(crate) fn poll_answered(&mut self, now: Time) -> bool {
        let was_down = self.is_down();
        *self = Self { last_poll_answer: Some(now), ..Self::default() };
        was_down
    }

    /// Records a load poll that could not connect.
    pub(crate) fn poll_refused(&mut self, now: Time) {
        self.refused_polls += 1;
        if self.last_poll_answer.is_some() && self.refused_polls >= MAX_REFUSED_POLLS {
            self.mark_down(now, Cause::RefusedPolls);
        }
    }

    /// Records a load poll that timed out.
    pub(crate) fn poll_timed_out(&mut self, now: Time) {
        self.poll_timeouts += 1;
        if self.last_poll_answer.is_some() && self.poll_timeouts >= MAX_POLL_TIMEOUTS {
            self.mark_down(now, Cause::PollTimeouts);
        }
    }

    /// Records an attempt that could not connect.
    pub(crate) fn connect_failed(&mut self, now: Time) {
        self.refused_connects += 1;
        if let Some(down) = &mut self.down {
            down.postpone_probe(now);
            return;
        }
        let is_polled = self.last_poll_answer.is_some_and(|at| now.since(at) < POLL_MAX_AGE);
        if !is_polled && self.refused_connects >= MAX_REFUSED_CONNECTS {
            self.mark_down(now, Cause::Attempts);
        }
    }

    /// Records that the server answered an attempt that was granted at `since`; returns whether
    /// the server was down and no longer is.
    pub(crate) fn attempt_answered(&mut self, since: Time) -> bool {
        self.poll_timeouts = 0;
        self.refused_connects = 0;
        let Some(down) = self.down else { return false };
        // Unless it was polls that timed out, an attempt from before the server went down says
        // nothing about it now: the report of its end may arrive late.
        let has_recovered = since >= down.since || down.cause == Cause::PollTimeouts;
        if has_recovered {
            *self = Self::default();
        }
        has_recovered
    }

    fn mark_down(&mut self, now: Time, cause: Cause) {
        match &mut self.down {
            Some(down) => down.cause = cause,
            None => {
                let probe_at = now + MIN_PROBE_DELAY;
                self.down = Some(Down { since: now, cause, probe_at, failed_probes: 0 });
            }
        }
    }
}

impl Down {
    /// Doubles the delay after a failed probe. Attempts that fail before the probe is due were not
    /// the probe, and change nothing.
    fn postpone_probe(&mut self, now: Time) {
        if now < self.probe_at {
            return;
        }
        self.failed_probes += 1;
        let delay = MIN_PROBE_DELAY * (1 << self.failed_probes.min(5));
        self.probe_at = now + delay.min(MAX_PROBE_DELAY);
    }
}
