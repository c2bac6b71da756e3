//! Asks the owners of shares for the tokens that the requests of an instance need.

use std::collections::{BTreeSet, HashMap};

use model::{id_sequence::IdSequence, msg::TokenMsg, prelude::*, timers::Timers};

use crate::token_request::{Lapsed, TokenRequest, TokenRequestIds};

/// What the caller of a [`TokenClient`] has to do.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum TokenClientOut {
    /// Send `msg` to the owner of the share, or call [`TokenClient::undeliverable`] if it has none.
    Send {
        /// The share whose owner gets the message.
        share: ShareId,
        /// An ask, a cancellation, or the report or return of a token.
        msg: TokenMsg,
    },
    /// A request has a token. Returned again for the next token if one expires unused.
    Ready {
        /// The request, for which [`TokenClient::spend`] may be called now.
        no: RequestNo,
    },
    /// A request gets no token within the time that it may wait.
    Unavailable {
        /// The request, for which no token is asked any more.
        no: RequestNo,
        /// [`Reason::OverRate`], or [`Reason::NoOwner`] if no owner has answered.
        reason: Reason,
        /// Time until a token is expected.
        retry_after: Duration,
    },
}

/// Acquires tokens for the requests of this instance, and keeps them until they are spent.
///
/// For each attempt, a request goes through [`Self::acquire`], [`TokenClientOut::Ready`] and
/// [`Self::spend`], and then either [`Self::sent`] or [`Self::give_back`].
#[derive(Clone, Debug)]
pub struct TokenClient {
    ids: IdSequence,
    requests: HashMap<AskId, TokenRequest>,
    by_request: HashMap<RequestNo, AskId>,
    by_account: HashMap<AccountId, BTreeSet<AskId>>,
    timers: Timers<AskId>,
}

impl TokenClient {
    /// Starts without any request. `me` makes the ids of token requests differ from those of other
    /// instances and of earlier incarnations of this one.
    pub fn new(me: Peer) -> Self {
        Self {
            ids: IdSequence::new(me),
            requests: HashMap::new(),
            by_request: HashMap::new(),
            by_account: HashMap::new(),
            timers: Timers::default(),
        }
    }

    /// Asks for a token for the next attempt of a request, which must start within `wait`. `zones`
    /// are those with a share of the account, this instance's own zone first. What the request had
    /// acquired before is given up as by [`Self::cancel`].
    pub fn acquire(
        &mut self,
        now: Time,
        no: RequestNo,
        account: AccountId,
        wait: Duration,
        zones: &[ZoneId],
    ) -> Vec<TokenClientOut> {
        let mut out = self.cancel(now, no);
        let ids = self.new_ids(no, account);
        self.start(now, ids, now + wait, zones, &mut out);
        out
    }

    /// Handles an owner's reply.
    pub fn handle(&mut self, now: Time, msg: &TokenMsg) -> Vec<TokenClientOut> {
        match *msg {
            TokenMsg::Give { ask, share, lease, ttl } => {
                self.with(now, ask, |req, out| req.given(now, share, lease, ttl, out))
            }
            TokenMsg::Queued { ask, share, eta } => {
                self.with(now, ask, |req, out| req.queued(now, share, eta, out))
            }
            TokenMsg::Deny { ask, share, reason, retry_after } => {
                self.with(now, ask, |req, out| req.denied(now, share, reason, retry_after, out))
            }
            TokenMsg::Ask { .. }
            | TokenMsg::Cancel { .. }
            | TokenMsg::Spent { .. }
            | TokenMsg::Return { .. } => Vec::new(),
        }
    }

    /// Handles a message from [`TokenClientOut::Send`] that could not be sent, since the share has
    /// no known owner.
    pub fn undeliverable(&mut self, now: Time, msg: &TokenMsg) -> Vec<TokenClientOut> {
        let TokenMsg::Ask { ask, share, .. } = *msg else { return Vec::new() };
        let reason = Reason::NoOwner;
        self.with(now, ask, |req, out| req.denied(now, share, reason, Duration::ZERO, out))
    }

    /// Asks the new owner of a share at once for the tokens for which the earlier one was asked.
    pub fn owner_changed(&mut self, now: Time, share: ShareId) -> Vec<TokenClientOut> {
        let asks = self.by_account.get(&share.account).cloned().unwrap_or_default();
        let mut out = Vec::new();
        for ask in asks {
            out.extend(self.with(now, ask, |req, out| req.owner_changed(now, share, out)));
        }
        out
    }

    /// Resends, renews, reports and ends what is due.
    pub fn tick(&mut self, now: Time) -> Vec<TokenClientOut> {
        let mut out = Vec::new();
        while let Some(ask) = self.timers.pop_due(now) {
            self.wake(now, ask, &mut out);
        }
        out
    }

    /// Returns when [`Self::tick`] must be called next, if at all.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns whether a request has a token with which an attempt can start now.
    pub fn has_usable(&self, now: Time, no: RequestNo) -> bool {
        self.current(no).is_some_and(|req| req.usable_until(now).is_some())
    }

    /// Uses a request's token for an attempt. Returns until when the attempt's first byte may be
    /// sent to the backend server.
    ///
    /// Returns `None` if there is no token that is valid now. If one has expired before the end of
    /// the request's wait, another one is asked for, and [`TokenClientOut::Ready`] or
    /// [`TokenClientOut::Unavailable`] follows. If it expired at the end of the wait, nothing
    /// follows.
    #[must_use]
    pub fn spend(&mut self, now: Time, no: RequestNo) -> Option<Time> {
        let ask = *self.by_request.get(&no)?;
        let start_by = self.requests.get_mut(&ask)?.spend(now);
        self.update_indexes(ask);
        start_by
    }

    /// Marks the token as spent: the attempt's request was written to the backend server's
    /// connection, or may have been.
    pub fn sent(&mut self, now: Time, no: RequestNo) {
        let Some(ask) = self.by_request.get(&no).copied() else { return };
        if let Some(request) = self.requests.get_mut(&ask) {
            request.sent(now);
        }
        self.update_indexes(ask);
    }

    /// Returns the token to its share: the attempt did not reach a backend server.
    pub fn give_back(&mut self, now: Time, no: RequestNo) -> Vec<TokenClientOut> {
        let Some(ask) = self.by_request.get(&no).copied() else { return Vec::new() };
        self.with(now, ask, |req, out| req.give_back(now, out))
    }

    /// Ends a request's need for a token. One that [`Self::spend`] used counts as spent, any other
    /// one is returned to its share.
    pub fn cancel(&mut self, now: Time, no: RequestNo) -> Vec<TokenClientOut> {
        let Some(ask) = self.by_request.remove(&no) else { return Vec::new() };
        self.with(now, ask, |req, out| req.cancel(now, out))
    }

    /// Returns how many requests wait for, hold or use a token.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether no request waits for, holds or uses a token.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    fn new_ids(&mut self, no: RequestNo, account: AccountId) -> TokenRequestIds {
        TokenRequestIds { no, account, ask: AskId(self.ids.next_id()) }
    }

    fn start(
        &mut self,
        now: Time,
        ids: TokenRequestIds,
        deadline: Time,
        zones: &[ZoneId],
        out: &mut Vec<TokenClientOut>,
    ) {
        let TokenRequestIds { no, account, ask } = ids;
        let request = TokenRequest::start(now, ids, deadline, zones, out);
        self.requests.insert(ask, request);
        self.by_request.insert(no, ask);
        self.by_account.entry(account).or_default().insert(ask);
        self.update_indexes(ask);
    }

    fn wake(&mut self, now: Time, ask: AskId, out: &mut Vec<TokenClientOut>) {
        let Some(request) = self.requests.get_mut(&ask) else { return };
        if request.is_ended() {
            self.requests.remove(&ask);
            return;
        }
        let Lapsed(lapsed) = request.tick(now, out);
        let (ids, deadline, zones) = (request.ids(), request.deadline(), request.zones());
        self.update_indexes(ask);
        if lapsed {
            let ids = self.new_ids(ids.no, ids.account);
            self.start(now, ids, deadline, &zones, out);
        }
    }

    fn current(&self, no: RequestNo) -> Option<&TokenRequest> {
        self.requests.get(self.by_request.get(&no)?)
    }

    /// Calls `f` on a token request, and updates the indexes. Returns what `f` added to its output.
    fn with(
        &mut self,
        now: Time,
        ask: AskId,
        f: impl FnOnce(&mut TokenRequest, &mut Vec<TokenClientOut>),
    ) -> Vec<TokenClientOut> {
        let mut out = Vec::new();
        let Some(request) = self.requests.get_mut(&ask) else { return out };
        f(request, &mut out);
        log::trace!("{now:?}: {ask:?}: {out:?}");
        self.update_indexes(ask);
        out
    }

    /// Updates the indexes after a token request has changed. An ended one stays in `requests`
    /// until its wake-up time, so that tokens that still arrive for it are returned.
    fn update_indexes(&mut self, ask: AskId) {
        let Some(request) = self.requests.get(&ask) else { return };
        self.timers.set(ask, Some(request.next_wake()));
        if !request.is_ended() {
            return;
        }
        let TokenRequestIds { no, account, .. } = request.ids();
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
