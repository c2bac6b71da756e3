//! The idempotency keys that the requests of an instance claim.

use std::collections::HashMap;

use model::{msg::OnceMsg, names::Names, prelude::*, wakes::Wakes};

use crate::claim::{Claim, ClaimNames};

/// What [`Claims`] want done.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ClaimsOut {
    /// Send this to a holder; it may be this instance itself.
    Send {
        /// The holder.
        to: InstanceId,
        /// The message.
        msg: OnceMsg,
    },
    /// A request has claimed its key and may run.
    Ready {
        /// The request.
        no: RequestNo,
    },
    /// A request must not run.
    Refuse {
        /// The request.
        no: RequestNo,
        /// [`Reason::Duplicate`], [`Reason::MaybeDuplicate`], or [`Reason::NoOwner`] if too few
        /// holders answered.
        reason: Reason,
    },
}

/// A request with an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeyedRequest {
    /// The request.
    pub no: RequestNo,
    /// Its idempotency key.
    pub key: IdempotencyId,
    /// Whether the caller says that it sent the request before.
    pub resend: bool,
}

/// The idempotency keys that the requests of this instance claim.
///
/// A request goes through [`Self::want`] and [`ClaimsOut::Ready`], and then either
/// [`Self::finish`] or, if it did not run, [`Self::free`].
#[derive(Clone, Debug)]
pub struct Claims {
    names: Names,
    claims: HashMap<AskId, Claim>,
    by_request: HashMap<RequestNo, AskId>,
    wakes: Wakes<AskId>,
}

impl Claims {
    /// No claims yet. `me` keeps the names of claims apart from those of other runs.
    pub fn new(me: Peer) -> Self {
        Self {
            names: Names::new(me),
            claims: HashMap::new(),
            by_request: HashMap::new(),
            wakes: Wakes::default(),
        }
    }

    /// Claims the key of a request that may wait this long for the holders' answers. `holders` are
    /// the first three instances in the key's rendezvous order, or all if there are fewer.
    pub fn claim(
        &mut self,
        now: Time,
        request: KeyedRequest,
        wait: Duration,
        holders: &[InstanceId],
    ) -> Vec<ClaimsOut> {
        let KeyedRequest { no, key, resend } = request;
        let ask = AskId(self.names.fresh());
        let names = ClaimNames { no, ask, key, resend };
        let mut out = Vec::new();
        let claim = Claim::start(now, names, now + wait, holders, &mut out);
        self.claims.insert(ask, claim);
        self.by_request.insert(no, ask);
        self.settle(ask);
        out
    }

    /// Handles a holder's answer.
    pub fn handle(&mut self, now: Time, from: Peer, msg: &OnceMsg) -> Vec<ClaimsOut> {
        let OnceMsg::Answer { ask, verdict, key } = *msg else { return Vec::new() };
        if self.claims.get(&ask).is_none_or(|it| it.names().key != key) {
            return Vec::new();
        }
        self.with(ask, |it, out| it.answered(now, from.instance, verdict, out))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> Vec<ClaimsOut> {
        let mut out = Vec::new();
        while let Some(ask) = self.wakes.pop_due(now) {
            out.extend(self.with(ask, |it, out| it.tick(now, out)));
        }
        out
    }

    /// Returns when [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        self.wakes.next()
    }

    /// A request was refused or given up and did not run: its key is free again.
    pub fn free(&mut self, now: Time, no: RequestNo) -> Vec<ClaimsOut> {
        let Some(ask) = self.by_request.get(&no).copied() else { return Vec::new() };
        self.with(ask, |it, out| it.free(now, out))
    }

    /// A request ended that ran or may have run: its key stays claimed.
    pub fn finish(&mut self, no: RequestNo) {
        let Some(ask) = self.by_request.remove(&no) else { return };
        self.claims.remove(&ask);
        self.wakes.clear(ask);
    }

    /// Returns how many claims are under way or held, for dumps.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is under way or held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn with(
        &mut self,
        ask: AskId,
        f: impl FnOnce(&mut Claim, &mut Vec<ClaimsOut>),
    ) -> Vec<ClaimsOut> {
        let mut out = Vec::new();
        let Some(claim) = self.claims.get_mut(&ask) else { return out };
        f(claim, &mut out);
        self.settle(ask);
        out
    }

    /// Brings the indexes up to date with a claim that changed.
    fn settle(&mut self, ask: AskId) {
        let Some(claim) = self.claims.get(&ask) else { return };
        self.wakes.set(ask, claim.next_wake());
        if !claim.is_ended() {
            return;
        }
        let no = claim.names().no;
        self.claims.remove(&ask);
        if self.by_request.get(&no) == Some(&ask) {
            self.by_request.remove(&no);
        }
    }
}
