//! What an instance is to do.

use std::{net::SocketAddrV4, sync::Arc};

use gossip::OutgoingPacket;
use model::prelude::*;

use crate::{Attempt, AttemptEnd, RequestKey};

/// What an instance is to do.
#[derive(Debug)]
pub enum Effect {
    /// Tell the task of a request what to do next.
    Command {
        /// The request.
        key: RequestKey,
        /// What to do.
        command: Command,
    },
    /// Read the platform sooner than was due: another instance knows more.
    ReadPlatform,
    /// Send a packet to another instance.
    Send(OutgoingPacket),
    /// Close the idle connections to a server: it was restarted or is gone.
    Disconnect {
        /// Where it listens.
        address: SocketAddrV4,
    },
    /// Tell the balancer whether to send callers here.
    Ready(bool),
    /// Accept no more connections, and close those that are idle.
    StopListening,
    /// End the process.
    Exit,
    /// Log what was decided.
    Log(LogEntry),
}

/// What the task of a request is to do next.
#[derive(Debug)]
pub enum Command {
    /// Make an attempt.
    Run(Attempt),
    /// Pass on the answer that is held back.
    Deliver,
    /// Refuse the request, or break off its answer where it has begun.
    Refuse(Refusal),
}

/// A decision, with what it rests on.
#[derive(Debug)]
pub enum LogEntry {
    /// A configuration is in force.
    Config {
        /// Its version.
        version: Version,
        /// The number of its routes.
        routes: usize,
    },
    /// A server may be used.
    ServerFound {
        /// Its name.
        server: Arc<str>,
        /// For how long it is cold.
        cold: Duration,
    },
    /// A server gets nothing more.
    ServerLost {
        /// Its name.
        server: Arc<str>,
        /// Why.
        why: &'static str,
    },
    /// The zones that are taken out changed.
    ZonesEvacuated {
        /// How many are out.
        zones: usize,
    },
    /// Another instance was found.
    MemberFound {
        /// Where it takes packets.
        address: SocketAddrV4,
        /// How many live now.
        alive: usize,
    },
    /// Another instance stopped sending packets.
    MemberLost {
        /// Where it took packets.
        address: SocketAddrV4,
        /// How many live now.
        alive: usize,
    },
    /// Whether this instance is ready changed.
    Ready {
        /// Whether it is.
        ready: bool,
        /// Why.
        why: &'static str,
    },
    /// A request goes to a server.
    Attempt {
        /// The request.
        id: Arc<str>,
        /// The attempt's number.
        number: u32,
        /// The server.
        server: Arc<str>,
        /// The version of the configuration that routed the request.
        version: Version,
        /// The expected time to the first byte.
        expected: Duration,
        /// Own attempts at the server.
        own: u32,
        /// Attempts of other instances there.
        others: u32,
        /// Time that the request waited.
        waited: Duration,
    },
    /// An attempt ended without a whole answer.
    AttemptFailed {
        /// The request.
        id: Arc<str>,
        /// The server.
        server: Arc<str>,
        /// How it ended.
        end: AttemptEnd,
        /// What follows.
        next: &'static str,
    },
    /// A request was answered.
    Answered {
        /// The request.
        id: Arc<str>,
        /// The route.
        route: Box<str>,
        /// From its arrival to the first byte.
        first_byte: Duration,
        /// From its arrival to the end.
        total: Duration,
        /// Whether the first byte came within the route's target.
        in_target: bool,
    },
    /// A request was refused.
    Refused {
        /// The request.
        id: Arc<str>,
        /// The route.
        route: Box<str>,
        /// Why, and whether it may have run.
        refusal: Refusal,
        /// Time since its arrival.
        after: Duration,
        /// Age of the view of the platform.
        view_age: Option<Duration>,
    },
    /// A request was refused before it was read whole.
    Rejected {
        /// The request.
        id: Arc<str>,
        /// Its host.
        host: String,
        /// Its path, without the query.
        path: String,
        /// Why.
        refusal: Refusal,
        /// The version of the configuration that says so.
        version: Option<Version>,
        /// Age of the view of the platform.
        view_age: Option<Duration>,
    },
    /// The caller of a request went away.
    CallerLeft {
        /// The request.
        id: Arc<str>,
        /// Time since its arrival.
        after: Duration,
    },
    /// The process was asked to stop.
    ShuttingDown {
        /// Requests that are under way.
        requests: usize,
    },
}
