//! The availability zones to which a single request may go.

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64;
use zones::ZonePlan;

use crate::{
    Pool, Server, ServerKey, choice::CROSS_ZONE_COST, request::Request, selection::spread,
    state::State,
};

/// The zones to which a request may go, and what it pays for leaving its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reach<'a> {
    own: ZoneId,
    /// The plan that limits the zones; `None` if the request may go anywhere.
    plan: Option<&'a ZonePlan>,
    /// The hash of the request's id.
    hash: u64,
    /// A server in the own zone that the request considers in any case; `None` if it may go anywhere.
    nearest: Option<ServerKey>,
    crossing: Duration,
}

impl Reach<'_> {
    /// Returns whether the request may go to the server's zone.
    pub(crate) fn contains(&self, server: &Server) -> bool {
        self.plan.is_none_or(|plan| plan.may_go(server.entry.zone, self.hash))
    }

    /// Returns whether the server is in the own zone.
    pub(crate) fn is_own_zone(&self, server: &Server) -> bool {
        server.entry.zone == self.own
    }

    /// Returns whether the request considers a server although it is not sampled.
    pub(crate) fn is_nearest(&self, server: ServerKey) -> bool {
        self.nearest == Some(server)
    }

    /// Returns what the request pays for going to the server's zone.
    pub(crate) fn crossing(&self, server: &Server) -> Duration {
        if self.is_own_zone(server) { Duration::ZERO } else { self.crossing }
    }
}

impl State {
    /// Returns the zones to which a request may go. A retry may go anywhere, and so may a request if no
    /// server for its kind that it has not tried may get requests in the own zone.
    pub(crate) fn reach(&self, now: Time, req: &Request, pool: &Pool) -> Reach<'_> {
        let own = self.setup.zone;
        let hash = xxh3_64(req.id.as_bytes());
        let crossing = CROSS_ZONE_COST;
        let Some(price) = self.setup.crossing.filter(|_| self.knows_fleet_loads()) else {
            return Reach { own, plan: None, hash, nearest: None, crossing };
        };
        // Prompts have about one byte for each token.
        let crossing = price.cost(req.prompt.tokens);
        // Other requests go to the engine that has their shared prefix: to read that anew costs more
        // than leaving the zone.
        let plan = self.zone_plans.get(req.pool).filter(|_| req.is_live_stream());
        let Some(plan) = plan else {
            return Reach { own, plan: None, hash, nearest: None, crossing };
        };
        let is_first = req.attempts == 0;
        let nearest = is_first.then(|| self.nearest_server(now, req, pool)).flatten();
        Reach { own, plan: nearest.map(|_| plan), hash, nearest, crossing }
    }

    /// Returns the server in the own zone to which a request is sampled before all others there.
    fn nearest_server(&self, now: Time, req: &Request, pool: &Pool) -> Option<ServerKey> {
        let live_engines = self.live_engines(req.pool, pool);
        let suits_kind =
            |server: &Server| live_engines.count() == 0 || live_engines.contains(server);
        let servers = self.servers.in_pool(req.pool).iter();
        let servers = servers.filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let usable = servers.filter(|(key, server)| {
            server.entry.zone == self.setup.zone
                && suits_kind(server)
                && !req.tried.contains(key)
                && self.suits_stream(req, server)
                && self.may_send(now, server, pool)
        });
        let by_spread = usable.map(|(key, server)| (spread(&req.id, server), key));
        by_spread.min_by(|a, b| a.0.total_cmp(&b.0)).map(|it| it.1)
    }
}
