//! The tokens that the requests of an instance need.

use std::collections::{BTreeSet, HashMap};

use model::{msg::TokenMsg, names::Names, prelude::*, wakes::Wakes};

use crate::want::{Lapsed, Want, WantNames};

/// What a [`TokenClient`] wants done.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum TokenClientOut {
    /// Send this to the owner of the share, or call [`TokenClient::undeliverable`] if there is none.
    Send {
        /// The share.
        share: ShareId,
        /// The message.
        msg: TokenMsg,
    },
    /// A request has a token. This may come again, after a token expired unused.
    Ready {
        /// The request.
        no: RequestNo,
    },
    /// A request gets no token within its wait.
    Unavailable {
        /// The request.
        no: RequestNo,
        /// [`Reason::OverRate`], or [`Reason::NoOwner`] if no owner has answered.
        reason: Reason,
        /// When a token is expected.
        retry_after: Duration,
    },
}

/// The tokens that the requests of this instance wait for or hold.
///
/// For each attempt, a request goes through [`Self::want`], [`TokenClientOut::Ready`] and
/// [`Self::spend`], and then either [`Self::sent`] or [`Self::give_back`].
#[derive(Clone, Debug)]
pub struct TokenClient {
    names: Names,
    wants: HashMap<AskId, Want>,
    by_request: HashMap<RequestNo, AskId>,
    by_account: HashMap<AccountId, BTreeSet<AskId>>,
    wakes: Wakes<AskId>,
}

impl TokenClient {
    /// An empty wallet. `me` keeps the names of questions apart from those of other runs.
    pub fn new(me: Peer) -> Self {
        Self {
            names: Names::new(me),
            wants: HashMap::new(),
            by_request: HashMap::new(),
            by_account: HashMap::new(),
            wakes: Wakes::default(),
        }
    }

    /// Asks for a token for the next attempt of a request, which may start within `wait`. The
    /// instance's own zone comes first in `zones`.
    pub fn acquire(
        &mut self,
        now: Time,
        no: RequestNo,
        account: AccountId,
        wait: Duration,
        zones: &[ZoneId],
    ) -> Vec<TokenClientOut> {
        let mut out = self.cancel(now, no);
        let names = self.name(no, account);
        self.start(now, names, now + wait, zones, &mut out);
        out
    }

    /// Handles an owner's answer.
    pub fn handle(&mut self, now: Time, msg: &TokenMsg) -> Vec<TokenClientOut> {
        match *msg {
            TokenMsg::Give { ask, share, lease, ttl } => {
                self.with(now, ask, |it, out| it.given(now, share, lease, ttl, out))
            }
            TokenMsg::Queued { ask, share, eta } => {
                self.with(now, ask, |it, out| it.queued(now, share, eta, out))
            }
            TokenMsg::Deny { ask, share, reason, retry_after } => {
                self.with(now, ask, |it, out| it.denied(now, share, reason, retry_after, out))
            }
            TokenMsg::Ask { .. }
            | TokenMsg::Cancel { .. }
            | TokenMsg::Spent { .. }
            | TokenMsg::Return { .. } => Vec::new(),
        }
    }

    /// A message to the owner of a share could not be sent, since no owner is known.
    pub fn undeliverable(&mut self, now: Time, msg: &TokenMsg) -> Vec<TokenClientOut> {
        let TokenMsg::Ask { ask, share, .. } = *msg else { return Vec::new() };
        let reason = Reason::NoOwner;
        self.with(now, ask, |it, out| it.denied(now, share, reason, Duration::ZERO, out))
    }

    /// Asks the new owner of a share for the tokens that requests wait for.
    pub fn owner_changed(&mut self, now: Time, share: ShareId) -> Vec<TokenClientOut> {
        let asks = self.by_account.get(&share.account).cloned().unwrap_or_default();
        let mut out = Vec::new();
        for ask in asks {
            out.extend(self.with(now, ask, |it, out| it.owner_changed(now, share, out)));
        }
        out
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> Vec<TokenClientOut> {
        let mut out = Vec::new();
        while let Some(ask) = self.wakes.pop_due(now) {
            self.wake(now, ask, &mut out);
        }
        out
    }

    /// Returns when [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        self.wakes.next()
    }

    /// Returns whether a request has a token with which an attempt may start now.
    pub fn has_usable(&self, now: Time, no: RequestNo) -> bool {
        self.current(no).is_some_and(|it| it.usable_until(now).is_some())
    }

    /// Uses a request's token for an attempt, and returns until when the attempt's first byte may
    /// go to the backend server.
    ///
    /// Returns none if there is no token that is valid now. If one has just expired, the wallet
    /// asks for another one within the request's wait, and [`TokenClientOut::Ready`] or
    /// [`TokenClientOut::Unavailable`] follows; at the end of the wait, nothing does.
    #[must_use]
    pub fn spend(&mut self, now: Time, no: RequestNo) -> Option<Time> {
        let ask = *self.by_request.get(&no)?;
        let start_by = self.wants.get_mut(&ask)?.spend(now);
        self.settle(ask);
        start_by
    }

    /// The attempt's request was written to the backend server's connection, or may have been.
    pub fn sent(&mut self, now: Time, no: RequestNo) {
        let Some(ask) = self.by_request.get(&no).copied() else { return };
        if let Some(want) = self.wants.get_mut(&ask) {
            want.sent(now);
        }
        self.settle(ask);
    }

    /// The attempt did not reach a backend server: its token goes back.
    pub fn give_back(&mut self, now: Time, no: RequestNo) -> Vec<TokenClientOut> {
        let Some(ask) = self.by_request.get(&no).copied() else { return Vec::new() };
        self.with(now, ask, |it, out| it.give_back(now, out))
    }

    /// A request needs no token any more. A token that [`Self::spend`] used counts as spent.
    pub fn cancel(&mut self, now: Time, no: RequestNo) -> Vec<TokenClientOut> {
        let Some(ask) = self.by_request.remove(&no) else { return Vec::new() };
        self.with(now, ask, |it, out| it.cancel(now, out))
    }

    /// Returns how many requests wait for, hold or use a token, for dumps.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether no request waits for, holds or uses a token.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn name(&mut self, no: RequestNo, account: AccountId) -> WantNames {
        WantNames { no, account, ask: AskId(self.names.fresh()) }
    }

    fn start(
        &mut self,
        now: Time,
        names: WantNames,
        deadline: Time,
        zones: &[ZoneId],
        out: &mut Vec<TokenClientOut>,
    ) {
        let WantNames { no, account, ask } = names;
        let want = Want::start(now, names, deadline, zones, out);
        self.wants.insert(ask, want);
        self.by_request.insert(no, ask);
        self.by_account.entry(account).or_default().insert(ask);
        self.settle(ask);
    }

    fn wake(&mut self, now: Time, ask: AskId, out: &mut Vec<TokenClientOut>) {
        let Some(want) = self.wants.get_mut(&ask) else { return };
        if want.is_ended() {
            self.wants.remove(&ask);
            return;
        }
        let Lapsed(lapsed) = want.tick(now, out);
        let (names, deadline, zones) = (want.names(), want.deadline(), want.zones());
        self.settle(ask);
        if lapsed {
            let names = self.name(names.no, names.account);
            self.start(now, names, deadline, &zones, out);
        }
    }

    fn current(&self, no: RequestNo) -> Option<&Want> {
        self.wants.get(self.by_request.get(&no)?)
    }

    fn with(
        &mut self,
        now: Time,
        ask: AskId,
        f: impl FnOnce(&mut Want, &mut Vec<TokenClientOut>),
    ) -> Vec<TokenClientOut> {
        let mut out = Vec::new();
        let Some(want) = self.wants.get_mut(&ask) else { return out };
        f(want, &mut out);
        log::trace!("{now:?}: {ask:?}: {out:?}");
        self.settle(ask);
        out
    }

    /// Brings the indexes up to date with a need that changed.
    fn settle(&mut self, ask: AskId) {
        let Some(want) = self.wants.get(&ask) else { return };
        self.wakes.set(ask, Some(want.next_wake()));
        if !want.is_ended() {
            return;
        }
        let WantNames { no, account, .. } = want.names();
        if self.by_request.get(&no) == Some(&ask) {
            self.by_request.remove(&no);
        }
        if let Some(asks) = self.by_account.get_mut(&account) {
            asks.remove(&ask);
            if asks.is_empty() {
                self.by_account.remove(&account);
            }
        }
    }
}
