//! The events that the reducer handles.

use std::sync::Arc;

use config::InstanceList;
pub use model::load::{LoadError, LoadReport};
use model::prelude::*;

/// What happened to an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of [`crate::State::next_wake`] has come.
    Tick,
    /// The instance list was read from the platform.
    ListRead {
        /// When the read began.
        asked_at: Time,
        /// Used only if its version is higher than that of the list in use.
        list: InstanceList,
    },
    /// A read of the instance list failed.
    ListFailed,
    /// The configuration was read from the platform.
    ConfigRead {
        /// The document, JSON.
        text: Arc<str>,
    },
    /// A read of the configuration failed.
    ConfigFailed,
    /// A message arrived from another instance.
    Message {
        /// The instance that sent it, and the incarnation of that instance.
        from: Peer,
        /// The message.
        msg: Msg,
    },
    /// A request arrived from a caller.
    Request(RequestHead),
    /// The request of an attempt was written completely to the backend server's connection.
    AttemptSent {
        /// Identifies the request, as in [`RequestHead::no`].
        no: RequestNo,
        /// The attempt, counted from 1.
        attempt: u32,
    },
    /// An attempt ended, with or without a response.
    AttemptEnded {
        /// Identifies the request, as in [`RequestHead::no`].
        no: RequestNo,
        /// The attempt, counted from 1.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// Whether the backend server reported that it is in its cold start.
        cold: bool,
    },
    /// A caller disconnected while its request had no running attempt.
    CallerLeft {
        /// Identifies the request, as in [`RequestHead::no`].
        no: RequestNo,
    },
    /// The load of a backend server that this instance watches was read, or could not be read.
    Load {
        /// The backend server, as in [`crate::Effect::Watch`].
        server: ServerId,
        /// The report, or why there is none.
        report: Result<LoadReport, LoadError>,
    },
    /// An engine responded to orders, or its response did not come in time.
    OrderAnswered {
        /// The engine, as in [`crate::Effect::Order`].
        server: ServerId,
        /// The configuration version that was sent with the orders as the fencing number.
        fence: Version,
        /// Whether the engine accepted the orders.
        accepted: bool,
    },
    /// The process was asked to shut down.
    Shutdown,
}

/// What the reducer needs to know of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifies the request in this process.
    pub no: RequestNo,
    /// Identifies the request for callers and backend servers.
    pub id: RequestId,
    /// When the request arrived.
    pub arrived: Time,
    /// The route that it matched, which limits how long the request may take.
    pub route: RouteId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The class that the caller chose, or the first one of the route. It sets the tier, the target
    /// and the longest wait.
    pub class: ClassId,
    /// Whether a request on this route may run more than once.
    pub idempotent: bool,
    /// The hash of the API key; `None` on an open route.
    pub key: Option<KeyHash>,
    /// The part of the prompt that engines may have cached.
    pub prefix: PrefixHash,
    /// The caller's idempotency key, if it sent one.
    pub idempotency: Option<Idempotency>,
}

/// A caller's idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct Idempotency {
    /// The hash of the key, the account and the route.
    pub key: IdempotencyId,
    /// Whether the caller marks the request as a resend.
    pub resend: bool,
}
