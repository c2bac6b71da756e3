//! The settings of one process.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::schema::{self, DAY_MS};

/// The lowest `retry_ms`: retries at shorter intervals would load a platform that fails.
const MIN_RETRY_MS: u64 = 10;
/// The highest `traffic_threads`.
const MAX_TRAFFIC_THREADS: usize = 1_024;

/// The settings of one process.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance in the platform's instance list.
    #[schemars(length(min = 1, max = 256))]
    pub instance: String,
    /// The name of its availability zone.
    #[schemars(regex(pattern = schema::NAME))]
    pub zone: String,
    /// The address to listen on for callers.
    #[schemars(with = "schema::Address")]
    pub listen: SocketAddr,
    /// The address to listen on for other instances.
    #[schemars(with = "schema::Address")]
    pub peer_listen: SocketAddr,
    /// The address to listen on for operators: dumps, health and readiness.
    #[schemars(with = "schema::Address")]
    pub admin_listen: SocketAddr,
    /// The address to send metrics to, by statsd over UDP. If absent, none are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<schema::Address>")]
    pub metrics: Option<SocketAddr>,
    /// The platform's services.
    pub platform: Platform,
    /// The `peer_listen` addresses of other instances. They are asked for the configuration and the
    /// instance list until both are known, in case the platform is unreachable at startup.
    #[serde(default)]
    #[schemars(with = "Vec<schema::Address>")]
    pub seeds: Vec<SocketAddr>,
    /// The limits of this process.
    #[serde(default)]
    pub limits: Limits,
    /// The times that shard ownership depends on. They must be the same in the whole fleet.
    #[serde(default)]
    pub ownership: Ownership,
    /// How requests are scheduled. All values but the default are baselines for experiments.
    #[serde(default)]
    pub policy: Policy,
}

/// How requests are scheduled.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Scheduling by tier, deadline, fairness between client accounts, server load and prefix
    /// affinity.
    #[default]
    Tiered,
    /// Baseline: requests in the order of arrival, to the backend servers in turn.
    RoundRobin,
    /// Baseline: requests in the order of arrival, each to the least loaded backend server.
    Fifo,
    /// Baseline: as `fifo`, and each instance limits each account to an equal part of its rate.
    StaticLimits,
}

/// The platform's services, which are read over HTTP.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the configuration service.
    #[schemars(with = "schema::Address")]
    pub config: SocketAddr,
    /// The path of the configuration at the configuration service.
    #[serde(default = "default_config_path")]
    #[schemars(regex(pattern = schema::PATH))]
    pub config_path: String,
    /// The address of the service that publishes the instance list.
    #[schemars(with = "schema::Address")]
    pub instances: SocketAddr,
    /// The path of the instance list at that service.
    #[serde(default = "default_instances_path")]
    #[schemars(regex(pattern = schema::PATH))]
    pub instances_path: String,
    /// How long a read waits for a change of the document (long polling), in milliseconds.
    #[serde(default = "default_watch_ms")]
    #[schemars(range(min = 1, max = DAY_MS))]
    pub watch_ms: u64,
    /// The delay before the retry of a failed read, in milliseconds.
    #[serde(default = "default_retry_ms")]
    #[schemars(range(min = MIN_RETRY_MS, max = DAY_MS))]
    pub retry_ms: u64,
}

/// The limits of one process.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The number of threads that handle connections.
    #[schemars(range(min = 1, max = MAX_TRAFFIC_THREADS))]
    pub traffic_threads: usize,
    /// The most connections of callers at a time.
    #[schemars(range(min = 1))]
    pub connections: usize,
    /// The most requests at a time, waiting ones included.
    #[schemars(range(min = 1))]
    pub requests: usize,
    /// The largest body of a request, in bytes.
    #[schemars(range(min = 1))]
    pub body_bytes: usize,
    /// The time for a caller to send the head of a request, in milliseconds.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub head_ms: u64,
    /// The time for a caller to send the body of a request, in milliseconds.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub body_ms: u64,
    /// How long a caller's connection may stay idle between requests, and how long the caller may
    /// accept no data of a response, in milliseconds.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub idle_ms: u64,
    /// The timeout of connecting to a backend server, in milliseconds.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub connect_ms: u64,
    /// How long a process that shuts down still accepts connections, so that load balancers notice
    /// first that it is not ready, in milliseconds.
    #[schemars(range(max = DAY_MS))]
    pub drain_grace_ms: u64,
    /// How long a process that shuts down then waits for running requests, in milliseconds.
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
    /// How long an owner may use its shards after a read of the instance list or after enough
    /// acknowledged heartbeats, in milliseconds.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub lease_ms: u64,
    /// How far replicas of the instance list may lag behind each other, in milliseconds.
    #[schemars(range(max = DAY_MS))]
    pub list_lag_ms: u64,
    /// The safety margin where durations on the clocks of two processes are compared, in
    /// milliseconds.
    #[schemars(range(max = DAY_MS))]
    pub margin_ms: u64,
    /// The time between rounds of heartbeats, in milliseconds.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub heartbeat_ms: u64,
    /// The time within which all instances have a new configuration, in milliseconds.
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
