//! Invariants of a cell whose instances, servers and messages fail at random.

#[path = "support/fixture.rs"]
#[allow(dead_code, missing_docs, unreachable_pub)]
mod fixture;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
};

use config::Policy;
use fixture::*;
use model::{
    load::{LoadError, LoadReport},
    msg::{Acquire, CellMsg, HeldGrant},
    prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::{Cell, CellStart, OutgoingMsgs, STARVATION_WINDOW, STARVING_DISPATCH_INTERVAL};

const INSTANCES: u64 = 3;
const SERVERS: u64 = 4;
const LIMIT: u32 = 6;
const COLD_LIMIT: u32 = 2;
const QUEUE_LIMIT: usize = 12;
const TIERS: u8 = 3;
const ARRIVALS_END: Time = Time::from_millis(40_000);
const END: Time = Time::from_millis(80_000);

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a request.
    Arrive,
    ToCell(Peer, CellMsg),
    ToInstance(InstanceId, CellMsg),
    /// An attempt of an instance ends.
    Finish(Peer, GrantId),
    /// An instance lists the grants that it holds.
    List(u64),
    /// A server produces a load report.
    Report(u64),
    /// The result of a load poll arrives.
    Load(ServerId, Result<LoadReport, LoadError>),
    Fault,
    Tick,
}

struct Attempt {
    held: HeldGrant,
    /// The server's incarnation in which it started; a restart breaks it.
    server_incarnation: u64,
}

#[derive(Default)]
struct Instance {
    incarnation: u64,
    waiting: BTreeMap<TicketId, Acquire>,
    running: BTreeMap<GrantId, Attempt>,
}

/// Tracks the cell's input and output independently of its state, and checks what it may do.
#[derive(Default)]
struct Oracle {
    /// Requests that wait, and when the first message of each reached the cell.
    waiting: BTreeMap<(Peer, TicketId), (Acquire, Time)>,
    /// The server of each grant, and the number of its cold starts before the grant.
    granted: HashMap<GrantId, (ServerId, u64)>,
    /// Completed attempts since the last cold start, each of which raises the limit by one.
    completions: HashMap<ServerId, u32>,
    cold_starts: HashMap<ServerId, u64>,
    reported_cold: BTreeSet<ServerId>,
    released: BTreeSet<GrantId>,
    acquired: BTreeSet<(Peer, TicketId)>,
    incarnations: HashMap<ServerId, u64>,
    /// Since when each tier has had demand without a grant, and the grants to others since it
    /// starves.
    unserved: BTreeMap<Tier, (Time, u32)>,
    last_demand: BTreeMap<Tier, Time>,
    grants: u32,
    /// Grants to a starving tier while a higher one waited.
    inversions: u32,
}

struct Simulation {
    rng: ChaCha8Rng,
    bench: Bench,
    /// When each step is due, and its number.
    steps: BinaryHeap<Reverse<(Time, u64)>>,
    /// The steps by number.
    pending: HashMap<u64, Step>,
    instances: Vec<Instance>,
    server_incarnations: Vec<u64>,
    /// When each server last started.
    started: Vec<Time>,
    oracle: Oracle,
    next: u64,
    /// The totals of grants and inversions under former owners.
    former_totals: (u32, u32),
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let configs: Vec<_> = (0..SERVERS).map(|n| server(n, LIMIT, COLD_LIMIT)).collect();
        let mut bench = Bench::new(Policy::Tiered, &configs);
        bench.cell = Self::cell(bench.now, CellStart::Fresh);
        bench.cell.reclaim_from(bench.now, []);
        bench.cell.set_servers(bench.now, configs);
        let mut sim = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            bench,
            steps: BinaryHeap::new(),
            pending: HashMap::new(),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            server_incarnations: vec![1; SERVERS as usize],
            started: vec![Time::default(); SERVERS as usize],
            oracle: Oracle::default(),
            next: 0,
            former_totals: (0, 0),
        };
        (0..INSTANCES).for_each(|n| sim.schedule(500, Step::List(n)));
        (0..SERVERS).for_each(|n| sim.schedule(10, Step::Report(n)));
        [Step::Arrive, Step::Fault, Step::Tick].into_iter().for_each(|step| sim.schedule(1, step));
        sim
    }

    fn cell(now: Time, start: CellStart) -> Cell {
        Cell::new(now, CELL, Policy::Tiered, start).queue_limit(QUEUE_LIMIT)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, no))) = self.steps.pop()
            && at < END
        {
            self.bench.now = at;
            if let Some(step) = self.pending.remove(&no) {
                self.execute(step);
            }
        }
        self
    }

    fn schedule(&mut self, millis: u64, step: Step) {
        self.next += 1;
        let at = self.bench.now + Duration::from_millis(millis);
        self.steps.push(Reverse((at, self.next)));
        self.pending.insert(self.next, step);
    }

    /// Sends a message that may arrive late or twice, or get lost.
    fn send(&mut self, step: &Step) {
        let copies = match self.rng.random_range(0..50) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = if self.rng.random_ratio(1, 50) { 2_000 } else { 20 };
            let millis = self.rng.random_range(1..late);
            self.schedule(millis, step.clone());
        }
    }

    fn execute(&mut self, step: Step) {
        let now = self.bench.now;
        match step {
            Step::Arrive => self.arrive(),
            Step::ToCell(from, msg) => self.deliver_to_cell(from, &msg),
            Step::ToInstance(to, msg) => self.deliver_to_instance(to, &msg),
            Step::Finish(peer, grant) => self.finish(peer, grant),
            Step::List(n) => {
                let grants = self.instances[n as usize]
                    .running
                    .values()
                    .map(|attempt| attempt.held)
                    .collect();
                let msg = CellMsg::Held { cell: CELL, grants };
                self.send(&Step::ToCell(self.peer(n), msg));
                self.schedule(1_000, Step::List(n));
            }
            Step::Report(n) => {
                let report = Ok(report(self.server_incarnations[n as usize], self.is_cold(n)));
                let lag = self.rng.random_range(1..300);
                self.schedule(lag, Step::Load(ServerId(n), report));
                self.schedule(200, Step::Report(n));
            }
            Step::Load(server, report) => {
                self.oracle.poll_result(server, &report);
                let out = self.bench.cell.handle_load(now, server, report);
                self.replies(out);
            }
            Step::Fault => self.inject_fault(),
            Step::Tick => {
                let out = self.bench.cell.tick(now);
                self.replies(out);
                self.schedule(50, Step::Tick);
            }
        }
    }

    /// Returns the number of grants, and of those that went to a starving tier ahead of a higher
    /// one.
    fn totals(&self) -> (u32, u32) {
        (self.former_totals.0 + self.oracle.grants, self.former_totals.1 + self.oracle.inversions)
    }

    fn peer(&self, n: u64) -> Peer {
        let incarnation = Incarnation(self.instances[n as usize].incarnation);
        Peer { instance: InstanceId(n), incarnation }
    }

    fn is_cold(&self, n: u64) -> bool {
        self.bench.now.since(self.started[n as usize]) < Duration::from_millis(500)
    }

    fn arrive(&mut self) {
        if self.bench.now >= ARRIVALS_END {
            return;
        }
        let n = self.rng.random_range(0..INSTANCES);
        self.next += 1;
        let req = Acquire {
            ticket: TicketId(self.next),
            wait: Duration::from_millis(self.rng.random_range(100..12_000)),
            prefix: PrefixHash(self.rng.random_range(0..5)),
            idempotent: self.rng.random(),
            ..request(self.rng.random_range(0..TIERS), self.rng.random_range(0..4))
        };
        self.instances[n as usize].waiting.insert(req.ticket, req.clone());
        self.send(&Step::ToCell(self.peer(n), CellMsg::Acquire(req)));
        // Alternates between 4 s of frequent and 4 s of rarer arrivals.
        let is_burst = (self.bench.now.nanos / 4_000_000_000).is_multiple_of(2);
        let gap = self.rng.random_range(0..if is_burst { 20 } else { 60 });
        self.schedule(gap, Step::Arrive);
    }

    fn inject_fault(&mut self) {
        let n = self.rng.random_range(0..SERVERS) as usize;
        match self.rng.random_range(0..4) {
            // A server restarts unannounced, which breaks its attempts.
            0 | 1 => {
                self.server_incarnations[n] += 1;
                self.started[n] = self.bench.now;
            }
            2 => {
                self.schedule(5, Step::Load(ServerId(n as u64), Err(LoadError::Disconnected)));
            }
            _ if self.bench.now < ARRIVALS_END => self.restart_or_take_over(),
            _ => {}
        }
        self.schedule(900, Step::Fault);
    }

    fn restart_or_take_over(&mut self) {
        if self.rng.random() {
            let n = self.rng.random_range(0..INSTANCES);
            let gone = self.peer(n);
            let incarnation = gone.incarnation.0 + 1;
            self.instances[n as usize] = Instance { incarnation, ..Instance::default() };
            self.oracle.incarnation_ended(gone);
            let keep = Some(Incarnation(incarnation));
            let out = self.bench.cell.instance_gone(self.bench.now, gone.instance, keep);
            self.replies(out);
            return;
        }
        self.former_totals = self.totals();
        self.oracle = Oracle::default();
        self.bench.cell = Self::cell(self.bench.now, CellStart::Fresh);
        let configs = (0..SERVERS).map(|n| server(n, LIMIT, COLD_LIMIT));
        self.bench.cell.set_servers(self.bench.now, configs);
        let asked = self.bench.cell.reclaim_from(self.bench.now, (0..INSTANCES).map(InstanceId));
        assert_eq!(asked.len(), INSTANCES as usize);
        for n in 0..INSTANCES {
            self.instances[n as usize].waiting.clear();
            self.schedule(5, Step::List(n));
        }
    }

    fn deliver_to_cell(&mut self, from: Peer, msg: &CellMsg) {
        // Messages of a former incarnation do not arrive: its connections are closed.
        if from != self.peer(from.instance.0) {
            return;
        }
        self.oracle.message_to_cell(self.bench.now, from, msg);
        let out = self.bench.cell.handle(self.bench.now, from, msg);
        self.replies(out);
    }

    fn replies(&mut self, out: OutgoingMsgs) {
        self.oracle.check(&self.bench, &out);
        for reply in out {
            self.send(&Step::ToInstance(reply.to, reply.msg));
        }
    }

    fn deliver_to_instance(&mut self, to: InstanceId, msg: &CellMsg) {
        let peer = self.peer(to.0);
        let instance = &mut self.instances[to.0 as usize];
        match *msg {
            CellMsg::Grant { ticket, grant, server, .. } => {
                if instance.running.contains_key(&grant) {
                    return;
                }
                let Some(req) = instance.waiting.remove(&ticket) else {
                    let end = AttemptEnd::Unused;
                    let msg = CellMsg::Release { cell: CELL, grant, server, end, cold: false };
                    return self.send(&Step::ToCell(peer, msg));
                };
                let held = HeldGrant {
                    account: req.account,
                    class: req.class,
                    tier: req.tier,
                    idempotent: req.idempotent,
                    ..held(grant.0, server.0)
                };
                let server_incarnation = self.server_incarnations[server.0 as usize];
                instance.running.insert(grant, Attempt { held, server_incarnation });
                let millis = self.rng.random_range(20..900);
                self.schedule(millis, Step::Finish(peer, grant));
            }
            CellMsg::Refuse { ticket, .. } => {
                instance.waiting.remove(&ticket);
            }
            CellMsg::Preempt { grant, .. } => {
                if let Some(attempt) = instance.running.remove(&grant) {
                    assert!(
                        attempt.held.idempotent,
                        "an attempt that is not idempotent was preempted"
                    );
                    self.release(peer, attempt.held, AttemptEnd::Preempted, false);
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, peer: Peer, grant: GrantId) {
        if peer != self.peer(peer.instance.0) {
            return;
        }
        let instance = &mut self.instances[peer.instance.0 as usize];
        let Some(attempt) = instance.running.remove(&grant) else { return };
        let n = attempt.held.server.0;
        let end = match attempt.server_incarnation == self.server_incarnations[n as usize] {
            true => completed(100),
            false => AttemptEnd::Broken { answered: false },
        };
        self.release(peer, attempt.held, end, self.is_cold(n));
    }

    fn release(&mut self, peer: Peer, held: HeldGrant, end: AttemptEnd, cold: bool) {
        let (grant, server) = (held.grant, held.server);
        let msg = CellMsg::Release { cell: CELL, grant, server, end, cold };
        self.send(&Step::ToCell(peer, msg));
    }
}

impl Oracle {
    fn message_to_cell(&mut self, now: Time, from: Peer, msg: &CellMsg) {
        match msg {
            CellMsg::Acquire(req) => {
                if !self.acquired.insert((from, req.ticket)) {
                    return;
                }
                self.waiting.entry((from, req.ticket)).or_insert((req.clone(), now));
                self.demand(now, req.tier);
            }
            CellMsg::Release { grant, server, end, cold, .. } => {
                if !self.released.insert(*grant) {
                    return;
                }
                let known = self.granted.remove(grant);
                let is_completed = matches!(end, AttemptEnd::Completed { .. });
                if *cold {
                    self.record_reported_cold(*server);
                }
                if matches!(end, AttemptEnd::Broken { .. }) {
                    self.record_cold_start(*server);
                } else if !cold
                    && is_completed
                    && known == Some((*server, self.cold_starts(*server)))
                {
                    *self.completions.entry(*server).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    /// Requests that were shed or expired count as demand, until none arrives for
    /// [`STARVATION_WINDOW`].
    fn demand(&mut self, now: Time, tier: Tier) {
        let is_idle = self.waiting.values().filter(|entry| entry.0.tier == tier).count() == 1;
        let last_demand = self.last_demand.insert(tier, now).unwrap_or(now);
        if is_idle && now.since(last_demand) > STARVATION_WINDOW {
            self.unserved.remove(&tier);
        }
        self.unserved.entry(tier).or_insert((now, 0));
    }

    fn incarnation_ended(&mut self, gone: Peer) {
        let tiers = |waiting: &BTreeMap<(Peer, TicketId), (Acquire, Time)>| -> BTreeSet<Tier> {
            waiting.values().map(|entry| entry.0.tier).collect()
        };
        let before = tiers(&self.waiting);
        self.waiting.retain(|key, _| key.0 != gone);
        let after = tiers(&self.waiting);
        self.unserved.retain(|tier, _| !before.contains(tier) || after.contains(tier));
    }

    fn poll_result(&mut self, server: ServerId, report: &Result<LoadReport, LoadError>) {
        let Ok(report) = report else { return self.record_cold_start(server) };
        let old = self.incarnations.insert(server, report.incarnation);
        if old.is_some_and(|old| old != report.incarnation) {
            self.record_cold_start(server);
        }
        match report.cold {
            true => self.record_reported_cold(server),
            false => drop(self.reported_cold.remove(&server)),
        }
    }

    /// An attempt that starts while the server reports to be cold raises its limit if it completes
    /// after the last such report.
    fn record_reported_cold(&mut self, server: ServerId) {
        if self.reported_cold.insert(server) {
            self.record_cold_start(server);
        }
        self.completions.insert(server, 0);
    }

    fn cold_starts(&self, server: ServerId) -> u64 {
        self.cold_starts.get(&server).copied().unwrap_or(0)
    }

    fn record_cold_start(&mut self, server: ServerId) {
        *self.cold_starts.entry(server).or_default() += 1;
        self.completions.insert(server, 0);
    }

    fn check(&mut self, bench: &Bench, out: &OutgoingMsgs) {
        let dump = bench.cell.dump(bench.now);
        let waiting: usize = dump.waiting.iter().map(|tier| tier.waiting).sum();
        assert!(waiting <= QUEUE_LIMIT + usize::from(TIERS), "{waiting} requests in the queue");
        for reply in out {
            match reply.msg {
                CellMsg::Grant { ticket, grant, server, .. } => {
                    self.check_grant(bench, reply.to, ticket, grant, server);
                }
                CellMsg::Refuse { ticket, .. } => self.check_refusal(bench.now, reply.to, ticket),
                _ => {}
            }
        }
    }

    fn remove_waiting(&mut self, to: InstanceId, ticket: TicketId) -> Option<(Acquire, Time)> {
        let key =
            self.waiting.keys().find(|key| key.0.instance == to && key.1 == ticket).copied()?;
        self.waiting.remove(&key)
    }

    fn check_grant(
        &mut self,
        bench: &Bench,
        to: InstanceId,
        ticket: TicketId,
        grant: GrantId,
        server: ServerId,
    ) {
        // A repeated reply is not a new grant.
        let Some((req, _)) = self.remove_waiting(to, ticket) else { return };
        let dump = bench.cell.dump(bench.now);
        let server_dump = dump.servers[server.0 as usize];
        assert!(
            server_dump.running <= server_dump.limit,
            "attempts above the limit: {server_dump:?}"
        );
        let completions = self.completions.get(&server).copied().unwrap_or(0);
        assert!(
            server_dump.running <= COLD_LIMIT + completions,
            "{server_dump:?} after {completions} completed attempts"
        );
        self.granted.insert(grant, (server, self.cold_starts(server)));
        self.grants += 1;
        self.check_starvation(bench.now, req.tier);
    }

    /// A lower tier is served ahead of a higher one only if it starves, and not too often; but a
    /// starving tier is served eventually.
    fn check_starvation(&mut self, now: Time, tier: Tier) {
        let due: BTreeSet<Tier> = self.waiting.values().map(|entry| entry.0.tier).collect();
        let (since, _) = self.unserved.remove(&tier).unwrap_or((now, 0));
        if due.iter().any(|other| other.is_above(tier)) {
            assert!(
                now.since(since) >= STARVATION_WINDOW,
                "{tier:?} was served ahead of a higher tier before it starved"
            );
            self.inversions += 1;
            assert!(
                self.inversions * STARVING_DISPATCH_INTERVAL <= self.grants,
                "too many dispatches to starving tiers"
            );
        }
        for tier in due {
            let (since, others) = self.unserved.entry(tier).or_insert((now, 0));
            if now.since(*since) >= STARVATION_WINDOW {
                *others += 1;
            }
            assert!(
                *others <= STARVING_DISPATCH_INTERVAL * u32::from(TIERS),
                "{tier:?} is not served although it starves"
            );
        }
    }

    /// A request is not refused before its deadline while two of a lower tier wait: one of those
    /// must be shed instead.
    fn check_refusal(&mut self, now: Time, to: InstanceId, ticket: TicketId) {
        let Some((req, since)) = self.remove_waiting(to, ticket) else { return };
        if now >= since + req.wait {
            return;
        }
        let mut lower = BTreeMap::<Tier, u32>::new();
        for (other, _) in self.waiting.values().filter(|entry| req.tier.is_above(entry.0.tier)) {
            *lower.entry(other.tier).or_default() += 1;
        }
        assert!(
            lower.values().all(|count| *count < 2),
            "{req:?} was refused while lower tiers wait: {lower:?}"
        );
    }
}

/// Lost, late and repeated messages, restarts of instances and servers, and changes of the owner
/// must not break the limits of servers, the order of tiers or the protection from starvation, nor
/// leave grants or requests behind.
#[test]
fn cell_keeps_its_invariants_under_faults() {
    let (mut grants, mut inversions) = (0, 0);
    for seed in 0..20 {
        eprintln!("seed {seed}");

        let sim = Simulation::new(seed).run();

        let dump = sim.bench.cell.dump(sim.bench.now);
        assert_eq!(dump.grants, 0, "grants are left at the end");
        assert!(dump.waiting.is_empty(), "waiting requests are left at the end");
        grants += sim.totals().0;
        inversions += sim.totals().1;
    }
    eprintln!("{grants} grants, {inversions} of them to a starving tier ahead of a higher one");
    assert!(
        grants > 10_000 && inversions > 0,
        "too few grants, or none to a starving tier, to test the rules"
    );
}
