//! The scheduler of one cell.

mod admission;
mod dispatch;
mod preemption;
mod waits;

use std::collections::{BTreeSet, HashMap, HashSet};

use config::Policy;
use model::{
    msg::{CellLoad, CellMsg, CellState, OutgoingMsg, OwnedGrant, ServerWarmth},
    prelude::*,
};
use xxhash_rust::xxh3::xxh3_64;

use self::dispatch::Outcome;
use crate::{
    OutgoingMsgs,
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

/// Requests that may wait in the queue of a cell, beyond the first one of each class.
pub const QUEUE_LIMIT: usize = 1_024;

/// The time within which the holder of a grant must start the attempt, counted from when it
/// receives the grant.
pub const START_WITHIN: Duration = Duration::from_secs(1);

/// A grant is freed when its holder's list of held grants leaves it out and the grant is at least
/// this old. A younger grant may still be on its way to the holder.
pub const UNLISTED_GRANT_GRACE: Duration = Duration::from_secs(3);

/// The grants of an instance are freed when no message of it has arrived for this time.
pub const HOLDER_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a new owner waits at most for the instances to list the grants that they hold. It
/// gives no grants meanwhile.
pub const RECLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two checks of the queue while requests wait; also the shortest time after which a
/// refused request should try again, once service times are known.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A waiting request may preempt a lower tier once its expected or actual queueing delay exceeds
/// its longest allowed one divided by this.
const PREEMPT_WAIT_DIVISOR: u32 = 4;

/// Time for a holder to release a preempted grant before the preemption is sent again.
const PREEMPT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Idempotent attempts on a server that load polls show to be down are preempted after this time,
/// so that they run elsewhere.
const UNRESPONSIVE_GRACE: Duration = Duration::from_secs(2);

/// How long closed tickets, released grants and ended incarnations are remembered, to recognize
/// messages that arrive twice or late.
const HISTORY_RETENTION: Duration = Duration::from_secs(10);

/// The most closed tickets that are remembered; the same for released grants and for ended
/// incarnations.
const HISTORY_CAPACITY: usize = 65_536;

/// When a refused request should try again, and when a queued one should expect its grant, while
/// service times are unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request in the fleet: the instance that waits, and the ticket that it gave the request.
type Ticket = (Peer, TicketId);

/// The scheduler of one cell.
///
/// An instance uses each ticket only once per incarnation.
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
    /// The weights of client accounts; 1 where none is set.
    weights: HashMap<AccountId, u32>,
    tickets: HashMap<Ticket, TicketState>,
    closed_tickets: Recent<Ticket, Closed>,
    released_grants: Recent<GrantId, ()>,
    /// Incarnations that are known to have ended: late messages of them are ignored.
    dead_peers: Recent<Peer, ()>,
    reclaim: Option<Reclaim>,
    /// When each waiting request may preempt a lower tier next.
    preempt_checks: BTreeSet<(Time, WaiterKey)>,
    /// When attempts on servers that are down may be preempted next.
    next_unresponsive_check: Time,
    /// The id of the next grant.
    next_grant: u64,
}

#[derive(Clone, Copy, Debug)]
enum TicketState {
    Waiting(WaiterKey),
    Granted(GrantId),
}

/// Why a ticket is no longer in use.
#[derive(Clone, Copy, Debug)]
enum Closed {
    /// The request was cancelled, or its grant was freed.
    Done,
    /// The request was refused; if it arrives again, it is refused again for this reason.
    Refused(Reason),
}

/// The phase in which a new owner learns which grants are held, and gives none.
#[derive(Debug)]
struct Reclaim {
    until: Time,
    /// Instances whose list has not arrived; none until [`Cell::reclaim_from`] names them.
    expected: Option<HashSet<InstanceId>>,
}

impl Cell {
    /// Creates the scheduler of a cell that has no servers before [`Self::set_servers`].
    pub fn new(now: Time, id: CellId, policy: Policy, start: CellStart) -> Self {
        let reclaim = matches!(start, CellStart::Fresh)
            .then(|| Reclaim { until: now + RECLAIM_TIMEOUT, expected: None });
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
            closed_tickets: Recent::new(HISTORY_RETENTION, HISTORY_CAPACITY),
            released_grants: Recent::new(HISTORY_RETENTION, HISTORY_CAPACITY),
            dead_peers: Recent::new(HISTORY_RETENTION, HISTORY_CAPACITY),
            reclaim,
            preempt_checks: BTreeSet::new(),
            next_unresponsive_check: now,
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

    /// Sets the instance that owns the cell, so that the ids of its grants differ from those of
    /// former owners.
    #[must_use]
    pub fn owned_by(mut self, owner: Peer) -> Self {
        let mut buf = [0; 32];
        let parts = [owner.instance.0, owner.incarnation.0, self.id.pool.0, self.next_grant];
        for (slot, part) in buf.chunks_exact_mut(8).zip(parts) {
            slot.copy_from_slice(&part.to_be_bytes());
        }
        self.next_grant = xxh3_64(&buf);
        self
    }

    /// Sets how many requests may wait, beyond the first one of each class; [`QUEUE_LIMIT`] where
    /// it is not set.
    #[must_use]
    pub fn queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Asks these instances to list the grants that they hold. Once all have answered, or after
    /// [`RECLAIM_TIMEOUT`], the cell gives grants. Has no effect on a cell that was handed over.
    pub fn reclaim_from(
        &mut self,
        now: Time,
        instances: impl IntoIterator<Item = InstanceId>,
    ) -> OutgoingMsgs {
        let Some(reclaim) = &mut self.reclaim else { return Vec::new() };
        let expected: HashSet<_> = instances.into_iter().collect();
        let msg = CellMsg::Reclaim { cell: self.id };
        let mut out: OutgoingMsgs =
            expected.iter().map(|&to| OutgoingMsg { to, msg: msg.clone() }).collect();
        out.sort_by_key(|reply| reply.to);
        reclaim.expected = Some(expected);
        self.advance(now, &mut out);
        out
    }

    /// Replaces the configuration of the cell's backend servers; `configs` holds all of them.
    pub fn set_servers(
        &mut self,
        now: Time,
        configs: impl IntoIterator<Item = ServerConfig>,
    ) -> OutgoingMsgs {
        self.servers.set(now, configs.into_iter());
        self.tick(now)
    }

    /// Sets the share of dispatches that a client account gets relative to the other accounts of a
    /// tier; 1 where it is not set.
    pub fn set_weight(&mut self, account: AccountId, weight: u32) {
        self.weights.insert(account, weight);
    }

    /// Handles a message from an instance. Messages of an incarnation that is known to have ended
    /// are ignored.
    pub fn handle(&mut self, now: Time, from: Peer, msg: &CellMsg) -> OutgoingMsgs {
        let mut out = Vec::new();
        if self.dead_peers.get(&from).is_some() {
            return out;
        }
        self.grants.message_received(now, from);
        match msg {
            CellMsg::Acquire(req) => self.acquire(now, from, req, &mut out),
            CellMsg::Cancel { ticket, .. } => self.cancel(now, (from, *ticket)),
            CellMsg::Release { grant, server, end, cold, .. } => {
                self.release(now, from, *grant, *server, Outcome { end: *end, cold: *cold });
            }
            CellMsg::Held { grants, .. } => self.handle_held(now, from, grants),
            _ => {}
        }
        self.advance(now, &mut out);
        out
    }

    /// Handles the result of a load poll of a backend server.
    pub fn handle_load(
        &mut self,
        now: Time,
        server: ServerId,
        report: Result<LoadReport, LoadError>,
    ) -> OutgoingMsgs {
        if let Some(state) = self.servers.get_mut(server) {
            let restarted = match report {
                Ok(report) => state.report_received(now, &report),
                Err(err) => state.poll_failed(now, err),
            };
            if restarted {
                self.prefixes.remove_server(server);
            }
        }
        self.tick(now)
    }

    /// Handles deadlines and timeouts that have passed, and dispatches.
    pub fn tick(&mut self, now: Time) -> OutgoingMsgs {
        let mut out = Vec::new();
        self.advance(now, &mut out);
        out
    }

    /// Returns when [`Self::tick`] must be called at the latest if nothing else happens; none while
    /// there is nothing to wait for.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let check = match (self.queue.len(), self.grants.len()) {
            (0, 0) => None,
            (0, _) => Some(now + UNLISTED_GRANT_GRACE),
            _ => Some(now + QUEUE_CHECK_INTERVAL),
        };
        let reclaim = self.reclaim.as_ref().map(|reclaim| reclaim.until);
        [check, reclaim, self.queue.next_deadline()].into_iter().flatten().min()
    }

    /// Frees the grants and removes the waiting requests of all incarnations of an instance but
    /// `keep`.
    pub fn instance_gone(
        &mut self,
        now: Time,
        instance: InstanceId,
        keep: Option<Incarnation>,
    ) -> OutgoingMsgs {
        let is_gone = |peer: &Peer| peer.instance == instance && Some(peer.incarnation) != keep;
        let waiting: Vec<WaiterKey> = self
            .queue
            .keys()
            .filter(|&key| self.queue.get(key).is_some_and(|waiter| is_gone(&waiter.from)))
            .collect();
        for key in waiting {
            if let Some(waiter) = self.queue.get(key) {
                self.dead_peers.insert(now, waiter.from, ());
            }
            self.cancel_waiting(now, key);
        }
        let holders: Vec<Peer> = self.grants.holders().filter(is_gone).collect();
        for holder in holders {
            self.dead_peers.insert(now, holder, ());
            for id in self.grants.held_by(holder) {
                self.free_grant(now, id);
            }
        }
        if let Some(expected) = self.reclaim.as_mut().and_then(|reclaim| reclaim.expected.as_mut())
            && keep.is_none()
        {
            expected.remove(&instance);
        }
        self.tick(now)
    }

    /// Returns the load of the cell, which heartbeats carry to the other instances.
    pub fn summary(&self, now: Time) -> CellLoad {
        let free = if self.reclaim.is_some() { 0 } else { self.servers.free(now) };
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        CellLoad { cell: self.id, free, waiting }
    }

    /// Returns the state with which the next owner can give grants at once. Waiting requests are
    /// left out: the instances send them to the next owner again.
    pub fn handover(&self) -> CellState {
        let servers = self.servers.iter().filter(|server| server.cfg.open);
        let mut grants: Vec<OwnedGrant> = self.grants.iter().map(owned_grant).collect();
        grants.sort_by_key(|grant| grant.held.grant);
        CellState {
            cell: self.id,
            servers: servers
                .map(|server| ServerWarmth { server: server.cfg.id, limit: server.ramp() })
                .collect(),
            grants,
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Time) -> CellDump {
        let servers = self.servers.iter().map(|server| ServerDump {
            server: server.cfg.id,
            open: server.cfg.open,
            ejected: server.is_ejected(now),
            down: server.is_down(),
            running: server.running,
            limit: server.limit(now),
            ramp: server.ramp(),
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

    /// Applies everything that is due at `now`: timeouts first, then dispatch and preemption.
    fn advance(&mut self, now: Time, out: &mut OutgoingMsgs) {
        self.end_reclaim(now);
        self.free_grants_of_silent_holders(now);
        self.expire(now, out);
        if !self.servers.any_usable(now, &[]) {
            self.refuse_all(now, out);
        }
        self.dispatch(now, out);
        self.check_preemptions(now, out);
        self.preempt_unresponsive(now, out);
    }

    /// Frees the grants of incarnations that ended without notice.
    fn free_grants_of_silent_holders(&mut self, now: Time) {
        for holder in self.grants.silent_holders(now, HOLDER_TIMEOUT) {
            for id in self.grants.held_by(holder) {
                self.free_grant(now, id);
            }
        }
    }

    fn end_reclaim(&mut self, now: Time) {
        let is_over = self.reclaim.as_ref().is_some_and(|reclaim| {
            now >= reclaim.until || reclaim.expected.as_ref().is_some_and(HashSet::is_empty)
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
