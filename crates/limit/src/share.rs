//! One share at its owner.

use model::{
    msg::{ShareLease, ShareState, TokenMsg},
    names::Names,
    prelude::*,
};
use serde::Serialize;

use crate::{
    REPORT_DELAY, ShareSpec, TOKEN_TTL,
    bucket::Bucket,
    growth::Growth,
    leases::{AskKey, Lease, Leases},
    queue::{Queue, Waiting},
};

/// The most requests that wait for tokens of a share.
const MAX_WAITING: usize = 4_096;

/// What a caller over its rate is told where no token is expected at all.
const RETRY_NEVER: Duration = Duration::from_secs(60);

/// What a share needs to handle an event.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    /// Added where the clocks of holder and owner are compared.
    pub(crate) margin: Duration,
    pub(crate) names: &'a mut Names,
    pub(crate) out: &'a mut Vec<Reply<TokenMsg>>,
}

/// A token that comes in the last part of a request's wait, one of this many, comes too late: the
/// request needs time to get a backend server. In a queue that is always full, every token would
/// come at the last moment otherwise.
const USE_PART: u32 = 8;

/// A share at its owner.
#[derive(Clone, Debug)]
pub(crate) struct Share {
    id: ShareId,
    growth: Growth,
    bucket: Bucket,
    leases: Leases,
    queue: Queue,
}

/// The state of a share, for dumps.
#[derive(Clone, Copy, PartialEq, Debug, Serialize)]
pub struct ShareSummary {
    /// The share.
    pub share: ShareId,
    /// Its limits.
    pub spec: ShareSpec,
    /// Tokens at hand.
    pub level: f64,
    /// Tokens handed out and not yet reported.
    pub outstanding: usize,
    /// Requests for tokens that wait.
    pub waiting: usize,
}

impl Share {
    /// A share of which nothing is known: it is refilled from `refill_from` on.
    pub(crate) fn empty(id: ShareId, spec: ShareSpec, refill_from: Time) -> Self {
        let bucket = Bucket::new(0.0, refill_from);
        let growth = Growth::new(spec);
        Self { id, growth, bucket, leases: Leases::default(), queue: Queue::default() }
    }

    /// Goes on with a share that another owner closed.
    pub(crate) fn resume(now: Time, spec: ShareSpec, state: &ShareState) -> Self {
        let mut share = Self::empty(state.share, spec, now);
        for lease in &state.leases {
            let from = Peer { instance: lease.holder, incarnation: lease.incarnation };
            let key = AskKey { from, ask: lease.ask };
            share.leases.insert(lease.lease, Lease { key, expires: now + lease.ttl });
        }
        // Levels are far below 2^52 thousandths, so that the conversion is exact.
        share.bucket = Bucket::new(state.level_milli as f64 / 1_000.0, now);
        share.bucket.refill(now, 0.0, share.cap());
        share
    }

    /// Returns the state for the next owner.
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

    pub(crate) fn resize(&mut self, now: Time, spec: ShareSpec, grow_at: Time) {
        self.advance(now);
        self.growth.set(spec, grow_at);
        self.advance(now);
    }

    /// Answers a request for a token.
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

    /// Takes a request for a token back. Its sender will not use a token that crosses with this.
    pub(crate) fn cancel(&mut self, cx: &mut Context<'_>, key: AskKey) {
        self.queue.remove(key);
        if let Some(lease) = self.leases.of(key) {
            self.take_back(cx, key.from, lease);
        }
    }

    /// A token was spent.
    pub(crate) fn spent(&mut self, cx: &mut Context<'_>, holder: Peer, lease: LeaseId) {
        self.advance(cx.now);
        self.leases.remove(holder, lease);
    }

    /// A token goes back unspent.
    pub(crate) fn take_back(&mut self, cx: &mut Context<'_>, holder: Peer, lease: LeaseId) {
        self.advance(cx.now);
        if !self.leases.remove(holder, lease) {
            return;
        }
        self.bucket.put();
        self.advance(cx.now);
        self.serve(cx);
    }

    /// Hands out tokens to requests that wait.
    pub(crate) fn serve(&mut self, cx: &mut Context<'_>) {
        self.advance(cx.now);
        self.queue.drop_late(cx.now);
        while !self.queue.is_empty() && self.bucket.take() {
            let Some(waiting) = self.queue.pop() else { return };
            self.give_new(cx, waiting.key, cx.now.until(waiting.wait_by));
        }
    }

    /// Returns when [`Self::serve`] has something to do.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let deadline = self.queue.next_deadline()?;
        let token = if self.cap() >= 1.0 {
            self.bucket.time_of(1.0, self.growth.spec().rate)
        } else {
            self.leases.next_expiry()
        };
        let growth = self.growth.next_change();
        [token, growth].into_iter().flatten().chain([deadline]).min()
    }

    pub(crate) fn summary(&self, now: Time) -> ShareSummary {
        let mut bucket = self.bucket.clone();
        bucket.refill(now, self.growth.spec().rate, self.cap());
        ShareSummary {
            share: self.id,
            spec: self.growth.spec(),
            level: bucket.level(),
            outstanding: self.leases.len(),
            waiting: self.queue.len(),
        }
    }

    /// Returns up to which level the bucket may be filled.
    fn cap(&self) -> f64 {
        let outstanding = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        f64::from(self.growth.spec().burst.saturating_sub(outstanding))
    }

    /// Brings level and limits up to date, one change of the cap after the other.
    fn advance(&mut self, now: Time) {
        loop {
            let changes = [self.leases.next_expiry(), self.growth.next_change()];
            let change = changes.into_iter().flatten().min().filter(|it| *it <= now);
            let until = change.unwrap_or(now);
            self.bucket.refill(until, self.growth.spec().rate, self.cap());
            if change.is_none() {
                return;
            }
            self.leases.expire(until);
            self.growth.advance(until);
        }
    }

    fn enqueue(&mut self, cx: &mut Context<'_>, key: AskKey, wait: Duration) {
        let wait_by = cx.now + wait;
        let deadline = wait_by - wait / USE_PART;
        let expected = self.forecast(cx.now);
        match expected {
            Some(expected) if expected < deadline && self.queue.len() < MAX_WAITING => {
                self.queue.push(Waiting { key, deadline, wait_by, expected });
                self.queued(cx, key, cx.now.until(expected));
            }
            _ => {
                let retry_after = expected.map_or(RETRY_NEVER, |it| cx.now.until(it));
                self.deny(cx, key, retry_after.min(RETRY_NEVER));
            }
        }
    }

    /// Returns the earliest time at which the next request to wait may get a token, if ever.
    ///
    /// Requests that wait here also wait for the account's other shares, so the queue moves up as
    /// fast as all shares together hand out tokens. Tokens that are outstanding may slow it down,
    /// which is not foreseen: a request that might get its token in time is not refused.
    fn forecast(&self, now: Time) -> Option<Time> {
        let spec = self.growth.spec();
        if spec.burst == 0 {
            return None;
        }
        let first = self.bucket.time_of(1.0, spec.rate)?;
        let place = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let own = self.bucket.time_of(f64::from(place) + 1.0, spec.account_rate)?;
        Some(first.max(own).max(now))
    }

    fn give_new(&mut self, cx: &mut Context<'_>, key: AskKey, ttl: Duration) {
        let lease = LeaseId(cx.names.fresh());
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
        cx.out.push(Reply { to: key.from.instance, msg });
    }
}

/// Returns when a token with this validity, handed out or renewed now, certainly is not in use
/// any more: its attempt has arrived at the backend server by then.
fn expiry(cx: &Context<'_>, ttl: Duration) -> Time {
    cx.now + ttl.min(TOKEN_TTL) + cx.margin + REPORT_DELAY
}
