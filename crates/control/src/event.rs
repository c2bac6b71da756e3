//! What happens to an instance.

use std::sync::Arc;

use config::InstanceList;
pub use model::load::{LoadError, LoadReport};
use model::prelude::*;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The instance list was read.
    ListRead {
        /// When the read began.
        asked_at: Time,
        /// The list.
        list: InstanceList,
    },
    /// A read of the instance list failed.
    ListFailed,
    /// The configuration was read.
    ConfigRead {
        /// The document, JSON.
        text: Arc<str>,
    },
    /// A read of the configuration failed.
    ConfigFailed,
    /// A message came from another instance.
    Message {
        /// The sender.
        from: Peer,
        /// The message.
        msg: Msg,
    },
    /// A request came from a caller.
    Request(RequestHead),
    /// The request of an attempt was written whole to the backend server's connection.
    AttemptSent {
        /// The request.
        no: RequestNo,
        /// The attempt, counted from 1.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        no: RequestNo,
        /// The attempt, counted from 1.
        attempt: u32,
        /// How.
        end: AttemptEnd,
        /// Whether the backend server said that it is in its cold start.
        cold: bool,
    },
    /// A caller went away before its request had an attempt that runs.
    CallerLeft {
        /// The request.
        no: RequestNo,
    },
    /// A backend server that this instance watches reported its load, or failed to.
    Load {
        /// The backend server.
        server: ServerId,
        /// The report.
        report: Result<LoadReport, LoadError>,
    },
    /// A backend server answered an order.
    OrderAnswered {
        /// The backend server.
        server: ServerId,
        /// The configuration version that the order was fenced with.
        fence: Version,
        /// Whether the server took it.
        accepted: bool,
    },
    /// The process was asked to stop.
    Shutdown,
}

/// A request as the control state needs it.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Names the request in this process.
    pub no: RequestNo,
    /// Names the request to callers and backend servers.
    pub id: RequestId,
    /// When it arrived.
    pub arrived: Time,
    /// The route.
    pub route: RouteId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The class.
    pub class: ClassId,
    /// Whether the route says that it may run more than once.
    pub idempotent: bool,
    /// The client account and the hash of its key; none on an open route.
    pub key: Option<KeyHash>,
    /// The part of the prompt that engines may have cached.
    pub prefix: PrefixHash,
    /// The caller's idempotency key.
    pub idempotency: Option<Idempotency>,
}

/// A caller's idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct Idempotency {
    /// The key, hashed with account and route.
    pub key: IdempotencyId,
    /// Whether the caller says that it sent the request before.
    pub resend: bool,
}
