//! Acquiring one token for an attempt of a request.

use model::{msg::TokenMsg, prelude::*};

use crate::{REPORT_DELAY, TOKEN_TTL, TokenClientOut};

/// How long the owner in this instance's own zone has to reply before the owners in the other zones
/// are asked as well.
const OTHER_ZONES_DELAY: Duration = Duration::from_millis(20);

/// How long an owner has to reply before it is asked again.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// The longest time until an owner that has queued the request is asked again: it may have lost its
/// queue.
const MAX_QUEUED_RESEND_DELAY: Duration = Duration::from_secs(1);

/// How long before a token's expiry it is renewed.
const RENEWAL_LEAD: Duration = Duration::from_millis(500);

/// How long an ended token request is kept, so that tokens that still arrive for it are returned.
const ENDED_RETENTION: Duration = Duration::from_secs(2);

/// The retry time of a request that got no token and no reply from any owner.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request for one token, sent under one [`AskId`] to the owners of the account's shares.
///
/// At most one token is used for an [`AskId`]. Once [`TokenMsg::Cancel`] was sent to a share's
/// owner, no token of that share is used.
#[derive(Clone, Debug)]
pub(crate) struct TokenRequest {
    ids: TokenRequestIds,
    /// When the request must have started its attempt.
    deadline: Time,
    zones: Vec<ZoneAsk>,
    /// When the owners in the other zones are asked as well; `None` once they were.
    ask_others_at: Option<Time>,
    /// The earliest time at which an owner expects a token; `None` if none has replied.
    retry_at: Option<Time>,
    phase: Phase,
}

/// The ids of a token request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenRequestIds {
    /// The caller's request.
    pub(crate) no: RequestNo,
    pub(crate) account: AccountId,
    pub(crate) ask: AskId,
}

/// Whether the owner of a zone's share was asked, and what it replied.
#[derive(Clone, Copy, Debug)]
struct ZoneAsk {
    zone: ZoneId,
    state: AskState,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum AskState {
    NotAsked,
    /// Asked, and asked again at `resend_at`.
    Asked {
        resend_at: Time,
    },
    /// The owner replied that it has no token in time.
    Denied,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    /// There is no token yet.
    Asking,
    /// There is a token, and no attempt has started with it.
    Holding(Token),
    /// An attempt has started, and its request is not sent yet.
    Spending(Token),
    /// The attempt's request was sent to the backend server; the token is reported at `report_at`.
    Sent { token: Token, report_at: Time },
    /// Tokens that still arrive are returned.
    Ended {
        /// The token that was spent.
        used: Option<LeaseId>,
        drop_at: Time,
    },
}

/// A token that this instance holds.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Token {
    share: ShareId,
    lease: LeaseId,
    /// When an attempt must have started with it.
    usable_until: Time,
    /// When the owner is asked to renew it.
    renew_at: Time,
}

/// Whether a token expired unused while there is still time to get another one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Lapsed(pub(crate) bool);

impl TokenRequest {
    /// Asks the owner of the first zone's share for a token.
    pub(crate) fn start(
        now: Time,
        ids: TokenRequestIds,
        deadline: Time,
        zones: &[ZoneId],
        out: &mut Vec<TokenClientOut>,
    ) -> Self {
        let zones = zones.iter().map(|zone| ZoneAsk { zone: *zone, state: AskState::NotAsked });
        let mut request = Self {
            ids,
            deadline,
            zones: zones.collect(),
            ask_others_at: Some(now + OTHER_ZONES_DELAY),
            retry_at: None,
            phase: Phase::Asking,
        };
        request.ask_zone(now, 0, out);
        request.end_if_denied(now, out);
        request
    }

    pub(crate) fn ids(&self) -> TokenRequestIds {
        self.ids
    }

    pub(crate) fn deadline(&self) -> Time {
        self.deadline
    }

    pub(crate) fn zones(&self) -> Vec<ZoneId> {
        self.zones.iter().map(|ask| ask.zone).collect()
    }

    /// Returns until when an attempt may start with the token, or `None` without a usable one.
    pub(crate) fn usable_until(&self, now: Time) -> Option<Time> {
        match self.phase {
            Phase::Holding(token) if now < token.usable_until => Some(token.usable_until),
            _ => None,
        }
    }

    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Returns when [`Self::tick`] must be called next; for an ended request, when to drop it.
    pub(crate) fn next_wake(&self) -> Time {
        match self.phase {
            Phase::Asking => self.next_ask().min(self.deadline),
            Phase::Holding(token) => token.renew_at.min(token.usable_until),
            Phase::Spending(token) => token.renew_at,
            Phase::Sent { report_at, .. } => report_at,
            Phase::Ended { drop_at, .. } => drop_at,
        }
    }

    /// Resends, renews, reports and ends what is due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<TokenClientOut>) -> Lapsed {
        match self.phase {
            Phase::Asking if now >= self.deadline => self.give_up(now, out),
            Phase::Asking => self.ask_due(now, out),
            Phase::Holding(token) if now >= token.usable_until => {
                self.give_back(now, out);
                return Lapsed(now < self.deadline);
            }
            Phase::Holding(token) if now >= token.renew_at => {
                let wait = now.until(self.deadline);
                self.renew(token, wait, out);
                self.phase = Phase::Holding(token.with_renew_at(now + RESEND_DELAY));
            }
            Phase::Spending(token) if now >= token.renew_at => {
                self.renew(token, TOKEN_TTL, out);
                self.phase = Phase::Spending(token.with_renew_at(now + RESEND_DELAY));
            }
            Phase::Sent { token, report_at } if now >= report_at => {
                let msg = TokenMsg::Spent { share: token.share, lease: token.lease };
                out.push(TokenClientOut::Send { share: token.share, msg });
                let used = Some(token.lease);
                self.phase = Phase::Ended { used, drop_at: now + ENDED_RETENTION };
            }
            _ => {}
        }
        Lapsed(false)
    }

    /// Handles a token from an owner.
    pub(crate) fn given(
        &mut self,
        now: Time,
        share: ShareId,
        lease: LeaseId,
        ttl: Duration,
        out: &mut Vec<TokenClientOut>,
    ) {
        let new = self.token(now, share, lease, ttl);
        match self.phase {
            Phase::Asking if now < new.usable_until => {
                self.cancel_all(Some(share), out);
                self.phase = Phase::Holding(new);
                out.push(TokenClientOut::Ready { no: self.ids.no });
            }
            Phase::Asking => {
                self.set_state(share.zone, AskState::Asked { resend_at: now + RESEND_DELAY });
                return_token(new, out);
            }
            Phase::Holding(old) if old.lease == lease => {
                if new.usable_until > old.usable_until {
                    self.phase = Phase::Holding(new);
                }
            }
            Phase::Spending(old) if old.lease == lease => {
                self.phase = Phase::Spending(old.with_renew_at(now + TOKEN_TTL - RENEWAL_LEAD));
            }
            Phase::Sent { token, .. } if token.lease == lease => {}
            Phase::Ended { used: Some(used), .. } if used == lease => {}
            _ => return_token(new, out),
        }
    }

    /// Handles the reply of an owner that has queued the request; it expects a token in `eta`.
    pub(crate) fn queued(
        &mut self,
        now: Time,
        share: ShareId,
        eta: Duration,
        out: &mut Vec<TokenClientOut>,
    ) {
        if self.phase != Phase::Asking {
            return;
        }
        let resend_at = now + eta.clamp(RESEND_DELAY, MAX_QUEUED_RESEND_DELAY);
        self.set_state(share.zone, AskState::Asked { resend_at });
        self.update_retry_at(now + eta);
        self.ask_others(now, out);
    }

    /// Handles the reply of an owner that gives no token. With [`Reason::NoOwner`], the share has
    /// no known owner or the receiver does not own it, and the owner is asked again later.
    pub(crate) fn denied(
        &mut self,
        now: Time,
        share: ShareId,
        reason: Reason,
        retry_after: Duration,
        out: &mut Vec<TokenClientOut>,
    ) {
        if self.phase != Phase::Asking {
            return;
        }
        if reason == Reason::NoOwner {
            let resend_at = now + RESEND_DELAY;
            self.set_state(share.zone, AskState::Asked { resend_at });
        } else {
            self.set_state(share.zone, AskState::Denied);
            self.update_retry_at(now + retry_after);
        }
        self.ask_others(now, out);
        self.end_if_denied(now, out);
    }

    /// Asks a share's new owner, if the earlier one was asked.
    pub(crate) fn owner_changed(
        &mut self,
        now: Time,
        share: ShareId,
        out: &mut Vec<TokenClientOut>,
    ) {
        if self.phase != Phase::Asking {
            return;
        }
        let asked = |ask: &ZoneAsk| ask.zone == share.zone && ask.state != AskState::NotAsked;
        if let Some(i) = self.zones.iter().position(asked) {
            self.ask_zone(now, i, out);
        }
    }

    /// Marks the token as used for an attempt. Returns until when the attempt may start, or `None`
    /// without a usable token.
    pub(crate) fn spend(&mut self, now: Time) -> Option<Time> {
        let usable_until = self.usable_until(now)?;
        let Phase::Holding(token) = self.phase else { return None };
        let renew_at = now.max(usable_until - RENEWAL_LEAD);
        self.phase = Phase::Spending(token.with_renew_at(renew_at));
        Some(usable_until)
    }

    /// Marks the token as spent: the attempt's request was written to the backend server's
    /// connection, or may have been.
    pub(crate) fn sent(&mut self, now: Time) {
        if let Phase::Spending(token) = self.phase {
            self.phase = Phase::Sent { token, report_at: now + REPORT_DELAY };
        }
    }

    /// Returns a token to its share: no attempt with it reached a backend server.
    pub(crate) fn give_back(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if let Phase::Holding(token) | Phase::Spending(token) = self.phase {
            return_token(token, out);
            self.phase = Phase::Ended { used: None, drop_at: now + ENDED_RETENTION };
        }
    }

    /// Ends the need for a token. One with which an attempt has started counts as spent.
    pub(crate) fn cancel(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        match self.phase {
            Phase::Asking => {
                self.cancel_all(None, out);
                self.phase = Phase::Ended { used: None, drop_at: now + ENDED_RETENTION };
            }
            Phase::Holding(_) => self.give_back(now, out),
            Phase::Spending(_) => self.sent(now),
            Phase::Sent { .. } | Phase::Ended { .. } => {}
        }
    }

    /// Makes a token out of an owner's reply.
    ///
    /// `ttl` is what was left of the request's wait when the owner replied, counted from when the
    /// [`TokenMsg::Ask`] arrived. So by this instance's clock it replied no earlier than
    /// `deadline - ttl`, whichever ask it replied to and however long the reply took. The token is
    /// valid for [`TOKEN_TTL`] from then.
    fn token(&self, now: Time, share: ShareId, lease: LeaseId, ttl: Duration) -> Token {
        let usable_until = (self.deadline - ttl + TOKEN_TTL).min(self.deadline);
        let renew_at = if usable_until < self.deadline {
            (usable_until - RENEWAL_LEAD).max(now + RESEND_DELAY)
        } else {
            usable_until
        };
        Token { share, lease, usable_until, renew_at }
    }

    fn next_ask(&self) -> Time {
        let resends = self.zones.iter().filter_map(|ask| match ask.state {
            AskState::Asked { resend_at } => Some(resend_at),
            AskState::NotAsked | AskState::Denied => None,
        });
        resends.chain(self.ask_others_at).min().unwrap_or(self.deadline)
    }

    fn ask_due(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if self.ask_others_at.is_some_and(|at| at <= now) {
            self.ask_others(now, out);
        }
        for i in 0..self.zones.len() {
            let AskState::Asked { resend_at } = self.zones[i].state else { continue };
            if resend_at <= now {
                self.ask_zone(now, i, out);
            }
        }
    }

    /// Asks the owners in the zones that were not asked yet.
    fn ask_others(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if self.ask_others_at.take().is_none() {
            return;
        }
        for i in 0..self.zones.len() {
            if self.zones[i].state == AskState::NotAsked {
                self.ask_zone(now, i, out);
            }
        }
    }

    fn ask_zone(&mut self, now: Time, i: usize, out: &mut Vec<TokenClientOut>) {
        let Some(zone) = self.zones.get_mut(i) else { return };
        zone.state = AskState::Asked { resend_at: now + RESEND_DELAY };
        let share = ShareId { account: self.ids.account, zone: zone.zone };
        let wait = now.until(self.deadline);
        let msg = TokenMsg::Ask { ask: self.ids.ask, share, wait };
        out.push(TokenClientOut::Send { share, msg });
    }

    fn renew(&self, token: Token, wait: Duration, out: &mut Vec<TokenClientOut>) {
        let msg = TokenMsg::Ask { ask: self.ids.ask, share: token.share, wait };
        out.push(TokenClientOut::Send { share: token.share, msg });
    }

    /// Cancels the request at all owners that may still give a token, except that of one share.
    fn cancel_all(&mut self, except: Option<ShareId>, out: &mut Vec<TokenClientOut>) {
        for zone in &mut self.zones {
            let share = ShareId { account: self.ids.account, zone: zone.zone };
            let is_asked = matches!(zone.state, AskState::Asked { .. });
            if is_asked && except != Some(share) {
                let msg = TokenMsg::Cancel { ask: self.ids.ask, share };
                out.push(TokenClientOut::Send { share, msg });
            }
        }
    }

    fn end_if_denied(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if self.zones.iter().all(|ask| ask.state == AskState::Denied) {
            self.give_up(now, out);
        }
    }

    fn give_up(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        let reason = if self.retry_at.is_some() { Reason::OverRate } else { Reason::NoOwner };
        let retry_after = self.retry_at.map_or(DEFAULT_RETRY_AFTER, |at| now.until(at));
        self.cancel(now, out);
        out.push(TokenClientOut::Unavailable { no: self.ids.no, reason, retry_after });
    }

    fn update_retry_at(&mut self, at: Time) {
        self.retry_at = Some(self.retry_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn set_state(&mut self, zone: ZoneId, state: AskState) {
        if let Some(ask) = self.zones.iter_mut().find(|ask| ask.zone == zone) {
            ask.state = state;
        }
    }
}

impl Token {
    fn with_renew_at(self, at: Time) -> Self {
        Self { renew_at: at, ..self }
    }
}

fn return_token(token: Token, out: &mut Vec<TokenClientOut>) {
    let msg = TokenMsg::Return { share: token.share, lease: token.lease };
    out.push(TokenClientOut::Send { share: token.share, msg });
}
