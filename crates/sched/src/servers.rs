//! The backend servers of a cell, and the choice among them.

use std::collections::BTreeMap;

use model::{msg::ServerWarmth, prelude::*};

use crate::{server::Server, start::ServerConfig};

/// The server that may have a request's prefix cached is chosen while its load, as a fraction of
/// its limit, exceeds that of the least loaded server by at most this.
const AFFINITY_SLACK: f64 = 0.25;

/// A server is ejected when its slowness exceeds the median of the cell's servers this many times.
const MAX_SLOWNESS: f64 = 3.0;

/// The fewest servers with a known slowness whose median is used for comparison.
const MIN_COMPARED_SERVERS: usize = 3;

/// The criteria by which a server is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerCriteria<'a> {
    /// Servers to be used only where no other one is free; ignored with `round_robin`.
    pub(crate) avoid: &'a [ServerId],
    /// The server that may have the request's prefix cached.
    pub(crate) cached_at: Option<ServerId>,
    /// Whether the servers are used in turn, regardless of load, `avoid` and `cached_at`.
    pub(crate) round_robin: bool,
}

/// The backend servers of a cell.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    servers: BTreeMap<ServerId, Server>,
    /// The limits that servers had reached under the former owner; empty once [`Self::set`] has
    /// used them.
    handed_over: BTreeMap<ServerId, u32>,
    /// The number of grants so far.
    granted: u64,
}

impl Servers {
    /// Starts with the limits that servers had reached under the former owner. The servers are
    /// added by [`Self::set`].
    pub(crate) fn handed_over(warmth: &[ServerWarmth]) -> Self {
        let handed_over = warmth.iter().map(|entry| (entry.server, entry.limit)).collect();
        Self { handed_over, ..Self::default() }
    }

    /// Replaces the configuration of all servers. A server that is left out is closed, and removed
    /// once a configuration comes in while it has no grants.
    pub(crate) fn set(&mut self, now: Time, configs: impl Iterator<Item = ServerConfig>) {
        let configs: BTreeMap<_, _> = configs.map(|cfg| (cfg.id, cfg)).collect();
        for (&id, &cfg) in &configs {
            let server = self.servers.entry(id).or_insert_with(|| Server::cold(cfg));
            match self.handed_over.remove(&id).filter(|_| cfg.open) {
                Some(limit) => server.take_over(now, cfg, limit),
                None => server.set_config(cfg),
            }
        }
        for server in
            self.servers.values_mut().filter(|server| !configs.contains_key(&server.cfg.id))
        {
            server.set_config(ServerConfig { open: false, ..server.cfg });
        }
        self.handed_over.clear();
        self.servers.retain(|id, server| server.running > 0 || configs.contains_key(id));
    }

    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Returns a server. One without a configuration is added closed, to count its grants.
    pub(crate) fn get_or_insert_closed(&mut self, id: ServerId) -> &mut Server {
        let cfg = ServerConfig { id, limit: 0, cold_limit: 0, open: false };
        self.servers.entry(id).or_insert_with(|| Server::cold(cfg))
    }

    /// Returns all servers, ordered by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns whether any server outside `avoid` can take a request, now or later. A request that
    /// has failed on a server (`avoid` is not empty) does not wait for ejections to end.
    pub(crate) fn any_usable(&self, now: Time, avoid: &[ServerId]) -> bool {
        let is_retry = !avoid.is_empty();
        let mut usable =
            self.iter().filter(|server| server.is_usable(now) && !avoid.contains(&server.cfg.id));
        usable.any(|server| !(is_retry && server.is_ejected_for_failures(now)))
    }

    /// Returns how many attempts may start now on all servers together.
    pub(crate) fn free(&self, now: Time) -> u32 {
        self.iter().map(|server| server.free(now)).sum()
    }

    /// Returns how many attempts may run at a time now on all servers together.
    pub(crate) fn slots(&self, now: Time) -> u32 {
        self.iter().map(|server| server.limit(now)).sum()
    }

    /// Chooses a server for a request; none while no server is free.
    pub(crate) fn choose(&self, now: Time, criteria: ServerCriteria<'_>) -> Option<ServerId> {
        let free = || self.iter().filter(|server| server.free(now) > 0);
        let wanted = || free().filter(|server| !criteria.avoid.contains(&server.cfg.id));
        if criteria.round_robin {
            return free().min_by_key(|server| server.last_grant_no).map(|server| server.cfg.id);
        }
        let least = least_loaded(now, wanted()).or_else(|| least_loaded(now, free()))?;
        let cached = criteria.cached_at.and_then(|id| wanted().find(|server| server.cfg.id == id));
        if let Some(cached) = cached
            && cached.load(now) <= least.load(now) + AFFINITY_SLACK
        {
            return Some(cached.cfg.id);
        }
        Some(least.cfg.id)
    }

    /// Counts a new grant of a server.
    pub(crate) fn add_grant(&mut self, id: ServerId) {
        self.granted += 1;
        let granted = self.granted;
        let server = self.get_or_insert_closed(id);
        server.last_grant_no = granted;
        server.add_grant();
    }

    /// Ejects a server that fails or is much slower than the others, unless more than half of the
    /// open servers would be ejected then. Servers that are down get no work even if not ejected.
    pub(crate) fn eject_if_unhealthy(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.get(id) else { return };
        let (failing, slow) = (server.is_failing(), self.is_slow(server));
        if server.is_ejected(now) || !failing && !slow {
            return;
        }
        let open = self.iter().filter(|server| server.cfg.open).count();
        let ejected =
            self.iter().filter(|server| server.cfg.open && server.is_ejected(now)).count();
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
        if all.len() < MIN_COMPARED_SERVERS {
            return false;
        }
        all.sort_by(f64::total_cmp);
        slowness > MAX_SLOWNESS * all[(all.len() - 1) / 2]
    }
}

fn least_loaded<'a>(now: Time, servers: impl Iterator<Item = &'a Server>) -> Option<&'a Server> {
    servers.min_by(|a, b| {
        let loads = a.load(now).total_cmp(&b.load(now));
        loads.then(a.last_grant_no.cmp(&b.last_grant_no))
    })
}
