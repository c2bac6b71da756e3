//! The backend servers of a cell, and the choice among them.

use std::collections::BTreeMap;

use model::{msg::ServerWarmth, prelude::*};

use crate::{server::Server, start::ServerConfig};

/// How much more of its limit a server may have in use than the least loaded one to be chosen for
/// the prefix in its cache.
const AFFINITY_SLACK: f64 = 0.25;

/// A server this many times as slow as the median of the cell is ejected.
const MAX_SLOWNESS: f64 = 3.0;

/// The fewest servers whose median says how slow a server is.
const MIN_PEERS: usize = 3;

/// What decides for a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish<'a> {
    /// Servers to be used only where no other one is free.
    pub(crate) avoid: &'a [ServerId],
    /// The server that has the prefix in its cache.
    pub(crate) near: Option<ServerId>,
    /// Whether the servers are used in turn, whatever their load.
    pub(crate) in_turn: bool,
}

/// The backend servers of a cell.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    servers: BTreeMap<ServerId, Server>,
    /// What the former owner knew of servers whose plan has not come yet.
    handed_over: BTreeMap<ServerId, u32>,
    grants: u64,
}

impl Servers {
    /// Servers that a former owner hands over.
    pub(crate) fn handed_over(warmth: &[ServerWarmth]) -> Self {
        let handed_over = warmth.iter().map(|it| (it.server, it.limit)).collect();
        Self { handed_over, ..Self::default() }
    }

    /// Takes the plan of all servers. Servers without a plan are closed, and forgotten once idle.
    pub(crate) fn set(&mut self, now: Time, plans: impl Iterator<Item = ServerConfig>) {
        let plans: BTreeMap<_, _> = plans.map(|it| (it.id, it)).collect();
        for (&id, &plan) in &plans {
            let server = self.servers.entry(id).or_insert_with(|| Server::cold(plan));
            match self.handed_over.remove(&id).filter(|_| plan.open) {
                Some(limit) => server.hand_over(now, plan, limit),
                None => server.set_plan(plan),
            }
        }
        for server in self.servers.values_mut().filter(|it| !plans.contains_key(&it.plan.id)) {
            server.set_plan(ServerConfig { open: false, ..server.plan });
        }
        self.handed_over.clear();
        self.servers.retain(|id, it| it.running > 0 || plans.contains_key(id));
    }

    /// Returns a server.
    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns a server.
    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Returns a server; one without a plan is added closed, to count its grants.
    pub(crate) fn get_or_closed(&mut self, id: ServerId) -> &mut Server {
        let plan = ServerConfig { id, limit: 0, cold_limit: 0, open: false };
        self.servers.entry(id).or_insert_with(|| Server::cold(plan))
    }

    /// Returns all servers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns whether a request may count on any server but those that it avoids. One that failed
    /// already does not wait for the end of an ejection.
    pub(crate) fn any_usable(&self, now: Time, avoid: &[ServerId]) -> bool {
        let is_retry = !avoid.is_empty();
        let mut usable = self.iter().filter(|it| it.is_usable(now) && !avoid.contains(&it.plan.id));
        usable.any(|it| !(is_retry && it.is_shut_out(now)))
    }

    /// Returns how many attempts may start now.
    pub(crate) fn free(&self, now: Time) -> u32 {
        self.iter().map(|it| it.free(now)).sum()
    }

    /// Returns how many attempts may run at a time now.
    pub(crate) fn slots(&self, now: Time) -> u32 {
        self.iter().map(|it| it.limit(now)).sum()
    }

    /// Chooses a free server.
    pub(crate) fn choose(&self, now: Time, wish: Wish<'_>) -> Option<ServerId> {
        let free = || self.iter().filter(|it| it.free(now) > 0);
        let wanted = || free().filter(|it| !wish.avoid.contains(&it.plan.id));
        if wish.in_turn {
            return free().min_by_key(|it| it.granted_at).map(|it| it.plan.id);
        }
        let least = least_loaded(now, wanted()).or_else(|| least_loaded(now, free()))?;
        let near = wish.near.and_then(|near| wanted().find(|it| it.plan.id == near));
        if let Some(near) = near
            && near.load(now) <= least.load(now) + AFFINITY_SLACK
        {
            return Some(near.plan.id);
        }
        Some(least.plan.id)
    }

    /// Counts a grant.
    pub(crate) fn start(&mut self, id: ServerId) {
        self.grants += 1;
        let grants = self.grants;
        let server = self.get_or_closed(id);
        server.granted_at = grants;
        server.start();
    }

    /// Ejects a server that fails or is much slower than the others, if no more than half of the
    /// open servers are ejected with it. Servers that are down get no work without that.
    pub(crate) fn judge(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.get(id) else { return };
        let (failing, slow) = (server.is_failing(), self.is_slow(server));
        if server.is_ejected(now) || !failing && !slow {
            return;
        }
        let open = self.iter().filter(|it| it.plan.open).count();
        let ejected = self.iter().filter(|it| it.plan.open && it.is_ejected(now)).count();
        if 2 * (ejected + 1) > open {
            return;
        }
        if let Some(server) = self.get_mut(id) {
            server.eject(now, !failing);
        }
    }

    fn is_slow(&self, server: &Server) -> bool {
        let Some(slowness) = server.slowness() else { return false };
        let mut all: Vec<f64> = self.iter().filter_map(Server::slowness).collect();
        if all.len() < MIN_PEERS {
            return false;
        }
        all.sort_by(f64::total_cmp);
        slowness > MAX_SLOWNESS * all[(all.len() - 1) / 2]
    }
}

fn least_loaded<'a>(now: Time, servers: impl Iterator<Item = &'a Server>) -> Option<&'a Server> {
    servers.min_by(|a, b| {
        let loads = a.load(now).total_cmp(&b.load(now));
        loads.then(a.granted_at.cmp(&b.granted_at))
    })
}
