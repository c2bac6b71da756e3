//! The scheduler of one cell.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
};

use config::Policy;
use model::{
    msg::{Acquire, CellLoad, CellMsg, CellState, HeldGrant, OwnedGrant, Reply, ServerWarmth},
    prelude::*,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Replies,
    dump::{CellDump, ServerDump, TierDump},
    forecast::Forecast,
    grants::{Grant, Grants},
    prefix::Prefixes,
    queue::{Place, Queue, Waiter, WaiterKey},
    recent::Recent,
    server::Server,
    servers::{Servers, Wish},
    start::{ServerPlan, Start},
    starvation::{Starvation, TierClass},
};

/// Requests that may wait, beyond the first one of each class.
pub const QUEUE_LIMIT: usize = 1_024;

/// An attempt must start within this time of its grant.
pub const START_WITHIN: Duration = Duration::from_secs(1);

/// A grant that its holder does not list is void when it is older.
pub const HELD_GRACE: Duration = Duration::from_secs(3);

/// Grants are void when their holder was not heard for this time.
pub const HOLDER_SILENCE: Duration = Duration::from_secs(30);

/// A new owner waits this long for the lists of held grants.
pub const RECLAIM_WAIT: Duration = Duration::from_secs(1);

/// Time between two looks at the queue while requests wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request that waits asks for a preemption when it expects to wait for more than this part of
/// what it may wait, or has waited as long.
const PREEMPT_PART: u32 = 4;

/// Time for a holder to give a preempted grant back before it is asked again.
const PREEMPT_RETRY: Duration = Duration::from_millis(500);

/// A request is refused early only if even this part of its expected wait is too long.
const REFUSE_MARGIN: f64 = 0.5;

/// How long answers to requests that wait no more are remembered, for messages that come twice or
/// late.
const MEMORY: Duration = Duration::from_secs(10);

/// Requests and grants remembered.
const MEMORY_SIZE: usize = 65_536;

/// When to try again while nothing is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request's place, named across instances.
type Ticket = (Peer, TicketId);

/// The scheduler of one cell.
///
/// Each instance names a request by a ticket that it uses only once in its run.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    policy: Policy,
    queue_limit: usize,
    servers: Servers,
    queue: Queue,
    grants: Grants,
    forecast: Forecast,
    prefixes: Prefixes,
    starvation: Starvation,
    weights: HashMap<AccountId, u32>,
    tickets: HashMap<Ticket, TicketState>,
    closed: Recent<Ticket, Closed>,
    released: Recent<GrantId, ()>,
    dead: Recent<Peer, ()>,
    reclaim: Option<Reclaim>,
    preempt_checks: BTreeSet<(Time, WaiterKey)>,
    next_grant: u64,
}

#[derive(Clone, Copy, Debug)]
enum TicketState {
    Waiting(WaiterKey),
    Granted(GrantId),
}

/// What became of a ticket that is not in use any more.
#[derive(Clone, Copy, Debug)]
enum Closed {
    Done,
    Refused(Reason),
}

/// The time in which a new owner learns which grants are held.
#[derive(Debug)]
struct Reclaim {
    until: Time,
    /// Instances that have not answered, once it is known which are expected to.
    expected: Option<HashSet<InstanceId>>,
}

impl Cell {
    /// Starts to schedule a cell.
    pub fn new(now: Time, id: CellId, policy: Policy, start: Start) -> Self {
        let reclaim = matches!(start, Start::Fresh)
            .then(|| Reclaim { until: now + RECLAIM_WAIT, expected: None });
        let mut cell = Self {
            id,
            policy,
            queue_limit: QUEUE_LIMIT,
            servers: Servers::default(),
            queue: Queue::default(),
            grants: Grants::default(),
            forecast: Forecast::default(),
            prefixes: Prefixes::default(),
            starvation: Starvation::default(),
            weights: HashMap::new(),
            tickets: HashMap::new(),
            closed: Recent::new(MEMORY, MEMORY_SIZE),
            released: Recent::new(MEMORY, MEMORY_SIZE),
            dead: Recent::new(MEMORY, MEMORY_SIZE),
            reclaim,
            preempt_checks: BTreeSet::new(),
            next_grant: xxh3_64(&now.nanos.to_be_bytes()),
        };
        if let Start::From(state) = start {
            cell.servers = Servers::handed_over(&state.servers);
            for grant in state.grants {
                let peer = Peer { instance: grant.holder, incarnation: grant.incarnation };
                cell.add_held(now, peer, grant.held);
            }
        }
        cell
    }

    /// Names the owner's run, which keeps its grants apart from those of former owners.
    #[must_use]
    pub fn owned_by(mut self, owner: Peer) -> Self {
        let mut buf = [0; 32];
        let parts = [owner.instance.0, owner.incarnation.0, self.id.pool.0, self.next_grant];
        for (place, part) in buf.chunks_exact_mut(8).zip(parts) {
            place.copy_from_slice(&part.to_be_bytes());
        }
        self.next_grant = xxh3_64(&buf);
        self
    }

    /// Sets how many requests may wait, beyond the first one of each class.
    #[must_use]
    pub fn queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Names the instances that are expected to list the grants that they hold, and asks them.
    pub fn expect(
        &mut self,
        now: Time,
        instances: impl IntoIterator<Item = InstanceId>,
    ) -> Replies {
        let Some(reclaim) = &mut self.reclaim else { return Vec::new() };
        let expected: HashSet<_> = instances.into_iter().collect();
        let msg = CellMsg::Reclaim { cell: self.id };
        let mut out: Replies = expected.iter().map(|&to| Reply { to, msg: msg.clone() }).collect();
        out.sort_by_key(|it| it.to);
        reclaim.expected = Some(expected);
        self.advance(now, &mut out);
        out
    }

    /// Takes the plan of all backend servers of the cell.
    pub fn set_servers(
        &mut self,
        now: Time,
        plans: impl IntoIterator<Item = ServerPlan>,
    ) -> Replies {
        self.servers.set(now, plans.into_iter());
        self.tick(now)
    }

    /// Sets a client account's weight against the others of a tier; 1 where it is not set.
    pub fn set_weight(&mut self, account: AccountId, weight: u32) {
        self.weights.insert(account, weight);
    }

    /// Takes a message of an instance.
    pub fn handle(&mut self, now: Time, from: Peer, msg: &CellMsg) -> Replies {
        let mut out = Vec::new();
        if self.dead.get(&from).is_some() {
            return out;
        }
        self.grants.heard(now, from);
        match msg {
            CellMsg::Acquire(req) => self.acquire(now, from, req, &mut out),
            CellMsg::Cancel { ticket, .. } => self.cancel(now, (from, *ticket)),
            CellMsg::Release { grant, server, end, cold, .. } => {
                self.release(now, from, *grant, *server, Outcome { end: *end, cold: *cold });
            }
            CellMsg::Held { grants, .. } => self.held(now, from, grants),
            _ => {}
        }
        self.advance(now, &mut out);
        out
    }

    /// Takes a load report of a backend server, or the failure to get one.
    pub fn load(
        &mut self,
        now: Time,
        server: ServerId,
        report: Result<LoadReport, LoadError>,
    ) -> Replies {
        if let Some(it) = self.servers.get_mut(server) {
            let restarted = match report {
                Ok(report) => it.report(now, &report),
                Err(err) => it.report_failed(err),
            };
            if restarted {
                self.prefixes.forget(server);
            }
        }
        self.tick(now)
    }

    /// Does what the passing of time asks for.
    pub fn tick(&mut self, now: Time) -> Replies {
        let mut out = Vec::new();
        self.advance(now, &mut out);
        out
    }

    /// Returns when [`Self::tick`] should be called at the latest, given what happened until
    /// `now`.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let check = match (self.queue.len(), self.grants.len()) {
            (0, 0) => None,
            (0, _) => Some(now + HELD_GRACE),
            _ => Some(now + CHECK_INTERVAL),
        };
        let reclaim = self.reclaim.as_ref().map(|it| it.until);
        [check, reclaim, self.queue.next_deadline()].into_iter().flatten().min()
    }

    /// Forgets what the runs of an instance hold and wait for, but for the run to keep.
    pub fn instance_gone(
        &mut self,
        now: Time,
        instance: InstanceId,
        keep: Option<Incarnation>,
    ) -> Replies {
        let is_gone = |it: &Peer| it.instance == instance && Some(it.incarnation) != keep;
        let waiting: Vec<WaiterKey> = self
            .queue
            .keys()
            .filter(|&key| self.queue.get(key).is_some_and(|it| is_gone(&it.from)))
            .collect();
        for key in waiting {
            if let Some(waiter) = self.queue.get(key) {
                self.dead.insert(now, waiter.from, ());
            }
            self.withdraw(now, key);
        }
        let holders: Vec<Peer> = self.grants.holders().filter(is_gone).collect();
        for holder in holders {
            self.dead.insert(now, holder, ());
            for id in self.grants.held_by(holder) {
                self.free(now, id);
            }
        }
        if let Some(expected) = self.reclaim.as_mut().and_then(|it| it.expected.as_mut())
            && keep.is_none()
        {
            expected.remove(&instance);
        }
        self.tick(now)
    }

    /// Returns the load of the cell for other instances.
    pub fn summary(&self, now: Time) -> CellLoad {
        let free = if self.reclaim.is_some() { 0 } else { self.servers.free(now) };
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        CellLoad { cell: self.id, free, waiting }
    }

    /// Returns what the next owner needs to go on at once. The waiting requests ask it again.
    pub fn handover(&self) -> CellState {
        let servers = self.servers.iter().filter(|it| it.plan.open);
        let mut grants: Vec<OwnedGrant> = self.grants.iter().map(owned_grant).collect();
        grants.sort_by_key(|it| it.held.grant);
        CellState {
            cell: self.id,
            servers: servers
                .map(|it| ServerWarmth { server: it.plan.id, limit: it.ramp() })
                .collect(),
            grants,
        }
    }

    /// Returns the state in a readable form.
    pub fn dump(&self, now: Time) -> CellDump {
        let servers = self.servers.iter().map(|it| ServerDump {
            server: it.plan.id,
            open: it.plan.open,
            ejected: it.is_ejected(now),
            running: it.running,
            limit: it.limit(now),
            ramp: it.ramp(),
        });
        let waiting = self.queue.tier_lens().map(|(tier, waiting)| TierDump {
            tier,
            waiting,
            accounts: self.queue.accounts(tier),
        });
        CellDump {
            cell: self.id,
            reclaiming: self.reclaim.is_some(),
            servers: servers.collect(),
            waiting: waiting.collect(),
            grants: self.grants.len(),
            prefixes: self.prefixes.len(),
        }
    }

    fn is_tiered(&self) -> bool {
        self.policy == Policy::Tiered
    }

    fn advance(&mut self, now: Time, out: &mut Replies) {
        self.end_reclaim(now);
        self.free_silent(now);
        self.expire(now, out);
        if !self.servers.any_open() {
            self.refuse_all(now, out);
        }
        self.dispatch(now, out);
        self.check_preemptions(now, out);
    }

    /// Frees the grants of runs that ended without anybody's notice.
    fn free_silent(&mut self, now: Time) {
        for holder in self.grants.silent(now, HOLDER_SILENCE) {
            for id in self.grants.held_by(holder) {
                self.free(now, id);
            }
        }
    }

    fn end_reclaim(&mut self, now: Time) {
        let is_over = self.reclaim.as_ref().is_some_and(|it| {
            now >= it.until || it.expected.as_ref().is_some_and(HashSet::is_empty)
        });
        if is_over {
            self.reclaim = None;
        }
    }
}

/// Requests that come and go.
impl Cell {
    fn acquire(&mut self, now: Time, from: Peer, req: &Acquire, out: &mut Replies) {
        let ticket = (from, req.ticket);
        if let Some(state) = self.tickets.get(&ticket).copied() {
            self.repeat(now, ticket, state, out);
            return;
        }
        match self.closed.get(&ticket) {
            Some(Closed::Done) => return,
            Some(Closed::Refused(reason)) => {
                let msg = self.refusal(now, req.ticket, *reason);
                out.push(Reply { to: from.instance, msg });
                return;
            }
            None => {}
        }
        // A request whose time is over must not take the place of this one; a free server is not
        // given away before this one stands in the queue.
        self.expire(now, out);
        let waiter = self.waiter(now, from, req);
        match self.admit(now, &waiter, out) {
            Ok(()) => self.enqueue(now, waiter, out),
            Err(reason) => self.turn_away(now, ticket, reason, out),
        }
    }

    fn waiter(&self, now: Time, from: Peer, req: &Acquire) -> Waiter {
        let deadline = now + req.wait;
        let place = if self.is_tiered() {
            Place { tier: req.tier, account: req.account, class: req.class, order: deadline }
        } else {
            Place { tier: Tier(0), account: AccountId(0), class: ClassId(0), order: now }
        };
        Waiter { from, req: req.clone(), place, deadline, preempted: None }
    }

    fn admit(&mut self, now: Time, waiter: &Waiter, out: &mut Replies) -> Result<(), Reason> {
        let class = waiter.place.tier_class();
        let waiting = self.queue.class_len(class) > 0;
        if self.is_tiered() {
            self.starvation.demand(now, class, waiting);
        }
        if !self.servers.any_open() {
            return Err(Reason::NoServer);
        }
        if !waiting {
            return Ok(());
        }
        if self.is_hopeless(now, waiter) {
            return Err(Reason::Capacity);
        }
        if self.queue.surplus() < self.queue_limit {
            return Ok(());
        }
        let Some(victim) = self.victim_for(waiter) else { return Err(Reason::Capacity) };
        self.refuse(now, victim, Reason::Capacity, out);
        Ok(())
    }

    /// Returns the request to shed for an arrival: of a lower tier, or of an account that has more
    /// waiting in the same tier.
    fn victim_for(&self, arrival: &Waiter) -> Option<WaiterKey> {
        let key = self.queue.victim()?;
        let victim = self.queue.get(key)?.place;
        let place = arrival.place;
        if place.tier.is_above(victim.tier) {
            return Some(key);
        }
        let own = self.queue.account_len(place.tier, place.account) + 1;
        let has_more = self.queue.account_len(victim.tier, victim.account) > own;
        (victim.tier == place.tier && has_more).then_some(key)
    }

    fn enqueue(&mut self, now: Time, waiter: Waiter, out: &mut Replies) {
        let ticket = (waiter.from, waiter.req.ticket);
        let preempt_at = now + waiter.req.wait / PREEMPT_PART;
        let wait = self.expected_wait(now, &waiter, false);
        let key = self.queue.push(waiter);
        self.tickets.insert(ticket, TicketState::Waiting(key));
        self.dispatch(now, out);
        let Some(waiter) = self.queue.get(key) else { return };
        let eta = wait.unwrap_or(DEFAULT_RETRY_AFTER).min(waiter.req.wait);
        let msg = CellMsg::Queued { ticket: ticket.1, cell: self.id, eta };
        out.push(Reply { to: ticket.0.instance, msg });
        let is_patient = wait.is_some_and(|it| now + it <= preempt_at);
        self.preempt_checks.insert((if is_patient { preempt_at } else { now }, key));
    }

    fn repeat(&self, now: Time, ticket: Ticket, state: TicketState, out: &mut Replies) {
        let msg = match state {
            TicketState::Waiting(key) => {
                let wait = self.queue.get(key).and_then(|it| self.expected_wait(now, it, false));
                let eta = wait.unwrap_or(DEFAULT_RETRY_AFTER);
                CellMsg::Queued { ticket: ticket.1, cell: self.id, eta }
            }
            TicketState::Granted(id) => {
                let Some(grant) = self.grants.get(id) else { return };
                self.grant_msg(ticket.1, id, grant.held.server)
            }
        };
        out.push(Reply { to: ticket.0.instance, msg });
    }

    fn cancel(&mut self, now: Time, ticket: Ticket) {
        match self.tickets.get(&ticket).copied() {
            Some(TicketState::Waiting(key)) => self.withdraw(now, key),
            Some(TicketState::Granted(id)) => {
                self.released.insert(now, id, ());
                self.free(now, id);
            }
            // The cancellation may have overtaken its request.
            None => self.closed.insert(now, ticket, Closed::Done),
        }
    }

    fn withdraw(&mut self, now: Time, key: WaiterKey) {
        let Some(waiter) = self.queue.remove(key) else { return };
        let class = waiter.place.tier_class();
        if self.queue.class_len(class) == 0 {
            self.starvation.withdrawn(class);
        }
        self.close(now, (waiter.from, waiter.req.ticket), Closed::Done);
    }

    fn expire(&mut self, now: Time, out: &mut Replies) {
        while let Some(key) = self.queue.expired(now) {
            self.refuse(now, key, Reason::Capacity, out);
        }
    }

    fn refuse_all(&mut self, now: Time, out: &mut Replies) {
        let keys: Vec<WaiterKey> = self.queue.keys().collect();
        for key in keys {
            self.refuse(now, key, Reason::NoServer, out);
        }
    }

    fn refuse(&mut self, now: Time, key: WaiterKey, reason: Reason, out: &mut Replies) {
        let Some(waiter) = self.queue.remove(key) else { return };
        self.turn_away(now, (waiter.from, waiter.req.ticket), reason, out);
    }

    fn turn_away(&mut self, now: Time, ticket: Ticket, reason: Reason, out: &mut Replies) {
        self.close(now, ticket, Closed::Refused(reason));
        let msg = self.refusal(now, ticket.1, reason);
        out.push(Reply { to: ticket.0.instance, msg });
    }

    fn refusal(&self, now: Time, ticket: TicketId, reason: Reason) -> CellMsg {
        let retry_after = self.drain_time(now).unwrap_or(DEFAULT_RETRY_AFTER);
        CellMsg::Refuse { ticket, cell: self.id, reason, retry_after }
    }

    fn close(&mut self, now: Time, ticket: Ticket, closed: Closed) {
        self.tickets.remove(&ticket);
        self.closed.insert(now, ticket, closed);
    }
}

/// Expected waits.
impl Cell {
    /// Returns whether a request would surely wait for longer than it may. Nothing is concluded
    /// where lower tiers have something that could be shed or preempted for it instead.
    fn is_hopeless(&self, now: Time, waiter: &Waiter) -> bool {
        if !self.is_tiered() || self.reclaim.is_some() {
            return false;
        }
        let tier = waiter.place.tier;
        if self.queue.lowest_tier().is_some_and(|it| tier.is_above(it)) {
            return false;
        }
        if self.grants.lowest_tier().is_some_and(|it| tier.is_above(it)) {
            return false;
        }
        let wait = self.expected_wait(now, waiter, true);
        wait.is_some_and(|it| it.mul_f64(REFUSE_MARGIN) > waiter.req.wait)
    }

    /// Returns how long a request will wait behind those of its own and higher tiers; none where
    /// too little is known. The low estimate takes the others to be short.
    fn expected_wait(&self, now: Time, waiter: &Waiter, low: bool) -> Option<Duration> {
        let place = waiter.place;
        let service = |class| match low {
            true => self.forecast.low_service(class),
            false => self.forecast.service(class),
        };
        let mut work = if low { Duration::ZERO } else { self.forecast.mean_service()? };
        let mut own_tier = (Duration::ZERO, 0);
        for class in self.queue.waiting_classes().filter(|it| !place.tier.is_above(it.tier)) {
            let count = u32::try_from(self.queue.class_len(class)).unwrap_or(u32::MAX);
            let span = service(class.class)?.saturating_mul(count);
            if class.tier == place.tier {
                own_tier = (own_tier.0 + span, own_tier.1 + count);
            } else {
                work += span;
            }
        }
        let slots = self.servers.slots(now).max(1);
        Some((work + self.own_tier_work(place, own_tier)) / slots)
    }

    /// Returns the part of its tier's work that is served before an account's next request: the
    /// accounts take turns, so that a short line does not wait for a long one.
    fn own_tier_work(&self, place: Place, (span, count): (Duration, u32)) -> Duration {
        let own = self.queue.account_len(place.tier, place.account) + 1;
        let turns = own * self.queue.accounts(place.tier);
        if turns >= count as usize {
            return span;
        }
        span.mul_f64(turns as f64 / f64::from(count.max(1)))
    }

    fn drain_time(&self, now: Time) -> Option<Duration> {
        let mut work = Duration::ZERO;
        for class in self.queue.waiting_classes() {
            let count = u32::try_from(self.queue.class_len(class)).unwrap_or(u32::MAX);
            work += self.forecast.service(class.class)?.saturating_mul(count);
        }
        Some((work / self.servers.slots(now).max(1)).max(CHECK_INTERVAL))
    }
}

/// Grants.
impl Cell {
    fn dispatch(&mut self, now: Time, out: &mut Replies) {
        if self.reclaim.is_some() {
            return;
        }
        while self.queue.len() > 0
            && let Some((key, starving)) = self.next_waiter(now)
            && let Some(server) = self.choose(now, key)
        {
            self.grant(now, key, server, starving, out);
        }
    }

    /// Returns the request to serve next, and whether it goes ahead of a higher tier because its
    /// class starves.
    fn next_waiter(&self, now: Time) -> Option<(WaiterKey, bool)> {
        let next = self.queue.next()?;
        let tier = self.queue.get(next)?.place.tier;
        let starving = self
            .starvation
            .due(now, self.queue.waiting_classes())
            .filter(|class| self.is_tiered() && tier.is_above(class.tier))
            .and_then(|class| self.queue.next_of_class(class));
        Some(starving.map_or((next, false), |key| (key, true)))
    }

    fn choose(&self, now: Time, key: WaiterKey) -> Option<ServerId> {
        let waiter = self.queue.get(key)?;
        let near = self.prefixes.server(waiter.req.prefix).filter(|_| self.is_tiered());
        let in_turn = self.policy == Policy::RoundRobin;
        self.servers.choose(now, Wish { avoid: &waiter.req.avoid, near, in_turn })
    }

    fn grant(
        &mut self,
        now: Time,
        key: WaiterKey,
        server: ServerId,
        starving: bool,
        out: &mut Replies,
    ) {
        let Some(waiter) = self.queue.get(key) else { return };
        let weight = self.weights.get(&waiter.place.account).copied().unwrap_or(1);
        let cost = self.forecast.cost(waiter.req.class);
        let Some(waiter) = self.queue.serve(key, cost, weight) else { return };
        self.count_dispatch(now, waiter.place.tier_class(), starving);
        let id = GrantId(self.next_grant);
        self.next_grant = self.next_grant.wrapping_add(1);
        let req = &waiter.req;
        self.prefixes.note(req.prefix, server);
        let held = HeldGrant {
            grant: id,
            server,
            account: req.account,
            class: req.class,
            tier: req.tier,
            idempotent: req.idempotent,
        };
        self.add_grant(now, waiter.from, Some(req.ticket), held, starving);
        self.tickets.insert((waiter.from, req.ticket), TicketState::Granted(id));
        let msg = self.grant_msg(req.ticket, id, server);
        out.push(Reply { to: waiter.from.instance, msg });
    }

    fn count_dispatch(&mut self, now: Time, class: TierClass, starving: bool) {
        let waiting = self.queue.class_len(class) > 0;
        self.starvation.served(now, class, waiting);
        if starving {
            self.starvation.spend();
        }
    }

    fn grant_msg(&self, ticket: TicketId, grant: GrantId, server: ServerId) -> CellMsg {
        let start_within = START_WITHIN;
        CellMsg::Grant { ticket, cell: self.id, grant, server, start_within }
    }

    fn add_grant(
        &mut self,
        now: Time,
        holder: Peer,
        ticket: Option<TicketId>,
        held: HeldGrant,
        guaranteed: bool,
    ) {
        self.servers.start(held.server);
        let server = self.servers.get_or_closed(held.server);
        // An attempt that started under another owner may have ended before a cold start that this
        // owner knows of.
        let epoch = ticket.map(|_| server.epoch);
        let grant = Grant { held, holder, ticket, since: now, epoch, preempted: false, guaranteed };
        if grant.is_preemptible() {
            server.preemptible.insert((Reverse(held.tier), Reverse(now), held.grant));
        }
        self.grants.insert(grant);
    }

    fn add_held(&mut self, now: Time, holder: Peer, held: HeldGrant) {
        let is_known = self.grants.get(held.grant).is_some();
        if is_known || self.released.get(&held.grant).is_some() {
            return;
        }
        self.add_grant(now, holder, None, held, false);
    }

    fn held(&mut self, now: Time, from: Peer, grants: &[HeldGrant]) {
        let listed: HashSet<GrantId> = grants.iter().map(|it| it.grant).collect();
        for &held in grants {
            self.add_held(now, from, held);
        }
        for id in self.grants.held_by(from) {
            let is_old = |it: &Grant| now.since(it.since) >= HELD_GRACE;
            if !listed.contains(&id) && self.grants.get(id).is_some_and(is_old) {
                self.free(now, id);
            }
        }
        if let Some(expected) = self.reclaim.as_mut().and_then(|it| it.expected.as_mut()) {
            expected.remove(&from.instance);
        }
    }

    /// Removes a grant and frees its place at the server.
    fn free(&mut self, now: Time, id: GrantId) -> Option<Grant> {
        let grant = self.grants.remove(id)?;
        if let Some(ticket) = grant.ticket {
            self.close(now, (grant.holder, ticket), Closed::Done);
        }
        if let Some(server) = self.servers.get_mut(grant.held.server) {
            server.finish();
            server.preemptible.remove(&(Reverse(grant.held.tier), Reverse(grant.since), id));
        }
        Some(grant)
    }

    fn release(&mut self, now: Time, from: Peer, id: GrantId, server: ServerId, outcome: Outcome) {
        let is_other = |it: &Grant| it.holder != from;
        if self.released.get(&id).is_some() || self.grants.get(id).is_some_and(is_other) {
            return;
        }
        // A list from before the release may still be under way.
        self.released.insert(now, id, ());
        if let Some(server) = self.servers.get_mut(server) {
            outcome.chill(server);
        }
        let Some(grant) = self.free(now, id) else { return };
        self.learn(now, &grant, outcome);
        self.servers.judge(now, grant.held.server);
    }

    fn learn(&mut self, now: Time, grant: &Grant, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(grant.held.server) else { return };
        match outcome.end {
            AttemptEnd::Completed { total, tokens, .. } => {
                if !outcome.cold {
                    server.completed(now, grant.epoch);
                }
                if let Some(service) = self.forecast.service(grant.held.class) {
                    server.sample(total.as_secs_f64() / service.as_secs_f64().max(1e-6));
                }
                self.forecast.learn(grant.held.class, total, tokens);
            }
            AttemptEnd::ConnectFailed | AttemptEnd::Broken { .. } | AttemptEnd::TimedOut { .. } => {
                server.failed();
            }
            AttemptEnd::ServerBusy => server.busy(),
            AttemptEnd::CallerLeft | AttemptEnd::Preempted | AttemptEnd::Unused => {}
        }
    }
}

/// Preemption.
impl Cell {
    fn check_preemptions(&mut self, now: Time, out: &mut Replies) {
        while let Some(&(at, key)) = self.preempt_checks.first()
            && at <= now
        {
            self.preempt_checks.remove(&(at, key));
            if self.queue.get(key).is_none() {
                continue;
            }
            self.preempt_for(now, key, out);
            self.preempt_checks.insert((now + PREEMPT_RETRY, key));
        }
    }

    /// Asks a grant of a lower tier back for a request, unless one is on its way.
    fn preempt_for(&mut self, now: Time, key: WaiterKey, out: &mut Replies) {
        if !self.is_tiered() || self.reclaim.is_some() {
            return;
        }
        let Some(waiter) = self.queue.get(key) else { return };
        let pending = waiter.preempted.filter(|it| self.grants.get(it.0).is_some());
        let id = match pending {
            Some((id, _)) => Some(id),
            None => self.preemptible_for(now, waiter),
        };
        let Some(id) = id else { return };
        if let Some(waiter) = self.queue.get_mut(key) {
            waiter.preempted = Some((id, now));
        }
        let Some(grant) = self.grants.get_mut(id) else { return };
        grant.preempted = true;
        let (held, since) = (grant.held, grant.since);
        out.push(Reply {
            to: grant.holder.instance,
            msg: CellMsg::Preempt { cell: self.id, grant: id },
        });
        if let Some(server) = self.servers.get_mut(held.server) {
            server.preemptible.remove(&(Reverse(held.tier), Reverse(since), id));
        }
    }

    /// Returns the youngest grant of the lowest tier below the request's whose end would make
    /// place for it.
    fn preemptible_for(&self, now: Time, waiter: &Waiter) -> Option<GrantId> {
        self.servers
            .iter()
            .filter(|it| it.running <= it.limit(now))
            .filter_map(|it| it.preemptible.first())
            .filter(|(tier, ..)| waiter.place.tier.is_above(tier.0))
            .min()
            .map(|it| it.2)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    end: AttemptEnd,
    /// Whether the server said that it is in its cold start.
    cold: bool,
}

impl Outcome {
    /// Turns the server cold if the outcome says that it restarted, or may have.
    fn chill(self, server: &mut Server) {
        if self.cold {
            server.declare_cold();
        }
        if matches!(self.end, AttemptEnd::ConnectFailed | AttemptEnd::Broken { .. }) {
            server.turn_cold();
        }
    }
}

fn owned_grant(grant: &Grant) -> OwnedGrant {
    OwnedGrant {
        holder: grant.holder.instance,
        incarnation: grant.holder.incarnation,
        held: grant.held,
    }
}
