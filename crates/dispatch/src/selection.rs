//! Chooses the servers of requests.

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Affinity, Candidate, Demand, Pool, RequestKey, Room, SeenLoad, Server, ServerKey, ServerSurvey,
    awaited_servers::AwaitedServers, choice::CROSS_ZONE_COST, preferred_servers::PreferredServers,
    reach::Reach, request::Request, state::State,
};

/// The share of its target after which a waiting request is overdue: it will hardly meet its
/// target, and accepts a server with a longer time to first byte.
const OVERDUE_SHARE: f64 = 0.3;
/// The mean number of servers that a request considers beside the preferred ones if all instances
/// know the same loads: if they all chose the best server of all, they would overload it before
/// any of them is told.
const SAMPLED_SERVERS: f64 = 4.0;
/// The age of the load of the fleet, and the time until it is told again.
const LOAD_AGE: Duration = Duration::from_millis(400);
/// The greatest share of the slots that are taken to become free in that time.
const MAX_TURNOVER: f64 = 0.7;

impl State {
    /// Chooses the server with the least cost for a request, if any can take it now. If not, the
    /// servers for which it waits are added to `awaited`.
    pub(crate) fn choose(
        &self,
        now: Time,
        key: RequestKey,
        pool: &Pool,
        awaited: &mut AwaitedServers,
    ) -> Option<Choice> {
        let rank = self.requests.get(key)?.rank();
        let is_sampled = self.knows_fleet_loads();
        let mut found = self.find(now, key, pool, awaited, is_sampled);
        if found.is_empty() && is_sampled {
            found = self.find(now, key, pool, awaited, false);
        }
        let Found { best, mut full } = found;
        if let Some(awaited) = best.filter(|it| !it.is_acceptable) {
            full.push(awaited.server);
        }
        let best = best.filter(|it| it.is_acceptable);
        if best.is_none() {
            awaited.add(rank, full);
        }
        best
    }

    /// Finds the server with the least cost for a request. If `is_sampled`, only some of the servers are
    /// considered beside the preferred ones.
    fn find(
        &self,
        now: Time,
        key: RequestKey,
        pool: &Pool,
        awaited: &AwaitedServers,
        is_sampled: bool,
    ) -> Found {
        let mut full = Vec::new();
        let Some((req, catalog)) = self.requests.get(key).zip(self.catalog.as_ref()) else {
            return Found { best: None, full };
        };
        let rank = req.rank();
        let target = req.routed.route.target;
        let is_overdue = now.since(req.arrived) > target.mul_f64(OVERDUE_SHARE);
        let tier = req.routed.route.tier;
        let least_target_above = catalog.least_target_above(req.pool, tier);
        let reading_factor = self.reading_factor(req.pool);
        let is_load_known = self.knows_fleet_loads();
        let demand =
            Demand { target, least_target_above, is_load_known, reading_factor, is_overdue };
        let servers = self.servers.in_pool(req.pool);
        let is_live_stream = req.is_live_stream();
        let live_engines = self.live_engines(req.pool, pool);
        // Engines are for either live streams or other requests.
        let suits_kind = |server: &Server| {
            pool.engine.is_none() || live_engines.contains(server) == is_live_stream
        };
        let reach = self.reach(now, req, pool);
        let preferred = self.preferred_servers(now, req, servers, &reach, suits_kind);
        let max_connections = self.max_connections(req.pool);
        // Long prompts go to the engines of live streams only when no other one takes them in time.
        let may_mix = is_live_stream || is_overdue;
        let can_fetch = pool.engine.is_some_and(|engine| engine.fetch_per_token.is_some());
        let is_backed_up =
            req.is_backed_up() && pool.engine.is_some_and(|engine| engine.has_backups);
        let reachable = servers.iter().filter_map(|key| self.servers.get(*key));
        let reachable = reachable.filter(|server| reach.contains(server));
        let (suited, mixed): (Vec<_>, Vec<_>) = reachable.partition(|server| suits_kind(server));
        let is_known = self.knows_fleet_loads();
        let sampled_share = |servers| if is_sampled { sampled_share(servers) } else { 1.0 };
        let sampled = sampled_share(suited.len());
        let sampled_mixed = sampled_share(mixed.len());
        let shared_part = req.prompt.last_shared_part();
        let mut best: Option<Choice> = None;
        // Choices other than the best one, where one of them gets a copy of the KV cache.
        let mut others = Vec::new();
        for &key in servers {
            let Some(server) = self.servers.get(key) else { continue };
            let is_untried = !req.tried.contains(&key);
            if !is_untried
                || server.attempts() >= max_connections
                || !reach.contains(server)
                || !self.suits_stream(req, server)
                || awaited.is_awaited_above(key, rank)
                || !self.may_send(now, server, pool)
            {
                continue;
            }
            let affinity = preferred.affinity(key);
            let is_mixed = !suits_kind(server);
            let sampled = if is_mixed { sampled_mixed } else { sampled };
            let has_prefix = shared_part.is_some_and(|part| server.prefixes.contains(part.id));
            let is_special = affinity != Affinity::Other || has_prefix || reach.is_nearest(key);
            if !is_special && spread(&req.id, server) > sampled {
                continue;
            }
            if is_mixed && !may_mix {
                continue;
            }
            let cached_tokens = server.prefixes.cached_tokens(&req.prompt);
            let fetch_source = preferred.fetch_source(key, cached_tokens);
            let fetch_source =
                fetch_source.filter(|source| can_fetch && self.is_available(now, *source));
            let candidate = Candidate {
                crossing: reach.crossing(server),
                has_fetch_source: fetch_source.is_some(),
                affinity,
                ..self.candidate(req, server)
            };
            let estimate = candidate.estimate(now, pool, &req.prompt, target);
            let is_acceptable = estimate.is_acceptable(&demand);
            if !is_acceptable && (estimate.is_full() || !is_known) {
                full.push(key);
                continue;
            }
            let choice = Choice {
                server: key,
                room: estimate.room,
                is_acceptable,
                is_mixed,
                cost: estimate.cost,
                expected: estimate.first_byte,
                prefill_tokens: estimate.prefill_tokens,
                tokens_ahead: estimate.tokens_ahead,
                others: candidate.load.all.attempts.saturating_sub(server.attempts()),
                backup: None,
                fetch_source,
            };
            let worse = if best.as_ref().is_none_or(|best| choice.is_better(best)) {
                best.replace(choice)
            } else {
                Some(choice)
            };
            others.extend(worse.filter(|_| is_backed_up));
        }
        let software = |key| self.servers.get(key).map(|it| it.entry.software);
        let best_software = best.as_ref().and_then(|best| software(best.server));
        // A generation can resume only at the software version that began it.
        let same = others.into_iter().filter(|other| software(other.server) == best_software);
        let second = same.reduce(|a, b| if b.is_better(&a) { b } else { a });
        let backup = second.map(|second| second.server);
        let backup =
            backup.filter(|key| self.servers.get(*key).is_some_and(|it| !self.has_limit(it)));
        Found { best: best.map(|best| Choice { backup, ..best }), full }
    }

    /// Returns a server as a candidate for a request, without what the preferred servers for its
    /// prefix add.
    pub(crate) fn candidate<'a>(&self, req: &Request, server: &'a Server) -> Candidate<'a> {
        let is_same_zone = server.entry.zone == self.setup.zone;
        Candidate {
            server,
            load: SeenLoad::new(&server.load, self.others_load(server), req.rank()),
            crossing: if is_same_zone { Duration::ZERO } else { CROSS_ZONE_COST },
            affinity: Affinity::Other,
            cached_tokens: server.prefixes.cached_tokens(&req.prompt),
            has_fetch_source: false,
            turnover: self.slot_turnover(req),
            is_load_known: self.knows_fleet_loads(),
            spread: if req.is_live_stream() { spread(&req.id, server) } else { 0.0 },
        }
    }

    /// Returns the share of the slots of an engine that become free before the load of the fleet is
    /// told again; 0 if it is not told.
    fn slot_turnover(&self, req: &Request) -> f64 {
        if !self.knows_fleet_loads() {
            return 0.0;
        }
        let mean = self.service_times.mean(req.pool, req.routed.route.tier);
        let mean = mean.map_or(MAX_TURNOVER, |it| LOAD_AGE.as_secs_f64() / it.as_secs_f64());
        mean.min(MAX_TURNOVER)
    }

    /// Returns what a request finds at the servers of its pool.
    pub(crate) fn survey(&self, now: Time, key: RequestKey) -> ServerSurvey {
        let mut survey = ServerSurvey::default();
        let Some(req) = self.requests.get(key) else { return survey };
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&req.pool));
        let Some(pool) = pool else { return survey };
        for key in self.servers.in_pool(req.pool) {
            let Some(server) = self.servers.get(*key) else { continue };
            if req.tried.contains(key)
                || !self.suits_stream(req, server)
                || !self.may_send(now, server, pool)
            {
                continue;
            }
            survey.usable += 1;
            let target = req.routed.route.target;
            let estimate = self.candidate(req, server).estimate(now, pool, &req.prompt, target);
            if estimate.is_full() {
                survey.full += 1;
                continue;
            }
            let least = survey.least_expected.unwrap_or(estimate.first_byte);
            survey.least_expected = Some(least.min(estimate.first_byte));
        }
        survey
    }

    /// Returns whether a server is known, neither paused nor backed off, and names no limit.
    fn is_available(&self, now: Time, server: ServerKey) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|it| {
            !it.is_paused(now) && !it.health.is_backed_off(now) && !self.has_limit(it)
        })
    }

    /// Returns the servers that rendezvous hashing prefers for the shared prefix of a request, among
    /// those for which `suits_kind` holds and which it may reach, and the one that has most of it
    /// cached.
    fn preferred_servers(
        &self,
        now: Time,
        req: &Request,
        servers: &[ServerKey],
        reach: &Reach<'_>,
        suits_kind: impl Fn(&Server) -> bool,
    ) -> PreferredServers {
        let mut preferred = PreferredServers::default();
        let Some(part) = req.prompt.last_shared_part() else { return preferred };
        for &key in servers {
            let Some(server) = self.servers.get(key) else { continue };
            if self.servers.is_eligible(server) && suits_kind(server) {
                let hash_rank = xxh3_64_with_seed(&part.id.to_be_bytes(), server.id.0);
                if !server.health.is_backed_off(now) {
                    preferred.add_holder(
                        server.prefixes.cached_tokens(&req.prompt),
                        hash_rank,
                        key,
                    );
                }
                if reach.contains(server) {
                    preferred.add(hash_rank, key);
                }
            }
        }
        preferred
    }
}

/// What a request finds among the servers of its pool.
#[derive(Debug)]
struct Found {
    /// The server with the least cost, which may not be acceptable now.
    best: Option<Choice>,
    /// Servers without room, for which the request waits.
    full: Vec<ServerKey>,
}

impl Found {
    fn is_empty(&self) -> bool {
        self.best.is_none() && self.full.is_empty()
    }
}

/// The server chosen for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) server: ServerKey,
    /// Whether the request goes there now rather than waits for it.
    pub(crate) is_acceptable: bool,
    /// The room that it has.
    pub(crate) room: Room,
    /// Whether it is an engine set apart for live streams and the request is none, or the reverse.
    pub(crate) is_mixed: bool,
    /// The lower, the better: see [`crate::Estimate::cost`].
    pub(crate) cost: Duration,
    /// The expected time to first byte.
    pub(crate) expected: Duration,
    /// Prompt tokens that the server is expected to read.
    pub(crate) prefill_tokens: u32,
    /// Prompt tokens that it reads before it responds, those of other requests included.
    pub(crate) tokens_ahead: f64,
    /// Attempts that other instances run there.
    pub(crate) others: u32,
    /// The engine that gets a copy of the KV cache.
    pub(crate) backup: Option<ServerKey>,
    /// The engine from which the shared prefix is fetched.
    pub(crate) fetch_source: Option<ServerKey>,
}

impl Choice {
    /// Returns whether the server is to be preferred to that of another choice.
    fn is_better(&self, other: &Self) -> bool {
        (self.room, self.is_mixed, self.cost) < (other.room, other.is_mixed, other.cost)
    }
}

/// Returns the share of this many servers that a request considers beside the preferred ones.
fn sampled_share(servers: usize) -> f64 {
    SAMPLED_SERVERS / servers.max(1) as f64
}

/// Returns a number from 0 to 1 that is different for each pair of a request and a server.
pub(crate) fn spread(id: &str, server: &Server) -> f64 {
    xxh3_64_with_seed(id.as_bytes(), server.id.0) as f64 / u64::MAX as f64
}
