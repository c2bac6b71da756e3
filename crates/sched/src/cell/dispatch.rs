//! Grants: given, listed and given back.

use std::{cmp::Reverse, collections::HashSet};

use config::Policy;
use model::{
    msg::{CellMsg, HeldGrant, Reply},
    prelude::*,
};

use super::{Cell, Closed, HELD_GRACE, START_WITHIN, TicketState};
use crate::{
    Replies, grants::Grant, queue::WaiterKey, server::Server, servers::Wish, starvation::TierClass,
};

impl Cell {
    pub(super) fn dispatch(&mut self, now: Time, out: &mut Replies) {
        if self.reclaim.is_some() {
            return;
        }
        while self.queue.len() > 0
            && let Some((key, starving)) = self.next_waiter(now)
        {
            if !self.is_servable(now, key) {
                self.refuse(now, key, Reason::NoServer, out);
                continue;
            }
            let Some(server) = self.choose(now, key) else { return };
            self.grant(now, key, server, starving, out);
        }
    }

    /// Returns whether a server is left that did not fail the request; else other cells serve it
    /// better.
    fn is_servable(&self, now: Time, key: WaiterKey) -> bool {
        let waiter = self.queue.get(key);
        waiter.is_some_and(|it| self.servers.any_usable(now, &it.req.avoid))
    }

    /// Returns the request to serve next, and whether it goes ahead of a higher tier because its
    /// class starves.
    pub(super) fn next_waiter(&self, now: Time) -> Option<(WaiterKey, bool)> {
        let next = self.queue.next()?;
        let tier = self.queue.get(next)?.place.tier;
        let starving = self
            .starvation
            .due(now, self.queue.waiting_classes())
            .filter(|class| self.is_tiered() && tier.is_above(class.tier))
            .and_then(|class| self.queue.next_of_class(class));
        Some(starving.map_or((next, false), |key| (key, true)))
    }

    pub(super) fn choose(&self, now: Time, key: WaiterKey) -> Option<ServerId> {
        let waiter = self.queue.get(key)?;
        let near = self.prefixes.server(waiter.req.prefix).filter(|_| self.is_tiered());
        let in_turn = self.policy == Policy::RoundRobin;
        self.servers.choose(now, Wish { avoid: &waiter.req.avoid, near, in_turn })
    }

    pub(super) fn grant(
        &mut self,
        now: Time,
        key: WaiterKey,
        server: ServerId,
        starving: bool,
        out: &mut Replies,
    ) {
        let Some(waiter) = self.queue.get(key) else { return };
        let weight = self.weights.get(&waiter.place.account).copied().unwrap_or(1);
        let cost = self.forecast.cost(waiter.req.class);
        let Some(waiter) = self.queue.serve(key, cost, weight) else { return };
        self.count_dispatch(now, waiter.place.tier_class(), starving);
        let id = GrantId(self.next_grant);
        self.next_grant = self.next_grant.wrapping_add(1);
        let req = &waiter.req;
        self.prefixes.note(req.prefix, server);
        let held = HeldGrant {
            grant: id,
            server,
            account: req.account,
            class: req.class,
            tier: req.tier,
            idempotent: req.idempotent,
        };
        self.add_grant(now, waiter.from, Some(req.ticket), held, starving);
        self.tickets.insert((waiter.from, req.ticket), TicketState::Granted(id));
        let msg = self.grant_msg(req.ticket, id, server);
        out.push(Reply { to: waiter.from.instance, msg });
    }

    pub(super) fn count_dispatch(&mut self, now: Time, class: TierClass, starving: bool) {
        let waiting = self.queue.class_len(class) > 0;
        self.starvation.served(now, class, waiting);
        if starving {
            self.starvation.spend();
        }
    }

    pub(super) fn grant_msg(&self, ticket: TicketId, grant: GrantId, server: ServerId) -> CellMsg {
        let start_within = START_WITHIN;
        CellMsg::Grant { ticket, cell: self.id, grant, server, start_within }
    }

    pub(super) fn add_grant(
        &mut self,
        now: Time,
        holder: Peer,
        ticket: Option<TicketId>,
        held: HeldGrant,
        guaranteed: bool,
    ) {
        self.servers.start(held.server);
        let server = self.servers.get_or_closed(held.server);
        // An attempt that started under another owner may have ended before a cold start that this
        // owner knows of.
        let epoch = ticket.map(|_| server.epoch);
        let grant = Grant { held, holder, ticket, since: now, epoch, preempted: false, guaranteed };
        if grant.is_preemptible() {
            server.preemptible.insert((Reverse(held.tier), Reverse(now), held.grant));
        }
        self.grants.insert(grant);
    }

    pub(super) fn add_held(&mut self, now: Time, holder: Peer, held: HeldGrant) {
        let is_known = self.grants.get(held.grant).is_some();
        if is_known || self.released.get(&held.grant).is_some() {
            return;
        }
        self.add_grant(now, holder, None, held, false);
    }

    pub(super) fn held(&mut self, now: Time, from: Peer, grants: &[HeldGrant]) {
        let listed: HashSet<GrantId> = grants.iter().map(|it| it.grant).collect();
        for &held in grants {
            self.add_held(now, from, held);
        }
        for id in self.grants.held_by(from) {
            let is_old = |it: &Grant| now.since(it.since) >= HELD_GRACE;
            if !listed.contains(&id) && self.grants.get(id).is_some_and(is_old) {
                self.free(now, id);
            }
        }
        if let Some(expected) = self.reclaim.as_mut().and_then(|it| it.expected.as_mut()) {
            expected.remove(&from.instance);
        }
    }

    /// Removes a grant and frees its place at the server.
    pub(super) fn free(&mut self, now: Time, id: GrantId) -> Option<Grant> {
        let grant = self.grants.remove(id)?;
        if let Some(ticket) = grant.ticket {
            self.close(now, (grant.holder, ticket), Closed::Done);
        }
        if let Some(server) = self.servers.get_mut(grant.held.server) {
            server.finish();
            server.preemptible.remove(&(Reverse(grant.held.tier), Reverse(grant.since), id));
        }
        Some(grant)
    }

    pub(super) fn release(
        &mut self,
        now: Time,
        from: Peer,
        id: GrantId,
        server: ServerId,
        outcome: Outcome,
    ) {
        let is_other = |it: &Grant| it.holder != from;
        if self.released.get(&id).is_some() || self.grants.get(id).is_some_and(is_other) {
            return;
        }
        // A list from before the release may still be under way.
        self.released.insert(now, id, ());
        if let Some(server) = self.servers.get_mut(server) {
            outcome.chill(server);
        }
        let Some(grant) = self.free(now, id) else { return };
        self.learn(now, &grant, outcome);
        self.servers.judge(now, grant.held.server);
    }

    pub(super) fn learn(&mut self, now: Time, grant: &Grant, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(grant.held.server) else { return };
        match outcome.end {
            AttemptEnd::Completed { total, tokens, .. } => {
                server.answered(grant.since);
                if !outcome.cold {
                    server.completed(now, grant.epoch);
                }
                if let Some(service) = self.forecast.service(grant.held.class) {
                    server.sample(total.as_secs_f64() / service.as_secs_f64().max(1e-6));
                }
                self.forecast.learn(grant.held.class, total, tokens);
            }
            AttemptEnd::ConnectFailed => {
                server.connect_failed(now);
                server.failed();
            }
            AttemptEnd::Broken { .. } | AttemptEnd::TimedOut { .. } => server.failed(),
            AttemptEnd::ServerBusy => {
                server.answered(grant.since);
                server.busy();
            }
            AttemptEnd::CallerLeft | AttemptEnd::Preempted | AttemptEnd::Unused => {}
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) end: AttemptEnd,
    /// Whether the server said that it is in its cold start.
    pub(super) cold: bool,
}

impl Outcome {
    /// Turns the server cold if the outcome says that it restarted, or may have.
    fn chill(self, server: &mut Server) {
        if self.cold {
            server.declare_cold();
        }
        if matches!(self.end, AttemptEnd::ConnectFailed | AttemptEnd::Broken { .. }) {
            server.turn_cold();
        }
    }
}
