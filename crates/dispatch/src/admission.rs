//! Admission of requests: routing, access control, queueing and refusals.

use std::sync::Arc;

use model::prelude::*;
use rand::RngExt as _;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AttemptEnd, Command, Effect, LogEntry, NewRequest, RequestKey, Route, Routed,
    queue::QueueEntry,
    request::{Request, Stage},
    state::State,
};

/// The share of its target for which a request waits in the queue before it is refused: as long as
/// it may still meet its target.
const QUEUE_TARGET_SHARE: f64 = 0.75;
/// The least time for which a request waits in the queue.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(60);
/// The longest retry-after time of a refusal, as a share of the time until the request's end.
/// Callers honour a retry-after time of up to a third of it.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// The retry-after time of a refusal because this instance is not ready: short, since another
/// instance can serve the request at once.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(50);

impl State {
    /// Returns the route and the account of a request, or why it is rejected. `key` is the API key
    /// that the caller sent; routes that are not public require one if the configuration has
    /// accounts.
    pub fn route(
        &self,
        now: Time,
        host: &str,
        path: &str,
        key: Option<&[u8]>,
    ) -> Result<Routed, Refusal> {
        let not_ready = Refusal::not_run(Reason::NotReady).retry_after(NOT_READY_RETRY_AFTER);
        let catalog = self.catalog.as_ref().ok_or(not_ready)?;
        let Some(route) = catalog.route(host, path) else {
            // A view that is too old for keys may lack the route as well.
            let is_old = catalog.accounts.is_some() && !self.accepts_keys(now);
            return Err(if is_old { not_ready } else { Refusal::not_run(Reason::NoRoute) });
        };
        let mut routed =
            Routed { route: Arc::clone(route), account: None, key: None, version: catalog.version };
        if let (Some(accounts), false) = (&catalog.accounts, route.is_public) {
            if !self.accepts_keys(now) {
                return Err(not_ready);
            }
            let no_key = Refusal::not_run(Reason::NoKey);
            let hash = KeyHash::of(key.ok_or(no_key)?);
            routed.account = Some(Arc::clone(accounts.get(&hash).ok_or(no_key)?));
            routed.key = Some(hash);
        }
        Ok(routed)
    }

    /// Returns whether the view of the platform is recent enough to accept keys: every key that was
    /// revoked longer ago than [`crate::Bounds::revoke`] is known.
    fn accepts_keys(&self, now: Time) -> bool {
        self.freshness.keys_valid_until(self.setup.bounds.revoke).is_some_and(|until| now < until)
    }

    /// Adds a request to the queue, or refuses it if its route has no pool.
    pub(crate) fn request(&mut self, now: Time, key: RequestKey, new: NewRequest) {
        let route = Arc::clone(&new.routed.route);
        let pool = route.pool(xxh3_64(new.id.as_bytes()));
        let end_by = (new.arrived + route.timeout).min(new.caller_deadline);
        let req = Request {
            id: new.id,
            routed: new.routed,
            pool: pool.unwrap_or(PoolId(0)),
            arrived: new.arrived,
            end_by,
            caller_deadline: new.caller_deadline,
            states_deadline: new.states_deadline,
            prompt: new.prompt,
            stage: Stage::Idle,
            attempts: 0,
            possible_runs: 0,
            rejections: 0,
            tried: Vec::new(),
            first_byte_at: None,
            is_trial: false,
            has_reserved_retry: false,
            holds_server_error: false,
            has_partial_response: false,
            software: None,
            is_origin_in_doubt: false,
        };
        let is_new_stream = new.taken_up.is_none() && req.is_resumable() && req.states_deadline;
        if is_new_stream {
            self.record_caller_time(now, &req);
        }
        self.requests.insert(key, req);
        if pool.is_none() {
            return self.refuse(now, key, Refusal::not_run(Reason::NoServer));
        }
        match new.taken_up.filter(|_| route.is_stream) {
            Some(taken_up) => self.search_origin(now, key, taken_up),
            None => self.admit(now, key),
        }
    }

    /// Counts a request whose pool is decided, and adds it to the queue.
    pub(crate) fn admit(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.remove(key) else { return };
        let (pool, end_by) = (req.pool, req.end_by);
        let route = Arc::clone(&req.routed.route);
        self.count_prompt(now, pool, &req);
        self.record_use(now, pool, &req);
        self.requests.insert(key, req);
        self.budgets.entry(pool).or_default().request(now, &self.setup.bounds);
        let wait = route.target.mul_f64(QUEUE_TARGET_SHARE).max(MIN_QUEUE_TIME);
        let wait = wait.max(self.longest_useful_wait(now, pool, &route, end_by));
        self.enqueue(now, key, wait);
    }

    /// Returns how long a request that ends by `end_by` can wait and still be served by then. Where the
    /// load of the fleet is not known, nobody can tell.
    fn longest_useful_wait(
        &self,
        now: Time,
        pool: PoolId,
        route: &Route,
        end_by: Time,
    ) -> Duration {
        let needed = self.service_times.needed(pool, route.tier);
        let left = now.until(end_by);
        needed
            .filter(|_| self.knows_fleet_loads())
            .map_or(Duration::ZERO, |needed| left.saturating_sub(needed))
    }

    /// Puts a request into the queue of its pool. It is refused if it gets no server within `wait`.
    pub(crate) fn enqueue(&mut self, now: Time, key: RequestKey, wait: Duration) {
        if self.refuse_if_quarantined(now, key) || self.refuse_if_paused(now, key, now + wait) {
            return;
        }
        let excess = self.requests.get(key).map(|req| self.excess(req)).unwrap_or_default();
        let Some(req) = self.requests.get_mut(key) else { return };
        let refuse_at = (now + wait).min(req.end_by);
        let late_at = req.arrived + req.routed.route.target;
        let is_late = now >= late_at;
        let entry = QueueEntry { rank: req.rank(), is_late, excess, refuse_at, late_at, key };
        req.stage = Stage::Waiting(entry);
        let pool = req.pool;
        self.queue.insert(pool, entry);
        self.dispatch(now, pool);
    }

    /// Lets the requests that can still meet their target go before those that cannot.
    pub(crate) fn update_late(&mut self, now: Time) {
        for entry in self.queue.update_late(now) {
            if let Some(req) = self.requests.get_mut(entry.key) {
                req.stage = Stage::Waiting(entry);
            }
        }
    }

    pub(crate) fn caller_left(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.remove_request(key) else { return };
        if let Stage::Running(running) = req.stage {
            self.release_server(now, running, AttemptEnd::CallerLeft, None);
        }
        self.log(LogEntry::CallerLeft { id: req.id, after: now.since(req.arrived) });
    }

    /// Refuses the requests whose time in the queue is over. Where a server error is held back, the
    /// caller gets that instead.
    pub(crate) fn refuse_expired(&mut self, now: Time) {
        while let Some(key) = self.queue.expired(now) {
            let Some(req) = self.requests.get(key) else { return };
            if req.can_deliver_error() {
                self.deliver(now, key);
                continue;
            }
            let has_eligible_server = self.servers.in_pool(req.pool).iter().any(|key| {
                self.servers.get(*key).is_some_and(|server| {
                    self.servers.is_eligible(server) && self.suits_stream(req, server)
                })
            });
            let reason = if has_eligible_server { Reason::Capacity } else { Reason::NoServer };
            let refusal = req.refusal(reason);
            self.refuse(now, key, refusal);
        }
    }

    /// Ends a request with a refusal. If it certainly did not run and may succeed later, the caller
    /// is told when to retry.
    pub(crate) fn refuse(&mut self, now: Time, key: RequestKey, refusal: Refusal) {
        let servers = self.survey(now, key);
        let Some(req) = self.remove_request(key) else { return };
        let is_fatal = matches!(
            refusal.reason,
            Reason::NoKey | Reason::NoRoute | Reason::OriginUnknown | Reason::OriginGone
        );
        let is_retryable = refusal.execution == Execution::NotRun && !is_fatal;
        let retry_after = match refusal.retry_after {
            None if is_retryable => Some(self.retry_after(now, &req, refusal.reason)),
            given => given,
        };
        let refusal = Refusal { retry_after, ..refusal };
        self.log(LogEntry::Refused {
            id: req.id,
            route: req.routed.route.name.clone(),
            refusal,
            after: now.since(req.arrived),
            view_age: self.view_age(now),
            servers,
            version: req.routed.version,
            timeout: req.routed.route.timeout,
        });
        self.emit(Effect::Command { key, command: Command::Refuse(refusal) });
    }

    /// Returns after what time a caller should retry: about half the route's target, randomized so
    /// that the callers of many refused requests do not return at once, and no longer than callers
    /// honour.
    fn retry_after(&mut self, now: Time, req: &Request, reason: Reason) -> Duration {
        if reason == Reason::NotReady {
            return NOT_READY_RETRY_AFTER;
        }
        let spread = self.rng.random_range(0.7..1.3);
        let wanted = (req.routed.route.target / 2).mul_f64(spread);
        wanted.min(now.until(req.end_by).mul_f64(MAX_RETRY_AFTER_SHARE))
    }
}
