//! Metrics of the process, in the Prometheus text format.

use std::{fmt, sync::atomic::AtomicU64};

use dispatch::{LogEntry, RetryUse, State};
use model::prelude::*;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::traffic::Traffic;

/// Upper bounds of the histogram buckets for durations, in seconds. They include the deployments'
/// targets for the time to first byte.
const TIME_BUCKETS: [f64; 12] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 1.2, 2.0, 4.0, 12.0];

/// The metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    answered: Family<RouteLabels, Counter>,
    in_target: Family<RouteLabels, Counter>,
    first_byte: Family<RouteLabels, Histogram>,
    total: Family<RouteLabels, Histogram>,
    refused: Family<RefusalLabels, Counter>,
    attempts: Counter,
    failed: Family<AttemptLabels, Counter>,
    faults: Family<FaultLabels, Counter>,
    continued: Counter,
    runs_left: Family<RunLabels, Counter>,
    streams_taken_up: Family<TakenUpLabels, Counter>,
    callers_left: Counter,
    pub(crate) connections_opened: Counter,
    pub(crate) connections_reused: Counter,
    pub(crate) caller_connections: Gauge,
    members: Gauge,
    config_version: Gauge,
    view_age: Gauge<f64, AtomicU64>,
    views_differ: Counter,
    ended_late: Counter,
    limit_divisor: Gauge,
    retries: Family<RetryLabels, Counter>,
    retries_from_slack: Family<RetryLabels, Counter>,
    retries_denied: Family<RetryLabels, Counter>,
    servers_ended: Counter,
    servers_leaving: Counter,
    server_pauses: Counter,
    limited_servers: Gauge,
    stream_origins: Gauge,
    quarantined_parts: Gauge,
    pub(crate) traffic: Traffic,
    accounts_above_share: Gauge,
    requests_waiting: Gauge,
    fleet_load_members: Gauge,
    fleet_load_age: Gauge<f64, AtomicU64>,
    leaving_share: Family<LeavingLabels, Gauge<f64, AtomicU64>>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct RefusalLabels {
    reason: String,
    execution: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct AttemptLabels {
    end: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct FaultLabels {
    fault: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct RunLabels {
    evidence: &'static str,
    ended: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct TakenUpLabels {
    evidence: &'static str,
    goes_on: &'static str,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct LeavingLabels {
    pool: String,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct RetryLabels {
    pool: String,
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
            faults: Family::default(),
            continued: Counter::default(),
            runs_left: Family::default(),
            streams_taken_up: Family::default(),
            callers_left: Counter::default(),
            connections_opened: Counter::default(),
            connections_reused: Counter::default(),
            caller_connections: Gauge::default(),
            members: Gauge::default(),
            config_version: Gauge::default(),
            view_age: Gauge::default(),
            views_differ: Counter::default(),
            ended_late: Counter::default(),
            limit_divisor: Gauge::default(),
            retries: Family::default(),
            retries_from_slack: Family::default(),
            retries_denied: Family::default(),
            servers_ended: Counter::default(),
            servers_leaving: Counter::default(),
            server_pauses: Counter::default(),
            limited_servers: Gauge::default(),
            stream_origins: Gauge::default(),
            quarantined_parts: Gauge::default(),
            traffic: Traffic::default(),
            accounts_above_share: Gauge::default(),
            requests_waiting: Gauge::default(),
            fleet_load_members: Gauge::default(),
            fleet_load_age: Gauge::default(),
            leaving_share: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "answered",
            "Requests whose response was delivered completely",
            self.answered.clone(),
        );
        registry.register(
            "in_target",
            "Responses whose first byte arrived within the target",
            self.in_target.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time from arrival to the first byte",
            self.first_byte.clone(),
        );
        registry.register(
            "total_seconds",
            "Time from arrival to the end of the response",
            self.total.clone(),
        );
        registry.register("refused", "Requests that were refused", self.refused.clone());
        registry.register("attempts", "Attempts at backend servers", self.attempts.clone());
        registry.register(
            "attempts_failed",
            "Attempts without a complete response",
            self.failed.clone(),
        );
        registry.register(
            "response_faults",
            "Responses of servers that were not used, or not to their end",
            self.faults.clone(),
        );
        registry.register(
            "responses_continued",
            "Responses that went on at another server",
            self.continued.clone(),
        );
        registry.register(
            "runs_left",
            "Runs whose response broke off midway, by what their server showed and whether that proves their end",
            self.runs_left.clone(),
        );
        registry.register(
            "streams_taken_up",
            "Streams that callers took up again, by what showed the software version that began them and whether they go on",
            self.streams_taken_up.clone(),
        );
        registry.register(
            "callers_left",
            "Requests whose caller disconnected",
            self.callers_left.clone(),
        );
        registry.register(
            "connections_opened",
            "Connections opened to backend servers",
            self.connections_opened.clone(),
        );
        registry.register(
            "connections_reused",
            "Attempts that reused an idle connection",
            self.connections_reused.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
        registry.register("members", "Instances that are alive", self.members.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "view_age_seconds",
            "Time since the view of the platform was last known to be up to date",
            self.view_age.clone(),
        );
        registry.register(
            "views_differ",
            "Messages of instances with the same view by its digest and another configuration",
            self.views_differ.clone(),
        );
        registry.register(
            "ended_late",
            "Requests that ended well after their route's timeout or their caller's deadline",
            self.ended_late.clone(),
        );
        registry.register(
            "limit_divisor",
            "Instances by which limits of the fleet are divided",
            self.limit_divisor.clone(),
        );
        registry.register("retries", "Retries sent", self.retries.clone());
        registry.register(
            "retries_from_slack",
            "Retries reserved from the slack of the budget",
            self.retries_from_slack.clone(),
        );
        registry.register(
            "retries_denied",
            "Retries for which nothing was left in the budget",
            self.retries_denied.clone(),
        );
        registry.register(
            "servers_leaving",
            "Backend servers that said in a response that they leave",
            self.servers_leaving.clone(),
        );
        registry.register(
            "server_pauses",
            "Pauses for which backend servers asked in rejections, extensions included",
            self.server_pauses.clone(),
        );
        registry.register(
            "stream_origins",
            "Streams whose software version is remembered",
            self.stream_origins.clone(),
        );
        registry.register(
            "limited_servers",
            "Backend servers that name a limit on the requests of the fleet",
            self.limited_servers.clone(),
        );
        registry.register(
            "servers_ended",
            "Servers that ended while requests of this instance were unanswered",
            self.servers_ended.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Parts of prompts that are held back as they end servers",
            self.quarantined_parts.clone(),
        );
        self.traffic.register(registry);
        registry.register(
            "requests_waiting",
            "Requests that wait at this instance for a server",
            self.requests_waiting.clone(),
        );
        registry.register(
            "fleet_load_members",
            "Instances whose load is in the total that this one knows; 0 if it knows none",
            self.fleet_load_members.clone(),
        );
        registry.register(
            "fleet_load_age_seconds",
            "Upper bound on the age of that total",
            self.fleet_load_age.clone(),
        );
        registry.register(
            "accounts_above_share",
            "Client accounts that ask for more than their share of the engines",
            self.accounts_above_share.clone(),
        );
        registry.register(
            "leaving_share",
            "The share of requests that may leave the zone, as logged last",
            self.leaving_share.clone(),
        );
    }

    /// Updates the metrics for a decision.
    pub(crate) fn count(&self, entry: &LogEntry) {
        match entry {
            LogEntry::Attempt { .. } => {
                self.attempts.inc();
            }
            LogEntry::AttemptFailed { end, trace, .. } => {
                let end = crate::journal::end_name(*end).to_owned();
                self.failed.get_or_create(&AttemptLabels { end }).inc();
                if let Some(fault) = trace.fault {
                    self.faults.get_or_create(&FaultLabels { fault }).inc();
                }
            }
            LogEntry::Continued { .. } => {
                self.continued.inc();
            }
            LogEntry::RunLeft { evidence, has_ended, .. } => {
                let ended = if *has_ended { "true" } else { "false" };
                self.runs_left.get_or_create(&RunLabels { evidence, ended }).inc();
            }
            LogEntry::TakenUp { evidence, goes_on, .. } => {
                let goes_on = if *goes_on { "true" } else { "false" };
                self.streams_taken_up.get_or_create(&TakenUpLabels { evidence, goes_on }).inc();
            }
            LogEntry::Answered { route, first_byte, total, in_target, .. } => {
                self.count_answered(route, *first_byte, *total, *in_target);
            }
            LogEntry::Refused { refusal, .. } | LogEntry::Rejected { refusal, .. } => {
                self.count_refusal(*refusal);
            }
            LogEntry::Malformed { .. } => self.count_refusal(Refusal::not_run(Reason::BadRequest)),
            LogEntry::CallerLeft { .. } => {
                self.callers_left.inc();
            }
            LogEntry::MemberFound { alive, .. } | LogEntry::MemberLost { alive, .. } => {
                self.members.set(i64::try_from(*alive).unwrap_or(i64::MAX));
            }
            LogEntry::Config { version, .. } => {
                self.config_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
            }
            LogEntry::ViewsDiffer { .. } => {
                self.views_differ.inc();
            }
            LogEntry::EndedLate { .. } => {
                self.ended_late.inc();
            }
            LogEntry::LimitDivisor { divisor, .. } => {
                self.limit_divisor.set((*divisor).into());
            }
            LogEntry::Retries { pool, used, .. } => self.count_retries(pool, *used),
            LogEntry::ServerLeaving { .. } => {
                self.servers_leaving.inc();
            }
            LogEntry::ServerPaused { .. } => {
                self.server_pauses.inc();
            }
            LogEntry::ServerEnded { .. } => {
                self.servers_ended.inc();
            }
            LogEntry::Quarantine { held, .. } => {
                self.quarantined_parts.set(i64::try_from(*held).unwrap_or(i64::MAX));
            }
            LogEntry::AccountExcess { accounts, .. } => {
                self.accounts_above_share.set(i64::try_from(*accounts).unwrap_or(i64::MAX));
            }
            LogEntry::LeavingShare { pool, share } => {
                let labels = LeavingLabels { pool: pool.to_string() };
                self.leaving_share.get_or_create(&labels).set(*share);
            }
            _ => {}
        }
    }

    fn count_retries(&self, pool: &str, used: RetryUse) {
        let labels = RetryLabels { pool: pool.to_owned() };
        self.retries.get_or_create(&labels).inc_by(used.sent.into());
        self.retries_from_slack.get_or_create(&labels).inc_by(used.from_slack.into());
        self.retries_denied.get_or_create(&labels).inc_by(used.denied.into());
    }

    fn count_refusal(&self, refusal: Refusal) {
        let reason = format!("{:?}", refusal.reason);
        let execution = format!("{:?}", refusal.execution);
        self.refused.get_or_create(&RefusalLabels { reason, execution }).inc();
    }

    /// Updates the metrics of what the reducer knows now.
    pub(crate) fn observe(&self, now: Time, state: &State) {
        let waiting = i64::try_from(state.waiting_count()).unwrap_or(i64::MAX);
        self.requests_waiting.set(waiting);
        let (members, age) = state.fleet_load(now).unwrap_or_default();
        self.fleet_load_members.set(members.into());
        self.fleet_load_age.set(age.as_secs_f64());
        self.stream_origins.set(i64::try_from(state.origin_count()).unwrap_or(i64::MAX));
        let limited = state.limited_servers(now).len();
        self.limited_servers.set(i64::try_from(limited).unwrap_or(i64::MAX));
        if let Some(age) = state.view_age(now) {
            self.view_age.set(age.as_secs_f64());
        }
    }

    /// Encodes all metrics.
    pub(crate) fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn count_answered(&self, route: &str, first_byte: Duration, total: Duration, in_target: bool) {
        let route = RouteLabels { route: route.to_owned() };
        self.answered.get_or_create(&route).inc();
        self.first_byte.get_or_create(&route).observe(first_byte.as_secs_f64());
        self.total.get_or_create(&route).observe(total.as_secs_f64());
        if in_target {
            self.in_target.get_or_create(&route).inc();
        }
    }
}
