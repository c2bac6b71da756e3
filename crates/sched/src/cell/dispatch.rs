//! Grants: dispatch to waiting requests, lists of held grants, and release.

use std::{cmp::Reverse, collections::HashSet};

use config::Policy;
use model::{
    msg::{CellMsg, HeldGrant, OutgoingMsg},
    prelude::*,
};

use super::{Cell, Closed, START_WITHIN, TicketState, UNLISTED_GRANT_GRACE};
use crate::{
    OutgoingMsgs, grants::Grant, queue::WaiterKey, server::Server, servers::ServerCriteria,
    starvation::TierClass,
};

impl Cell {
    /// Grants servers to waiting requests in their order, until no server is free.
    pub(super) fn dispatch(&mut self, now: Time, out: &mut OutgoingMsgs) {
        if self.reclaim.is_some() {
            return;
        }
        while self.queue.len() > 0
            && let Some((key, starving)) = self.next_waiter(now)
        {
            if !self.has_usable_server(now, key) {
                self.refuse(now, key, Reason::NoServer, out);
                continue;
            }
            let Some(server) = self.choose_server(now, key) else { return };
            self.grant_server(now, key, server, starving, out);
        }
    }

    /// Returns whether a usable server is left on which the request has not failed. If not, it is
    /// refused, so that its instance tries another cell.
    fn has_usable_server(&self, now: Time, key: WaiterKey) -> bool {
        let waiter = self.queue.get(key);
        waiter.is_some_and(|waiter| self.servers.any_usable(now, &waiter.req.avoid))
    }

    /// Returns the request to serve next, and whether it is served ahead of a higher tier because
    /// its class starves.
    pub(super) fn next_waiter(&self, now: Time) -> Option<(WaiterKey, bool)> {
        let next = self.queue.next()?;
        let tier = self.queue.get(next)?.position.tier;
        let starving = self
            .starvation
            .starving_class(now, self.queue.waiting_classes())
            .filter(|class| self.is_tiered() && tier.is_above(class.tier))
            .and_then(|class| self.queue.next_of_class(class));
        Some(starving.map_or((next, false), |key| (key, true)))
    }

    pub(super) fn choose_server(&self, now: Time, key: WaiterKey) -> Option<ServerId> {
        let waiter = self.queue.get(key)?;
        let cached_at = self.prefixes.server(waiter.req.prefix).filter(|_| self.is_tiered());
        let round_robin = self.policy == Policy::RoundRobin;
        self.servers
            .choose(now, ServerCriteria { avoid: &waiter.req.avoid, cached_at, round_robin })
    }

    /// Removes a request from the queue and grants it a server.
    pub(super) fn grant_server(
        &mut self,
        now: Time,
        key: WaiterKey,
        server: ServerId,
        starving: bool,
        out: &mut OutgoingMsgs,
    ) {
        let Some(waiter) = self.queue.get(key) else { return };
        let weight = self.weights.get(&waiter.position.account).copied().unwrap_or(1);
        let cost = self.forecast.cost(waiter.req.class);
        let Some(waiter) = self.queue.serve(key, cost, weight) else { return };
        self.record_dispatch(now, waiter.position.tier_class(), starving);
        let id = GrantId(self.next_grant);
        self.next_grant = self.next_grant.wrapping_add(1);
        let req = &waiter.req;
        self.prefixes.record(req.prefix, server);
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
        out.push(OutgoingMsg { to: waiter.from.instance, msg });
    }

    pub(super) fn record_dispatch(&mut self, now: Time, class: TierClass, starving: bool) {
        let waiting = self.queue.class_len(class) > 0;
        self.starvation.record_dispatch(now, class, waiting);
        if starving {
            self.starvation.record_starving_dispatch();
        }
    }

    pub(super) fn grant_msg(&self, ticket: TicketId, grant: GrantId, server: ServerId) -> CellMsg {
        let start_within = START_WITHIN;
        CellMsg::Grant { ticket, cell: self.id, grant, server, start_within }
    }

    /// Counts a grant. `ticket` is none for a grant of a former owner; `guaranteed` exempts it from
    /// preemption.
    pub(super) fn add_grant(
        &mut self,
        now: Time,
        holder: Peer,
        ticket: Option<TicketId>,
        held: HeldGrant,
        guaranteed: bool,
    ) {
        self.servers.add_grant(held.server);
        let server = self.servers.get_or_insert_closed(held.server);
        // An attempt that started under a former owner may have ended before a cold start that this
        // owner has counted, so its completion is no evidence that the server is warm.
        let cold_starts = ticket.map(|_| server.cold_starts);
        let grant =
            Grant { held, holder, ticket, since: now, cold_starts, preempted: false, guaranteed };
        if grant.is_preemptible() {
            server.preemptible.insert((Reverse(held.tier), Reverse(now), held.grant));
        }
        self.grants.insert(grant);
    }

    /// Adds a grant of a former owner, unless it is known or was released.
    pub(super) fn add_held(&mut self, now: Time, holder: Peer, held: HeldGrant) {
        let is_known = self.grants.get(held.grant).is_some();
        if is_known || self.released_grants.get(&held.grant).is_some() {
            return;
        }
        self.add_grant(now, holder, None, held, false);
    }

    /// Handles an instance's list of all grants that it holds: adds unknown ones, and frees those
    /// that are not listed and too old to have been missed.
    pub(super) fn handle_held(&mut self, now: Time, from: Peer, grants: &[HeldGrant]) {
        let listed: HashSet<GrantId> = grants.iter().map(|held| held.grant).collect();
        for &held in grants {
            self.add_held(now, from, held);
        }
        for id in self.grants.held_by(from) {
            let is_old = |grant: &Grant| now.since(grant.since) >= UNLISTED_GRANT_GRACE;
            if !listed.contains(&id) && self.grants.get(id).is_some_and(is_old) {
                self.free_grant(now, id);
            }
        }
        if let Some(expected) = self.reclaim.as_mut().and_then(|reclaim| reclaim.expected.as_mut())
        {
            expected.remove(&from.instance);
        }
    }

    /// Removes a grant, which frees its slot at the server.
    pub(super) fn free_grant(&mut self, now: Time, id: GrantId) -> Option<Grant> {
        let grant = self.grants.remove(id)?;
        if let Some(ticket) = grant.ticket {
            self.close(now, (grant.holder, ticket), Closed::Done);
        }
        if let Some(server) = self.servers.get_mut(grant.held.server) {
            server.remove_grant();
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
        let is_held_by_another = |grant: &Grant| grant.holder != from;
        if self.released_grants.get(&id).is_some()
            || self.grants.get(id).is_some_and(is_held_by_another)
        {
            return;
        }
        // A list of held grants that was sent before the release may arrive after it.
        self.released_grants.insert(now, id, ());
        if let Some(server) = self.servers.get_mut(server) {
            outcome.apply_cold_signs(server);
        }
        let Some(grant) = self.free_grant(now, id) else { return };
        self.record_outcome(now, &grant, outcome);
        self.servers.eject_if_unhealthy(now, grant.held.server);
    }

    /// Records what the end of an attempt says about its server and its class.
    pub(super) fn record_outcome(&mut self, now: Time, grant: &Grant, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(grant.held.server) else { return };
        match outcome.end {
            AttemptEnd::Completed { total, tokens, .. } => {
                server.answered(grant.since);
                if !outcome.cold {
                    server.completed(now, grant.cold_starts);
                }
                if let Some(service) = self.forecast.service_time(grant.held.class) {
                    server.record_slowness(total.as_secs_f64() / service.as_secs_f64().max(1e-6));
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
                server.rejected_as_busy();
            }
            AttemptEnd::CallerLeft | AttemptEnd::Preempted | AttemptEnd::Unused => {}
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) end: AttemptEnd,
    /// Whether the server reported in its response that it is in its cold start.
    pub(super) cold: bool,
}

impl Outcome {
    /// Returns the server to its cold limit if the outcome shows that it restarted or may have.
    fn apply_cold_signs(self, server: &mut Server) {
        if self.cold {
            server.set_reported_cold();
        }
        if matches!(self.end, AttemptEnd::ConnectFailed | AttemptEnd::Broken { .. }) {
            server.restart_warm_up();
        }
    }
}
