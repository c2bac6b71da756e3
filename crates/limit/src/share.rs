//! A share of an account's limits, as its owner keeps it.

use model::{
    id_sequence::IdSequence,
    msg::{ShareLease, ShareState, TokenMsg},
    prelude::*,
};
use serde::Serialize;

use crate::{
    REPORT_DELAY, ShareSpec, TOKEN_TTL,
    bucket::Bucket,
    leases::{AskKey, Lease, Leases},
    queue::{Queue, Waiting},
    staged_limits::StagedLimits,
};

/// Requests that may wait for tokens of one share; a request beyond them is denied at once.
const MAX_WAITING: usize = 4_096;

/// The longest time after which a caller over its rate is told to retry; also what it is told where
/// no token is expected at all.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What a [`Share`] needs from its instance to handle a message.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    /// Added to a token's validity, as holder and owner measure it with different clocks.
    pub(crate) margin: Duration,
    pub(crate) ids: &'a mut IdSequence,
    /// Receives the messages to send.
    pub(crate) out: &'a mut Vec<OutgoingMsg<TokenMsg>>,
}

/// A request gets no token in the last part of its wait, the wait divided by this number, since it
/// needs that time to get a backend server. Otherwise, a queue that is always full would hand out
/// every token at the last moment.
const UNUSABLE_WAIT_DIVISOR: u32 = 8;

/// A share of an account's limits, as its owner keeps it.
#[derive(Clone, Debug)]
pub(crate) struct Share {
    id: ShareId,
    limits: StagedLimits,
    bucket: Bucket,
    leases: Leases,
    queue: Queue,
}

/// The state of a share, for dumps.
#[derive(Clone, Copy, PartialEq, Debug, Serialize)]
pub struct ShareSummary {
    /// The client account, and the zone whose instances own the share.
    pub share: ShareId,
    /// Its limits in force.
    pub spec: ShareSpec,
    /// Tokens that can be handed out now, with fractions.
    pub level: f64,
    /// Tokens that were handed out and neither reported nor expired.
    pub outstanding: usize,
    /// Requests that wait for a token.
    pub waiting: usize,
}

impl Share {
    /// A share without tokens and without knowledge of outstanding ones; refilling starts at
    /// `refill_from`.
    pub(crate) fn empty(id: ShareId, spec: ShareSpec, refill_from: Time) -> Self {
        let bucket = Bucket::new(0.0, refill_from);
        let limits = StagedLimits::new(spec);
        Self { id, limits, bucket, leases: Leases::default(), queue: Queue::default() }
    }

    /// A share in the state in which another owner closed it.
    pub(crate) fn resume(now: Time, spec: ShareSpec, state: &ShareState) -> Self {
        let mut share = Self::empty(state.share, spec, now);
        for lease in &state.leases {
            let from = Peer { instance: lease.holder, incarnation: lease.incarnation };
            let key = AskKey { from, ask: lease.ask };
            share.leases.insert(lease.lease, Lease { key, expires: now + lease.ttl });
        }
        // Exact: levels are far below 2^52 thousandths.
        share.bucket = Bucket::new(state.level_milli as f64 / 1_000.0, now);
        share.bucket.refill(now, 0.0, share.cap());
        share
    }

    /// Returns the state to hand over to the next owner. Requests that wait are not part of it:
    /// their senders ask again.
    pub(crate) fn close(mut self, now: Time) -> ShareState {
        self.advance(now);
        let mut leases: Vec<_> = self.leases.iter().collect();
        leases.sort_unstable_by_key(|(id, _)| *id);
        let leases = leases.into_iter().map(|(id, lease)| ShareLease {
            holder: lease.key.from.instance,
            incarnation: lease.key.from.incarnation,
            ask: lease.key.ask,
            lease: id,
            ttl: now.until(lease.expires),
        });
        ShareState {
            share: self.id,
            level_milli: (self.bucket.level() * 1_000.0) as u64,
            leases: leases.collect(),
        }
    }

    /// Changes the limits; those that are higher than before apply from `grow_at` on.
    pub(crate) fn resize(&mut self, now: Time, spec: ShareSpec, grow_at: Time) {
        self.advance(now);
        self.limits.set(spec, grow_at);
        self.advance(now);
    }

    /// Handles a request for a token. A repeated one gets the same reply again, and renews the
    /// token that was handed out for it.
    pub(crate) fn ask(&mut self, cx: &mut Context<'_>, key: AskKey, wait: Duration) {
        self.advance(cx.now);
        if let Some(lease) = self.leases.of(key) {
            self.leases.renew(lease, expiry(cx, wait));
            self.give(cx, key, lease, wait);
            return;
        }
        if let Some(waiting) = self.queue.get(key) {
            let eta = cx.now.until(waiting.expected);
            self.queued(cx, key, eta);
            return;
        }
        if !wait.is_zero() && self.queue.is_empty() && self.bucket.take() {
            self.give_new(cx, key, wait);
            return;
        }
        self.enqueue(cx, key, wait);
    }

    /// Handles the cancellation of a request for a token. Its sender does not use a token that is
    /// still on its way.
    pub(crate) fn cancel(&mut self, cx: &mut Context<'_>, key: AskKey) {
        self.queue.remove(key);
        if let Some(lease) = self.leases.of(key) {
            self.take_back(cx, key.from, lease);
        }
    }

    /// Handles the report that a token was spent.
    pub(crate) fn spent(&mut self, cx: &mut Context<'_>, holder: Peer, lease: LeaseId) {
        self.advance(cx.now);
        self.leases.remove(holder, lease);
    }

    /// Handles the return of an unused token.
    pub(crate) fn take_back(&mut self, cx: &mut Context<'_>, holder: Peer, lease: LeaseId) {
        self.advance(cx.now);
        if !self.leases.remove(holder, lease) {
            return;
        }
        self.bucket.put();
        self.advance(cx.now);
        self.serve(cx);
    }

    /// Hands out available tokens to the requests that wait.
    pub(crate) fn serve(&mut self, cx: &mut Context<'_>) {
        self.advance(cx.now);
        self.queue.drop_late(cx.now);
        while !self.queue.is_empty() && self.bucket.take() {
            let Some(waiting) = self.queue.pop() else { return };
            self.give_new(cx, waiting.key, cx.now.until(waiting.wait_until));
        }
    }

    /// Returns when [`Self::serve`] has something to do.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let drop_at = self.queue.next_drop()?;
        let token = if self.cap() >= 1.0 {
            self.bucket.available_at(1.0, self.limits.spec().rate)
        } else {
            self.leases.next_expiry()
        };
        let limits = self.limits.next_change();
        [token, limits].into_iter().flatten().chain([drop_at]).min()
    }

    pub(crate) fn summary(&self, now: Time) -> ShareSummary {
        let mut bucket = self.bucket.clone();
        bucket.refill(now, self.limits.spec().rate, self.cap());
        ShareSummary {
            share: self.id,
            spec: self.limits.spec(),
            level: bucket.level(),
            outstanding: self.leases.len(),
            waiting: self.queue.len(),
        }
    }

    /// Returns the level up to which the bucket is filled: the burst less the outstanding tokens.
    fn cap(&self) -> f64 {
        let outstanding = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        f64::from(self.limits.spec().burst.saturating_sub(outstanding))
    }

    /// Brings level, outstanding tokens and limits up to date. The bucket is refilled separately up
    /// to each expiry and each change of the limits, since these change its rate or cap.
    fn advance(&mut self, now: Time) {
        loop {
            let changes = [self.leases.next_expiry(), self.limits.next_change()];
            let change = changes.into_iter().flatten().min().filter(|at| *at <= now);
            let until = change.unwrap_or(now);
            self.bucket.refill(until, self.limits.spec().rate, self.cap());
            if change.is_none() {
                return;
            }
            self.leases.expire(until);
            self.limits.advance(until);
        }
    }

    fn enqueue(&mut self, cx: &mut Context<'_>, key: AskKey, wait: Duration) {
        let wait_until = cx.now + wait;
        let drop_at = wait_until - wait / UNUSABLE_WAIT_DIVISOR;
        let expected = self.forecast(cx.now);
        match expected {
            Some(expected) if expected < drop_at && self.queue.len() < MAX_WAITING => {
                self.queue.push(Waiting { key, drop_at, wait_until, expected });
                self.queued(cx, key, cx.now.until(expected));
            }
            _ => {
                let retry_after = expected.map_or(MAX_RETRY_AFTER, |at| cx.now.until(at));
                self.deny(cx, key, retry_after.min(MAX_RETRY_AFTER));
            }
        }
    }

    /// Returns the earliest time at which a request that joins the queue now can get a token, or
    /// `None` if never.
    ///
    /// Requests that wait here also wait for the account's other shares, so the queue moves at the
    /// rate at which all shares together hand out tokens. Outstanding tokens may slow it down. The
    /// forecast leaves that out, so that no request is denied that might get its token in time.
    fn forecast(&self, now: Time) -> Option<Time> {
        let spec = self.limits.spec();
        if spec.burst == 0 {
            return None;
        }
        let first = self.bucket.available_at(1.0, spec.rate)?;
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let own = self.bucket.available_at(f64::from(ahead) + 1.0, spec.account_rate)?;
        Some(first.max(own).max(now))
    }

    fn give_new(&mut self, cx: &mut Context<'_>, key: AskKey, ttl: Duration) {
        let lease = LeaseId(cx.ids.next_id());
        self.leases.insert(lease, Lease { key, expires: expiry(cx, ttl) });
        self.give(cx, key, lease, ttl);
    }

    fn give(&self, cx: &mut Context<'_>, key: AskKey, lease: LeaseId, ttl: Duration) {
        self.reply(cx, key, TokenMsg::Give { ask: key.ask, share: self.id, lease, ttl });
    }

    fn queued(&self, cx: &mut Context<'_>, key: AskKey, eta: Duration) {
        self.reply(cx, key, TokenMsg::Queued { ask: key.ask, share: self.id, eta });
    }

    fn deny(&self, cx: &mut Context<'_>, key: AskKey, retry_after: Duration) {
        let reason = Reason::OverRate;
        let msg = TokenMsg::Deny { ask: key.ask, share: self.id, reason, retry_after };
        self.reply(cx, key, msg);
    }

    fn reply(&self, cx: &mut Context<'_>, key: AskKey, msg: TokenMsg) {
        cx.out.push(OutgoingMsg { to: key.from.instance, msg });
    }
}

/// Returns when a token that is handed out or renewed now, valid for `ttl`, can no longer be in
/// use: by then, its attempt has arrived at the backend server.
fn expiry(cx: &Context<'_>, ttl: Duration) -> Time {
    cx.now + ttl.min(TOKEN_TTL) + cx.margin + REPORT_DELAY
}
