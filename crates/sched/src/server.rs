//! One backend server: cold start, ejection and load.

use std::{cmp::Reverse, collections::BTreeSet};

use model::prelude::*;

use crate::{reach::Reach, start::ServerConfig};

/// How old a sign that a server still is the same run may be for work above the cold limit.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(1);

/// How long a load report counts.
const REPORT_WINDOW: Duration = Duration::from_secs(5);

/// Load reports in a row that may time out before a server counts as cold.
const MAX_TIMED_OUT: u32 = 3;

/// Failures in a row that eject a server.
const MAX_FAILURES: u32 = 3;

/// The shortest ejection; each further one takes twice as long.
const MIN_EJECTION: Duration = Duration::from_secs(1);

/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(32);

/// The part of a new sample in the moving average of slowness.
const SLOWNESS_SHARE: f64 = 0.2;

/// Completed attempts before a server counts as slow.
const MIN_SLOWNESS_SAMPLES: u32 = 8;

/// A backend server as the cell sees it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) plan: ServerConfig,
    /// Grants that are not given back.
    pub(crate) running: u32,
    /// Grants that may be asked back: lowest tier first, youngest first.
    pub(crate) preemptible: BTreeSet<(Reverse<Tier>, Reverse<Time>, GrantId)>,
    /// Counts the cold starts.
    pub(crate) epoch: u64,
    /// Orders servers by their last grant.
    pub(crate) granted_at: u64,
    warmth: Warmth,
    proved_at: Option<Time>,
    incarnation: Option<u64>,
    report: Option<Report>,
    peak: u32,
    timed_out: u32,
    failures: u32,
    ejection: Ejection,
    slowness: Slowness,
    reach: Reach,
}

/// How far the cold start has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Warmth {
    /// The server itself says that it is cold: completed attempts don't raise the limit.
    DeclaredCold,
    /// Each completed attempt raises the limit, up to the plan's.
    Ramping {
        /// Attempts at a time.
        limit: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Time,
    /// Attempts in the server beyond the cell's own grants.
    foreign: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Ejection {
    until: Time,
    times: u32,
    slow: bool,
}

/// Service time against what is expected of the class.
#[derive(Clone, Copy, Debug, Default)]
struct Slowness {
    samples: u32,
    ratio: f64,
}

impl Server {
    /// A server in its cold start.
    pub(crate) fn cold(plan: ServerConfig) -> Self {
        Self {
            plan,
            running: 0,
            preemptible: BTreeSet::new(),
            epoch: 0,
            granted_at: 0,
            warmth: Warmth::Ramping { limit: plan.cold_limit },
            proved_at: None,
            incarnation: None,
            report: None,
            peak: 0,
            timed_out: 0,
            failures: 0,
            ejection: Ejection::default(),
            slowness: Slowness::default(),
            reach: Reach::default(),
        }
    }

    /// Takes the plan of a server whose former owner let it run this many attempts.
    pub(crate) fn hand_over(&mut self, now: Time, plan: ServerConfig, limit: u32) {
        self.plan = plan;
        self.warmth = Warmth::Ramping { limit };
        self.proved_at = Some(now);
    }

    /// Takes a new plan. A server that opens again starts cold.
    pub(crate) fn set_plan(&mut self, plan: ServerConfig) {
        let opens = plan.open && !self.plan.open;
        self.plan = plan;
        if opens {
            self.turn_cold();
        }
    }

    /// Returns the limit that the ramp has reached.
    pub(crate) fn ramp(&self) -> u32 {
        let cold_limit = self.plan.cold_limit.min(self.plan.limit);
        match self.warmth {
            Warmth::DeclaredCold => cold_limit,
            Warmth::Ramping { limit } => limit.clamp(cold_limit, self.plan.limit),
        }
    }

    /// Returns how many attempts the server may run now.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        if !self.plan.open || self.is_shut_out(now) {
            return 0;
        }
        let cold_limit = self.plan.cold_limit.min(self.plan.limit);
        if self.reach.is_down() {
            return if self.reach.is_probe_due(now) { cold_limit.min(1) } else { 0 };
        }
        if !self.is_proved(now) || self.is_ejected(now) {
            return cold_limit.saturating_sub(self.foreign(now));
        }
        self.ramp().saturating_sub(self.foreign(now))
    }

    /// Returns how many more attempts may start.
    pub(crate) fn free(&self, now: Time) -> u32 {
        self.limit(now).saturating_sub(self.running)
    }

    /// Returns the running attempts as a part of the limit. An idle server is the least loaded one
    /// also where its cold limit is small, so that it gets the work that warms it.
    pub(crate) fn load(&self, now: Time) -> f64 {
        f64::from(self.running) / f64::from(self.limit(now).max(1))
    }

    /// Returns whether the server is down: it gets nothing but probes, however many others are.
    pub(crate) fn is_down(&self) -> bool {
        self.reach.is_down()
    }

    /// Returns since when load reads show that the server is down.
    pub(crate) fn unanswered_since(&self) -> Option<Time> {
        self.reach.unanswered_since()
    }

    /// Returns whether a request may count on the server, now or once it is free.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.plan.open && (!self.is_down() || self.free(now) > 0)
    }

    /// Returns whether the server is ejected.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejection.until
    }

    /// Returns whether the server is ejected for failures, and so gets nothing.
    pub(crate) fn is_shut_out(&self, now: Time) -> bool {
        self.is_ejected(now) && !self.ejection.slow
    }

    /// Returns the service time against what is expected, once it can be told.
    pub(crate) fn slowness(&self) -> Option<f64> {
        (self.slowness.samples >= MIN_SLOWNESS_SAMPLES).then_some(self.slowness.ratio)
    }

    /// Returns whether the server has failed so often in a row that it should be ejected.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Counts a grant.
    pub(crate) fn start(&mut self) {
        self.running += 1;
        self.peak = self.peak.max(self.running);
    }

    /// Uncounts a grant.
    pub(crate) fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes an attempt that completed; `epoch` is from when it started. An attempt from before a
    /// cold start proves nothing.
    pub(crate) fn completed(&mut self, now: Time, epoch: Option<u64>) {
        if epoch != Some(self.epoch) {
            return;
        }
        if !self.reports(now) {
            self.declare_warm();
        }
        self.failures = 0;
        self.ejection.times = 0;
        self.proved_at = Some(now);
        if let Warmth::Ramping { limit } = &mut self.warmth {
            *limit = limit.saturating_add(1).min(self.plan.limit);
        }
    }

    /// Takes a service time against what is expected of the class.
    pub(crate) fn sample(&mut self, ratio: f64) {
        let slowness = &mut self.slowness;
        slowness.samples = slowness.samples.saturating_add(1);
        let share = SLOWNESS_SHARE.max(1.0 / f64::from(slowness.samples));
        slowness.ratio += share * (ratio - slowness.ratio);
    }

    /// Takes an attempt that the server failed.
    pub(crate) fn failed(&mut self) {
        self.failures += 1;
    }

    /// Takes an attempt that found no connection.
    pub(crate) fn connect_failed(&mut self, now: Time) {
        self.reach.connect_failed(now);
    }

    /// Takes an attempt that the server answered, which was granted at `since`.
    pub(crate) fn answered(&mut self, since: Time) {
        if self.reach.attempt_answered(since) {
            self.readmit();
        }
    }

    /// Forgets the failures of a server that was down.
    fn readmit(&mut self) {
        self.failures = 0;
        if !self.ejection.slow {
            self.ejection = Ejection::default();
        }
    }

    /// Takes the server's word that it has too much work.
    pub(crate) fn busy(&mut self) {
        self.failed();
        if let Warmth::Ramping { limit } = &mut self.warmth {
            *limit /= 2;
        }
    }

    /// Ejects the server; each time in a row for twice as long.
    pub(crate) fn eject(&mut self, now: Time, slow: bool) {
        let factor = 1 << self.ejection.times.min(5);
        let span = (MIN_EJECTION * factor).min(MAX_EJECTION);
        let times = self.ejection.times + 1;
        self.ejection = Ejection { until: now + span, times, slow };
        // One more failure ejects again.
        self.failures = MAX_FAILURES - 1;
        self.slowness = Slowness::default();
    }

    /// Starts the cold start: the server restarted, or may have.
    pub(crate) fn turn_cold(&mut self) {
        self.epoch += 1;
        self.proved_at = None;
        if let Warmth::Ramping { limit } = &mut self.warmth {
            *limit = self.plan.cold_limit;
        }
    }

    /// Takes the server's word that it is in its cold start.
    pub(crate) fn declare_cold(&mut self) {
        if self.warmth != Warmth::DeclaredCold {
            self.turn_cold();
            self.warmth = Warmth::DeclaredCold;
        }
    }

    /// Takes the server's word that it is not in its cold start, which still has to be proved.
    pub(crate) fn declare_warm(&mut self) {
        if self.warmth == Warmth::DeclaredCold {
            self.warmth = Warmth::Ramping { limit: self.plan.cold_limit };
        }
    }

    /// Takes a load report; returns whether it tells of a restart.
    pub(crate) fn report(&mut self, now: Time, report: &LoadReport) -> bool {
        let restarted = self.incarnation.is_some_and(|it| it != report.incarnation);
        self.incarnation = Some(report.incarnation);
        self.timed_out = 0;
        self.poll_answered(now);
        if restarted {
            self.turn_cold();
        }
        if report.cold {
            self.declare_cold();
        } else {
            self.declare_warm();
        }
        self.proved_at = Some(now);
        // The report is late: it may count grants that have been given back since.
        let own = self.peak.max(self.running);
        let foreign = report.running.saturating_add(report.queued).saturating_sub(own);
        self.report = Some(Report { at: now, foreign });
        self.peak = self.running;
        restarted
    }

    /// Takes a failure to read the load; returns whether the server counts as cold now.
    pub(crate) fn report_failed(&mut self, now: Time, err: LoadError) -> bool {
        match err {
            LoadError::Disconnected => {
                self.incarnation = None;
                self.reach.poll_refused(now);
            }
            LoadError::TimedOut => {
                self.timed_out += 1;
                self.reach.poll_silent(now);
            }
            LoadError::Malformed => {
                self.poll_answered(now);
                return false;
            }
        }
        if err == LoadError::TimedOut && self.timed_out < MAX_TIMED_OUT {
            return false;
        }
        self.timed_out = 0;
        self.turn_cold();
        true
    }

    fn poll_answered(&mut self, now: Time) {
        if self.reach.poll_answered(now) {
            self.readmit();
        }
    }

    /// Returns whether the server's load is known from its reports.
    fn reports(&self, now: Time) -> bool {
        self.report.is_some_and(|it| now.since(it.at) < REPORT_WINDOW)
    }

    fn is_proved(&self, now: Time) -> bool {
        self.proved_at.is_some_and(|at| now.since(at) < EVIDENCE_WINDOW)
    }

    fn foreign(&self, now: Time) -> u32 {
        self.report.filter(|it| now.since(it.at) < REPORT_WINDOW).map_or(0, |it| it.foreign)
    }
}
