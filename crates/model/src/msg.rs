//! The messages that instances send each other.
//!
//! A message may be lost, delayed, doubled or overtaken by another one. No message carries a point
//! in time, only durations, which the receiver counts from when it got the message.

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
    /// Asks for the receiver's configuration document and instance list.
    ConfigPull,
    /// See [`ConfigDoc`].
    ConfigDoc(ConfigDoc),
    /// The instance list, for instances that cannot read it from the platform.
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

/// A message of one kind on its way to an instance.
#[derive(Clone, PartialEq, Debug)]
pub struct OutgoingMsg<M> {
    /// The receiver.
    pub to: InstanceId,
    /// The message.
    pub msg: M,
}

/// A sign of life with the versions that the sender knows, and the load of the cells that it owns.
#[derive(Clone, PartialEq, Debug)]
pub struct Heartbeat {
    /// Returned in the acknowledgement.
    pub nonce: Nonce,
    /// Whether this acknowledges the receiver's heartbeat with the same nonce. It promises that
    /// the sender will not take a shard over from the receiver before the ownership lease ends.
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
    /// Requests that can start at once.
    pub free: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// A published document.
#[derive(Clone, PartialEq, Debug)]
pub struct ConfigDoc {
    /// Its version.
    pub version: Version,
    /// Its text, JSON.
    pub text: Arc<str>,
}

/// Messages about the tokens of an account share. A token is the right to give one attempt to a
/// backend server.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum TokenMsg {
    /// Asks the owner of a share for one token.
    Ask {
        /// Names this request for tokens.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// How long the sender waits for the token, and for how long it may use it.
        wait: Duration,
    },
    /// Hands out one token.
    Give {
        /// The request for tokens that this answers.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// Names the token in [`TokenMsg::Spent`] and [`TokenMsg::Return`].
        lease: LeaseId,
        /// How long the token is valid.
        ttl: Duration,
    },
    /// The share has no token now; the request for tokens waits in the owner's queue.
    Queued {
        /// The request for tokens that this answers.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// When a token is expected.
        eta: Duration,
    },
    /// The owner gives no token.
    Deny {
        /// The request for tokens that this answers.
        ask: AskId,
        /// The share.
        share: ShareId,
        /// Why: [`Reason::OverRate`], or [`Reason::NoOwner`] where the receiver is not the owner.
        reason: Reason,
        /// When a token is expected.
        retry_after: Duration,
    },
    /// Takes a request for tokens back.
    Cancel {
        /// The request for tokens.
        ask: AskId,
        /// The share.
        share: ShareId,
    },
    /// A token was spent: an attempt was given to a backend server.
    Spent {
        /// The share.
        share: ShareId,
        /// The token.
        lease: LeaseId,
    },
    /// A token goes back unspent.
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
    /// Asks for a backend server.
    Acquire(Acquire),
    /// No backend server is free; the request waits in the cell's queue.
    Queued {
        /// The request's place.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
        /// When a backend server is expected to be free.
        eta: Duration,
    },
    /// Gives a backend server to a request.
    Grant {
        /// The request's place.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
        /// Names the grant.
        grant: GrantId,
        /// The backend server.
        server: ServerId,
        /// The attempt must start within this time.
        start_within: Duration,
    },
    /// The cell gives no backend server.
    Refuse {
        /// The request's place.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
        /// Why: [`Reason::Capacity`], [`Reason::NoServer`], or [`Reason::NoOwner`] where the
        /// receiver is not the owner.
        reason: Reason,
        /// When to try again.
        retry_after: Duration,
    },
    /// Takes a place in the queue back; a grant that is under way is void.
    Cancel {
        /// The request's place.
        ticket: TicketId,
        /// The cell.
        cell: CellId,
    },
    /// Gives a grant back.
    Release {
        /// The cell.
        cell: CellId,
        /// The grant.
        grant: GrantId,
        /// The backend server of the grant.
        server: ServerId,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Whether the backend server said that it is in its cold start.
        cold: bool,
    },
    /// Asks the holder of a grant to cancel its attempt for a request of a higher tier.
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
    /// A new owner asks every instance for [`CellMsg::Held`].
    Reclaim {
        /// The cell.
        cell: CellId,
    },
}

/// What a cell needs to know of a request.
#[derive(Clone, PartialEq, Debug)]
pub struct Acquire {
    /// The request's place, named by the instance that waits.
    pub ticket: TicketId,
    /// The cell.
    pub cell: CellId,
    /// The client account, or the account of an open route.
    pub account: AccountId,
    /// The class.
    pub class: ClassId,
    /// The class's tier.
    pub tier: Tier,
    /// How long the request may wait for a backend server.
    pub wait: Duration,
    /// The part of the prompt that engines may have cached.
    pub prefix: PrefixHash,
    /// Whether the attempt may be cancelled and run again.
    pub idempotent: bool,
    /// Backend servers that failed this request already.
    pub avoid: Vec<ServerId>,
}

/// A grant in the hands of an instance.
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
    /// Whether the attempt may be cancelled and run again.
    pub idempotent: bool,
}

/// Messages with the instances that remember an idempotency key.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum OnceMsg {
    /// Claims an idempotency key for a request that is about to run.
    Claim {
        /// Names this claim.
        ask: AskId,
        /// The key.
        key: IdempotencyId,
        /// Whether the caller says that it sent the request before.
        resend: bool,
    },
    /// Answers a claim.
    Answer {
        /// The claim.
        ask: AskId,
        /// The key.
        key: IdempotencyId,
        /// The answer.
        verdict: OnceVerdict,
    },
    /// The claimed request was refused and did not run: the key is free again.
    Free {
        /// The claim.
        ask: AskId,
        /// The key.
        key: IdempotencyId,
    },
}

/// What an instance remembers of an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OnceVerdict {
    /// The key was not seen before; it is claimed now.
    New,
    /// The key was claimed before.
    Seen,
    /// The key is not remembered, but the receiver has not run for long enough to tell.
    Unsure,
}

/// What the owner of shards passes on when it shuts down or stops to own them.
#[derive(Clone, PartialEq, Debug)]
pub enum Handover {
    /// An account share.
    Share(ShareState),
    /// A cell.
    Cell(CellState),
}

/// An account share in transit to its next owner.
#[derive(Clone, PartialEq, Debug)]
pub struct ShareState {
    /// The share.
    pub share: ShareId,
    /// Tokens at hand, in thousandths.
    pub level_milli: u64,
    /// Tokens handed out and not yet reported.
    pub leases: Vec<ShareLease>,
}

/// A token in the hands of an instance.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ShareLease {
    /// Who holds it.
    pub holder: InstanceId,
    /// The run of the holder.
    pub incarnation: Incarnation,
    /// The request for tokens that it answered.
    pub ask: AskId,
    /// The token.
    pub lease: LeaseId,
    /// How long it is still valid.
    pub ttl: Duration,
}

/// A cell in transit to its next owner.
#[derive(Clone, PartialEq, Debug)]
pub struct CellState {
    /// The cell.
    pub cell: CellId,
    /// Its backend servers.
    pub servers: Vec<ServerWarmth>,
    /// Grants in use.
    pub grants: Vec<OwnedGrant>,
}

/// How far a backend server's cold start has come.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServerWarmth {
    /// The backend server.
    pub server: ServerId,
    /// Attempts that it may run at a time now.
    pub limit: u32,
}

/// A grant as its owner knows it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OwnedGrant {
    /// Who holds it.
    pub holder: InstanceId,
    /// The run of the holder.
    pub incarnation: Incarnation,
    /// The grant.
    pub held: HeldGrant,
}
