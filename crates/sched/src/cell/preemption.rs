//! Preemption of attempts for higher tiers and of attempts on servers that are down.

use std::cmp::Reverse;

use model::{
    msg::{CellMsg, OutgoingMsg},
    prelude::*,
};

use super::{Cell, PREEMPT_RETRY_INTERVAL, UNRESPONSIVE_GRACE};
use crate::{
    OutgoingMsgs,
    grants::Grant,
    queue::{Waiter, WaiterKey},
    server::Server,
};

impl Cell {
    /// Preempts for the waiting requests whose check is due.
    pub(super) fn check_preemptions(&mut self, now: Time, out: &mut OutgoingMsgs) {
        while let Some(&(at, key)) = self.preempt_checks.first()
            && at <= now
        {
            self.preempt_checks.remove(&(at, key));
            if self.queue.get(key).is_none() {
                continue;
            }
            self.preempt_for(now, key, out);
            self.preempt_checks.insert((now + PREEMPT_RETRY_INTERVAL, key));
        }
    }

    /// Preempts a grant of a lower tier for a request. While a grant that was preempted for it has
    /// not been released, repeats that preemption instead, as the message may be lost.
    pub(super) fn preempt_for(&mut self, now: Time, key: WaiterKey, out: &mut OutgoingMsgs) {
        if !self.is_tiered() || self.reclaim.is_some() {
            return;
        }
        let Some(waiter) = self.queue.get(key) else { return };
        let pending = waiter.preempted.filter(|pending| self.grants.get(pending.0).is_some());
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
        out.push(OutgoingMsg {
            to: grant.holder.instance,
            msg: CellMsg::Preempt { cell: self.id, grant: id },
        });
        if let Some(server) = self.servers.get_mut(held.server) {
            server.preemptible.remove(&(Reverse(held.tier), Reverse(since), id));
        }
    }

    /// Returns the grant to preempt for a request: of the tiers below the request's the lowest, and
    /// of that the youngest grant. Servers that run more than their limit are left out, because the
    /// end of one attempt would not free a slot there. None if there is none.
    pub(super) fn preemptible_for(&self, now: Time, waiter: &Waiter) -> Option<GrantId> {
        self.servers
            .iter()
            .filter(|server| server.running <= server.limit(now))
            .filter_map(|server| server.preemptible.first())
            .filter(|(tier, ..)| waiter.position.tier.is_above(tier.0))
            .min()
            .map(|first| first.2)
    }

    /// Preempts idempotent attempts on servers that went down after the grant and stay down, so
    /// that they run elsewhere. The holder keeps an attempt whose response has begun.
    pub(super) fn preempt_unresponsive(&mut self, now: Time, out: &mut OutgoingMsgs) {
        if self.reclaim.is_some() || now < self.next_unresponsive_check {
            return;
        }
        self.next_unresponsive_check = now + PREEMPT_RETRY_INTERVAL;
        let unresponsive = self
            .grants
            .iter()
            .filter(|grant| grant.held.idempotent && self.is_on_unresponsive_server(now, grant));
        let mut unresponsive: Vec<_> =
            unresponsive.map(|grant| (grant.held.grant, grant.holder.instance)).collect();
        unresponsive.sort_unstable();
        for (grant, to) in unresponsive {
            out.push(OutgoingMsg { to, msg: CellMsg::Preempt { cell: self.id, grant } });
        }
    }

    fn is_on_unresponsive_server(&self, now: Time, grant: &Grant) -> bool {
        let since = self.servers.get(grant.held.server).and_then(Server::unresponsive_since);
        // A later grant is a probe.
        since.is_some_and(|since| now.since(since) >= UNRESPONSIVE_GRACE && grant.since < since)
    }
}
