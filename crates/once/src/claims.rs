//! The claims of idempotency keys by the requests of an instance.

use std::collections::HashMap;

use model::{id_sequence::IdSequence, msg::OnceMsg, prelude::*, timers::Timers};

use crate::claim::{Claim, ClaimIds};

/// What the caller of [`Claims`] must do.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ClaimsOut {
    /// Send a message to a holder, which may be this instance itself.
    Send {
        /// An instance that remembers the key of the request.
        to: InstanceId,
        /// A claim, or the message that frees the key.
        msg: OnceMsg,
    },
    /// Run a request, which has claimed its key.
    Ready {
        /// The request, for which [`Claims::finish`] or [`Claims::free`] must follow.
        no: RequestNo,
    },
    /// Refuse a request, which must not run.
    Refuse {
        /// The request; its key is freed without a call of [`Claims::free`].
        no: RequestNo,
        /// [`Reason::Duplicate`], [`Reason::MaybeDuplicate`], or [`Reason::NoOwner`] if too few
        /// holders replied.
        reason: Reason,
    },
}

/// A request with an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeyedRequest {
    /// Stands for the request in [`ClaimsOut`].
    pub no: RequestNo,
    /// The hash of the caller's key with its account and route.
    pub key: IdempotencyId,
    /// Whether the caller marks the request as a resend.
    pub resend: bool,
}

/// The claims of idempotency keys by the requests of this instance.
///
/// A request is passed to [`Self::claim`] and may run after [`ClaimsOut::Ready`]. When it has
/// ended, [`Self::finish`] must be called, or [`Self::free`] if it did not run.
#[derive(Clone, Debug)]
pub struct Claims {
    ids: IdSequence,
    claims: HashMap<AskId, Claim>,
    by_request: HashMap<RequestNo, AskId>,
    timers: Timers<AskId>,
}

impl Claims {
    /// Creates an empty collection. `me` makes the ids of claims differ from those of other
    /// instances and of earlier incarnations of this one.
    pub fn new(me: Peer) -> Self {
        Self {
            ids: IdSequence::new(me),
            claims: HashMap::new(),
            by_request: HashMap::new(),
            timers: Timers::default(),
        }
    }

    /// Claims the key of a request, which is refused if too few holders reply within `wait`.
    /// `holders` are the first three instances in the key's rendezvous order, or all if there are
    /// fewer.
    pub fn claim(
        &mut self,
        now: Time,
        request: KeyedRequest,
        wait: Duration,
        holders: &[InstanceId],
    ) -> Vec<ClaimsOut> {
        let KeyedRequest { no, key, resend } = request;
        let ask = AskId(self.ids.next_id());
        let ids = ClaimIds { no, ask, key, resend };
        let mut out = Vec::new();
        let claim = Claim::start(now, ids, now + wait, holders, &mut out);
        self.claims.insert(ask, claim);
        self.by_request.insert(no, ask);
        self.update_indexes(ask);
        out
    }

    /// Handles a holder's reply. Other messages are ignored.
    pub fn handle(&mut self, now: Time, from: Peer, msg: &OnceMsg) -> Vec<ClaimsOut> {
        let OnceMsg::Answer { ask, verdict, key } = *msg else { return Vec::new() };
        if self.claims.get(&ask).is_none_or(|claim| claim.ids().key != key) {
            return Vec::new();
        }
        self.update(ask, |claim, out| claim.handle_reply(now, from.instance, verdict, out))
    }

    /// Refuses requests and sends messages again where that is due.
    pub fn tick(&mut self, now: Time) -> Vec<ClaimsOut> {
        let mut out = Vec::new();
        while let Some(ask) = self.timers.pop_due(now) {
            out.extend(self.update(ask, |claim, out| claim.tick(now, out)));
        }
        out
    }

    /// Returns when [`Self::tick`] must be called; `None` if nothing is due at any time.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Frees the key of a request that was refused or given up and did not run.
    pub fn free(&mut self, now: Time, no: RequestNo) -> Vec<ClaimsOut> {
        let Some(ask) = self.by_request.get(&no).copied() else { return Vec::new() };
        self.update(ask, |claim, out| claim.free(now, out))
    }

    /// Removes the claim of a request that ran or may have run. Its key stays claimed at the
    /// holders.
    pub fn finish(&mut self, no: RequestNo) {
        let Some(ask) = self.by_request.remove(&no) else { return };
        self.claims.remove(&ask);
        self.timers.clear(ask);
    }

    /// Returns the number of claims: those that wait for replies, those of running requests and
    /// those whose keys are being freed.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Changes a claim and updates the indexes.
    fn update(
        &mut self,
        ask: AskId,
        f: impl FnOnce(&mut Claim, &mut Vec<ClaimsOut>),
    ) -> Vec<ClaimsOut> {
        let mut out = Vec::new();
        let Some(claim) = self.claims.get_mut(&ask) else { return out };
        f(claim, &mut out);
        self.update_indexes(ask);
        out
    }

    /// Updates the indexes after a change of a claim, and removes it if it has ended.
    fn update_indexes(&mut self, ask: AskId) {
        let Some(claim) = self.claims.get(&ask) else { return };
        self.timers.set(ask, claim.next_wake());
        if !claim.is_ended() {
            return;
        }
        let no = claim.ids().no;
        self.claims.remove(&ask);
        if self.by_request.get(&no) == Some(&ask) {
            self.by_request.remove(&no);
        }
    }
}
