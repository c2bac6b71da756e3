//! How requests and attempts end.

use std::time::Duration;

use serde::Serialize;

/// Whether a request without a complete response may have been executed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte of the request reached a backend server, or the server stated that it did not run
    /// the request.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is not well formed.
    BadRequest,
    /// The head or the body is larger than the settings allow.
    TooLarge,
    /// The caller took too long to send the request.
    SlowCaller,
    /// No route matches the method and the path, or no pool serves the model.
    NoRoute,
    /// The route requires a key and the request has no valid one.
    NoKey,
    /// The client account has used up its rate.
    OverRate,
    /// The capacity is not enough to serve the request within the target of its class.
    Capacity,
    /// The pool has no usable backend server.
    NoServer,
    /// Which software version began the stream that the request takes up is not known.
    OriginUnknown,
    /// No usable backend server has the software version that began the stream.
    OriginGone,
    /// The instance is starting or shutting down.
    NotReady,
    /// The owner of an account share or a cell that the request needs cannot be reached.
    NoOwner,
    /// A request with the same idempotency key was seen before.
    Duplicate,
    /// It is not known whether a request with the same idempotency key ran before.
    MaybeDuplicate,
    /// A part of the prompt has ended the backend servers that began to answer it.
    Quarantined,
    /// The backend server failed or its response was incomplete.
    ServerFailed,
    /// The backend server did not respond in time.
    ServerTimeout,
    /// The caller closed the connection.
    CallerLeft,
}

/// The refusal of a request, as the caller receives it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct Refusal {
    /// Why the request was refused; the status of the response depends on it.
    pub reason: Reason,
    /// Whether the request may have run.
    pub execution: Execution,
    /// After which time to retry; `None` if a retry is not expected to help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { reason, execution: Execution::NotRun, retry_after: None }
    }

    /// Refuses a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, execution: Execution::Unknown, retry_after: None }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The whole response was received.
    Completed {
        /// From the start of the attempt to the first byte of the response body.
        first_byte: Duration,
        /// From the start of the attempt to the end of the response.
        total: Duration,
        /// Output tokens: the events of a stream, 1 for any other response.
        tokens: u32,
    },
    /// No connection was established; no byte was sent.
    ConnectFailed,
    /// The server rejected the request and stated that it did not run it.
    ServerBusy,
    /// The connection failed, or the response was truncated or belonged to another request.
    Broken {
        /// Whether a byte of the response had already been sent to the caller.
        answered: bool,
    },
    /// The server did not respond in time.
    TimedOut {
        /// Whether a byte of the response had already been sent to the caller.
        answered: bool,
    },
    /// The caller closed the connection.
    CallerLeft,
    /// The attempt was cancelled to free the server for a request of a higher tier.
    Preempted,
    /// The grant was not used.
    Unused,
}
