//! What an instance is to do.

use std::{fmt, net::SocketAddr, sync::Arc};

use config::{Catalog, Order};
use model::prelude::*;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another instance; it may get lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// Its address.
        address: SocketAddr,
        /// The message.
        msg: Msg,
    },
    /// Tell the thread that serves a request how to go on.
    Request {
        /// The request.
        no: RequestNo,
        /// How to go on.
        command: RequestCommand,
    },
    /// Use this configuration for new requests.
    Install(Arc<Catalog>),
    /// Read a backend server's load again and again.
    Watch {
        /// The backend server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
    },
    /// Stop [`Effect::Watch`].
    Unwatch {
        /// The backend server.
        server: ServerId,
    },
    /// Send orders to an engine.
    Order {
        /// The engine.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
        /// The configuration version, as the fencing number.
        fence: Version,
        /// The orders.
        orders: Vec<Order>,
    },
    /// Report readiness to the balancer.
    Ready(bool),
    /// Take no new connections and requests.
    StopListening,
    /// End the process with status 0.
    Exit,
    /// Count a metric.
    Count(Metric),
    /// Write a log line.
    Log(LogEntry),
}

/// How a request goes on.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestCommand {
    /// Make an attempt at a backend server.
    Run(RunCommand),
    /// Answer with a refusal; if a part of the answer has gone to the caller already, close the
    /// caller's connection instead.
    Refuse(Refusal),
    /// Cancel the attempt that runs, and report [`AttemptEnd::Preempted`] unless a byte of the
    /// answer has gone to the caller already.
    Preempt {
        /// The attempt.
        attempt: u32,
    },
}

/// An attempt at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCommand {
    /// The attempt, counted from 1.
    pub attempt: u32,
    /// The backend server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The class's tier, told to engines as priority.
    pub tier: Tier,
    /// The attempt must not start after this time; a process that paused reports
    /// [`AttemptEnd::Unused`].
    pub start_by: Time,
    /// The first byte of the answer must have come by this time.
    pub first_byte_by: Time,
    /// The answer must have ended by this time.
    pub end_by: Time,
    /// Whether the server resumes a stream: the attempt asks for the events that the caller does
    /// not have yet.
    pub resumes: bool,
}

/// A metric that the reducer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// A request was admitted to its class.
    Admitted(ClassId),
    /// A request ended with a whole answer.
    Completed {
        /// The class.
        class: ClassId,
        /// Whether the first byte came within the class's target.
        in_target: bool,
    },
    /// A request was refused.
    Refused {
        /// The class.
        class: ClassId,
        /// Why.
        reason: Reason,
    },
    /// An attempt was made again.
    Retried,
    /// An attempt was cancelled for a higher tier.
    Preempted,
    /// A configuration document was accepted.
    ConfigAccepted,
    /// A configuration document was refused by its check.
    ConfigRejected,
    /// Shards that this instance owns.
    ShardsOwned(u32),
}

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEntry {
    /// A configuration is in force.
    ConfigInForce {
        /// Its version.
        version: Version,
    },
    /// A configuration document was refused.
    ConfigRejected {
        /// Its version, if it could be read.
        version: Option<Version>,
        /// The findings, one a line.
        findings: String,
    },
    /// A shard is owned from now on.
    ShardTaken {
        /// The shard.
        shard: String,
    },
    /// A shard is not owned any more.
    ShardReleased {
        /// The shard.
        shard: String,
    },
    /// The platform cannot be read; what was read last stays in use.
    PlatformDown {
        /// Which service.
        service: &'static str,
    },
    /// A request ended.
    RequestEnded {
        /// The request.
        id: RequestId,
        /// What became of it.
        outcome: String,
    },
    /// The process shuts down.
    ShuttingDown {
        /// Requests that are still served.
        requests: usize,
    },
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigInForce { version } => write!(f, "configuration {version} is in force"),
            Self::ConfigRejected { version: Some(version), findings } => {
                write!(f, "configuration {version} is refused:\n{findings}")
            }
            Self::ConfigRejected { version: None, findings } => {
                write!(f, "a configuration is refused:\n{findings}")
            }
            Self::ShardTaken { shard } => write!(f, "took shard {shard}"),
            Self::ShardReleased { shard } => write!(f, "left shard {shard}"),
            Self::PlatformDown { service } => write!(f, "cannot read the {service}"),
            Self::RequestEnded { id, outcome } => write!(f, "request {id}: {outcome}"),
            Self::ShuttingDown { requests } => write!(f, "shutting down with {requests} requests"),
        }
    }
}
