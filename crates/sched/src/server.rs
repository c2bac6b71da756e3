//! One backend server: warm-up after a cold start, ejection and load.

use std::{cmp::Reverse, collections::BTreeSet};

use model::prelude::*;

use crate::{reachability::Reachability, start::ServerConfig};

/// A server runs more than its cold limit only while the last evidence that it has not restarted,
/// a load report or a completed attempt, is younger than this.
pub const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(1);

/// A load report is ignored once it is this old.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// Load polls that time out, and no load report in between, after which a server counts as cold. A
/// poll without a connection makes it cold at once.
const MAX_REPORT_TIMEOUTS: u32 = 3;

/// Failed attempts, and none completed in between, that eject a server.
const MAX_FAILURES: u32 = 3;

/// The first ejection; each further one without a completed attempt in between lasts twice as
/// long.
const MIN_EJECTION: Duration = Duration::from_secs(1);

/// The doubling of ejections ends at this length.
const MAX_EJECTION: Duration = Duration::from_secs(32);

/// The weight of a new sample in the moving average of slowness; the first samples weigh more.
const SLOWNESS_SMOOTHING: f64 = 0.2;

/// Completed attempts before the slowness of a server is known.
const MIN_SLOWNESS_SAMPLES: u32 = 8;

/// What a cell knows of a backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) cfg: ServerConfig,
    /// The number of grants that have not been released.
    pub(crate) running: u32,
    /// Grants that may be preempted: lowest tier first, then youngest first.
    pub(crate) preemptible: BTreeSet<(Reverse<Tier>, Reverse<Time>, GrantId)>,
    /// The number of known or suspected cold starts.
    pub(crate) cold_starts: u64,
    /// The number that the last grant has among all grants of the cell; 0 without any.
    pub(crate) last_grant_no: u64,
    warm_up: WarmUp,
    /// When there was last evidence that the server has not restarted.
    evidence_at: Option<Time>,
    incarnation: Option<u64>,
    /// The last load report.
    report: Option<Report>,
    /// The highest value of `running` since the last load report.
    peak_running: u32,
    /// Load polls that timed out since the last load report, or since they last made the server
    /// cold.
    report_timeouts: u32,
    /// Failed attempts since the last completed one.
    failures: u32,
    ejection: Ejection,
    slowness: Slowness,
    reachability: Reachability,
}

/// How far a server has warmed up after a cold start.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum WarmUp {
    /// The server reports that it is cold: completed attempts don't raise the limit.
    ReportedCold,
    /// Each completed attempt raises the limit by one, up to the configured limit.
    Ramping {
        /// The most attempts at a time.
        limit: u32,
    },
}

/// What a load report said.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Time,
    /// Attempts in the server beyond the cell's own grants.
    other_attempts: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Ejection {
    until: Time,
    /// Ejections since the last completed attempt.
    count: u32,
    /// Whether it is for slowness rather than for failures.
    slow: bool,
}

/// The moving average of service time divided by the mean of its class.
#[derive(Clone, Copy, Debug, Default)]
struct Slowness {
    samples: u32,
    ratio: f64,
}

impl Server {
    /// Creates a server in its cold start.
    pub(crate) fn cold(cfg: ServerConfig) -> Self {
        Self {
            cfg,
            running: 0,
            preemptible: BTreeSet::new(),
            cold_starts: 0,
            last_grant_no: 0,
            warm_up: WarmUp::Ramping { limit: cfg.cold_limit },
            evidence_at: None,
            incarnation: None,
            report: None,
            peak_running: 0,
            report_timeouts: 0,
            failures: 0,
            ejection: Ejection::default(),
            slowness: Slowness::default(),
            reachability: Reachability::default(),
        }
    }

    /// Continues the warm-up at the limit that the server had reached under the former owner.
    pub(crate) fn take_over(&mut self, now: Time, cfg: ServerConfig, limit: u32) {
        self.cfg = cfg;
        self.warm_up = WarmUp::Ramping { limit };
        self.evidence_at = Some(now);
    }

    /// Replaces the configuration. A server that was closed and opens again starts cold.
    pub(crate) fn set_config(&mut self, cfg: ServerConfig) {
        let reopens = cfg.open && !self.cfg.open;
        self.cfg = cfg;
        if reopens {
            self.restart_warm_up();
        }
    }

    /// Returns the limit that the warm-up has reached.
    pub(crate) fn ramp(&self) -> u32 {
        let cold_limit = self.cfg.cold_limit.min(self.cfg.limit);
        match self.warm_up {
            WarmUp::ReportedCold => cold_limit,
            WarmUp::Ramping { limit } => limit.clamp(cold_limit, self.cfg.limit),
        }
    }

    /// Returns the most attempts that the server may run now.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        if !self.cfg.open || self.is_ejected_for_failures(now) {
            return 0;
        }
        let cold_limit = self.cfg.cold_limit.min(self.cfg.limit);
        if self.reachability.is_down() {
            return if self.reachability.is_probe_due(now) { cold_limit.min(1) } else { 0 };
        }
        if !self.has_recent_evidence(now) || self.is_ejected(now) {
            return cold_limit.saturating_sub(self.other_attempts(now));
        }
        self.ramp().saturating_sub(self.other_attempts(now))
    }

    /// Returns how many more attempts may start now.
    pub(crate) fn free(&self, now: Time) -> u32 {
        self.limit(now).saturating_sub(self.running)
    }

    /// Returns the running attempts divided by the limit. An idle server has no load even if its
    /// cold limit is small, so that it is chosen first and warms up.
    pub(crate) fn load(&self, now: Time) -> f64 {
        f64::from(self.running) / f64::from(self.limit(now).max(1))
    }

    /// Returns whether the server cannot be reached. It gets nothing but probes then, even if all
    /// other servers are down too.
    pub(crate) fn is_down(&self) -> bool {
        self.reachability.is_down()
    }

    /// Returns since when load polls show that the server is down; none if they don't.
    pub(crate) fn unresponsive_since(&self) -> Option<Time> {
        self.reachability.unresponsive_since()
    }

    /// Returns whether the server can take a request, now or once attempts end.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.cfg.open && (!self.is_down() || self.free(now) > 0)
    }

    /// Returns whether the server is ejected, for failures or for slowness.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejection.until
    }

    /// Returns whether the server is ejected for failures and so gets nothing. One that is ejected
    /// for slowness keeps its cold limit.
    pub(crate) fn is_ejected_for_failures(&self, now: Time) -> bool {
        self.is_ejected(now) && !self.ejection.slow
    }

    /// Returns the service time divided by the mean of its class; none until enough attempts have
    /// completed.
    pub(crate) fn slowness(&self) -> Option<f64> {
        (self.slowness.samples >= MIN_SLOWNESS_SAMPLES).then_some(self.slowness.ratio)
    }

    /// Returns whether enough attempts have failed since the last completed one to eject the
    /// server.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Counts a new grant.
    pub(crate) fn add_grant(&mut self) {
        self.running += 1;
        self.peak_running = self.peak_running.max(self.running);
    }

    /// Counts a grant as ended.
    pub(crate) fn remove_grant(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records an attempt that completed; `cold_starts` is the server's count when it was granted.
    /// An attempt from before the last cold start is no evidence.
    pub(crate) fn completed(&mut self, now: Time, cold_starts: Option<u64>) {
        if cold_starts != Some(self.cold_starts) {
            return;
        }
        if !self.has_recent_report(now) {
            self.set_reported_warm();
        }
        self.failures = 0;
        self.ejection.count = 0;
        self.evidence_at = Some(now);
        if let WarmUp::Ramping { limit } = &mut self.warm_up {
            *limit = limit.saturating_add(1).min(self.cfg.limit);
        }
    }

    /// Records the service time of an attempt divided by the mean of its class.
    pub(crate) fn record_slowness(&mut self, ratio: f64) {
        let slowness = &mut self.slowness;
        slowness.samples = slowness.samples.saturating_add(1);
        let smoothing = SLOWNESS_SMOOTHING.max(1.0 / f64::from(slowness.samples));
        slowness.ratio += smoothing * (ratio - slowness.ratio);
    }

    /// Records an attempt that failed.
    pub(crate) fn failed(&mut self) {
        self.failures += 1;
    }

    /// Records an attempt that could not connect.
    pub(crate) fn connect_failed(&mut self, now: Time) {
        self.reachability.connect_failed(now);
    }

    /// Records that the server answered an attempt that was granted at `since`.
    pub(crate) fn answered(&mut self, since: Time) {
        if self.reachability.attempt_answered(since) {
            self.clear_failures();
        }
    }

    /// Clears the failures of a server that is no longer down.
    fn clear_failures(&mut self) {
        self.failures = 0;
        if !self.ejection.slow {
            self.ejection = Ejection::default();
        }
    }

    /// Records that the server rejected an attempt because it has too much work.
    pub(crate) fn rejected_as_busy(&mut self) {
        self.failed();
        if let WarmUp::Ramping { limit } = &mut self.warm_up {
            *limit /= 2;
        }
    }

    /// Ejects the server, for twice as long as the last time if no attempt completed since.
    pub(crate) fn eject(&mut self, now: Time, slow: bool) {
        let factor = 1 << self.ejection.count.min(5);
        let duration = (MIN_EJECTION * factor).min(MAX_EJECTION);
        let count = self.ejection.count + 1;
        self.ejection = Ejection { until: now + duration, count, slow };
        // After the ejection, the first failure ejects the server again.
        self.failures = MAX_FAILURES - 1;
        self.slowness = Slowness::default();
    }

    /// Returns to the cold limit, because the server restarted or may have.
    pub(crate) fn restart_warm_up(&mut self) {
        self.cold_starts += 1;
        self.evidence_at = None;
        if let WarmUp::Ramping { limit } = &mut self.warm_up {
            *limit = self.cfg.cold_limit;
        }
    }

    /// Records that the server reports to be in its cold start.
    pub(crate) fn set_reported_cold(&mut self) {
        if self.warm_up != WarmUp::ReportedCold {
            self.restart_warm_up();
            self.warm_up = WarmUp::ReportedCold;
        }
    }

    /// Records that the server does not report to be in its cold start. The limit then rises from
    /// the cold limit as attempts complete.
    pub(crate) fn set_reported_warm(&mut self) {
        if self.warm_up == WarmUp::ReportedCold {
            self.warm_up = WarmUp::Ramping { limit: self.cfg.cold_limit };
        }
    }

    /// Records a load report; returns whether it shows that the server restarted.
    pub(crate) fn report_received(&mut self, now: Time, report: &LoadReport) -> bool {
        let restarted = self.incarnation.is_some_and(|known| known != report.incarnation);
        self.incarnation = Some(report.incarnation);
        self.report_timeouts = 0;
        self.poll_answered(now);
        if restarted {
            self.restart_warm_up();
        }
        if report.cold {
            self.set_reported_cold();
        } else {
            self.set_reported_warm();
        }
        self.evidence_at = Some(now);
        // The report may be from before the release of grants that it counts.
        let own = self.peak_running.max(self.running);
        let other_attempts = report.running.saturating_add(report.queued).saturating_sub(own);
        self.report = Some(Report { at: now, other_attempts });
        self.peak_running = self.running;
        restarted
    }

    /// Records a load poll that failed; returns whether the server may have restarted and counts as
    /// cold now.
    pub(crate) fn poll_failed(&mut self, now: Time, err: LoadError) -> bool {
        match err {
            LoadError::Disconnected => {
                self.incarnation = None;
                self.reachability.poll_refused(now);
            }
            LoadError::TimedOut => {
                self.report_timeouts += 1;
                self.reachability.poll_timed_out(now);
            }
            LoadError::Malformed => {
                self.poll_answered(now);
                return false;
            }
        }
        if err == LoadError::TimedOut && self.report_timeouts < MAX_REPORT_TIMEOUTS {
            return false;
        }
        self.report_timeouts = 0;
        self.restart_warm_up();
        true
    }

    fn poll_answered(&mut self, now: Time) {
        if self.reachability.poll_answered(now) {
            self.clear_failures();
        }
    }

    /// Returns whether the last load report is recent enough to count.
    fn has_recent_report(&self, now: Time) -> bool {
        self.report.is_some_and(|report| now.since(report.at) < REPORT_MAX_AGE)
    }

    fn has_recent_evidence(&self, now: Time) -> bool {
        self.evidence_at.is_some_and(|at| now.since(at) < EVIDENCE_MAX_AGE)
    }

    fn other_attempts(&self, now: Time) -> u32 {
        self.report
            .filter(|report| now.since(report.at) < REPORT_MAX_AGE)
            .map_or(0, |report| report.other_attempts)
    }
}
