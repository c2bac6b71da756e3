//! Metrics, sent to a statsd server over UDP.

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

/// The prefix of the names of all metrics.
const PREFIX: &str = "clementine";
/// Metrics that may wait to be sent; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4_096;

/// All metrics, each with its meaning. Their full names begin with `clementine.`.
pub const NAMES: [MetricName; 12] = [
    MetricName::new("request.admitted", "counter, by class: requests admitted"),
    MetricName::new("request.completed", "counter, by class and in_target: complete responses"),
    MetricName::new("request.refused", "counter, by class and reason: requests refused"),
    MetricName::new("request.rejected", "counter, by reason: requests refused before admission"),
    MetricName::new("attempt.retried", "counter: attempts that were made again"),
    MetricName::new("attempt.preempted", "counter: attempts cancelled for a higher tier"),
    MetricName::new("attempt.first_byte", "timer: start of an attempt to the first body byte"),
    MetricName::new("attempt.total", "timer: start of an attempt to the end of the response"),
    MetricName::new("connection.open", "gauge: open connections of callers"),
    MetricName::new("config.accepted", "counter: configuration documents accepted"),
    MetricName::new("config.rejected", "counter: configuration documents rejected by the check"),
    MetricName::new("shard.owned", "gauge: shards that this instance owns"),
];

/// The name of a metric with its meaning.
#[derive(Clone, Copy, Debug)]
pub struct MetricName {
    /// The name without the prefix.
    pub name: &'static str,
    /// The kind, the tags and the meaning.
    pub meaning: &'static str,
}

impl MetricName {
    const fn new(name: &'static str, meaning: &'static str) -> Self {
        Self { name, meaning }
    }
}

/// A client that sends metrics. A metric that cannot be sent is dropped silently, as statsd over
/// UDP gives no guarantee anyway.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends metrics to this address, or discards them if there is none.
    pub fn new(target: Option<SocketAddr>) -> io::Result<Self> {
        let client = match target {
            Some(target) => StatsdClient::from_sink(PREFIX, udp_sink(target)?),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(Self { client: Arc::new(client) })
    }

    /// Sends a metric of the reducer. `catalog` gives the names of classes.
    pub fn count(&self, metric: Metric, catalog: &Catalog) {
        match metric {
            Metric::Admitted(class) => self.count_admitted(class_name(catalog, class)),
            Metric::Completed { class, in_target } => {
                self.count_completed(class_name(catalog, class), in_target);
            }
            Metric::Refused { class, reason } => {
                self.count_refused(class_name(catalog, class), reason);
            }
            Metric::Retried => self.increment("attempt.retried"),
            Metric::Preempted => self.increment("attempt.preempted"),
            Metric::ConfigAccepted => self.increment("config.accepted"),
            Metric::ConfigRejected => self.increment("config.rejected"),
            Metric::ShardsOwned(count) => self.gauge("shard.owned", u64::from(count)),
        }
    }

    /// Counts a request that was refused before it was passed to the reducer.
    pub(crate) fn count_rejected(&self, reason: Reason) {
        let reason = reason_name(reason);
        self.client.count_with_tags("request.rejected", 1).with_tag("reason", &reason).send();
    }

    /// Records the times of an attempt, if it ended with a complete response.
    pub(crate) fn record_attempt(&self, end: AttemptEnd) {
        let AttemptEnd::Completed { first_byte, total, .. } = end else { return };
        self.client.time_with_tags("attempt.first_byte", first_byte).send();
        self.client.time_with_tags("attempt.total", total).send();
    }

    /// Sets the number of callers' open connections.
    pub(crate) fn record_connections(&self, count: usize) {
        self.gauge("connection.open", count as u64);
    }

    fn count_admitted(&self, class: &str) {
        self.client.count_with_tags("request.admitted", 1).with_tag("class", class).send();
    }

    fn count_completed(&self, class: &str, in_target: bool) {
        let in_target = if in_target { "true" } else { "false" };
        self.client
            .count_with_tags("request.completed", 1)
            .with_tag("class", class)
            .with_tag("in_target", in_target)
            .send();
    }

    fn count_refused(&self, class: &str, reason: Reason) {
        let reason = reason_name(reason);
        self.client
            .count_with_tags("request.refused", 1)
            .with_tag("class", class)
            .with_tag("reason", &reason)
            .send();
    }

    fn increment(&self, name: &str) {
        // An error is ignored: see the type's comment.
        let _ = self.client.incr(name);
    }

    fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}

/// Creates a sink that sends from its own thread, so that no other thread waits for the socket.
fn udp_sink(target: SocketAddr) -> io::Result<QueuingMetricSink> {
    let local = match target {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(local)?;
    let sink = BufferedUdpMetricSink::from(target, socket).map_err(io::Error::other)?;
    Ok(QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS))
}

fn class_name(catalog: &Catalog, class: ClassId) -> &str {
    catalog.classes.get(&class).map_or("unknown", |class| &class.name)
}

/// Returns the reason as it is written in error responses.
fn reason_name(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
