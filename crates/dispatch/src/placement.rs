//! Sends requests from the queue to the servers chosen for them.

use std::sync::Arc;

use model::prelude::*;

use crate::{
    Attempt, Command, Effect, KvCopy, LogEntry, Pool, RequestKey, Server, Verdict,
    awaited_servers::AwaitedServers,
    request::{RunningAttempt, Stage},
    selection::Choice,
    state::State,
};

/// The number of requests at the head of a pool's queue that are considered when servers may have
/// become free. It bounds the time of a step while the queue is long.
const MAX_SCANNED_REQUESTS: usize = 64;
/// The share of its target after which a repeatable request that got no first byte is retried at
/// another server.
const FIRST_BYTE_TARGET_SHARE: f64 = 0.8;
/// Such a retry is made only after at least this many times the expected time to first byte.
const FIRST_BYTE_EXPECTED_FACTOR: u32 = 3;

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
                self.start(now, key, choice, None);
            }
        }
    }

    /// Returns whether the attempt that was started for a request may still be sent: its server has
    /// neither begun to leave, asked for a pause, named a limit that leaves no room nor been restarted
    /// since it was chosen, its zone has not been evacuated, and no part of its prompt is held back. Asked when there is a connection,
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
                    && self.is_within_limit(now, server, 0)
                    && server.entry.incarnation == running.incarnation
                    && server.entry.software == running.software
            })
    }

    /// Returns whether a server may get a request now: it neither leaves nor is in an evacuated zone,
    /// paused or backed off, has named no limit that leaves no room, and if it is cold, this instance has not used up its share of the cold
    /// rate.
    pub(crate) fn may_send(&self, now: Time, server: &Server, pool: &Pool) -> bool {
        let is_out = server.is_paused(now) || server.health.is_backed_off(now);
        if !self.servers.is_eligible(server) || is_out {
            return false;
        }
        // Requests that wait for a connection may be sent together with this one.
        if !self.is_within_limit(now, server, server.unsent) {
            return false;
        }
        let is_cold = server.is_cold(now) || self.is_listed_as_cold(now, server);
        if !is_cold || pool.cold_rate <= 0.0 {
            return true;
        }
        let bounds = &self.setup.bounds;
        let limit = (pool.cold_rate * bounds.cold_factor + bounds.cold_extra).floor() as u32;
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

    /// Starts an attempt at the chosen server, where a generation resumes from `copy` if there is one.
    pub(crate) fn start(
        &mut self,
        now: Time,
        key: RequestKey,
        choice: Choice,
        copy: Option<KvCopy>,
    ) {
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
        match req.stage {
            Stage::Waiting(entry) => self.queue.remove(req.pool, entry),
            Stage::Idle => {}
            Stage::Searching(_) | Stage::Running(_) | Stage::Ending(_) => return,
        }
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
            server_id: server.id,
            rank: req.rank(),
            incarnation: server.entry.incarnation,
            software: server.entry.software,
            started_at: now,
            sent_at: None,
            begun_at: None,
            has_closed: false,
            leave_by: leave_by.filter(|time| *time < req.end_by),
            expected: choice.expected,
            prefill_tokens: if copy.is_some() { 0 } else { choice.prefill_tokens },
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
            kv_copy: copy,
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
        let is_continued = req.has_partial_response;
        self.log(entry);
        if is_continued {
            self.log_continued(key, &attempt);
        }
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
