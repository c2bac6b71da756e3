//! Metrics over statsd.

use std::{
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{
    BufferedUdpMetricSink, Counted as _, CountedExt as _, Gauged as _, NopMetricSink,
    QueuingMetricSink, StatsdClient, Timed as _,
};
use config::Catalog;
use control::Metric;
use model::prelude::*;

/// The prefix of all metrics.
const PREFIX: &str = "clementine";
/// Metrics that wait to be sent; more are dropped.
const QUEUE: usize = 4_096;

/// The metrics that are sent, each with its meaning. All names begin with `clementine.`.
pub const NAMES: [MetricName; 12] = [
    MetricName::new("request.admitted", "counter, by class: requests admitted"),
    MetricName::new("request.completed", "counter, by class and in_target: whole answers"),
    MetricName::new("request.refused", "counter, by class and reason: refusals"),
    MetricName::new("request.rejected", "counter, by reason: refusals before admission"),
    MetricName::new("attempt.retried", "counter: attempts that were made again"),
    MetricName::new("attempt.preempted", "counter: attempts cancelled for a higher tier"),
    MetricName::new("attempt.first_byte", "timer: start of an attempt to the answer's first byte"),
    MetricName::new("attempt.total", "timer: start of an attempt to the end of the answer"),
    MetricName::new("connection.open", "gauge: connections of callers"),
    MetricName::new("config.accepted", "counter: configuration documents accepted"),
    MetricName::new("config.rejected", "counter: configuration documents refused by the check"),
    MetricName::new("shard.owned", "gauge: shards that this instance owns"),
];

/// The name of a metric with its meaning.
#[derive(Clone, Copy, Debug)]
pub struct MetricName {
    /// The name after the prefix.
    pub name: &'static str,
    /// The kind, the tags and the meaning.
    pub meaning: &'static str,
}

impl MetricName {
    const fn new(name: &'static str, meaning: &'static str) -> Self {
        Self { name, meaning }
    }
}

/// Sends metrics. A metric that cannot be sent is lost without a word: statsd over UDP promises no
/// more.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends metrics to this address, or nowhere.
    pub fn new(target: Option<SocketAddr>) -> io::Result<Self> {
        let client = match target {
            Some(target) => StatsdClient::from_sink(PREFIX, udp_sink(target)?),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(Self { client: Arc::new(client) })
    }

    /// Counts a metric of the control state. Classes are named as in `catalog`.
    pub fn count(&self, metric: Metric, catalog: &Catalog) {
        match metric {
            Metric::Admitted(class) => self.admitted(class_name(catalog, class)),
            Metric::Completed { class, in_target } => {
                self.completed(class_name(catalog, class), in_target);
            }
            Metric::Refused { class, reason } => self.refused(class_name(catalog, class), reason),
            Metric::Retried => self.increment("attempt.retried"),
            Metric::Preempted => self.increment("attempt.preempted"),
            Metric::ConfigAccepted => self.increment("config.accepted"),
            Metric::ConfigRejected => self.increment("config.rejected"),
            Metric::ShardsOwned(count) => self.gauge("shard.owned", u64::from(count)),
        }
    }

    /// Counts a request that was refused before the control state heard of it.
    pub(crate) fn rejected(&self, reason: Reason) {
        let reason = reason_name(reason);
        self.client.count_with_tags("request.rejected", 1).with_tag("reason", &reason).send();
    }

    /// Notes how long an attempt took that gave a whole answer.
    pub(crate) fn attempt(&self, end: AttemptEnd) {
        let AttemptEnd::Completed { first_byte, total, .. } = end else { return };
        self.client.time_with_tags("attempt.first_byte", first_byte).send();
        self.client.time_with_tags("attempt.total", total).send();
    }

    /// Notes how many connections callers have.
    pub(crate) fn connections(&self, count: usize) {
        self.gauge("connection.open", count as u64);
    }

    fn admitted(&self, class: &str) {
        self.client.count_with_tags("request.admitted", 1).with_tag("class", class).send();
    }

    fn completed(&self, class: &str, in_target: bool) {
        let in_target = if in_target { "true" } else { "false" };
        self.client
            .count_with_tags("request.completed", 1)
            .with_tag("class", class)
            .with_tag("in_target", in_target)
            .send();
    }

    fn refused(&self, class: &str, reason: Reason) {
        let reason = reason_name(reason);
        self.client
            .count_with_tags("request.refused", 1)
            .with_tag("class", class)
            .with_tag("reason", &reason)
            .send();
    }

    fn increment(&self, name: &str) {
        // See the type's comment.
        let _ = self.client.incr(name);
    }

    fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}

/// Sends from a thread of its own, so that nobody waits for the socket.
fn udp_sink(target: SocketAddr) -> io::Result<QueuingMetricSink> {
    let local = match target {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(local)?;
    let sink = BufferedUdpMetricSink::from(target, socket).map_err(io::Error::other)?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUE))
}

fn class_name(catalog: &Catalog, class: ClassId) -> &str {
    catalog.classes.get(&class).map_or("unknown", |it| &it.name)
}

/// Returns the reason as callers see it.
fn reason_name(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
