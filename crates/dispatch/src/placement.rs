//! Sends requests from the queue to the servers chosen for them.

use std::sync::Arc;

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Affinity, Attempt, Candidate, Command, Demand, Effect, LogEntry, Pool, RequestKey, Room,
    SeenLoad, Server, ServerKey, ServerSurvey, Verdict,
    awaited_servers::AwaitedServers,
    choice::CROSS_ZONE_COST,
    preferred_servers::PreferredServers,
    reach::Reach,
    request::{Request, RunningAttempt, Stage},
    state::State,
};

/// The share of its target after which a waiting request is overdue: it will hardly meet its
/// target, and accepts a server with a longer time to first byte.
const OVERDUE_SHARE: f64 = 0.3;
/// The number of requests at the head of a pool's queue that are considered when servers may have
/// become free. It bounds the time of a step while the queue is long.
const MAX_SCANNED_REQUESTS: usize = 64;
/// The share of its target after which a repeatable request that got no first byte is retried at
/// another server.
const FIRST_BYTE_TARGET_SHARE: f64 = 0.8;
/// Such a retry is made only after at least this many times the expected time to first byte.
const FIRST_BYTE_EXPECTED_FACTOR: u32 = 3;

/// The mean number of servers that a request considers beside the preferred ones if all instances
/// know the same loads: if they all chose the best server of all, they would overload it before
/// any of them is told.
const SAMPLED_SERVERS: f64 = 4.0;

/// The age of the load of the fleet, and the time until it is told again.
const LOAD_AGE: Duration = Duration::from_millis(400);
/// The greatest share of the slots that are taken to become free in that time.
const MAX_TURNOVER: f64 = 0.7;

/// The oldest view whose entries still tell that a server is cold. From an older one only the time that
/// the entry gave counts, as nobody would learn that it is over.
const MAX_COLD_VIEW_AGE: Duration = Duration::from_secs(4);

impl State {
    pub(crate) fn dispatch_all(&mut self, now: Time) {
        for pool in self.queue.pools() {
            self.dispatch(now, pool);
        }
    }

    /// Sends the requests that wait for a pool, in the order of rank, to servers that can take
    /// them.
    pub(crate) fn dispatch(&mut self, now: Time, pool: PoolId) {
        let Some(catalog) = self.catalog.clone() else { return };
        let Some(spec) = catalog.pools.get(&pool) else { return };
        let mut awaited = AwaitedServers::default();
        for key in self.queue.first(pool, MAX_SCANNED_REQUESTS) {
            if let Some(choice) = self.choose(now, key, spec, &mut awaited) {
                self.start(now, key, choice);
            }
        }
    }

    /// Chooses the server with the least cost for a request, if any can take it now. If not, the
    /// servers for which it waits are added to `awaited`.
    fn choose(
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
        let mut second: Option<Choice> = None;
        for &key in servers {
            let Some(server) = self.servers.get(key) else { continue };
            let is_untried = !req.tried.contains(&key);
            if !is_untried
                || server.attempts() >= max_connections
                || !reach.contains(server)
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
            if best.as_ref().is_none_or(|best| choice.is_better(best)) {
                second = best.replace(choice);
            } else if second.as_ref().is_none_or(|second| choice.is_better(second)) {
                second = Some(choice);
            }
        }
        let backup = second.filter(|_| is_backed_up).map(|second| second.server);
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
            if req.tried.contains(key) || !self.may_send(now, server, pool) {
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

    /// Returns whether the attempt that was started for a request may still be sent: its server has
    /// neither begun to leave, asked for a pause nor been restarted since it was chosen, its zone has
    /// not been evacuated, and no part of its prompt is held back. Asked when there is a connection,
    /// right before the first byte.
    pub fn may_send_attempt(&self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        let Stage::Running(running) = req.stage else { return false };
        let is_free =
            req.is_trial || self.quarantine.verdict(now, &req.prompt, None) == Verdict::Free;
        is_free
            && self.servers.get(running.server).is_some_and(|server| {
                self.servers.is_eligible(server)
                    && !server.is_paused(now)
                    && server.entry.incarnation == running.incarnation
            })
    }

    /// Returns whether a server is known and neither paused nor backed off.
    fn is_available(&self, now: Time, server: ServerKey) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|it| !it.is_paused(now) && !it.health.is_backed_off(now))
    }

    /// Returns whether a server may get a request now: it neither leaves nor is in an evacuated zone,
    /// paused or backed off, and if it is cold, this instance has not used up its share of the cold
    /// rate.
    pub(crate) fn may_send(&self, now: Time, server: &Server, pool: &Pool) -> bool {
        let is_out = server.is_paused(now) || server.health.is_backed_off(now);
        if !self.servers.is_eligible(server) || is_out {
            return false;
        }
        let is_cold = server.is_cold(now) || self.is_listed_as_cold(now, server);
        if !is_cold || pool.cold_rate <= 0.0 {
            return true;
        }
        let bounds = &self.setup.bounds;
        let limit = (pool.cold_rate * bounds.cold_factor + bounds.cold_extra).floor() as u32;
        // Requests that wait for a connection may be sent together with this one.
        let count = server.recent_requests.count(now) + server.unsent;
        count < self.share.whole_units(limit, server.id)
    }

    /// Returns whether the latest entry of a server says that it is cold, in a view that is current. The
    /// time that the entry gives may have been extended since: instances that follow the views of
    /// others learn only whether a server is cold.
    fn is_listed_as_cold(&self, now: Time, server: &Server) -> bool {
        let is_current = self.view_age(now).is_some_and(|age| age <= MAX_COLD_VIEW_AGE);
        is_current && !server.entry.cold.is_zero()
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

    /// Starts an attempt at the chosen server. A request that is not in the queue, as its last
    /// attempt has just broken off, resumes there from the copy of its KV cache.
    pub(crate) fn start(&mut self, now: Time, key: RequestKey, choice: Choice) {
        let bounds = self.setup.bounds;
        let keys_until = self.freshness.keys_valid_until(bounds.revoke).unwrap_or(now);
        let is_retryable = self.can_retry(now, key);
        let backup = choice.backup.and_then(|backup| self.servers.get(backup));
        let backup = backup.map(|server| server.entry.address);
        let fetch_source = choice.fetch_source.and_then(|source| self.servers.get(source));
        let fetch_source = fetch_source.map(|server| server.entry.address);
        let pool = self.requests.get(key).map(|req| req.pool);
        let reading_factor = pool.map_or(1.0, |pool| self.reading_factor(pool));
        let Some(req) = self.requests.get_mut(key) else { return };
        let resumes_from_backup = match req.stage {
            Stage::Waiting(entry) => {
                self.queue.remove(req.pool, entry);
                false
            }
            Stage::Idle => true,
            Stage::Running(_) => return,
        };
        let Some(server) = self.servers.get_mut(choice.server) else { return };
        req.attempts += 1;
        let first_byte_timeout = req
            .routed
            .route
            .target
            .mul_f64(FIRST_BYTE_TARGET_SHARE)
            .max(choice.expected.mul_f64(reading_factor) * FIRST_BYTE_EXPECTED_FACTOR);
        let leave_by = is_retryable.then(|| now + first_byte_timeout);
        let running = RunningAttempt {
            server: choice.server,
            rank: req.rank(),
            incarnation: server.entry.incarnation,
            started_at: now,
            sent_at: None,
            begun_at: None,
            has_closed: false,
            leave_by: leave_by.filter(|time| *time < req.end_by),
            expected: choice.expected,
            prefill_tokens: if resumes_from_backup { 0 } else { choice.prefill_tokens },
            tokens_ahead: choice.tokens_ahead,
            held_tokens: req.prompt.held_tokens(),
            live_pool: req.is_live_stream().then_some(req.pool),
            backup: choice.backup,
        };
        if let Some(pool) = running.live_pool {
            self.demand.entry(pool).or_default().stream_started(now);
        }
        req.stage = Stage::Running(running);
        server.load.add(running.rank.into(), running.load());
        server.unsent += 1;
        server.prefixes.record(&req.prompt);
        server.health.set_attempts(now, server.attempts());
        let start_by = if req.routed.account.is_some() { keys_until } else { req.end_by };
        let attempt = Attempt {
            number: req.attempts,
            server: choice.server,
            name: Arc::clone(&server.entry.name),
            address: server.entry.address,
            rank: req.rank(),
            start_by: start_by.min(req.end_by),
            end_by: req.end_by,
            holds_server_error: is_retryable,
            backup,
            fetch_source,
            resumes_from_backup,
        };
        let entry = LogEntry::Attempt {
            id: Arc::clone(&req.id),
            number: req.attempts,
            server: Arc::clone(&server.entry.name),
            version: req.routed.version,
            expected: choice.expected,
            own: server.attempts(),
            others: choice.others,
            waited: now.since(req.arrived),
        };
        self.log(entry);
        self.emit(Effect::Command { key, command: Command::Run(attempt) });
    }

    /// Returns whether a request could be retried after its next attempt: its route and deadline
    /// allow one more run, and a server is left that has not been tried.
    fn can_retry(&self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        req.may_run_again(now, req.possible_runs + 1)
            && self.servers.in_pool(req.pool).len() > req.tried.len() + 1
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
