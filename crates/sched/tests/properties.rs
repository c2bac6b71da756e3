//! What must hold in a cell whose instances, servers and messages fail at random.

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
use sched::{Cell, CellStart, MIN_SHARE, Replies, STARVATION_WINDOW};

const INSTANCES: u64 = 3;
const SERVERS: u64 = 4;
const LIMIT: u32 = 6;
const COLD_LIMIT: u32 = 2;
const QUEUE: usize = 12;
const TIERS: u8 = 3;
const BUSY: Time = Time::from_millis(40_000);
const END: Time = Time::from_millis(80_000);

#[derive(Clone, Debug)]
enum Step {
    Arrive,
    ToCell(Peer, CellMsg),
    ToInstance(InstanceId, CellMsg),
    Finish(Peer, GrantId),
    List(u64),
    Report(u64),
    Load(ServerId, Result<LoadReport, LoadError>),
    Chaos,
    Tick,
}

struct Attempt {
    held: HeldGrant,
    /// The server's run in which it started; a restart breaks it.
    run: u64,
}

#[derive(Default)]
struct Instance {
    incarnation: u64,
    wants: BTreeMap<TicketId, Acquire>,
    running: BTreeMap<GrantId, Attempt>,
}

/// What the cell was told, and so what it may do; kept apart from the cell's own books.
#[derive(Default)]
struct Oracle {
    waiting: BTreeMap<(Peer, TicketId), (Acquire, Time)>,
    granted: HashMap<GrantId, (ServerId, u64)>,
    proofs: HashMap<ServerId, u32>,
    epochs: HashMap<ServerId, u64>,
    declared_cold: BTreeSet<ServerId>,
    released: BTreeSet<GrantId>,
    asked: BTreeSet<(Peer, TicketId)>,
    runs: HashMap<ServerId, u64>,
    unserved: BTreeMap<Tier, (Time, u32)>,
    seen: BTreeMap<Tier, Time>,
    grants: u32,
    inversions: u32,
}

struct World {
    rng: ChaCha8Rng,
    bench: Bench,
    steps: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: HashMap<u64, Step>,
    instances: Vec<Instance>,
    server_runs: Vec<u64>,
    started: Vec<Time>,
    oracle: Oracle,
    next: u64,
    /// Grants and inversions under former owners.
    past: (u32, u32),
}

impl World {
    fn new(seed: u64) -> Self {
        let plans: Vec<_> = (0..SERVERS).map(|it| plan(it, LIMIT, COLD_LIMIT)).collect();
        let mut bench = Bench::new(Policy::Tiered, &plans);
        bench.cell = Self::cell(bench.now, CellStart::Fresh);
        bench.cell.reclaim_from(bench.now, []);
        bench.cell.set_servers(bench.now, plans);
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            bench,
            steps: BinaryHeap::new(),
            bodies: HashMap::new(),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            server_runs: vec![1; SERVERS as usize],
            started: vec![Time::default(); SERVERS as usize],
            oracle: Oracle::default(),
            next: 0,
            past: (0, 0),
        };
        (0..INSTANCES).for_each(|it| world.after(500, Step::List(it)));
        (0..SERVERS).for_each(|it| world.after(10, Step::Report(it)));
        [Step::Arrive, Step::Chaos, Step::Tick].into_iter().for_each(|it| world.after(1, it));
        world
    }

    fn cell(now: Time, start: CellStart) -> Cell {
        Cell::new(now, CELL, Policy::Tiered, start).queue_limit(QUEUE)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, no))) = self.steps.pop()
            && at < END
        {
            self.bench.now = at;
            if let Some(step) = self.bodies.remove(&no) {
                self.step(step);
            }
        }
        self
    }

    fn after(&mut self, millis: u64, step: Step) {
        self.next += 1;
        let at = self.bench.now + Duration::from_millis(millis);
        self.steps.push(Reverse((at, self.next)));
        self.bodies.insert(self.next, step);
    }

    /// Sends a message that may be late, lost or doubled.
    fn send(&mut self, step: &Step) {
        let copies = match self.rng.random_range(0..50) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = if self.rng.random_ratio(1, 50) { 2_000 } else { 20 };
            let millis = self.rng.random_range(1..late);
            self.after(millis, step.clone());
        }
    }

    fn step(&mut self, step: Step) {
        let now = self.bench.now;
        match step {
            Step::Arrive => self.arrive(),
            Step::ToCell(from, msg) => self.hear_at_cell(from, &msg),
            Step::ToInstance(to, msg) => self.hear_at_instance(to, &msg),
            Step::Finish(peer, grant) => self.finish(peer, grant),
            Step::List(n) => {
                let grants =
                    self.instances[n as usize].running.values().map(|it| it.held).collect();
                let msg = CellMsg::Held { cell: CELL, grants };
                self.send(&Step::ToCell(self.peer(n), msg));
                self.after(1_000, Step::List(n));
            }
            Step::Report(n) => {
                let report = Ok(report(self.server_runs[n as usize], self.is_cold(n)));
                let lag = self.rng.random_range(1..300);
                self.after(lag, Step::Load(ServerId(n), report));
                self.after(200, Step::Report(n));
            }
            Step::Load(server, report) => {
                self.oracle.load(server, &report);
                let out = self.bench.cell.handle_load(now, server, report);
                self.replies(out);
            }
            Step::Chaos => self.chaos(),
            Step::Tick => {
                let out = self.bench.cell.tick(now);
                self.replies(out);
                self.after(50, Step::Tick);
            }
        }
    }

    /// Returns all grants, and those that went to a lower tier because it starved.
    fn totals(&self) -> (u32, u32) {
        (self.past.0 + self.oracle.grants, self.past.1 + self.oracle.inversions)
    }

    fn peer(&self, n: u64) -> Peer {
        let incarnation = Incarnation(self.instances[n as usize].incarnation);
        Peer { instance: InstanceId(n), incarnation }
    }

    fn is_cold(&self, n: u64) -> bool {
        self.bench.now.since(self.started[n as usize]) < Duration::from_millis(500)
    }

    fn arrive(&mut self) {
        if self.bench.now >= BUSY {
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
        self.instances[n as usize].wants.insert(req.ticket, req.clone());
        self.send(&Step::ToCell(self.peer(n), CellMsg::Acquire(req)));
        // Bursts and lulls.
        let is_burst = (self.bench.now.nanos / 4_000_000_000).is_multiple_of(2);
        let gap = self.rng.random_range(0..if is_burst { 20 } else { 60 });
        self.after(gap, Step::Arrive);
    }

    fn chaos(&mut self) {
        let n = self.rng.random_range(0..SERVERS) as usize;
        match self.rng.random_range(0..4) {
            // A server restarts without a word; what it ran is broken.
            0 | 1 => {
                self.server_runs[n] += 1;
                self.started[n] = self.bench.now;
            }
            2 => {
                self.after(5, Step::Load(ServerId(n as u64), Err(LoadError::Disconnected)));
            }
            _ if self.bench.now < BUSY => self.restart_or_take_over(),
            _ => {}
        }
        self.after(900, Step::Chaos);
    }

    fn restart_or_take_over(&mut self) {
        if self.rng.random() {
            let n = self.rng.random_range(0..INSTANCES);
            let gone = self.peer(n);
            let incarnation = gone.incarnation.0 + 1;
            self.instances[n as usize] = Instance { incarnation, ..Instance::default() };
            self.oracle.withdraw(gone);
            let keep = Some(Incarnation(incarnation));
            let out = self.bench.cell.instance_gone(self.bench.now, gone.instance, keep);
            self.replies(out);
            return;
        }
        self.past = self.totals();
        self.oracle = Oracle::default();
        self.bench.cell = Self::cell(self.bench.now, CellStart::Fresh);
        let plans = (0..SERVERS).map(|it| plan(it, LIMIT, COLD_LIMIT));
        self.bench.cell.set_servers(self.bench.now, plans);
        let asked = self.bench.cell.reclaim_from(self.bench.now, (0..INSTANCES).map(InstanceId));
        assert_eq!(asked.len(), INSTANCES as usize);
        for n in 0..INSTANCES {
            self.instances[n as usize].wants.clear();
            self.after(5, Step::List(n));
        }
    }

    fn hear_at_cell(&mut self, from: Peer, msg: &CellMsg) {
        // What a run that ended had sent is heard no more, as its connection is closed.
        if from != self.peer(from.instance.0) {
            return;
        }
        self.oracle.hear(self.bench.now, from, msg);
        let out = self.bench.cell.handle(self.bench.now, from, msg);
        self.replies(out);
    }

    fn replies(&mut self, out: Replies) {
        self.oracle.check(&self.bench, &out);
        for reply in out {
            self.send(&Step::ToInstance(reply.to, reply.msg));
        }
    }

    fn hear_at_instance(&mut self, to: InstanceId, msg: &CellMsg) {
        let peer = self.peer(to.0);
        let instance = &mut self.instances[to.0 as usize];
        match *msg {
            CellMsg::Grant { ticket, grant, server, .. } => {
                if instance.running.contains_key(&grant) {
                    return;
                }
                let Some(req) = instance.wants.remove(&ticket) else {
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
                let run = self.server_runs[server.0 as usize];
                instance.running.insert(grant, Attempt { held, run });
                let millis = self.rng.random_range(20..900);
                self.after(millis, Step::Finish(peer, grant));
            }
            CellMsg::Refuse { ticket, .. } => {
                instance.wants.remove(&ticket);
            }
            CellMsg::Preempt { grant, .. } => {
                if let Some(it) = instance.running.remove(&grant) {
                    assert!(it.held.idempotent, "preempted work that may not run twice");
                    self.release(peer, it.held, AttemptEnd::Preempted, false);
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
        let end = match attempt.run == self.server_runs[n as usize] {
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
    fn hear(&mut self, now: Time, from: Peer, msg: &CellMsg) {
        match msg {
            CellMsg::Acquire(req) => {
                if !self.asked.insert((from, req.ticket)) {
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
                    self.declare_cold(*server);
                }
                if matches!(end, AttemptEnd::Broken { .. }) {
                    self.turn_cold(*server);
                } else if !cold && is_completed && known == Some((*server, self.epoch(*server))) {
                    *self.proofs.entry(*server).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    /// Requests that were shed or expired count as demand until nobody asks for a window.
    fn demand(&mut self, now: Time, tier: Tier) {
        let is_idle = self.waiting.values().filter(|it| it.0.tier == tier).count() == 1;
        let seen = self.seen.insert(tier, now).unwrap_or(now);
        if is_idle && now.since(seen) > STARVATION_WINDOW {
            self.unserved.remove(&tier);
        }
        self.unserved.entry(tier).or_insert((now, 0));
    }

    fn withdraw(&mut self, gone: Peer) {
        let tiers = |waiting: &BTreeMap<(Peer, TicketId), (Acquire, Time)>| -> BTreeSet<Tier> {
            waiting.values().map(|it| it.0.tier).collect()
        };
        let before = tiers(&self.waiting);
        self.waiting.retain(|it, _| it.0 != gone);
        let after = tiers(&self.waiting);
        self.unserved.retain(|tier, _| !before.contains(tier) || after.contains(tier));
    }

    fn load(&mut self, server: ServerId, report: &Result<LoadReport, LoadError>) {
        let Ok(report) = report else { return self.turn_cold(server) };
        let old = self.runs.insert(server, report.incarnation);
        if old.is_some_and(|it| it != report.incarnation) {
            self.turn_cold(server);
        }
        match report.cold {
            true => self.declare_cold(server),
            false => drop(self.declared_cold.remove(&server)),
        }
    }

    /// Attempts that start while the server says that it is cold prove it warm when they complete
    /// after that.
    fn declare_cold(&mut self, server: ServerId) {
        if self.declared_cold.insert(server) {
            self.turn_cold(server);
        }
        self.proofs.insert(server, 0);
    }

    fn epoch(&self, server: ServerId) -> u64 {
        self.epochs.get(&server).copied().unwrap_or(0)
    }

    fn turn_cold(&mut self, server: ServerId) {
        *self.epochs.entry(server).or_default() += 1;
        self.proofs.insert(server, 0);
    }

    fn check(&mut self, bench: &Bench, out: &Replies) {
        let dump = bench.cell.dump(bench.now);
        let waiting: usize = dump.waiting.iter().map(|it| it.waiting).sum();
        assert!(waiting <= QUEUE + usize::from(TIERS), "{waiting} wait");
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

    fn take(&mut self, to: InstanceId, ticket: TicketId) -> Option<(Acquire, Time)> {
        let key = self.waiting.keys().find(|it| it.0.instance == to && it.1 == ticket).copied()?;
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
        // An answer that is repeated is not a new grant.
        let Some((req, _)) = self.take(to, ticket) else { return };
        let dump = bench.cell.dump(bench.now);
        let it = dump.servers[server.0 as usize];
        assert!(it.running <= it.limit, "{it:?}");
        let proofs = self.proofs.get(&server).copied().unwrap_or(0);
        assert!(it.running <= COLD_LIMIT + proofs, "{it:?} with {proofs} proofs");
        self.granted.insert(grant, (server, self.epoch(server)));
        self.grants += 1;
        self.check_starvation(bench.now, req.tier);
    }

    /// A lower tier goes ahead only after its window, and not too often; and then it does go.
    fn check_starvation(&mut self, now: Time, tier: Tier) {
        let due: BTreeSet<Tier> = self.waiting.values().map(|it| it.0.tier).collect();
        let (since, _) = self.unserved.remove(&tier).unwrap_or((now, 0));
        if due.iter().any(|it| it.is_above(tier)) {
            assert!(now.since(since) >= STARVATION_WINDOW, "{tier:?} went ahead too soon");
            self.inversions += 1;
            assert!(self.inversions * MIN_SHARE <= self.grants, "too many went ahead");
        }
        for tier in due {
            let (since, others) = self.unserved.entry(tier).or_insert((now, 0));
            if now.since(*since) >= STARVATION_WINDOW {
                *others += 1;
            }
            assert!(*others <= MIN_SHARE * u32::from(TIERS), "{tier:?} starves");
        }
    }

    /// Nobody who could still wait is refused while two of a lower tier wait: one of them would
    /// have been shed.
    fn check_refusal(&mut self, now: Time, to: InstanceId, ticket: TicketId) {
        let Some((req, since)) = self.take(to, ticket) else { return };
        if now >= since + req.wait {
            return;
        }
        let mut lower = BTreeMap::<Tier, u32>::new();
        for (other, _) in self.waiting.values().filter(|it| req.tier.is_above(it.0.tier)) {
            *lower.entry(other.tier).or_default() += 1;
        }
        assert!(lower.values().all(|it| *it < 2), "{req:?} was refused before {lower:?}");
    }
}

#[test]
fn cell_keeps_its_rules_under_faults() {
    let (mut grants, mut inversions) = (0, 0);
    for seed in 0..20 {
        eprintln!("seed {seed}");

        let world = World::new(seed).run();

        let dump = world.bench.cell.dump(world.bench.now);
        assert_eq!(dump.grants, 0, "grants leak");
        assert!(dump.waiting.is_empty(), "requests leak");
        grants += world.totals().0;
        inversions += world.totals().1;
    }
    eprintln!("{grants} grants, {inversions} of them to a starving tier");
    assert!(grants > 10_000 && inversions > 0, "the world is too quiet to show anything");
}
