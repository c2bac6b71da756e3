//! The messages between instances.
//!
//! A message may be lost, delayed, duplicated or reordered. Messages contain durations, but no
//! points in time. The receiver counts a duration from the receipt of the message.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::{
        AccountId, AskId, CellId, ClassId, GrantId, IdempotencyId, Incarnation, InstanceId,
        LeaseId, Nonce, PrefixHash, ServerId, ShareId, TicketId,
    },
    outcome::{AttemptEnd, Reason},
    units::{Tier, Version},
};

/// A message between instances.
#[derive(Clone, PartialEq, Debug)]
pub enum Msg {
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Requests the receiver's configuration document and instance list.
    ConfigPull,
    /// See [`ConfigDoc`].
    ConfigDoc(ConfigDoc),
    /// The instance list, sent to an instance that cannot read it from the platform.
    ListDoc(ConfigDoc),
    /// See [`TokenMsg`].
    Token(TokenMsg),
    /// See [`CellMsg`].
    Cell(CellMsg),
    /// See [`OnceMsg`].
    Once(OnceMsg),
    /// See [`Handover`].
    Handover(Handover),
}

/// A message to send, with the instance to send it to.
#[derive(Clone, PartialEq, Debug)]
pub struct OutgoingMsg<M> {
    /// The receiver.
    pub to: InstanceId,
    /// The message.
    pub msg: M,
}

/// Shows that the sender is alive, what versions of the documents it has and the load of its cells.
#[derive(Clone, PartialEq, Debug)]
pub struct Heartbeat {
    /// Sent back in the acknowledgement.
    pub nonce: Nonce,
    /// Whether this acknowledges the receiver's heartbeat with the same nonce. The sender then must
    /// not take a shard over from the receiver before the ownership lease ends.
    pub ack: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The version of the sender's configuration.
    pub config: Version,
    /// The version of the newest instance list that the sender has read.
    pub list: Version,
    /// The load of cells that the sender owns.
    pub cells: Vec<CellLoad>,
}

/// The load of a cell.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CellLoad {
    /// The cell.
    pub cell: CellId,
    /// The number of requests that could start now.
    pub free: u32,
    /// The number of requests in its queue.
    pub waiting: u32,
}

/// A published document.
#[derive(Clone, PartialEq, Debug)]
pub struct ConfigDoc {
    /// Its version.
    pub version: Version,
    /// Its text in JSON.
    pub text: Arc<str>,
}

/// Messages about the rate tokens of an account share. A token is the right to send one attempt to
/// a backend server.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum TokenMsg {
    /// Requests one token from the owner of a share.
    Ask {
        /// The id of this request for a token.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// How long the sender waits for the token, and how long it may use it then.
        wait: Duration,
    },
    /// Grants one token.
    Give {
        /// The request for a token.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// The id of the token, for [`TokenMsg::Spent`] and [`TokenMsg::Return`].
        lease: LeaseId,
        /// How long the token is valid.
        ttl: Duration,
    },
    /// The share has no token now; the request waits in the owner's queue.
    Queued {
        /// The request for a token.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// The time until a token is expected.
        eta: Duration,
    },
    /// Refuses a token.
    Deny {
        /// The request for a token.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// [`Reason::OverRate`], or [`Reason::NoOwner`] if the sender does not own the share.
        reason: Reason,
        /// The time until a token is expected.
        retry_after: Duration,
    },
    /// Withdraws a request for a token.
    Cancel {
        /// The request for a token.
        ask: AskId,
        /// The share.
        share: ShareId,
    },
    /// Reports a token as spent: an attempt was sent to a backend server.
    Spent {
        /// The share.
        share: ShareId,
        /// The token.
        lease: LeaseId,
    },
    /// Returns an unused token.
    Return {
        /// The share.
        share: ShareId,
        /// The token.
        lease: LeaseId,
    },
}

/// Messages between an instance that has a request and the owner of a cell.
#[derive(Clone, PartialEq, Debug)]
pub enum CellMsg {
    /// Requests a backend server.
    Acquire(Acquire),
    /// No backend server is free; the request waits in the cell's queue.
    Queued {
        /// The request's place in the queue.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
        /// The time until a backend server is expected to be free.
        eta: Duration,
    },
    /// Assigns a backend server to a request.
    Grant {
        /// The request's place in the queue.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
        /// The id of the grant.
        grant: GrantId,
        /// The backend server.
        server: ServerId,
        /// The time within which the attempt must start.
        start_within: Duration,
    },
    /// Refuses a backend server.
    Refuse {
        /// The request's place in the queue.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
        /// [`Reason::Capacity`], [`Reason::NoServer`], or [`Reason::NoOwner`] if the sender does
        /// not own the cell.
        reason: Reason,
        /// The time after which to retry.
        retry_after: Duration,
    },
    /// Leaves the queue; a grant that is already on its way is void.
    Cancel {
        /// The request's place in the queue.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
    },
    /// Returns a grant.
    Release {
        /// The cell.
        cell: CellId,
        /// The grant.
        grant: GrantId,
        /// The backend server of the grant.
        server: ServerId,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Whether the backend server's response said that it is in its cold start.
        cold: bool,
    },
    /// Asks the holder of a grant to cancel its attempt, because a request of a higher tier waits.
    Preempt {
        /// The cell.
        cell: CellId,
        /// The grant.
        grant: GrantId,
    },
    /// Lists all grants of a cell that the sender holds.
    Held {
        /// The cell.
        cell: CellId,
        /// The grants.
        grants: Vec<HeldGrant>,
    },
    /// Asks for [`CellMsg::Held`]; a new owner sends it to every instance.
    Reclaim {
        /// The cell.
        cell: CellId,
    },
}

/// What a cell needs to know about a request.
#[derive(Clone, PartialEq, Debug)]
pub struct Acquire {
    /// The request's place in the queue, numbered by the instance that has the request.
    pub ticket: TicketId,
    /// The cell.
    pub cell: CellId,
    /// The client account; `AccountId(0)` for a request of an open route.
    pub account: AccountId,
    /// The class.
    pub class: ClassId,
    /// The class's tier.
    pub tier: Tier,
    /// How long the request may wait for a backend server.
    pub wait: Duration,
    /// The hash of the prompt's shared prefix, which engines may have cached.
    pub prefix: PrefixHash,
    /// Whether the attempt may be cancelled and repeated.
    pub idempotent: bool,
    /// Backend servers that have failed this request already.
    pub avoid: Vec<ServerId>,
}

/// A grant, as the instance that holds it reports it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct HeldGrant {
    /// The grant.
    pub grant: GrantId,
    /// The backend server.
    pub server: ServerId,
    /// The client account.
    pub account: AccountId,
    /// The class.
    pub class: ClassId,
    /// The class's tier.
    pub tier: Tier,
    /// Whether the attempt may be cancelled and repeated.
    pub idempotent: bool,
}

/// Messages between an instance that has a request with an idempotency key and the instances that
/// remember the key.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum OnceMsg {
    /// Claims an idempotency key for a request that is about to run.
    Claim {
        /// The id of this claim.
        ask: AskId,
        /// The key.
        key: IdempotencyId,
        /// Whether the caller says that it has sent the request before.
        resend: bool,
    },
    /// Replies to a claim.
    Answer {
        /// The claim.
        ask: AskId,
        /// The key.
        key: IdempotencyId,
        /// What the sender remembers of the key.
        verdict: OnceVerdict,
    },
    /// Frees a claimed key: its request was refused and did not run.
    Free {
        /// The claim.
        ask: AskId,
        /// The key.
        key: IdempotencyId,
    },
}

/// What an instance remembers of an idempotency key that is claimed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OnceVerdict {
    /// The key was not claimed before; it is now.
    New,
    /// The key had been claimed before.
    Seen,
    /// The instance does not remember the key, but has not run for long enough to know that it was
    /// not claimed before.
    Unsure,
}

/// The state of a shard, sent to its next owner by an owner that shuts down or loses the shard.
#[derive(Clone, PartialEq, Debug)]
pub enum Handover {
    /// An account share.
    Share(ShareState),
    /// A cell.
    Cell(CellState),
}

/// The state of an account share, for its next owner.
#[derive(Clone, PartialEq, Debug)]
pub struct ShareState {
    /// The share.
    pub share: ShareId,
    /// The available tokens, in thousandths.
    pub level_milli: u64,
    /// The tokens that are granted and not yet reported as spent or returned.
    pub leases: Vec<ShareLease>,
}

/// A token that an instance holds.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ShareLease {
    /// The instance that holds it.
    pub holder: InstanceId,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// The request for a token that it was granted for.
    pub ask: AskId,
    /// The token.
    pub lease: LeaseId,
    /// How long it remains valid.
    pub ttl: Duration,
}

/// The state of a cell, for its next owner.
#[derive(Clone, PartialEq, Debug)]
pub struct CellState {
    /// The cell.
    pub cell: CellId,
    /// Its backend servers.
    pub servers: Vec<ServerWarmth>,
    /// The grants that have not been returned.
    pub grants: Vec<OwnedGrant>,
}

/// How far a backend server has warmed up since its cold start.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServerWarmth {
    /// The backend server.
    pub server: ServerId,
    /// The most attempts at a time that its warm-up allows now.
    pub limit: u32,
}

/// A grant, as the owner of its cell knows it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OwnedGrant {
    /// The instance that holds it.
    pub holder: InstanceId,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// The grant.
    pub held: HeldGrant,
}
