//! The scheduler of one cell.

mod admission;
mod dispatch;
mod preemption;
mod waits;

use std::collections::{BTreeSet, HashMap, HashSet};

use config::Policy;
use model::{
    msg::{CellLoad, CellMsg, CellState, OwnedGrant, Reply, ServerWarmth},
    prelude::*,
};
use xxhash_rust::xxh3::xxh3_64;

use self::dispatch::Outcome;
use crate::{
    Replies,
    dump::{CellDump, ServerDump, TierDump},
    forecast::Forecast,
    grants::{Grant, Grants},
    prefix::Prefixes,
    queue::{Queue, WaiterKey},
    recent::Recent,
    servers::Servers,
    start::{CellStart, ServerConfig},
    starvation::Starvation,
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

/// Idempotent attempts are asked back from a server that is down for this time.
const UNANSWERED_WAIT: Duration = Duration::from_secs(2);

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
    /// When attempts may be asked back again from servers that are down.
    unanswered_check: Time,
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
    pub fn new(now: Time, id: CellId, policy: Policy, start: CellStart) -> Self {
        let reclaim = matches!(start, CellStart::Fresh)
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
            unanswered_check: now,
            next_grant: xxh3_64(&now.nanos.to_be_bytes()),
        };
        if let CellStart::HandedOver(state) = start {
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
    pub fn reclaim_from(
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
        plans: impl IntoIterator<Item = ServerConfig>,
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
    pub fn handle_load(
        &mut self,
        now: Time,
        server: ServerId,
        report: Result<LoadReport, LoadError>,
    ) -> Replies {
        if let Some(it) = self.servers.get_mut(server) {
            let restarted = match report {
                Ok(report) => it.report(now, &report),
                Err(err) => it.report_failed(now, err),
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
            down: it.is_down(),
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
        if !self.servers.any_usable(now, &[]) {
            self.refuse_all(now, out);
        }
        self.dispatch(now, out);
        self.check_preemptions(now, out);
        self.preempt_unanswered(now, out);
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

fn owned_grant(grant: &Grant) -> OwnedGrant {
    OwnedGrant {
        holder: grant.holder.instance,
        incarnation: grant.holder.incarnation,
        held: grant.held,
    }
}
