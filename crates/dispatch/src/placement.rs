//! Which server a request goes to, and when.

use std::sync::Arc;

use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Attempt, Candidate, Command, Effect, Home, LogEntry, Pool, RequestKey, Server, ServerKey,
    request::{Request, Run, Stage},
    state::State,
};

/// The part of its target after which a request that waits takes what it can get.
const OVERDUE_SHARE: f64 = 0.3;
/// The part of their slots that live streams fill at engines that are kept for them: half, so that
/// a burst of them finds room.
const LIVE_FILL: f64 = 0.5;
/// The largest share of engines that is kept for live streams: long prompts are most of the work,
/// and streams that are slow because engines are full would take ever more.
const MAX_LIVE_SHARE: f64 = 0.1;
/// Requests of a queue that are looked at for a free server at once.
const MAX_LOOK: usize = 64;
/// The part of its target after which a repeatable request that got no first byte is tried at
/// another server.
const FIRST_BYTE_SHARE: f64 = 0.8;
/// How many times the expected time a first byte may take before another server is tried.
const FIRST_BYTE_SLACK: u32 = 3;

impl State {
    pub(crate) fn dispatch_all(&mut self, now: Time) {
        for pool in self.queue.pools() {
            self.dispatch(now, pool);
        }
    }

    /// Gives the requests that wait in a pool, by rank, to servers that may take them.
    pub(crate) fn dispatch(&mut self, now: Time, pool: PoolId) {
        let Some(catalog) = self.catalog.clone() else { return };
        let Some(spec) = catalog.pools.get(&pool) else { return };
        for key in self.queue.first(pool, MAX_LOOK) {
            if let Some(choice) = self.choose(now, key, spec) {
                self.start(now, key, choice);
            }
        }
    }

    /// Chooses the server for a request, if one may take it now.
    fn choose(&self, now: Time, key: RequestKey, pool: &Pool) -> Option<Choice> {
        let req = self.requests.get(key)?;
        let target = req.routed.route.target;
        let catalog = self.catalog.as_ref()?;
        let is_top = catalog.is_top_tier(req.pool, req.routed.route.tier);
        let is_overdue = now.since(req.arrived) > target.mul_f64(OVERDUE_SHARE);
        let servers = self.servers.of_pool(req.pool);
        let homes = self.homes(now, req, servers);
        let connections = self.connections(req.pool);
        let live_share = self.live_share(now, req.pool, pool, servers.len());
        let is_live = req.is_live();
        let can_fetch = pool.engine.is_some_and(|it| it.fetch_per_token.is_some());
        let is_backed_up = req.is_backed_up() && pool.engine.is_some_and(|it| it.has_backups);
        let mut best: Option<Choice> = None;
        let mut second: Option<Choice> = None;
        for &it in servers {
            let Some(server) = self.servers.get(it) else { continue };
            let is_new = !req.tried.contains(&it);
            if !is_new || server.attempts >= connections || !self.may_send(now, server, pool) {
                continue;
            }
            let cached = server.prefixes.cached(&req.prompt);
            let fetch_source = homes.fetch_source(it, cached);
            let fetch_source = fetch_source.filter(|it| can_fetch && self.is_sound(now, *it));
            let candidate = Candidate {
                server,
                has_fetch_source: fetch_source.is_some(),
                is_live,
                live_share,
                others: self.loads.total(server.id.into()),
                is_near: server.entry.zone == self.setup.zone,
                home: homes.of(it),
                cached,
            };
            let estimate = candidate.estimate(now, pool, &req.prompt, target);
            if !estimate.suits(target, is_top, is_overdue) {
                continue;
            }
            let others = candidate.others.attempts;
            let (cost, expected) = (estimate.cost, estimate.first_byte);
            let unread = estimate.unread;
            let choice =
                Choice { server: it, cost, expected, unread, others, backup: None, fetch_source };
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                second = best.replace(choice);
            } else if second.as_ref().is_none_or(|second| cost < second.cost) {
                second = Some(choice);
            }
        }
        let backup = second.filter(|_| is_backed_up).map(|it| it.server);
        best.map(|best| Choice { backup, ..best })
    }

    /// Returns the share of a pool's engines that the live streams of all instances fill.
    fn live_share(&self, now: Time, id: PoolId, pool: &Pool, servers: usize) -> f64 {
        let (Some(engine), Some(live)) = (pool.engine, self.live.get(&id)) else { return 0.0 };
        let all = live.mean(now) * self.members.alive_count() as f64;
        let slots = f64::from(engine.slots.max(1)) * servers.max(1) as f64;
        (all / (slots * LIVE_FILL)).min(MAX_LIVE_SHARE)
    }

    fn is_sound(&self, now: Time, server: ServerKey) -> bool {
        self.servers.get(server).is_some_and(|it| !it.health.is_blocked(now))
    }

    /// Returns whether a server may get a request now: it stays, did not fail just now, and if it is
    /// cold has not had this instance's part of what it takes.
    pub(crate) fn may_send(&self, now: Time, server: &Server, pool: &Pool) -> bool {
        if !self.servers.is_open(server) || server.health.is_blocked(now) {
            return false;
        }
        if !server.is_cold(now) || pool.cold_rate <= 0.0 {
            return true;
        }
        let bounds = &self.setup.bounds;
        let limit = (pool.cold_rate * bounds.cold_factor + bounds.cold_extra).floor() as u32;
        server.gate.recent(now) < self.share.units(limit, server.id)
    }

    /// Returns the servers that have or should have read the part of the prompt that other requests
    /// share.
    fn homes(&self, now: Time, req: &Request, servers: &[ServerKey]) -> Homes {
        let mut homes = Homes::default();
        let Some(part) = req.prompt.last_shared() else { return homes };
        for &key in servers {
            let Some(server) = self.servers.get(key) else { continue };
            if self.servers.is_open(server) {
                let rank = xxh3_64_with_seed(&part.id.to_be_bytes(), server.id.0);
                if !server.health.is_blocked(now) {
                    homes.hold(server.prefixes.cached(&req.prompt), rank, key);
                }
                homes.add(rank, key);
            }
        }
        homes
    }

    /// Gives a request to a server, where it starts or goes on from a copy of its run's memory.
    pub(crate) fn start(&mut self, now: Time, key: RequestKey, choice: Choice) {
        let bounds = self.setup.bounds;
        let keys_until = self.freshness.keys_until(bounds.revoke).unwrap_or(now);
        let is_retryable = self.can_retry(now, key);
        let backup = choice.backup.and_then(|it| self.servers.get(it));
        let backup = backup.map(|it| it.entry.address);
        let fetch_source = choice.fetch_source.and_then(|it| self.servers.get(it));
        let fetch_source = fetch_source.map(|it| it.entry.address);
        let Some(req) = self.requests.get_mut(key) else { return };
        let resumes_from_backup = match req.stage {
            Stage::Waiting(place) => {
                self.queue.remove(req.pool, place);
                false
            }
            Stage::Idle => true,
            Stage::Running(_) => return,
        };
        let Some(server) = self.servers.get_mut(choice.server) else { return };
        req.attempts += 1;
        let run = Run {
            server: choice.server,
            sent_at: None,
            expected: choice.expected,
            prefill: if resumes_from_backup { 0 } else { choice.unread },
            live_in: req.is_live().then_some(req.pool),
            backup: choice.backup,
        };
        if let Some(pool) = run.live_in {
            self.live.entry(pool).or_default().started(now);
        }
        req.stage = Stage::Running(run);
        server.attempts += 1;
        server.prefill += u64::from(run.prefill);
        server.gate.sent(now);
        server.prefixes.note(&req.prompt);
        server.health.busy(now, server.attempts);
        let route = &req.routed.route;
        let patience =
            route.target.mul_f64(FIRST_BYTE_SHARE).max(choice.expected * FIRST_BYTE_SLACK);
        let start_by = if req.routed.account.is_some() { keys_until } else { req.end_by };
        let attempt = Attempt {
            number: req.attempts,
            server: choice.server,
            name: Arc::clone(&server.entry.name),
            address: server.entry.address,
            rank: req.rank(),
            start_by: start_by.min(req.end_by),
            first_byte_by: is_retryable.then(|| now + patience).filter(|it| *it < req.end_by),
            end_by: req.end_by,
            holds_server_error: is_retryable,
            backup,
            fetch_source,
            resumes_from_backup,
        };
        let note = LogEntry::Attempt {
            id: Arc::clone(&req.id),
            number: req.attempts,
            server: Arc::clone(&server.entry.name),
            version: req.routed.version,
            expected: choice.expected,
            own: server.attempts,
            others: choice.others,
            waited: now.since(req.arrived),
        };
        self.note(note);
        self.emit(Effect::Command { key, command: Command::Run(attempt) });
    }

    /// Returns whether a request may run at one more server after the next one, as things stand.
    fn can_retry(&self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        req.may_run_again(now, req.runs + 1)
            && self.servers.of_pool(req.pool).len() > req.tried.len() + 1
    }
}

/// The server for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub(crate) server: ServerKey,
    pub(crate) cost: Duration,
    /// The expected time to the first byte.
    pub(crate) expected: Duration,
    /// Prompt tokens that it is expected to read.
    pub(crate) unread: u32,
    /// Attempts of other instances there.
    pub(crate) others: u32,
    /// The server that gets a copy of the run's memory.
    pub(crate) backup: Option<ServerKey>,
    /// The server from which the shared part of the prompt is fetched.
    pub(crate) fetch_source: Option<ServerKey>,
}

/// The servers that rendezvous hashing names for a prompt, with their ranks, and the one that has
/// read most of it.
#[derive(Clone, Copy, Default, Debug)]
struct Homes {
    /// With the shared tokens that it has read for this instance, and its rank: of those that have
    /// read as much, the first has had it for longest.
    holder: Option<(u32, u64, ServerKey)>,
    first: Option<(u64, ServerKey)>,
    second: Option<(u64, ServerKey)>,
}

impl Homes {
    fn add(&mut self, rank: u64, key: ServerKey) {
        let new = Some((rank, key));
        if new > self.first {
            self.second = std::mem::replace(&mut self.first, new);
        } else if new > self.second {
            self.second = new;
        }
    }

    fn hold(&mut self, tokens: u32, rank: u64, key: ServerKey) {
        if tokens > 0 {
            self.holder = self.holder.max(Some((tokens, rank, key)));
        }
    }

    /// Returns from where a server that has read `cached` of the shared tokens can fetch more.
    fn fetch_source(&self, server: ServerKey, cached: u32) -> Option<ServerKey> {
        if let Some((tokens, _, holder)) = self.holder
            && tokens > cached
        {
            return Some(holder);
        }
        if cached > 0 {
            return None;
        }
        // Peers have probably sent it to its home.
        let homes = [self.first, self.second].into_iter().flatten();
        homes.map(|it| it.1).find(|it| *it != server)
    }

    fn of(&self, key: ServerKey) -> Home {
        match (self.first, self.second) {
            (Some((_, first)), _) if first == key => Home::First,
            (_, Some((_, second))) if second == key => Home::Second,
            _ => Home::Elsewhere,
        }
    }
}
