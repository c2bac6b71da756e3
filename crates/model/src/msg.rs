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
    /// The instance to send it to, which may be the sender itself.
    pub to: InstanceId,
    /// A [`TokenMsg`], [`CellMsg`] or [`OnceMsg`], to be sent as a [`Msg`].
    pub msg: M,
}

/// Shows that the sender is alive, what versions of the documents it has and the load of its cells.
#[derive(Clone, PartialEq, Debug)]
pub struct Heartbeat {
    /// The receiver sends it back in its acknowledgement.
    pub nonce: Nonce,
    /// Whether this acknowledges the receiver's heartbeat with the same nonce. The sender then must
    /// not take a shard over from the receiver before the ownership lease ends.
    pub ack: bool,
    /// Whether the sender is shutting down. The receiver then counts it as the owner of no shard.
    pub leaving: bool,
    /// The version of the sender's configuration. A receiver with an older one replies with
    /// [`Msg::ConfigPull`].
    pub config: Version,
    /// The version of the sender's instance list. A receiver with an older one replies with
    /// [`Msg::ConfigPull`], and gets no permit from its own reads of the list meanwhile.
    pub list: Version,
    /// The load of cells that the sender owns.
    pub cells: Vec<CellLoad>,
}

/// The load of a cell, by which other instances choose the cells to ask for a backend server.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CellLoad {
    /// The cell, which the sender owns.
    pub cell: CellId,
    /// The number of requests that could start now. At 0, the receiver asks the other cells of the
    /// pool at once instead of after a delay.
    pub free: u32,
    /// The number of requests in its queue. A receiver that cannot use the cell of its own zone for
    /// a request asks the one with the fewest first.
    pub waiting: u32,
}

/// The configuration or the instance list that the sender uses.
#[derive(Clone, PartialEq, Debug)]
pub struct ConfigDoc {
    /// The sender's version of the document. The receiver goes by the version in `text`.
    pub version: Version,
    /// The document in JSON. The receiver uses it if it is newer than its own.
    pub text: Arc<str>,
}

/// Messages about the rate tokens of an account share. A token is the right to send one attempt to
/// a backend server.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum TokenMsg {
    /// Requests one token from the owner of a share.
    Ask {
        /// The id of this request for a token. One that is sent again gets the same reply, and
        /// renews its token.
        ask: AskId,
        /// The share to take the token from. A receiver that does not own it denies the token.
        share: ShareId,
        /// How long the sender waits for the token, and how long it may use it then.
        wait: Duration,
    },
    /// Grants one token.
    Give {
        /// The request that gets the token. If it needs none any more, the receiver returns the
        /// token.
        ask: AskId,
        /// The share that the token comes from; its owner gets the report or the token back.
        share: ShareId,
        /// The id of the token, for [`TokenMsg::Spent`] and [`TokenMsg::Return`].
        lease: LeaseId,
        /// What was left of the request's wait when the owner replied. From it, the receiver works
        /// out until when it may use the token.
        ttl: Duration,
    },
    /// The share has no token now; the request waits in the owner's queue.
    Queued {
        /// The request that waits.
        ask: AskId,
        /// The share in whose queue it waits. The receiver asks the account's other shares as well.
        share: ShareId,
        /// The time until a token is expected. The receiver derives from it when to ask again, and
        /// the retry time of a request that gets no token.
        eta: Duration,
    },
    /// Refuses a token.
    Deny {
        /// The request that gets no token from this share.
        ask: AskId,
        /// The share that was asked. The receiver asks the account's other shares as well.
        share: ShareId,
        /// [`Reason::OverRate`], or [`Reason::NoOwner`] if the sender does not own the share.
        /// After the former, the receiver asks only a new owner of the share again.
        reason: Reason,
        /// The time until a token is expected; ignored with [`Reason::NoOwner`].
        retry_after: Duration,
    },
    /// Withdraws a request for a token.
    Cancel {
        /// The request to remove from the queue. A token that was granted for it counts as
        /// returned.
        ask: AskId,
        /// The share that was asked.
        share: ShareId,
    },
    /// Reports a token as spent: an attempt was sent to a backend server.
    Spent {
        /// The share that the token comes from.
        share: ShareId,
        /// The id from [`TokenMsg::Give`]. The receiver no longer counts the token as outstanding;
        /// it ignores a token that the sender does not hold.
        lease: LeaseId,
    },
    /// Returns an unused token.
    Return {
        /// The share that the token goes back to.
        share: ShareId,
        /// The id from [`TokenMsg::Give`]. The receiver ignores a token that the sender does not
        /// hold.
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
        /// The [`Acquire::ticket`] of the request that waits.
        ticket: TicketId,
        /// The cell in whose queue it waits. The receiver goes by the ticket alone.
        cell: CellId,
        /// The time until a backend server is expected to be free. The receiver does not use it.
        eta: Duration,
    },
    /// Assigns a backend server to a request.
    Grant {
        /// The [`Acquire::ticket`] of the request that gets the grant. If it no longer waits, the
        /// receiver releases the grant.
        ticket: TicketId,
        /// The cell that the grant is released to and listed for.
        cell: CellId,
        /// The id of the grant. The receiver ignores a copy of a grant that it holds.
        grant: GrantId,
        /// The backend server to send the attempt to.
        server: ServerId,
        /// The time within which the attempt must start. If it does not, the receiver releases the
        /// grant.
        start_within: Duration,
    },
    /// Refuses a backend server.
    Refuse {
        /// The [`Acquire::ticket`] of the request that gets no backend server from this cell.
        ticket: TicketId,
        /// The cell that was asked. The receiver goes by the ticket alone.
        cell: CellId,
        /// [`Reason::Capacity`], [`Reason::NoServer`], or [`Reason::NoOwner`] if the sender does
        /// not own the cell. Only after the last is the same ticket sent again.
        reason: Reason,
        /// The time after which to retry. The receiver passes the shortest one on to the caller if
        /// no cell gives a backend server.
        retry_after: Duration,
    },
    /// Leaves the queue; a grant that is already on its way is void.
    Cancel {
        /// The [`Acquire::ticket`] to remove. The receiver remembers it, in case its [`Acquire`]
        /// arrives later.
        ticket: TicketId,
        /// The cell that was asked. A receiver that does not own it ignores the message.
        cell: CellId,
    },
    /// Returns a grant.
    Release {
        /// The cell of the grant. A receiver that does not own it ignores the message.
        cell: CellId,
        /// The grant, whose slot at the backend server becomes free.
        grant: GrantId,
        /// The backend server of the grant, for `end` and `cold` at a receiver that does not know
        /// the grant.
        server: ServerId,
        /// How the attempt ended. The receiver updates the health of the backend server and the
        /// service time of the class by it.
        end: AttemptEnd,
        /// Whether the backend server's response said that it is in its cold start. The receiver
        /// then returns it to its cold limit.
        cold: bool,
    },
    /// Asks the holder of a grant to cancel its attempt, because a request of a higher tier waits
    /// or the backend server is down.
    Preempt {
        /// The cell of the grant. The receiver goes by the grant alone.
        cell: CellId,
        /// The grant to release. The receiver keeps it if its request must not run twice.
        grant: GrantId,
    },
    /// Lists all grants of a cell that the sender holds.
    Held {
        /// The cell of the listed grants. A receiver that does not own it ignores the message.
        cell: CellId,
        /// The receiver adds the grants that it does not know. It frees the sender's others, except
        /// those so young that they may still be on their way.
        grants: Vec<HeldGrant>,
    },
    /// Asks for [`CellMsg::Held`]; a new owner sends it to every instance.
    Reclaim {
        /// The cell whose grants the receiver lists.
        cell: CellId,
    },
}

/// What a cell needs to know about a request.
#[derive(Clone, PartialEq, Debug)]
pub struct Acquire {
    /// The request's place in the queue, numbered by the instance that has the request.
    pub ticket: TicketId,
    /// The cell in whose queue the request waits. A receiver that does not own it refuses.
    pub cell: CellId,
    /// The client account, for the fair order within a tier; `AccountId(0)` for a request of an
    /// open route.
    pub account: AccountId,
    /// The class, for the fair order within an account and the expected service time.
    pub class: ClassId,
    /// The class's tier: 0 is served first.
    pub tier: Tier,
    /// How long the request may wait for a backend server. After it, the receiver refuses.
    pub wait: Duration,
    /// The hash of the prompt's shared prefix, or `PrefixHash(0)` without one. The receiver prefers
    /// the server that ran this prefix last, as it may have it cached.
    pub prefix: PrefixHash,
    /// Whether the attempt may be cancelled and repeated. The receiver preempts no other attempt.
    pub idempotent: bool,
    /// Backend servers that have failed this request already. The receiver uses them only where no
    /// other one is free, and refuses where no other one is usable.
    pub avoid: Vec<ServerId>,
}

/// A grant, as the instance that holds it reports it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct HeldGrant {
    /// The id from [`CellMsg::Grant`].
    pub grant: GrantId,
    /// The backend server at which the grant takes a slot.
    pub server: ServerId,
    /// The client account of the request; `AccountId(0)` for a request of an open route.
    pub account: AccountId,
    /// The class of the request, whose service time the owner updates when the attempt ends.
    pub class: ClassId,
    /// The class's tier. Only a request of a higher one preempts the grant while the server is up.
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
        /// The id of this claim, by which the receiver recognizes copies of it.
        ask: AskId,
        /// The key to remember as claimed.
        key: IdempotencyId,
        /// Whether the caller says that it has sent the request before. The receiver then replies
        /// [`OnceVerdict::Unsure`] if it may have missed an earlier claim.
        resend: bool,
    },
    /// Replies to a claim.
    Answer {
        /// The id from [`OnceMsg::Claim`]. The receiver ignores replies to claims that have ended.
        ask: AskId,
        /// The key of the claim. The receiver ignores a reply with another key.
        key: IdempotencyId,
        /// What the sender remembers of the key.
        verdict: OnceVerdict,
    },
    /// Frees a claimed key: its request was refused and did not run.
    Free {
        /// The id from [`OnceMsg::Claim`]. A key that another claim holds stays claimed.
        ask: AskId,
        /// The key that another request may then claim.
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
    /// The instance does not remember the key, but has not been a holder for long enough to know
    /// that it was not claimed before, or has no room for another key.
    Unsure,
}

/// The state of a shard, sent to its next owner by an owner that shuts down or loses the shard.
#[derive(Clone, PartialEq, Debug)]
pub enum Handover {
    /// See [`ShareState`].
    Share(ShareState),
    /// See [`CellState`].
    Cell(CellState),
}

/// The state of an account share, for its next owner.
#[derive(Clone, PartialEq, Debug)]
pub struct ShareState {
    /// The share. The receiver ignores the state unless it waits to take the share over.
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
    /// The id of the token, for [`TokenMsg::Spent`] and [`TokenMsg::Return`].
    pub lease: LeaseId,
    /// How long it remains valid.
    pub ttl: Duration,
}

/// The state of a cell, for its next owner.
#[derive(Clone, PartialEq, Debug)]
pub struct CellState {
    /// The cell. The receiver ignores the state unless it waits to take the cell over.
    pub cell: CellId,
    /// Its backend servers that receive new work.
    pub servers: Vec<ServerWarmth>,
    /// The grants that have not been returned.
    pub grants: Vec<OwnedGrant>,
}

/// How far a backend server has warmed up since its cold start.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServerWarmth {
    /// The backend server, whose warm-up the receiver continues at `limit`.
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
    /// The grant as its holder lists it in [`CellMsg::Held`].
    pub held: HeldGrant,
}
