//! The effects of a step, which the daemon carries out.

use std::{fmt, net::SocketAddr, sync::Arc};

use config::{Catalog, Order};
use model::prelude::*;

/// What the daemon has to do after a step.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another instance. It may be lost.
    Send {
        /// The receiver; `InstanceId(0)` if only its address is known.
        to: InstanceId,
        /// The address to which other instances connect.
        address: SocketAddr,
        /// The message.
        msg: Msg,
    },
    /// Pass a command to the thread that serves a request.
    Request {
        /// Identifies the request, as in [`crate::RequestHead::no`].
        no: RequestNo,
        /// What the thread has to do next.
        command: RequestCommand,
    },
    /// Use this configuration for new requests.
    Install(Arc<Catalog>),
    /// Start to read a backend server's load at regular intervals, and report it in
    /// [`crate::Event::Load`].
    Watch {
        /// Identifies the backend server in the reports.
        server: ServerId,
        /// Where its load is read.
        address: SocketAddr,
    },
    /// Stop [`Effect::Watch`].
    Unwatch {
        /// The backend server that is no longer watched.
        server: ServerId,
    },
    /// Send orders to an engine, and report its response in [`crate::Event::OrderAnswered`].
    Order {
        /// Identifies the engine in the report.
        server: ServerId,
        /// Where the orders are sent.
        address: SocketAddr,
        /// The configuration version, as the fencing number.
        fence: Version,
        /// All orders of the engine.
        orders: Vec<Order>,
    },
    /// Report to the balancer whether this instance is ready.
    Ready(bool),
    /// Accept no new connections, and close each open one as soon as no request runs on it.
    StopListening,
    /// Exit the process with status 0.
    Exit,
    /// Update a metric.
    Count(Metric),
    /// Write a log line.
    Log(LogEntry),
}

/// What the thread that serves a request has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestCommand {
    /// Make an attempt at a backend server.
    Run(RunCommand),
    /// Respond with a refusal. If a part of the response was already sent to the caller, close the
    /// caller's connection instead. No further command follows.
    Refuse(Refusal),
    /// Cancel the running attempt, and report [`AttemptEnd::Preempted`], unless a byte of the
    /// response was already sent to the caller.
    Preempt {
        /// The number of the attempt; another one is not cancelled.
        attempt: u32,
    },
}

/// An attempt to make at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCommand {
    /// The attempt, counted from 1.
    pub attempt: u32,
    /// Names the backend server in log lines; the request goes to `address`.
    pub server: ServerId,
    /// Where the request is sent.
    pub address: SocketAddr,
    /// The class's tier, sent to engines as the priority.
    pub tier: Tier,
    /// The attempt must not start after this time. If it is too late, as after a pause of the
    /// process, it ends with [`AttemptEnd::Unused`].
    pub start_by: Time,
    /// When the first byte of the response must have come.
    pub first_byte_by: Time,
    /// When the response must have ended.
    pub end_by: Time,
    /// Whether the server can resume a stream. The attempt then asks only for the events that the
    /// caller has not received yet.
    pub resumes: bool,
}

/// A metric that the reducer counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// A request was admitted to its class.
    Admitted(ClassId),
    /// A request ended with a complete response.
    Completed {
        /// The class that the request was admitted to.
        class: ClassId,
        /// Whether the first byte came within the target of the class.
        in_target: bool,
    },
    /// A request was refused, before or after its admission.
    Refused {
        /// The class that the caller chose, or the first one of the route.
        class: ClassId,
        /// The reason that the caller gets.
        reason: Reason,
    },
    /// A failed attempt was retried.
    Retried,
    /// An attempt that was preempted or not started in time was retried.
    Preempted,
    /// A configuration document was accepted.
    ConfigAccepted,
    /// A configuration document did not pass its check.
    ConfigRejected,
    /// The number of shards that this instance owns.
    ShardsOwned(u32),
}

/// An event to log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEntry {
    /// A configuration came into force.
    ConfigInForce {
        /// The version that operators gave it, higher than that of the configuration it replaces.
        version: Version,
    },
    /// A configuration document did not pass its check.
    ConfigRejected {
        /// Its version, if it could be read.
        version: Option<Version>,
        /// The findings, one a line.
        findings: String,
    },
    /// This instance took over a shard.
    ShardTaken {
        /// The shard as `share ACCOUNT/ZONE` or `cell POOL/ZONE`, with ids in hexadecimal.
        shard: String,
    },
    /// This instance stopped owning a shard.
    ShardReleased {
        /// The shard, in the same form as in [`LogEntry::ShardTaken`].
        shard: String,
    },
    /// A platform service could not be read; the last document read stays in use.
    PlatformDown {
        /// The name of the service.
        service: &'static str,
    },
    /// An admitted request ended: it was completed or refused, or its caller left.
    RequestEnded {
        /// The id that callers and backend servers know it by.
        id: RequestId,
        /// How it ended.
        outcome: String,
    },
    /// The process started to shut down.
    ShuttingDown {
        /// Requests that are still served.
        requests: usize,
    },
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigInForce { version } => write!(f, "configuration {version} came into force"),
            Self::ConfigRejected { version: Some(version), findings } => {
                write!(f, "configuration {version} was rejected:\n{findings}")
            }
            Self::ConfigRejected { version: None, findings } => {
                write!(f, "a configuration was rejected:\n{findings}")
            }
            Self::ShardTaken { shard } => write!(f, "took over shard {shard}"),
            Self::ShardReleased { shard } => write!(f, "released shard {shard}"),
            Self::PlatformDown { service } => write!(f, "could not read the {service}"),
            Self::RequestEnded { id, outcome } => write!(f, "request {id}: {outcome}"),
            Self::ShuttingDown { requests } => write!(f, "shutting down with {requests} requests"),
        }
    }
}
