//! What happens to an instance.

use std::{collections::BTreeSet, sync::Arc};

use gossip::{Packet, ViewSummary};
use model::prelude::*;

use crate::{AttemptEnd, Bounds, Catalog, Prompt, RequestKey, Routed, ServerEntry, ServerKey};

/// What happens to an instance.
#[derive(Debug)]
pub enum Event {
    /// Time has passed: see [`crate::State::next_wake`].
    Tick,
    /// The settings were read again.
    Settings {
        /// The bounds that hold from now on.
        bounds: Bounds,
        /// Where other instances may take packets.
        seeds: Vec<std::net::SocketAddrV4>,
    },
    /// Operators published a configuration.
    Config(Arc<Catalog>),
    /// All servers that the platform lists.
    Listed(Vec<ServerEntry>),
    /// What the platform lists of a server changed.
    Server(ServerChange),
    /// The zones that operators have taken out.
    EvacuatedZones(BTreeSet<ZoneId>),
    /// The platform was read, and everything that it says was passed on.
    PlatformRead {
        /// When the read began.
        as_of: Time,
        /// What was read.
        view: ViewSummary,
    },
    /// The platform cannot be read.
    PlatformReadFailed,
    /// A packet of another instance.
    Packet(Packet),
    /// A request of a caller was read whole.
    Request {
        /// Names the request from now on.
        key: RequestKey,
        /// The request.
        new: Box<NewRequest>,
    },
    /// The request's first byte goes to the server.
    Sent {
        /// The request.
        key: RequestKey,
    },
    /// The first byte of the answer has come.
    FirstByte {
        /// The request.
        key: RequestKey,
    },
    /// Some bytes came from a server.
    BytesReceived {
        /// The server.
        server: ServerKey,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        key: RequestKey,
        /// How.
        end: AttemptEnd,
        /// For how long the server says that it is cold.
        cold: Option<Duration>,
    },
    /// The caller went away before an attempt was made.
    CallerLeft {
        /// The request.
        key: RequestKey,
    },
    /// The process was asked to stop.
    Shutdown,
}

/// What changed about a server.
#[derive(Clone, Debug)]
pub enum ServerChange {
    /// It is listed with these properties.
    Listed(ServerEntry),
    /// It is not listed any more.
    Unlisted(ServerId),
}

/// A request that was read whole.
#[derive(Debug)]
pub struct NewRequest {
    /// Its id, as the caller sent it.
    pub id: Arc<str>,
    /// Its route and account.
    pub routed: Routed,
    /// When its first byte came.
    pub arrived: Time,
    /// Until when the caller waits.
    pub caller_deadline: Time,
    /// Its prompt, if it is a generation.
    pub prompt: Prompt,
}
