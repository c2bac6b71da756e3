//! Preemption of lower tiers.

use std::cmp::Reverse;

use model::{
    msg::{CellMsg, Reply},
    prelude::*,
};

use super::{Cell, PREEMPT_RETRY, UNANSWERED_WAIT};
use crate::{
    Replies,
    grants::Grant,
    queue::{Waiter, WaiterKey},
    server::Server,
};

impl Cell {
    pub(super) fn check_preemptions(&mut self, now: Time, out: &mut Replies) {
        while let Some(&(at, key)) = self.preempt_checks.first()
            && at <= now
        {
            self.preempt_checks.remove(&(at, key));
            if self.queue.get(key).is_none() {
                continue;
            }
            self.preempt_for(now, key, out);
            self.preempt_checks.insert((now + PREEMPT_RETRY, key));
        }
    }

    /// Asks a grant of a lower tier back for a request, unless one is on its way.
    pub(super) fn preempt_for(&mut self, now: Time, key: WaiterKey, out: &mut Replies) {
        if !self.is_tiered() || self.reclaim.is_some() {
            return;
        }
        let Some(waiter) = self.queue.get(key) else { return };
        let pending = waiter.preempted.filter(|it| self.grants.get(it.0).is_some());
        let id = match pending {
            Some((id, _)) => Some(id),
            None => self.preemptible_for(now, waiter),
        };
        let Some(id) = id else { return };
        if let Some(waiter) = self.queue.get_mut(key) {
            waiter.preempted = Some((id, now));
        }
        let Some(grant) = self.grants.get_mut(id) else { return };
        grant.preempted = true;
        let (held, since) = (grant.held, grant.since);
        out.push(Reply {
            to: grant.holder.instance,
            msg: CellMsg::Preempt { cell: self.id, grant: id },
        });
        if let Some(server) = self.servers.get_mut(held.server) {
            server.preemptible.remove(&(Reverse(held.tier), Reverse(since), id));
        }
    }

    /// Returns the youngest grant of the lowest tier below the request's whose end would make
    /// place for it.
    pub(super) fn preemptible_for(&self, now: Time, waiter: &Waiter) -> Option<GrantId> {
        self.servers
            .iter()
            .filter(|it| it.running <= it.limit(now))
            .filter_map(|it| it.preemptible.first())
            .filter(|(tier, ..)| waiter.place.tier.is_above(tier.0))
            .min()
            .map(|it| it.2)
    }

    /// Asks idempotent attempts back from servers that went down under them and stay down, so that
    /// they run elsewhere. The holder keeps those whose answer has begun.
    pub(super) fn preempt_unanswered(&mut self, now: Time, out: &mut Replies) {
        if self.reclaim.is_some() || now < self.unanswered_check {
            return;
        }
        self.unanswered_check = now + PREEMPT_RETRY;
        let stuck = self.grants.iter().filter(|it| it.held.idempotent && self.is_stuck(now, it));
        let mut stuck: Vec<_> = stuck.map(|it| (it.held.grant, it.holder.instance)).collect();
        stuck.sort_unstable();
        for (grant, to) in stuck {
            out.push(Reply { to, msg: CellMsg::Preempt { cell: self.id, grant } });
        }
    }

    fn is_stuck(&self, now: Time, grant: &Grant) -> bool {
        let since = self.servers.get(grant.held.server).and_then(Server::unanswered_since);
        // What was granted later is a probe.
        since.is_some_and(|it| now.since(it) >= UNANSWERED_WAIT && grant.since < it)
    }
}
