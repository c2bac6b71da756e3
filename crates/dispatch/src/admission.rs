//! The requests of callers: admission, refusals and the end of waiting.

use std::sync::Arc;

use model::prelude::*;
use rand::RngExt as _;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AttemptEnd, Command, Effect, LogEntry, NewRequest, RequestKey, Routed,
    queue::Place,
    request::{Request, Stage},
    state::State,
};

/// The part of its target for which a request waits here for a server: as long as it may still be
/// on time.
const WAIT_SHARE: f64 = 0.75;
/// The least such time.
const MIN_WAIT: Duration = Duration::from_millis(60);
/// The part of its remaining time after which a caller may come back at the latest: callers honour
/// up to a third.
const RETURN_SHARE: f64 = 0.3;
/// When a caller comes back that is better served by another instance.
const ELSEWHERE: Duration = Duration::from_millis(50);

impl State {
    /// Returns the route and the account of a request, or why it is refused.
    pub fn route(
        &self,
        now: Time,
        host: &str,
        path: &str,
        key: Option<&[u8]>,
    ) -> Result<Routed, Refusal> {
        let not_ready = Refusal::not_run(Reason::NotReady).retry_after(ELSEWHERE);
        let catalog = self.catalog.as_ref().ok_or(not_ready)?;
        let route = catalog.route(host, path).ok_or(Refusal::not_run(Reason::NoRoute))?;
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

    /// Returns whether no key can have been withdrawn for longer than the bound without this
    /// instance knowing.
    fn accepts_keys(&self, now: Time) -> bool {
        self.freshness.keys_until(self.setup.bounds.revoke).is_some_and(|it| now < it)
    }

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
            prompt: new.prompt,
            stage: Stage::Idle,
            attempts: 0,
            runs: 0,
            rejections: 0,
            tried: Vec::new(),
            began_at: None,
            has_retry: false,
            holds_failure: false,
        };
        self.requests.insert(key, req);
        let Some(pool) = pool else {
            return self.refuse(now, key, Refusal::not_run(Reason::NoServer));
        };
        self.budgets.entry(pool).or_default().request(now, &self.setup.bounds);
        let wait = route.target.mul_f64(WAIT_SHARE).max(MIN_WAIT);
        self.enqueue(now, key, wait);
    }

    pub(crate) fn enqueue(&mut self, now: Time, key: RequestKey, wait: Duration) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let place = Place { rank: req.rank(), refuse_at: (now + wait).min(req.end_by), key };
        req.stage = Stage::Waiting(place);
        let pool = req.pool;
        self.queue.insert(pool, place);
        self.dispatch(now, pool);
    }

    pub(crate) fn caller_left(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.forget(key) else { return };
        if let Stage::Running(run) = req.stage {
            self.settle(now, run, AttemptEnd::CallerLeft, None);
        }
        self.note(LogEntry::CallerLeft { id: req.id, after: now.since(req.arrived) });
    }

    /// Refuses requests that have waited long enough.
    pub(crate) fn refuse_due(&mut self, now: Time) {
        while let Some(key) = self.queue.due(now) {
            let Some(req) = self.requests.get(key) else { return };
            if req.holds_failure {
                self.deliver(now, key);
                continue;
            }
            let is_any_open =
                self.servers.of_pool(req.pool).iter().any(|it| {
                    self.servers.get(*it).is_some_and(|server| self.servers.is_open(server))
                });
            let reason = if is_any_open { Reason::Capacity } else { Reason::NoServer };
            let refusal = req.refusal(reason);
            self.refuse(now, key, refusal);
        }
    }

    /// Ends a request with a refusal.
    pub(crate) fn refuse(&mut self, now: Time, key: RequestKey, refusal: Refusal) {
        let Some(req) = self.forget(key) else { return };
        let is_fatal = matches!(refusal.reason, Reason::NoKey | Reason::NoRoute);
        let comes_back = refusal.execution == Execution::NotRun && !is_fatal;
        let retry_after = match refusal.retry_after {
            None if comes_back => Some(self.return_after(now, &req, refusal.reason)),
            given => given,
        };
        let refusal = Refusal { retry_after, ..refusal };
        self.note(LogEntry::Refused {
            id: req.id,
            route: req.routed.route.name.clone(),
            refusal,
            after: now.since(req.arrived),
            view_age: self.view_age(now),
        });
        self.emit(Effect::Command { key, command: Command::Refuse(refusal) });
    }

    /// Returns when a caller may come back: sooner for short targets, spread so that they do not
    /// all come at once, and within the time that they honour.
    fn return_after(&mut self, now: Time, req: &Request, reason: Reason) -> Duration {
        if reason == Reason::NotReady {
            return ELSEWHERE;
        }
        let spread = self.rng.random_range(0.7..1.3);
        let wish = (req.routed.route.target / 2).mul_f64(spread);
        wish.min(now.until(req.end_by).mul_f64(RETURN_SHARE))
    }
}
