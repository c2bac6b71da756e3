//! Counters and histograms, served as text.

use std::fmt;

use dispatch::LogEntry;
use model::prelude::*;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the buckets for times, in seconds: the targets of the sites lie among them.
const TIME_BUCKETS: [f64; 12] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 1.2, 2.0, 4.0, 12.0];

/// The metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    answered: Family<Route, Counter>,
    in_target: Family<Route, Counter>,
    first_byte: Family<Route, Histogram>,
    total: Family<Route, Histogram>,
    refused: Family<Refused, Counter>,
    attempts: Counter,
    failed: Family<Failed, Counter>,
    callers_left: Counter,
    pub(crate) connections_opened: Counter,
    pub(crate) connections_reused: Counter,
    pub(crate) callers: Gauge,
    members: Gauge,
    config_version: Gauge,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Route {
    route: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Refused {
    reason: String,
    execution: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Failed {
    end: String,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let times = || Histogram::new(TIME_BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("clementine"),
            answered: Family::default(),
            in_target: Family::default(),
            first_byte: Family::new_with_constructor(times),
            total: Family::new_with_constructor(times),
            refused: Family::default(),
            attempts: Counter::default(),
            failed: Family::default(),
            callers_left: Counter::default(),
            connections_opened: Counter::default(),
            connections_reused: Counter::default(),
            callers: Gauge::default(),
            members: Gauge::default(),
            config_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let it = &mut self.registry;
        it.register("answered", "Requests with a whole answer", self.answered.clone());
        it.register("in_target", "Answers that began within the target", self.in_target.clone());
        it.register("first_byte_seconds", "Arrival to first byte", self.first_byte.clone());
        it.register("total_seconds", "Arrival to the end of the answer", self.total.clone());
        it.register("refused", "Requests that were refused", self.refused.clone());
        it.register("attempts", "Attempts at backend servers", self.attempts.clone());
        it.register("attempts_failed", "Attempts without a whole answer", self.failed.clone());
        it.register("callers_left", "Callers that went away", self.callers_left.clone());
        it.register(
            "connections_opened",
            "Connections opened to backend servers",
            self.connections_opened.clone(),
        );
        it.register(
            "connections_reused",
            "Attempts on a connection that was open",
            self.connections_reused.clone(),
        );
        it.register("caller_connections", "Connections of callers", self.callers.clone());
        it.register("members", "Instances that live", self.members.clone());
        it.register("config_version", "Version in force", self.config_version.clone());
    }

    /// Counts a decision.
    pub(crate) fn count(&self, note: &LogEntry) {
        match note {
            LogEntry::Attempt { .. } => {
                self.attempts.inc();
            }
            LogEntry::AttemptFailed { end, .. } => {
                let end = crate::journal::end_name(*end).to_owned();
                self.failed.get_or_create(&Failed { end }).inc();
            }
            LogEntry::Answered { route, first_byte, total, in_target, .. } => {
                self.answer(route, *first_byte, *total, *in_target);
            }
            LogEntry::Refused { refusal, .. } | LogEntry::Rejected { refusal, .. } => {
                self.refusal(*refusal);
            }
            LogEntry::CallerLeft { .. } => {
                self.callers_left.inc();
            }
            LogEntry::MemberFound { alive, .. } | LogEntry::MemberLost { alive, .. } => {
                self.members.set(i64::try_from(*alive).unwrap_or(i64::MAX));
            }
            LogEntry::Config { version, .. } => {
                self.config_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
            }
            _ => {}
        }
    }

    fn refusal(&self, refusal: Refusal) {
        let reason = format!("{:?}", refusal.reason);
        let execution = format!("{:?}", refusal.execution);
        self.refused.get_or_create(&Refused { reason, execution }).inc();
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn answer(&self, route: &str, first_byte: Duration, total: Duration, in_target: bool) {
        let route = Route { route: route.to_owned() };
        self.answered.get_or_create(&route).inc();
        self.first_byte.get_or_create(&route).observe(first_byte.as_secs_f64());
        self.total.get_or_create(&route).observe(total.as_secs_f64());
        if in_target {
            self.in_target.get_or_create(&route).inc();
        }
    }
}
