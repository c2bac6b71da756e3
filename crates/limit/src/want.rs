//! One request's need of a token.

use model::{msg::TokenMsg, prelude::*};

use crate::{REPORT_DELAY, TOKEN_TTL, TokenClientOut};

/// How long the own zone's owner has to answer before the other zones' owners are asked as well.
const SPREAD_AFTER: Duration = Duration::from_millis(20);

/// How long an owner has to answer before it is asked again.
const RESEND_AFTER: Duration = Duration::from_millis(100);

/// The longest time between two questions to an owner that has put the request into its queue.
const MAX_QUEUED_RESEND: Duration = Duration::from_secs(1);

/// How long before its end a token is renewed.
const RENEW_BEFORE: Duration = Duration::from_millis(500);

/// How long an ended need is remembered, so that tokens that still come for it go back.
const REMEMBER: Duration = Duration::from_secs(2);

/// When to try again if no owner said it.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// A request's need of one token, under one name for all shares.
///
/// At most one token is ever used under a name, and once a [`TokenMsg::Cancel`] has gone to a
/// share's owner, none of that share is.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    names: WantNames,
    deadline: Time,
    zones: Vec<ZoneAsk>,
    /// When the other zones' owners are asked as well.
    spread_at: Option<Time>,
    /// When a token is expected, by what owners said; none if no owner has answered.
    retry_at: Option<Time>,
    phase: Phase,
}

/// How a need is named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WantNames {
    pub(crate) no: RequestNo,
    pub(crate) account: AccountId,
    pub(crate) ask: AskId,
}

/// The question to one zone's owner.
#[derive(Clone, Copy, Debug)]
struct ZoneAsk {
    zone: ZoneId,
    state: AskState,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum AskState {
    /// Not asked yet.
    Idle,
    /// Asked; asked again at this time.
    Open { resend_at: Time },
    /// The owner said that no token will come in time.
    Denied,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    /// There is no token yet.
    Seeking,
    /// There is a token, and no attempt has started with it.
    Holding(Token),
    /// An attempt has started.
    Spending(Token),
    /// The attempt is at the backend server or on its way there.
    Sent { token: Token, report_at: Time },
    /// Nothing is left to do but to return tokens that come late.
    Ended {
        /// The token that was spent.
        used: Option<LeaseId>,
        forget_at: Time,
    },
}

/// A token in hand.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Token {
    share: ShareId,
    lease: LeaseId,
    usable_until: Time,
    renew_at: Time,
}

/// Whether a token expired before it was used, while there is still time to get another one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Lapsed(pub(crate) bool);

impl Want {
    /// Asks the owner of the first zone's share for a token.
    pub(crate) fn start(
        now: Time,
        names: WantNames,
        deadline: Time,
        zones: &[ZoneId],
        out: &mut Vec<TokenClientOut>,
    ) -> Self {
        let zones = zones.iter().map(|zone| ZoneAsk { zone: *zone, state: AskState::Idle });
        let mut want = Self {
            names,
            deadline,
            zones: zones.collect(),
            spread_at: Some(now + SPREAD_AFTER),
            retry_at: None,
            phase: Phase::Seeking,
        };
        want.ask_zone(now, 0, out);
        want.check_dry(now, out);
        want
    }

    pub(crate) fn names(&self) -> WantNames {
        self.names
    }

    pub(crate) fn deadline(&self) -> Time {
        self.deadline
    }

    pub(crate) fn zones(&self) -> Vec<ZoneId> {
        self.zones.iter().map(|it| it.zone).collect()
    }

    /// Returns until when an attempt may start with the token in hand.
    pub(crate) fn usable_until(&self, now: Time) -> Option<Time> {
        match self.phase {
            Phase::Holding(token) if now < token.usable_until => Some(token.usable_until),
            _ => None,
        }
    }

    pub(crate) fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    /// Returns when [`Self::tick`] has something to do.
    pub(crate) fn next_wake(&self) -> Time {
        match self.phase {
            Phase::Seeking => self.next_question().min(self.deadline),
            Phase::Holding(token) => token.renew_at.min(token.usable_until),
            Phase::Spending(token) => token.renew_at,
            Phase::Sent { report_at, .. } => report_at,
            Phase::Ended { forget_at, .. } => forget_at,
        }
    }

    /// Does what is due. Returns whether the token expired before it was used.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<TokenClientOut>) -> Lapsed {
        match self.phase {
            Phase::Seeking if now >= self.deadline => self.give_up(now, out),
            Phase::Seeking => self.ask_due(now, out),
            Phase::Holding(token) if now >= token.usable_until => {
                self.give_back(now, out);
                return Lapsed(now < self.deadline);
            }
            Phase::Holding(token) if now >= token.renew_at => {
                let wait = now.until(self.deadline);
                self.renew(token, wait, out);
                self.phase = Phase::Holding(token.renew_at(now + RESEND_AFTER));
            }
            Phase::Spending(token) if now >= token.renew_at => {
                self.renew(token, TOKEN_TTL, out);
                self.phase = Phase::Spending(token.renew_at(now + RESEND_AFTER));
            }
            Phase::Sent { token, report_at } if now >= report_at => {
                let msg = TokenMsg::Spent { share: token.share, lease: token.lease };
                out.push(TokenClientOut::Send { share: token.share, msg });
                let used = Some(token.lease);
                self.phase = Phase::Ended { used, forget_at: now + REMEMBER };
            }
            _ => {}
        }
        Lapsed(false)
    }

    /// An owner gave a token.
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
            Phase::Seeking if now < new.usable_until => {
                self.cancel_all(Some(share), out);
                self.phase = Phase::Holding(new);
                out.push(TokenClientOut::Ready { no: self.names.no });
            }
            Phase::Seeking => {
                self.set_state(share.zone, AskState::Open { resend_at: now + RESEND_AFTER });
                return_token(new, out);
            }
            Phase::Holding(old) if old.lease == lease => {
                if new.usable_until > old.usable_until {
                    self.phase = Phase::Holding(new);
                }
            }
            Phase::Spending(old) if old.lease == lease => {
                self.phase = Phase::Spending(old.renew_at(now + TOKEN_TTL - RENEW_BEFORE));
            }
            Phase::Sent { token, .. } if token.lease == lease => {}
            Phase::Ended { used: Some(used), .. } if used == lease => {}
            _ => return_token(new, out),
        }
    }

    /// An owner put the request into its queue.
    pub(crate) fn queued(
        &mut self,
        now: Time,
        share: ShareId,
        eta: Duration,
        out: &mut Vec<TokenClientOut>,
    ) {
        if self.phase != Phase::Seeking {
            return;
        }
        let resend_at = now + eta.clamp(RESEND_AFTER, MAX_QUEUED_RESEND);
        self.set_state(share.zone, AskState::Open { resend_at });
        self.note_retry(now + eta);
        self.spread(now, out);
    }

    /// An owner gives no token, or the share's owner is not known.
    pub(crate) fn denied(
        &mut self,
        now: Time,
        share: ShareId,
        reason: Reason,
        retry_after: Duration,
        out: &mut Vec<TokenClientOut>,
    ) {
        if self.phase != Phase::Seeking {
            return;
        }
        if reason == Reason::NoOwner {
            let resend_at = now + RESEND_AFTER;
            self.set_state(share.zone, AskState::Open { resend_at });
        } else {
            self.set_state(share.zone, AskState::Denied);
            self.note_retry(now + retry_after);
        }
        self.spread(now, out);
        self.check_dry(now, out);
    }

    /// Asks the new owner of a share.
    pub(crate) fn owner_changed(
        &mut self,
        now: Time,
        share: ShareId,
        out: &mut Vec<TokenClientOut>,
    ) {
        if self.phase != Phase::Seeking {
            return;
        }
        let asked = |it: &ZoneAsk| it.zone == share.zone && it.state != AskState::Idle;
        if let Some(i) = self.zones.iter().position(asked) {
            self.ask_zone(now, i, out);
        }
    }

    /// Marks the token as used for an attempt, and returns until when the attempt may start.
    pub(crate) fn spend(&mut self, now: Time) -> Option<Time> {
        let usable_until = self.usable_until(now)?;
        let Phase::Holding(token) = self.phase else { return None };
        let renew_at = now.max(usable_until - RENEW_BEFORE);
        self.phase = Phase::Spending(token.renew_at(renew_at));
        Some(usable_until)
    }

    /// The attempt's request was written to the backend server's connection, or may have been.
    pub(crate) fn sent(&mut self, now: Time) {
        if let Phase::Spending(token) = self.phase {
            self.phase = Phase::Sent { token, report_at: now + REPORT_DELAY };
        }
    }

    /// Returns a token with which no attempt reached a backend server.
    pub(crate) fn give_back(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if let Phase::Holding(token) | Phase::Spending(token) = self.phase {
            return_token(token, out);
            self.phase = Phase::Ended { used: None, forget_at: now + REMEMBER };
        }
    }

    /// The request needs no token any more.
    pub(crate) fn cancel(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        match self.phase {
            Phase::Seeking => {
                self.cancel_all(None, out);
                self.phase = Phase::Ended { used: None, forget_at: now + REMEMBER };
            }
            Phase::Holding(_) => self.give_back(now, out),
            Phase::Spending(_) => self.sent(now),
            Phase::Sent { .. } | Phase::Ended { .. } => {}
        }
    }

    /// Makes a token out of an owner's answer.
    ///
    /// The owner counted `ttl` back from when the question came, so it answered no earlier than
    /// `deadline - ttl` on this instance's clock, whichever of the questions it answered and
    /// however long the answer took. It keeps the token for [`TOKEN_TTL`] from then.
    fn token(&self, now: Time, share: ShareId, lease: LeaseId, ttl: Duration) -> Token {
        let usable_until = (self.deadline - ttl + TOKEN_TTL).min(self.deadline);
        let renew_at = if usable_until < self.deadline {
            (usable_until - RENEW_BEFORE).max(now + RESEND_AFTER)
        } else {
            usable_until
        };
        Token { share, lease, usable_until, renew_at }
    }

    fn next_question(&self) -> Time {
        let resends = self.zones.iter().filter_map(|it| match it.state {
            AskState::Open { resend_at } => Some(resend_at),
            AskState::Idle | AskState::Denied => None,
        });
        resends.chain(self.spread_at).min().unwrap_or(self.deadline)
    }

    fn ask_due(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if self.spread_at.is_some_and(|it| it <= now) {
            self.spread(now, out);
        }
        for i in 0..self.zones.len() {
            let AskState::Open { resend_at } = self.zones[i].state else { continue };
            if resend_at <= now {
                self.ask_zone(now, i, out);
            }
        }
    }

    /// Asks the owners of the shares that were not asked yet.
    fn spread(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if self.spread_at.take().is_none() {
            return;
        }
        for i in 0..self.zones.len() {
            if self.zones[i].state == AskState::Idle {
                self.ask_zone(now, i, out);
            }
        }
    }

    fn ask_zone(&mut self, now: Time, i: usize, out: &mut Vec<TokenClientOut>) {
        let Some(zone) = self.zones.get_mut(i) else { return };
        zone.state = AskState::Open { resend_at: now + RESEND_AFTER };
        let share = ShareId { account: self.names.account, zone: zone.zone };
        let wait = now.until(self.deadline);
        let msg = TokenMsg::Ask { ask: self.names.ask, share, wait };
        out.push(TokenClientOut::Send { share, msg });
    }

    fn renew(&self, token: Token, wait: Duration, out: &mut Vec<TokenClientOut>) {
        let msg = TokenMsg::Ask { ask: self.names.ask, share: token.share, wait };
        out.push(TokenClientOut::Send { share: token.share, msg });
    }

    fn cancel_all(&mut self, except: Option<ShareId>, out: &mut Vec<TokenClientOut>) {
        for zone in &mut self.zones {
            let share = ShareId { account: self.names.account, zone: zone.zone };
            let is_open = matches!(zone.state, AskState::Open { .. });
            if is_open && except != Some(share) {
                let msg = TokenMsg::Cancel { ask: self.names.ask, share };
                out.push(TokenClientOut::Send { share, msg });
            }
        }
    }

    fn check_dry(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        if self.zones.iter().all(|it| it.state == AskState::Denied) {
            self.give_up(now, out);
        }
    }

    fn give_up(&mut self, now: Time, out: &mut Vec<TokenClientOut>) {
        let reason = if self.retry_at.is_some() { Reason::OverRate } else { Reason::NoOwner };
        let retry_after = self.retry_at.map_or(DEFAULT_RETRY, |it| now.until(it));
        self.cancel(now, out);
        out.push(TokenClientOut::Unavailable { no: self.names.no, reason, retry_after });
    }

    fn note_retry(&mut self, at: Time) {
        self.retry_at = Some(self.retry_at.map_or(at, |it| it.min(at)));
    }

    fn set_state(&mut self, zone: ZoneId, state: AskState) {
        if let Some(ask) = self.zones.iter_mut().find(|it| it.zone == zone) {
            ask.state = state;
        }
    }
}

impl Token {
    fn renew_at(self, at: Time) -> Self {
        Self { renew_at: at, ..self }
    }
}

fn return_token(token: Token, out: &mut Vec<TokenClientOut>) {
    let msg = TokenMsg::Return { share: token.share, lease: token.lease };
    out.push(TokenClientOut::Send { share: token.share, msg });
}
