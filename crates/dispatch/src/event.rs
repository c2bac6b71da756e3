//! The events that the reducer handles.

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc};

use gossip::{LoadMessage, OriginMessage, Packet, SoftwareTag, TreeMessage, ViewSummary};
use model::prelude::*;

use crate::{
    AttemptEnd, Bounds, Catalog, Prompt, RequestKey, RequestRate, ResponseTrace, Routed, RunEnd,
    ServerEntry, ServerKey, TakenUp,
};

/// An event that the reducer handles.
#[derive(Debug)]
pub enum Event {
    /// The time that [`crate::State::next_wake`] returned has come.
    Tick,
    /// The settings were read again.
    Settings {
        /// Replace [`crate::Setup::bounds`].
        bounds: Bounds,
        /// Addresses of other instances that may be running.
        seeds: Vec<std::net::SocketAddrV4>,
    },
    /// Operators published a configuration.
    Config(Arc<Catalog>),
    /// The platform's complete list of servers.
    Listed(Vec<ServerEntry>),
    /// The entry of one server changed.
    Server(ServerChange),
    /// The complete set of evacuated zones.
    EvacuatedZones(BTreeSet<ZoneId>),
    /// The platform was read. All changes were passed on in events before this one.
    PlatformRead {
        /// A time up to which the view holds all changes: when the read began, or earlier.
        as_of: Time,
        /// The view that was read.
        view: ViewSummary,
    },
    /// A part of the changes was read from the platform; more may follow. Those of this part were passed
    /// on in events before this one.
    PlatformPartRead {
        /// When the read of this part began.
        seen_at: Time,
        /// The view with this part, which may lack later changes.
        view: ViewSummary,
    },
    /// The platform went back to an older copy of its content, which is listed next.
    PlatformRestored,
    /// A read of the platform failed.
    PlatformReadFailed,
    /// Changes were read from another instance. All were passed on in events before this one.
    PeerRead {
        /// A time at which that instance's view was up to date.
        as_of: Time,
        /// The view that was read.
        view: ViewSummary,
        /// The address at which that instance receives packets.
        peer: SocketAddrV4,
    },
    /// Another instance, from which changes were to be read, did not deliver them.
    PeerReadFailed,
    /// A packet of another instance arrived.
    Packet(Packet),
    /// A message of another instance along the broadcast tree arrived.
    Tree(TreeMessage),
    /// A sum of loads of another instance arrived.
    Loads(LoadMessage),
    /// A message of another instance about the origins of streams arrived.
    Origins(OriginMessage),
    /// The platform's history was read. The read of the platform that it is a part of ends after this event.
    HistoryRead {
        /// From when on.
        since: Time,
        /// The software versions of the servers that were listed then and may not be any more; `None` if the
        /// history does not show them.
        served: Option<Vec<ServedVersion>>,
    },
    /// A request of a caller was read completely.
    Request {
        /// Identifies the request in later events and commands.
        key: RequestKey,
        /// What the caller sent, and how it is routed.
        new: Box<NewRequest>,
    },
    /// The first byte of the request is being sent to the server.
    Sent {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
    },
    /// The first byte of the response arrived.
    FirstByte {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
    },
    /// The caller is about to get the first events of a stream.
    StreamBegun {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
    },
    /// No first byte arrived by the time that [`crate::State::leave_by`] gave.
    FirstByteDue {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
    },
    /// The server ended the connection, and with it the response: a whole one that has neither a length
    /// nor chunks, or one that broke off.
    ServerClosed {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
    },
    /// A response says that the server of a running attempt leaves.
    ServerLeaving {
        /// Identifies the request of the attempt, as in [`Event::Request`].
        key: RequestKey,
    },
    /// A rejection says that the server of a running attempt wants no requests of this instance.
    ServerPaused {
        /// Identifies the request of the attempt, as in [`Event::Request`].
        key: RequestKey,
        /// For how long, from now on.
        span: Duration,
    },
    /// A response of the server of a running attempt names a limit, or names none any more.
    ServerLimit {
        /// Identifies the request of the attempt, as in [`Event::Request`].
        key: RequestKey,
        /// The requests that the server takes from all instances together; `None` if it names no limit.
        rate: Option<RequestRate>,
    },
    /// Bytes arrived from a server.
    BytesReceived {
        /// The server, which is therefore reachable.
        server: ServerKey,
    },
    /// An attempt ended, with or without a response.
    Ended {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
        /// How it ended.
        end: AttemptEnd,
        /// For how long the server says that it stays cold; `None` if it says nothing.
        cold: Option<Duration>,
        /// What was read of the response, for the log.
        trace: ResponseTrace,
    },
    /// A [`crate::Command::EndRun`] was carried out.
    RunEnded {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
        /// What the server shows of the run.
        end: RunEnd,
    },
    /// An [`crate::Effect::CheckServer`] was carried out.
    ServerChecked {
        /// The server that was checked.
        server: ServerKey,
        /// Whether its address refuses connections: the server has ended.
        is_down: bool,
    },
    /// Operators demand that requests with a part of a prompt are held back.
    HoldPart {
        /// The id of the part.
        part: u64,
    },
    /// Operators demand that requests with a part of a prompt are not held back any more.
    ReleasePart {
        /// The id of the part.
        part: u64,
    },
    /// The caller closed the connection.
    CallerLeft {
        /// Identifies the request, as in [`Event::Request`].
        key: RequestKey,
    },
    /// The process was asked to stop.
    Shutdown,
}

/// A change of a server's entry.
#[derive(Clone, Debug)]
pub enum ServerChange {
    /// The server is listed with this entry, which is new or changed.
    Listed(ServerEntry),
    /// The server is not listed any more.
    Unlisted(ServerId),
}

/// A request that was read completely.
#[derive(Debug)]
pub struct NewRequest {
    /// Its id, which the caller has chosen.
    pub id: Arc<str>,
    /// Its route and account.
    pub routed: Routed,
    /// When its first byte arrived.
    pub arrived: Time,
    /// The time at which the caller gives up.
    pub caller_deadline: Time,
    /// Whether the caller said so; otherwise it is the time at which the route ends the request.
    pub states_deadline: bool,
    /// Its prompt; empty if it is not a generation.
    pub prompt: Prompt,
    /// The stream that it takes up; `None` if it starts anew.
    pub taken_up: Option<TakenUp>,
}

/// A software version that servers of a pool had.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServedVersion {
    /// The pool.
    pub pool: PoolId,
    /// The version.
    pub software: SoftwareTag,
}
