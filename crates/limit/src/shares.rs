//! All shares that an instance owns.

use std::collections::HashMap;

use model::{
    msg::{ShareState, TokenMsg},
    names::Names,
    prelude::*,
    wakes::Wakes,
};

use crate::{
    HOLD_OFF, ShareSpec, ShareSummary,
    leases::AskKey,
    share::{Context, Share},
};

/// Times that the owners of shares depend on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Timing {
    /// Added wherever two processes' clocks are compared.
    pub margin: Duration,
    /// How long a limit that was raised stays as it is: the time within which a configuration is
    /// in force everywhere.
    pub grow_after: Duration,
}

/// What a new owner of a share knows of it.
#[derive(Clone, PartialEq, Debug)]
pub enum Start {
    /// Nothing. Tokens that an earlier owner handed out may still be used, so no token is handed
    /// out or refilled before the last of them has expired.
    Empty,
    /// What the earlier owner passed on when it closed the share.
    From(ShareState),
}

/// All shares that this instance owns.
#[derive(Clone, Debug)]
pub struct Shares {
    timing: Timing,
    names: Names,
    open: HashMap<ShareId, Share>,
    wakes: Wakes<ShareId>,
}

impl Shares {
    /// Owns no share yet. `me` keeps the names of tokens apart from those of other owners.
    pub fn new(me: Peer, timing: Timing) -> Self {
        Self { timing, names: Names::new(me), open: HashMap::new(), wakes: Wakes::default() }
    }

    /// Begins to own a share.
    ///
    /// Limits that the configuration raised less than [`Timing::grow_after`] ago must not be used
    /// yet: pass the older limits here and the newer ones to [`Self::resize`].
    pub fn open(&mut self, now: Time, share: ShareId, spec: ShareSpec, start: Start) {
        let state = match start {
            Start::From(state) if state.share == share => Share::resume(now, spec, &state),
            Start::From(_) | Start::Empty => {
                let known_from = now + HOLD_OFF + self.timing.margin;
                Share::empty(share, spec, known_from)
            }
        };
        self.open.insert(share, state);
        self.wakes.clear(share);
    }

    /// Changes the limits of a share: what shrinks shrinks at once, what grows grows after
    /// [`Timing::grow_after`].
    pub fn resize(&mut self, now: Time, share: ShareId, spec: ShareSpec) {
        let grow_at = now + self.timing.grow_after;
        if let Some(open) = self.open.get_mut(&share) {
            open.resize(now, spec, grow_at);
            self.wakes.set(share, open.next_wake());
        }
    }

    /// Ends to own a share, and returns what its next owner has to know.
    pub fn close(&mut self, now: Time, share: ShareId) -> Option<ShareState> {
        self.wakes.clear(share);
        Some(self.open.remove(&share)?.close(now))
    }

    /// Ends to own any share.
    pub fn close_all(&mut self, now: Time) -> Vec<ShareState> {
        let shares = self.ids();
        shares.into_iter().filter_map(|it| self.close(now, it)).collect()
    }

    /// Returns whether this instance owns a share.
    pub fn owns(&self, share: ShareId) -> bool {
        self.open.contains_key(&share)
    }

    /// Returns the owned shares in the order of their ids.
    pub fn ids(&self) -> Vec<ShareId> {
        let mut ids: Vec<_> = self.open.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Handles a message from an instance that wants or holds tokens.
    pub fn handle(&mut self, now: Time, from: Peer, msg: &TokenMsg) -> Vec<Reply<TokenMsg>> {
        match *msg {
            TokenMsg::Ask { ask, share, wait } if !self.owns(share) => {
                let reason = Reason::NoOwner;
                let msg = TokenMsg::Deny { ask, share, reason, retry_after: wait };
                vec![Reply { to: from.instance, msg }]
            }
            TokenMsg::Ask { ask, share, wait } => {
                self.with(now, share, |it, cx| it.ask(cx, AskKey { from, ask }, wait))
            }
            TokenMsg::Cancel { ask, share } => {
                self.with(now, share, |it, cx| it.cancel(cx, AskKey { from, ask }))
            }
            TokenMsg::Spent { share, lease } => {
                self.with(now, share, |it, cx| it.spent(cx, from, lease))
            }
            TokenMsg::Return { share, lease } => {
                self.with(now, share, |it, cx| it.take_back(cx, from, lease))
            }
            TokenMsg::Give { .. } | TokenMsg::Queued { .. } | TokenMsg::Deny { .. } => Vec::new(),
        }
    }

    /// Hands out the tokens that are due to requests that wait.
    pub fn tick(&mut self, now: Time) -> Vec<Reply<TokenMsg>> {
        let mut out = Vec::new();
        while let Some(share) = self.wakes.pop_due(now) {
            out.extend(self.with(now, share, Share::serve));
        }
        out
    }

    /// Returns when [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        self.wakes.next()
    }

    /// Returns the state of the owned shares in the order of their ids, for dumps.
    pub fn summary(&self, now: Time) -> Vec<ShareSummary> {
        let mut summary: Vec<_> = self.open.values().map(|it| it.summary(now)).collect();
        summary.sort_unstable_by_key(|it| it.share);
        summary
    }

    fn with(
        &mut self,
        now: Time,
        share: ShareId,
        f: impl FnOnce(&mut Share, &mut Context<'_>),
    ) -> Vec<Reply<TokenMsg>> {
        let mut out = Vec::new();
        let Some(open) = self.open.get_mut(&share) else { return out };
        let margin = self.timing.margin;
        f(open, &mut Context { now, margin, names: &mut self.names, out: &mut out });
        self.wakes.set(share, open.next_wake());
        out
    }
}
