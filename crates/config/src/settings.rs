//! The settings of one process.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::schema::{self, DAY_MS};

/// The shortest pause after a failed read of the platform, in milliseconds.
const MIN_RETRY_MS: u64 = 10;
/// The highest number of threads for traffic.
const MAX_THREADS: usize = 1_024;

/// The settings of one process, one JSON document.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the instance in the platform's instance list.
    #[schemars(length(min = 1, max = 256))]
    pub instance: String,
    /// The name of its availability zone.
    #[schemars(regex(pattern = schema::NAME))]
    pub zone: String,
    /// Where callers connect.
    #[schemars(with = "schema::Address")]
    pub listen: SocketAddr,
    /// Where other instances connect.
    #[schemars(with = "schema::Address")]
    pub peer_listen: SocketAddr,
    /// Where operators connect for dumps, health and readiness.
    #[schemars(with = "schema::Address")]
    pub admin_listen: SocketAddr,
    /// Where metrics go (statsd over UDP); nowhere if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<schema::Address>")]
    pub metrics: Option<SocketAddr>,
    /// The platform's services.
    pub platform: Platform,
    /// Other instances to ask for the configuration and the instance list while the platform is
    /// down.
    #[serde(default)]
    #[schemars(with = "Vec<schema::Address>")]
    pub seeds: Vec<SocketAddr>,
    /// Limits of this process.
    #[serde(default)]
    pub limits: Limits,
    /// Times that ownership depends on; the same in the whole fleet.
    #[serde(default)]
    pub ownership: Ownership,
    /// How requests are scheduled; all but the default are baselines for experiments.
    #[serde(default)]
    pub policy: Policy,
}

/// How requests are scheduled.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Tiers, deadlines, fairness between client accounts, load and prefix affinity.
    #[default]
    Tiered,
    /// Baseline: backend servers in turn, requests in the order of arrival.
    RoundRobin,
    /// Baseline: the least loaded backend server, requests in the order of arrival.
    Fifo,
    /// Baseline: as `fifo`, and each instance limits each account to its own equal part of the
    /// rate.
    StaticLimits,
}

/// The platform's services, HTTP.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the configuration service.
    #[schemars(with = "schema::Address")]
    pub config: SocketAddr,
    /// The path of the configuration there.
    #[serde(default = "default_config_path")]
    #[schemars(regex(pattern = schema::PATH))]
    pub config_path: String,
    /// The address of the instance list.
    #[schemars(with = "schema::Address")]
    pub instances: SocketAddr,
    /// The path of the instance list there.
    #[serde(default = "default_instances_path")]
    #[schemars(regex(pattern = schema::PATH))]
    pub instances_path: String,
    /// How long a watch waits for a change, in milliseconds.
    #[serde(default = "default_watch_ms")]
    #[schemars(range(min = 1, max = DAY_MS))]
    pub watch_ms: u64,
    /// The pause after a failed read, in milliseconds.
    #[serde(default = "default_retry_ms")]
    #[schemars(range(min = MIN_RETRY_MS, max = DAY_MS))]
    pub retry_ms: u64,
}

/// Limits of one process.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Threads for traffic.
    #[schemars(range(min = 1, max = MAX_THREADS))]
    pub traffic_threads: usize,
    /// Connections of callers.
    #[schemars(range(min = 1))]
    pub connections: usize,
    /// Requests being served, waiting ones included.
    #[schemars(range(min = 1))]
    pub requests: usize,
    /// Bytes of a request's body.
    #[schemars(range(min = 1))]
    pub body_bytes: usize,
    /// Milliseconds for a caller to send a request's head.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub head_ms: u64,
    /// Milliseconds for a caller to send a request's body.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub body_ms: u64,
    /// Milliseconds that a connection may stay idle between requests.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub idle_ms: u64,
    /// Milliseconds to connect to a backend server.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub connect_ms: u64,
    /// Milliseconds to keep accepting after a shutdown began, until the balancer has noticed.
    #[schemars(range(max = DAY_MS))]
    pub drain_grace_ms: u64,
    /// Milliseconds to wait for the last answer at shutdown.
    #[schemars(range(max = DAY_MS))]
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            traffic_threads: 2,
            connections: 4_096,
            requests: 4_096,
            body_bytes: 1 << 20,
            head_ms: 5_000,
            body_ms: 10_000,
            idle_ms: 60_000,
            connect_ms: 1_000,
            drain_grace_ms: 1_000,
            drain_ms: 30_000,
        }
    }
}

/// Times that ownership depends on; the same in the whole fleet.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Ownership {
    /// Milliseconds for which a read of the instance list or a round of acknowledgements lets an
    /// owner go on.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub lease_ms: u64,
    /// Milliseconds by which replicas of the instance list may lag behind each other.
    #[schemars(range(max = DAY_MS))]
    pub list_lag_ms: u64,
    /// Milliseconds added wherever two processes' clocks are compared.
    #[schemars(range(max = DAY_MS))]
    pub margin_ms: u64,
    /// Milliseconds between heartbeats.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub heartbeat_ms: u64,
    /// Milliseconds within which a configuration is in force everywhere.
    #[schemars(range(max = DAY_MS))]
    pub spread_ms: u64,
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            lease_ms: 2_000,
            list_lag_ms: 2_000,
            margin_ms: 200,
            heartbeat_ms: 250,
            spread_ms: 3_000,
        }
    }
}

fn default_config_path() -> String {
    "/config".to_owned()
}

fn default_instances_path() -> String {
    "/instances".to_owned()
}

fn default_watch_ms() -> u64 {
    1_000
}

fn default_retry_ms() -> u64 {
    200
}
