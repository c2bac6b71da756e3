//! What the reducer decides.

use std::{net::SocketAddrV4, sync::Arc};

use gossip::{OutgoingLoadMessage, OutgoingOriginMessage, OutgoingPacket, OutgoingTreeMessage};
use model::prelude::*;

use crate::{
    Attempt, AttemptEnd, ConfigOrigin, FleetDemand, LeftRun, QuarantineChange, RequestKey,
    RequestRate, ResponseTrace, RetryUse, ServerKey, ViewSource,
};

/// An effect of a decision, which the instance carries out.
#[derive(Debug)]
pub enum Effect {
    /// Send a command to the task of a request.
    Command {
        /// Identifies the request, as in [`crate::Event::Request`].
        key: RequestKey,
        /// What the task has to do next.
        command: Command,
    },
    /// Read the platform now rather than when it is due, as another instance's view is newer.
    ReadPlatform,
    /// Send a packet to another instance.
    Send(OutgoingPacket),
    /// Send a message along the broadcast tree.
    SendTree(OutgoingTreeMessage),
    /// Send a sum of loads to another instance.
    SendLoads(OutgoingLoadMessage),
    /// Send a message about the origins of streams to another instance.
    SendOrigins(OutgoingOriginMessage),
    /// Close the idle connections to a server that has been restarted or is gone.
    Disconnect {
        /// The server's address.
        address: SocketAddrV4,
    },
    /// Connect to a server, to learn whether it has ended, and report that as
    /// [`crate::Event::ServerChecked`].
    CheckServer {
        /// Identifies the server in the event.
        server: ServerKey,
        /// Its address.
        address: SocketAddrV4,
    },
    /// Report from now on to the load balancer whether the instance is ready for callers.
    Ready(bool),
    /// Accept no more connections of callers, and close those that are idle.
    StopListening,
    /// End the process.
    Exit,
    /// Write a log entry about a decision.
    Log(LogEntry),
}

/// What the task of a request must do next.
#[derive(Debug)]
pub enum Command {
    /// Make an attempt.
    Run(Attempt),
    /// End the run of the last attempt, and report what its server shows of it as
    /// [`crate::Event::RunEnded`].
    EndRun(LeftRun),
    /// Pass on the response that is held back.
    Deliver,
    /// Refuse the request, or break off its response if that has begun.
    Refuse(Refusal),
}

/// The servers of a pool as a refused request found them.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct ServerSurvey {
    /// Servers that may get requests: neither draining nor backed off, nor cold beyond their rate.
    pub usable: u32,
    /// Usable servers that are full.
    pub full: u32,
    /// The least time to first byte that was expected at a usable server that is not full; `None`
    /// if there is none.
    pub least_expected: Option<Duration>,
}

/// A log entry about a decision, with the facts it is based on.
#[derive(Debug)]
pub enum LogEntry {
    /// A new configuration is in force.
    Config {
        /// The version that operators gave it, higher than that of the configuration it replaces.
        version: Version,
        /// The number of its routes.
        routes: usize,
        /// Time since the view before this change was confirmed; `None` before the first read.
        view_age: Option<Duration>,
        /// Where it was read.
        origin: ConfigOrigin,
    },
    /// Another instance has the same view of the platform by its digest, and yet another
    /// configuration.
    ViewsDiffer {
        /// The address at which it receives packets.
        peer: SocketAddrV4,
        /// The version of its configuration.
        peer_version: u64,
        /// The version of this instance's.
        version: u64,
    },
    /// A server was listed.
    ServerFound {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// For how long it stays cold.
        cold: Duration,
    },
    /// A server gets no more requests.
    ServerLost {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// Whether it is draining, is not listed any more, or was not listed again after the store
        /// came back.
        why: &'static str,
        /// The number of attempts that were decided for it and not sent yet.
        unsent: u32,
        /// Time since the view before this change was confirmed; `None` before the first read.
        view_age: Option<Duration>,
    },
    /// A server says in a response that it leaves. It gets no more requests until it starts again.
    ServerLeaving {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// The incarnation that leaves.
        incarnation: u64,
        /// The number of attempts that were decided for it and not sent yet.
        unsent: u32,
    },
    /// Another instance says that a server leaves. For a short time, others are preferred to it.
    ServerReportedLeaving {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// The incarnation that leaves.
        incarnation: u64,
    },
    /// A server says in a rejection that it wants no requests of this instance for some time.
    ServerPaused {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// The incarnation that says so.
        incarnation: u64,
        /// For how long from now on.
        span: Duration,
    },
    /// A server names in a response how many requests it takes from the whole fleet.
    ServerLimited {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// The incarnation that says so.
        incarnation: u64,
        /// The requests that it takes from all instances together.
        rate: RequestRate,
    },
    /// A server that had named a limit names none any more.
    ServerUnlimited {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// The incarnation that had named it.
        incarnation: u64,
    },
    /// A field of a server's response cannot be parsed and is ignored.
    IgnoredField {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// What is wrong with which field.
        error: String,
    },
    /// A server's entry is missing, and has probably expired while the platform was unreachable.
    ServerExpired {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// Time since the view before this change was confirmed; `None` before the first read.
        view_age: Option<Duration>,
        /// For how long reads of the platform have failed; `None` if the last one succeeded.
        failing: Option<Duration>,
    },
    /// A request was sent long after its server had been chosen.
    SentLate {
        /// The request's id.
        id: Arc<str>,
        /// The server's name.
        server: Arc<str>,
        /// Time since the server was chosen.
        after: Duration,
        /// Whether the server may still get requests: it is neither draining nor gone nor in an
        /// evacuated zone.
        is_eligible: bool,
    },
    /// The set of evacuated zones changed.
    ZonesEvacuated {
        /// The number of evacuated zones.
        zones: usize,
    },
    /// A server ended while requests were unanswered there.
    ServerEnded {
        /// The server's name in the platform's list.
        server: Arc<str>,
        /// The unanswered requests of this instance whose prompts have shared parts.
        unanswered: usize,
        /// The ids of these parts, without repeats.
        parts: Vec<u64>,
    },
    /// The parts of prompts that are held back changed.
    Quarantine {
        /// The part that is held back or released from now on.
        change: QuarantineChange,
        /// The number of parts that are held back now.
        held: usize,
    },
    /// A client account begins or ceases to ask for more than its share of the engines.
    AccountExcess {
        /// The account's name; its tag if the configuration has no such account.
        account: Box<str>,
        /// Whether it asks for more from now on. Its requests then wait behind others of their
        /// rank.
        is_above: bool,
        /// The prompt tokens a second that engines have to read for it in the whole fleet.
        tokens_per_s: u32,
        /// The same that any account may use; `None` if there is enough for all.
        share: Option<u32>,
        /// The number of accounts that ask for more than their share now.
        accounts: usize,
    },
    /// A request with a part that is held back is sent, to learn whether it still ends servers.
    QuarantineTrial {
        /// The request's id.
        id: Arc<str>,
    },
    /// The number of engines that are set apart for live streams changed.
    LiveEngines {
        /// The name of their pool.
        pool: Box<str>,
        /// How many are set apart now.
        count: usize,
        /// The demand of the whole fleet that decided it.
        demand: FleetDemand,
    },
    /// The share of the live streams to a pool of engines that may leave this instance's zone begins, ends
    /// or has changed by much.
    LeavingShare {
        /// The name of the pool.
        pool: Box<str>,
        /// The share, from 0 to 1.
        share: f64,
    },
    /// Another instance was found.
    MemberFound {
        /// The address at which it receives packets.
        address: SocketAddrV4,
        /// The number of instances that are alive now, including this one.
        alive: usize,
    },
    /// Another instance stopped sending packets.
    MemberLost {
        /// The address at which it received packets.
        address: SocketAddrV4,
        /// The number of instances that are alive now, including this one.
        alive: usize,
    },
    /// The number of instances by which limits of the fleet are divided changed.
    LimitDivisor {
        /// The number, with spares and instances that are assumed until gossip has found all.
        divisor: u32,
        /// The number of known instances that may run, including this one.
        members: usize,
    },
    /// What was done with the retry budget of a pool in the last second.
    Retries {
        /// The name of the pool.
        pool: Box<str>,
        /// What was done.
        used: RetryUse,
        /// The number of instances by which the fleet's slack is divided.
        divisor: u32,
    },
    /// The readiness of this instance changed.
    Ready {
        /// Whether it is ready now.
        ready: bool,
        /// Why it is not ready, or "serving".
        why: &'static str,
    },
    /// A request takes up a stream, and it was decided whether that goes on.
    TakenUp {
        /// The request's id.
        id: Arc<str>,
        /// What shows the software version that began the stream, or why it is not known.
        evidence: &'static str,
        /// Whether the stream goes on: the version is known and one of its servers is usable.
        goes_on: bool,
        /// Time since the request's arrival.
        took: Duration,
    },
    /// A request goes to a server.
    Attempt {
        /// The request's id.
        id: Arc<str>,
        /// The attempt's number among the request's attempts, from 1.
        number: u32,
        /// The server's name.
        server: Arc<str>,
        /// The version of the configuration that routed the request.
        version: Version,
        /// The expected time to first byte.
        expected: Duration,
        /// Attempts of this instance at the server, including this one.
        own: u32,
        /// Attempts of other instances at the server.
        others: u32,
        /// Time since the request's arrival.
        waited: Duration,
    },
    /// A response of which the caller has a part goes on at another server.
    Continued {
        /// The request's id.
        id: Arc<str>,
        /// The name of the server whose response broke off; empty if it is not listed any more.
        before: Arc<str>,
        /// The name of the server where it goes on.
        server: Arc<str>,
    },
    /// A response broke off midway, and the server was asked to end its run.
    RunLeft {
        /// The request's id.
        id: Arc<str>,
        /// The name of the server of the run; empty if it is not listed any more.
        server: Arc<str>,
        /// What the server shows of the run.
        evidence: &'static str,
        /// Whether that proves that the run has ended.
        has_ended: bool,
        /// Whether the request goes on at another server.
        goes_on: bool,
        /// Time since the response broke off.
        took: Duration,
    },
    /// An attempt ended without a complete response to the caller.
    AttemptFailed {
        /// The request's id.
        id: Arc<str>,
        /// The server's name.
        server: Arc<str>,
        /// How it ended.
        end: AttemptEnd,
        /// The next step of the request.
        next: &'static str,
        /// What was read of the response.
        trace: ResponseTrace,
    },
    /// The caller of a request got a complete response of a server.
    Answered {
        /// The request's id.
        id: Arc<str>,
        /// The route's name.
        route: Box<str>,
        /// From its arrival to the first byte.
        first_byte: Duration,
        /// From its arrival to the end.
        total: Duration,
        /// Whether the first byte came within the route's target.
        in_target: bool,
        /// The number of attempts that were started.
        attempts: u32,
        /// What the last attempt read of its response; the default if the response was held back.
        trace: ResponseTrace,
    },
    /// A request was refused after it had been read completely.
    Refused {
        /// The request's id.
        id: Arc<str>,
        /// The route's name.
        route: Box<str>,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
        /// Time since its arrival.
        after: Duration,
        /// Time since the view of the platform was last confirmed; `None` before the first read.
        view_age: Option<Duration>,
        /// The servers that it could have gone to.
        servers: ServerSurvey,
        /// The version of the configuration that routed it.
        version: Version,
        /// The timeout of its route by that version.
        timeout: Duration,
    },
    /// A request was rejected because of a header field.
    Malformed {
        /// The request's id, if it has one.
        id: Option<Arc<str>>,
        /// The host that the caller addressed.
        host: String,
        /// Its path, without the query.
        path: String,
        /// What is wrong with which field.
        error: String,
    },
    /// A request was refused when its head had been read.
    Rejected {
        /// The request's id.
        id: Arc<str>,
        /// The host that the caller addressed.
        host: String,
        /// Its path, without the query.
        path: String,
        /// Whether this instance was not ready, no route matched, or the API key was missing or not
        /// valid.
        refusal: Refusal,
        /// The version of the configuration in force; `None` if there is none.
        version: Option<Version>,
        /// Time since the view of the platform was last confirmed; `None` before the first read.
        view_age: Option<Duration>,
        /// The revision up to which the platform was read.
        revision: u64,
        /// Who confirmed the view last; `None` before the first read.
        confirmed_by: Option<ViewSource>,
    },
    /// A request had not ended within its time.
    EndedLate {
        /// The request's id.
        id: Arc<str>,
        /// Time since the earlier of its route's timeout and its caller's deadline.
        late: Duration,
        /// The version of the configuration that routed it.
        version: Version,
    },
    /// The caller of a request closed the connection or took no more bytes.
    CallerLeft {
        /// The request's id.
        id: Arc<str>,
        /// Time since its arrival.
        after: Duration,
    },
    /// The process was asked to stop.
    ShuttingDown {
        /// The number of requests that wait or run.
        requests: usize,
    },
}
