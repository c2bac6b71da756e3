//! The requests of callers: admission, attempts, retries, the end.

use std::sync::Arc;

use model::prelude::*;
use rand::RngExt as _;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    Attempt, AttemptEnd, Candidate, Effect, Home, NewRequest, Note, Order, Pool, RequestKey,
    Routed, ServerKey,
    queue::Place,
    request::{Request, Run, Stage},
    route::Repeat,
    state::State,
};

/// The part of its target for which a request waits here for a server: as long as it may still be
/// on time.
const WAIT_SHARE: f64 = 0.75;
/// The part of its target after which a request that waits takes what it can get.
const OVERDUE_SHARE: f64 = 0.3;
/// The least such time.
const MIN_WAIT: Duration = Duration::from_millis(60);
/// Time for which a retry waits for another server: it has been admitted.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// Requests of a queue that are looked at for a free server at once.
const MAX_LOOK: usize = 64;
/// The part of its target after which a repeatable request that got no first byte is tried at
/// another server.
const FIRST_BYTE_SHARE: f64 = 0.8;
/// How many times the expected time a first byte may take before another server is tried.
const FIRST_BYTE_SLACK: u32 = 3;
/// Servers that may reject a request before the caller is told to come back.
const MAX_REJECTIONS: u32 = 3;
/// A request is not tried again when less than this is left.
const MIN_REMAINING: Duration = Duration::from_millis(40);
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
        if let (Some(accounts), false) = (&catalog.accounts, route.is_open) {
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
        let end_by = (new.arrived + route.timeout).min(new.give_up_at);
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

    fn enqueue(&mut self, now: Time, key: RequestKey, wait: Duration) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let place = Place { rank: req.rank(), refuse_at: (now + wait).min(req.end_by), key };
        req.stage = Stage::Waiting(place);
        let pool = req.pool;
        self.queue.insert(pool, place);
        self.dispatch(now, pool);
    }

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
        let homes = self.homes(req, servers);
        let cold_limit = (pool.cold_rate * self.setup.bounds.cold_factor
            + self.setup.bounds.cold_extra)
            .floor() as u32;
        let connections = self.connections(req.pool);
        let is_backed_up = req.is_backed_up() && pool.engine.is_some_and(|it| it.has_backups);
        let mut best: Option<Choice> = None;
        let mut second: Option<Choice> = None;
        for &it in servers {
            let Some(server) = self.servers.get(it) else { continue };
            let is_usable = self.servers.is_open(server)
                && server.health.blocked_until() <= now
                && server.attempts < connections
                && !req.tried.contains(&it);
            if !is_usable {
                continue;
            }
            if server.is_cold(now) && pool.cold_rate > 0.0 {
                let allowed = self.share.units(cold_limit, server.entry.id());
                if server.gate.recent(now) >= allowed {
                    continue;
                }
            }
            let candidate = Candidate {
                server,
                others: self.loads.at(server.entry.id().into()),
                is_near: server.entry.zone == self.setup.zone,
                home: homes.of(it),
            };
            let estimate = candidate.estimate(now, pool, &req.prompt, target);
            if !estimate.suits(target, is_top, is_overdue) {
                continue;
            }
            let others = candidate.others.attempts;
            let (cost, expected) = (estimate.cost, estimate.first_byte);
            let choice = Choice { server: it, cost, expected, others, backup: None };
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                second = best.replace(choice);
            } else if second.as_ref().is_none_or(|second| cost < second.cost) {
                second = Some(choice);
            }
        }
        let backup = second.filter(|_| is_backed_up).map(|it| it.server);
        best.map(|best| Choice { backup, ..best })
    }

    /// Returns the servers that rendezvous hashing names for the part of the prompt that other
    /// requests share.
    fn homes(&self, req: &Request, servers: &[ServerKey]) -> Homes {
        let mut homes = Homes::default();
        let Some(part) = req.prompt.last_shared() else { return homes };
        for &key in servers {
            let Some(server) = self.servers.get(key) else { continue };
            if self.servers.is_open(server) {
                let rank = xxh3_64_with_seed(&part.id.to_be_bytes(), server.entry.id().0);
                homes.add(rank, key);
            }
        }
        homes
    }

    /// Gives a request to a server, where it starts or goes on from a copy of its run's memory.
    fn start(&mut self, now: Time, key: RequestKey, choice: Choice) {
        let bounds = self.setup.bounds;
        let keys_until = self.freshness.keys_until(bounds.revoke).unwrap_or(now);
        let is_retryable = self.can_retry(now, key);
        let backup = choice.backup.and_then(|it| self.servers.get(it));
        let backup = backup.map(|it| it.entry.address);
        let Some(req) = self.requests.get_mut(key) else { return };
        let continues = match req.stage {
            Stage::Waiting(place) => {
                self.queue.remove(req.pool, place);
                false
            }
            Stage::Idle => true,
            Stage::Running(_) => return,
        };
        let Some(server) = self.servers.get_mut(choice.server) else { return };
        req.attempts += 1;
        let unread = req.prompt.tokens.saturating_sub(server.prefixes.cached(&req.prompt));
        let run = Run {
            server: choice.server,
            sent_at: None,
            expected: choice.expected,
            prefill: if continues { 0 } else { unread },
            backup: choice.backup,
        };
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
            holds_failure: is_retryable,
            backup,
            continues,
        };
        let note = Note::Attempt {
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
        self.emit(Effect::Order { key, order: Order::Run(attempt) });
    }

    /// Returns whether a request may run at one more server after the next one, as things stand.
    fn can_retry(&self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        req.is_repeatable()
            && req.runs + 1 < req.routed.route.max_attempts
            && now + MIN_REMAINING < req.end_by
            && self.servers.of_pool(req.pool).len() > req.tried.len() + 1
    }

    pub(crate) fn sent(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        if let Stage::Running(run) = &mut req.stage {
            run.sent_at = Some(now);
        }
    }

    pub(crate) fn began(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        req.began_at.get_or_insert(now);
        let pool = req.pool;
        let Stage::Running(run) = &mut req.stage else { return };
        let prefill = std::mem::take(&mut run.prefill);
        let Run { server: key, sent_at, expected, .. } = *run;
        let Some(server) = self.servers.get_mut(key) else { return };
        server.prefill = server.prefill.saturating_sub(u64::from(prefill));
        if let Some(sent_at) = sent_at {
            server.health.first_byte(now.since(sent_at), expected);
        }
        self.heard_from(now, key);
        self.dispatch(now, pool);
    }

    pub(crate) fn heard(&mut self, now: Time, server: ServerKey) {
        self.heard_from(now, server);
    }

    fn heard_from(&mut self, now: Time, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.health.heard(now);
        if std::mem::take(&mut server.health.was_down) {
            // Whether the server was cut off or restarted cannot be told.
            let pool = server.entry.pool;
            let cold_start = self.cold_start(pool);
            if let Some(server) = self.servers.get_mut(key) {
                server.chill(now, cold_start);
            }
        }
    }

    pub(crate) fn ended(
        &mut self,
        now: Time,
        key: RequestKey,
        end: AttemptEnd,
        cold: Option<Duration>,
    ) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Running(run) = req.stage else { return };
        req.stage = Stage::Idle;
        if end.may_have_run() {
            req.runs += 1;
        }
        let pool = req.pool;
        self.settle(now, run, end, cold);
        match end {
            AttemptEnd::Completed { .. } => self.answered(now, key),
            AttemptEnd::CallerLeft => self.caller_left(now, key),
            _ => self.failed(now, key, run, end),
        }
        self.dispatch(now, pool);
    }

    /// Accounts for the end of an attempt at its server.
    fn settle(&mut self, now: Time, run: Run, end: AttemptEnd, cold: Option<Duration>) {
        let Some(server) = self.servers.get_mut(run.server) else { return };
        server.attempts = server.attempts.saturating_sub(1);
        server.prefill = server.prefill.saturating_sub(u64::from(run.prefill));
        server.health.busy(now, server.attempts);
        if let Some(cold) = cold {
            server.chill(now, cold);
        }
        match end {
            AttemptEnd::Completed { is_success } => server.health.outcome(now, !is_success),
            AttemptEnd::NotConnected => server.health.not_connected(now),
            AttemptEnd::Rejected { is_misdirected } => server.health.rejected(now, is_misdirected),
            AttemptEnd::Held | AttemptEnd::Broken { .. } | AttemptEnd::TimedOut { .. } => {
                server.health.outcome(now, true);
            }
            AttemptEnd::Unused | AttemptEnd::CallerLeft => {}
        }
    }

    fn answered(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.remove(key) else { return };
        let first_byte = req.began_at.unwrap_or(now).since(req.arrived);
        self.note(Note::Answered {
            id: req.id,
            route: req.routed.route.name.clone(),
            first_byte,
            total: now.since(req.arrived),
            in_target: first_byte <= req.routed.route.target,
        });
    }

    /// Decides what follows an attempt that gave no whole answer.
    fn failed(&mut self, now: Time, key: RequestKey, run: Run, end: AttemptEnd) {
        let next = match self.copy_of(now, key, run, end) {
            Some(choice) => Next::Continue(choice),
            None => self.next(now, key, end),
        };
        let Some(req) = self.requests.get_mut(key) else { return };
        let name = self.servers.get(run.server).map(|it| Arc::clone(&it.entry.name));
        let note = Note::AttemptFailed {
            id: Arc::clone(&req.id),
            server: name.unwrap_or_default(),
            end,
            next: next.name(),
        };
        req.tried.push(run.server);
        req.holds_failure |= end == AttemptEnd::Held;
        self.note(note);
        match next {
            Next::Retry => self.enqueue(now, key, RETRY_WAIT),
            Next::Continue(choice) => self.start(now, key, choice),
            Next::Deliver => self.deliver(now, key),
            Next::Refuse(refusal) => self.refuse(now, key, refusal),
        }
    }

    /// Returns the server at which a run can go on that broke off midway.
    fn copy_of(&mut self, now: Time, key: RequestKey, run: Run, end: AttemptEnd) -> Option<Choice> {
        let req = self.requests.get(key)?;
        let server = self.servers.get(run.backup?)?;
        let is_usable = self.servers.is_open(server) && server.health.blocked_until() <= now;
        let is_late = now + MIN_REMAINING >= req.end_by;
        if end != (AttemptEnd::Broken { began: true }) || !is_usable || is_late {
            return None;
        }
        let others = self.loads.at(server.entry.id().into()).attempts;
        let choice = Choice {
            server: run.backup?,
            cost: Duration::ZERO,
            expected: run.expected,
            others,
            backup: None,
        };
        self.withdraw(now, key).then_some(choice)
    }

    fn next(&mut self, now: Time, key: RequestKey, end: AttemptEnd) -> Next {
        let can_retry = self.can_retry_after(now, key);
        let Some(req) = self.requests.get_mut(key) else {
            return Next::Refuse(Refusal::unknown(Reason::ServerFailed));
        };
        let execution = req.execution();
        let refusal = |reason| Next::Refuse(Refusal { reason, execution, retry_after: None });
        let is_late = now + MIN_REMAINING >= req.end_by;
        let may_start = req.runs == 0 || req.is_repeatable();
        let may_go_on = match end {
            _ if !may_start => false,
            AttemptEnd::Unused => return refusal(Reason::NotReady),
            // Nothing arrived, so nothing is repeated.
            AttemptEnd::NotConnected => !is_late,
            AttemptEnd::Rejected { .. } => {
                req.rejections += 1;
                let is_over = req.rejections >= MAX_REJECTIONS || is_late;
                !is_over && self.withdraw(now, key)
            }
            _ => {
                let resumes = req.routed.route.repeat == Repeat::Resume;
                can_retry && (!end.began() || resumes) && self.withdraw(now, key)
            }
        };
        if may_go_on {
            return Next::Retry;
        }
        let Some(req) = self.requests.get(key) else { return refusal(Reason::ServerFailed) };
        match end {
            _ if req.holds_failure || end == AttemptEnd::Held => Next::Deliver,
            AttemptEnd::Rejected { .. } => refusal(Reason::Capacity),
            AttemptEnd::NotConnected => refusal(Reason::NoServer),
            AttemptEnd::TimedOut { .. } => refusal(Reason::ServerTimeout),
            _ => refusal(Reason::ServerFailed),
        }
    }

    /// Returns whether a request may run at one more server, the retry budget aside.
    fn can_retry_after(&self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        req.is_repeatable()
            && req.runs < req.routed.route.max_attempts
            && now + MIN_REMAINING < req.end_by
    }

    fn withdraw(&mut self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        let budget = self.budgets.entry(req.pool).or_default();
        budget.withdraw(now, &self.setup.bounds, &self.share)
    }

    fn deliver(&mut self, now: Time, key: RequestKey) {
        self.emit(Effect::Order { key, order: Order::Deliver });
        self.answered(now, key);
    }

    pub(crate) fn caller_left(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.remove(key) else { return };
        match req.stage {
            Stage::Waiting(place) => self.queue.remove(req.pool, place),
            Stage::Running(run) => self.settle(now, run, AttemptEnd::CallerLeft, None),
            Stage::Idle => {}
        }
        self.note(Note::CallerLeft { id: req.id, after: now.since(req.arrived) });
    }

    /// Refuses requests that have waited long enough.
    pub(crate) fn refuse_due(&mut self, now: Time) {
        while let Some(key) = self.queue.due(now) {
            let Some(req) = self.requests.get(key) else { return };
            if req.holds_failure {
                if let Stage::Waiting(place) = req.stage {
                    self.queue.remove(req.pool, place);
                }
                self.deliver(now, key);
                continue;
            }
            let is_any_open =
                self.servers.of_pool(req.pool).iter().any(|it| {
                    self.servers.get(*it).is_some_and(|server| self.servers.is_open(server))
                });
            let reason = if is_any_open { Reason::Capacity } else { Reason::NoServer };
            let refusal = Refusal { reason, execution: req.execution(), retry_after: None };
            self.refuse(now, key, refusal);
        }
    }

    /// Ends a request with a refusal.
    pub(crate) fn refuse(&mut self, now: Time, key: RequestKey, refusal: Refusal) {
        let Some(req) = self.requests.remove(key) else { return };
        if let Stage::Waiting(place) = req.stage {
            self.queue.remove(req.pool, place);
        }
        let is_fatal = matches!(refusal.reason, Reason::NoKey | Reason::NoRoute);
        let comes_back = refusal.execution == Execution::NotRun && !is_fatal;
        let retry_after = match refusal.retry_after {
            None if comes_back => Some(self.return_after(now, &req, refusal.reason)),
            given => given,
        };
        let refusal = Refusal { retry_after, ..refusal };
        self.note(Note::Refused {
            id: req.id,
            route: req.routed.route.name.clone(),
            refusal,
            after: now.since(req.arrived),
            view_age: self.view_age(now),
        });
        self.emit(Effect::Order { key, order: Order::Refuse(refusal) });
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

/// The server for a request.
#[derive(Clone, Copy, Debug)]
struct Choice {
    server: ServerKey,
    cost: Duration,
    expected: Duration,
    /// Attempts of other instances there.
    others: u32,
    /// The server that gets a copy of the run's memory.
    backup: Option<ServerKey>,
}

/// The servers that rendezvous hashing names for a prompt, with their ranks.
#[derive(Clone, Copy, Default, Debug)]
struct Homes {
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

    fn of(&self, key: ServerKey) -> Home {
        match (self.first, self.second) {
            (Some((_, first)), _) if first == key => Home::First,
            (_, Some((_, second))) if second == key => Home::Second,
            _ => Home::Elsewhere,
        }
    }
}

/// What follows an attempt that gave no whole answer.
#[derive(Clone, Copy, Debug)]
enum Next {
    Retry,
    /// The run goes on where a copy of its memory is.
    Continue(Choice),
    Deliver,
    Refuse(Refusal),
}

impl Next {
    fn name(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::Continue(_) => "continue from the copy",
            Self::Deliver => "deliver the failure",
            Self::Refuse(_) => "refuse",
        }
    }
}
