//! The shares that an instance owns.

use std::collections::HashMap;

use model::{
    id_sequence::IdSequence,
    msg::{ShareState, TokenMsg},
    prelude::*,
    timers::Timers,
};

use crate::{
    HOLD_OFF, ShareSpec, ShareSummary,
    leases::AskKey,
    share::{Context, Share},
};

/// Times on which the owner of shares depends; the same in the whole fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Timing {
    /// Added wherever two processes measure the same time with their own clocks.
    pub margin: Duration,
    /// Time from a configuration that raises a limit until the limit is raised: by then, every
    /// instance has the configuration.
    pub grow_after: Duration,
}

/// What the new owner of a share knows of its state.
#[derive(Clone, PartialEq, Debug)]
pub enum ShareStart {
    /// Nothing. Tokens that an earlier owner handed out may still be in use, so none is refilled
    /// or handed out before the last of them has expired.
    Empty,
    /// The state that the earlier owner handed over. One of another share counts as
    /// [`ShareStart::Empty`].
    HandedOver(ShareState),
}

/// The shares that this instance owns. It answers the other instances' requests for tokens.
#[derive(Clone, Debug)]
pub struct Shares {
    timing: Timing,
    ids: IdSequence,
    open: HashMap<ShareId, Share>,
    timers: Timers<ShareId>,
}

impl Shares {
    /// Starts without any share. `me` makes the ids of tokens differ from those of other owners.
    pub fn new(me: Peer, timing: Timing) -> Self {
        Self { timing, ids: IdSequence::new(me), open: HashMap::new(), timers: Timers::default() }
    }

    /// Starts to own a share. The caller must be its only owner in the fleet.
    ///
    /// Limits that the configuration raised less than [`Timing::grow_after`] ago must not apply
    /// yet: pass the older limits here and the newer ones to [`Self::resize`].
    pub fn open(&mut self, now: Time, share: ShareId, spec: ShareSpec, start: ShareStart) {
        let state = match start {
            ShareStart::HandedOver(state) if state.share == share => {
                Share::resume(now, spec, &state)
            }
            ShareStart::HandedOver(_) | ShareStart::Empty => {
                let refill_from = now + HOLD_OFF + self.timing.margin;
                Share::empty(share, spec, refill_from)
            }
        };
        self.open.insert(share, state);
        self.timers.clear(share);
    }

    /// Changes the limits of a share: lower ones apply at once, higher ones after
    /// [`Timing::grow_after`]. Does nothing if the share is not owned.
    pub fn resize(&mut self, now: Time, share: ShareId, spec: ShareSpec) {
        let grow_at = now + self.timing.grow_after;
        if let Some(open) = self.open.get_mut(&share) {
            open.resize(now, spec, grow_at);
            self.timers.set(share, open.next_wake());
        }
    }

    /// Stops owning a share. Returns its state for the next owner, or `None` if it was not owned.
    pub fn close(&mut self, now: Time, share: ShareId) -> Option<ShareState> {
        self.timers.clear(share);
        Some(self.open.remove(&share)?.close(now))
    }

    /// Stops owning all shares. Returns their states in the order of their ids.
    pub fn close_all(&mut self, now: Time) -> Vec<ShareState> {
        let shares = self.ids();
        shares.into_iter().filter_map(|share| self.close(now, share)).collect()
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

    /// Handles a message from an instance that asks for or holds tokens. Returns the replies.
    pub fn handle(&mut self, now: Time, from: Peer, msg: &TokenMsg) -> Vec<OutgoingMsg<TokenMsg>> {
        match *msg {
            TokenMsg::Ask { ask, share, wait } if !self.owns(share) => {
                let reason = Reason::NoOwner;
                let msg = TokenMsg::Deny { ask, share, reason, retry_after: wait };
                vec![OutgoingMsg { to: from.instance, msg }]
            }
            TokenMsg::Ask { ask, share, wait } => {
                self.with(now, share, |share, cx| share.ask(cx, AskKey { from, ask }, wait))
            }
            TokenMsg::Cancel { ask, share } => {
                self.with(now, share, |share, cx| share.cancel(cx, AskKey { from, ask }))
            }
            TokenMsg::Spent { share, lease } => {
                self.with(now, share, |share, cx| share.spent(cx, from, lease))
            }
            TokenMsg::Return { share, lease } => {
                self.with(now, share, |share, cx| share.take_back(cx, from, lease))
            }
            TokenMsg::Give { .. } | TokenMsg::Queued { .. } | TokenMsg::Deny { .. } => Vec::new(),
        }
    }

    /// Hands out the tokens that have become available to the requests that wait. Returns the
    /// messages to send.
    pub fn tick(&mut self, now: Time) -> Vec<OutgoingMsg<TokenMsg>> {
        let mut out = Vec::new();
        while let Some(share) = self.timers.pop_due(now) {
            out.extend(self.with(now, share, Share::serve));
        }
        out
    }

    /// Returns when [`Self::tick`] must be called next, or `None` if no request waits.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns a summary of each owned share in the order of their ids.
    pub fn summary(&self, now: Time) -> Vec<ShareSummary> {
        let mut summary: Vec<_> = self.open.values().map(|share| share.summary(now)).collect();
        summary.sort_unstable_by_key(|summary| summary.share);
        summary
    }

    /// Calls `f` on an owned share, and updates its wake-up time.
    fn with(
        &mut self,
        now: Time,
        share: ShareId,
        f: impl FnOnce(&mut Share, &mut Context<'_>),
    ) -> Vec<OutgoingMsg<TokenMsg>> {
        let mut out = Vec::new();
        let Some(open) = self.open.get_mut(&share) else { return out };
        let margin = self.timing.margin;
        f(open, &mut Context { now, margin, ids: &mut self.ids, out: &mut out });
        self.timers.set(share, open.next_wake());
        out
    }
}
