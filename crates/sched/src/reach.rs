//! Whether a backend server can be reached at all.

use model::prelude::*;

/// Load reads in a row that find no connection before a server is down.
const MAX_REFUSED_POLLS: u32 = 2;

/// Load reads in a row without an answer, and no attempt completed between, before a server is
/// down.
const MAX_SILENT_POLLS: u32 = 4;

/// Attempts in a row that find no connection before a server is down.
const MAX_REFUSED_CONNECTS: u32 = 2;

/// While load reads are answered at least this often, they alone tell whether a server is down:
/// one instance that cannot connect must not take a server from the others.
const POLL_WINDOW: Duration = Duration::from_secs(1);

/// The first probe of a server that is down; each further one waits twice as long.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(1);

/// The longest time between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(32);

/// What attempts and load reads tell of a server's connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// The last answered load read, unless load reads fail while attempts complete.
    polled_at: Option<Time>,
    refused_polls: u32,
    silent_polls: u32,
    refused_connects: u32,
    down: Option<Down>,
}

#[derive(Clone, Copy, Debug)]
struct Down {
    since: Time,
    cause: Cause,
    probe_at: Time,
    probes: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Cause {
    /// Attempts found no connection.
    Attempts,
    /// Load reads found no connection.
    RefusedPolls,
    /// Load reads got no answer.
    SilentPolls,
}

impl Reach {
    /// Returns whether the server is down.
    pub(crate) fn is_down(&self) -> bool {
        self.down.is_some()
    }

    /// Returns whether the server is down and one attempt may find out whether it still is. A
    /// server that accepts connections and does not answer would hold the attempt for long: it is
    /// probed by load reads alone, which it answered before.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        self.down.is_some_and(|it| it.cause != Cause::SilentPolls && now >= it.probe_at)
    }

    /// Returns since when load reads show that the server is down.
    pub(crate) fn unanswered_since(&self) -> Option<Time> {
        self.down.filter(|it| it.cause != Cause::Attempts).map(|it| it.since)
    }

    /// Takes an answer to a load read, whatever it says; returns whether the server was down.
    pub(crate) fn poll_answered(&mut self, now: Time) -> bool {
        let was_down = self.is_down();
        *self = Self { polled_at: Some(now), ..Self::default() };
        was_down
    }

    /// Takes a load read that found no connection.
    pub(crate) fn poll_refused(&mut self, now: Time) {
        self.refused_polls += 1;
        if self.polled_at.is_some() && self.refused_polls >= MAX_REFUSED_POLLS {
            self.go_down(now, Cause::RefusedPolls);
        }
    }

    /// Takes a load read that got no answer in time.
    pub(crate) fn poll_silent(&mut self, now: Time) {
        self.silent_polls += 1;
        if self.polled_at.is_some() && self.silent_polls >= MAX_SILENT_POLLS {
            self.go_down(now, Cause::SilentPolls);
        }
    }

    /// Takes an attempt that found no connection.
    pub(crate) fn connect_failed(&mut self, now: Time) {
        self.refused_connects += 1;
        if let Some(down) = &mut self.down {
            down.postpone_probe(now);
            return;
        }
        let is_polled = self.polled_at.is_some_and(|at| now.since(at) < POLL_WINDOW);
        if !is_polled && self.refused_connects >= MAX_REFUSED_CONNECTS {
            self.go_down(now, Cause::Attempts);
        }
    }

    /// Takes an attempt that the server answered, which was granted at `since`; returns whether
    /// the server is not down any more.
    pub(crate) fn attempt_answered(&mut self, since: Time) -> bool {
        self.silent_polls = 0;
        self.refused_connects = 0;
        let Some(down) = self.down else { return false };
        // An answer from before the server went down may come late.
        let is_news = since >= down.since || down.cause == Cause::SilentPolls;
        if is_news {
            *self = Self::default();
        }
        is_news
    }

    fn go_down(&mut self, now: Time, cause: Cause) {
        match &mut self.down {
            Some(down) => down.cause = cause,
            None => {
                let probe_at = now + MIN_PROBE_DELAY;
                self.down = Some(Down { since: now, cause, probe_at, probes: 0 });
            }
        }
    }
}

impl Down {
    /// Waits longer after a probe that failed. Attempts from before the probe was due say nothing
    /// new.
    fn postpone_probe(&mut self, now: Time) {
        if now < self.probe_at {
            return;
        }
        self.probes += 1;
        let delay = MIN_PROBE_DELAY * (1 << self.probes.min(5));
        self.probe_at = now + delay.min(MAX_PROBE_DELAY);
    }
}
