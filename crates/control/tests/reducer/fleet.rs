//! A simulated fleet: the states of all instances and backend servers over one queue of events,
//! with faults from a seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
};

use config::{
    Account, Class, Config, Instance, InstanceList, InstanceState, Policy, Pool, PoolKind, Route,
    Server, ServerState, Zone, ZoneState,
};
use control::{
    Effect, Event, Idempotency, LoadError, LoadReport, RequestCommand, RequestHead, Setup, State,
};
use model::prelude::*;
use own::OwnershipTimes;
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

pub(crate) const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// How long an attempt runs at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// The longest delay of a message without faults.
const MAX_DELAY_MS: u64 = 5;

/// An attempt that arrived at a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) server: ServerId,
    pub(crate) account: AccountId,
    pub(crate) request: RequestId,
    /// Attempts that ran at the server then, this one included.
    pub(crate) running: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome {
    Completed,
    Refused(Refusal),
}

#[derive(Debug)]
enum Action {
    Step { node: usize, incarnation: u64, event: Event },
    Wake { node: usize, incarnation: u64 },
    ReadList { node: usize, incarnation: u64 },
    ReadConfig { node: usize, incarnation: u64 },
    Arrive { node: usize, incarnation: u64, no: RequestNo, attempt: u32, server: ServerId },
    Finish { node: usize, incarnation: u64, no: RequestNo, attempt: u32, server: ServerId },
    PollLoad { node: usize, incarnation: u64, server: ServerId },
}

/// An instance of the fleet.
struct Node {
    name: String,
    state: State,
    /// Its incarnation; events of an earlier one are dropped.
    incarnation: u64,
    alive: bool,
    paused_until: Time,
    next_wake: Time,
    watched: BTreeSet<ServerId>,
    pub(crate) ready: bool,
}

/// The faults in force.
#[derive(Default)]
pub(crate) struct Faults {
    /// Lost messages per 1,000.
    pub(crate) loss: u64,
    /// Doubled messages per 1,000.
    pub(crate) doubling: u64,
    /// The longest delay of a message, at least [`MAX_DELAY_MS`].
    pub(crate) delay_ms: u64,
    /// Cut links, each in the direction from the first instance to the second.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Instances that cannot read the platform.
    pub(crate) blind: BTreeSet<usize>,
}

/// How a backend server responds.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Health {
    /// It accepts connections and responds.
    Up,
    /// It refuses connections.
    Stopped,
    /// It accepts connections and does not respond.
    Hanging,
}

struct Backend {
    health: Health,
    incarnation: u64,
    running: u32,
    cold: bool,
    completed: u32,
}

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) cfg: Config,
    pub(crate) list: InstanceList,
    pub(crate) faults: Faults,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) outcomes: BTreeMap<RequestId, Outcome>,
    /// The configurations that came into force: instance, time and version.
    pub(crate) installed: Vec<(usize, Time, u64)>,
    nodes: Vec<Node>,
    backends: BTreeMap<ServerId, Backend>,
    heads: BTreeMap<(usize, u64, RequestNo), RequestHead>,
    /// Attempts at hanging servers, which get no response.
    stuck: BTreeSet<(usize, RequestNo, u32)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    actions: BTreeMap<u64, Action>,
    next_seq: u64,
    next_no: u64,
    /// The published instance lists with their times.
    lists: Vec<(Time, InstanceList)>,
}

pub(crate) fn times() -> OwnershipTimes {
    let millis = Duration::from_millis;
    OwnershipTimes {
        lease: millis(600),
        list_lag: millis(400),
        margin: millis(50),
        heartbeat: millis(100),
    }
}

pub(crate) fn account(name: &str, rate: f64, burst: u32) -> Account {
    let hash = KeyHash::of(name.as_bytes()).0;
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    Account { name: name.to_owned(), key_hashes: vec![hex], rate, burst, weight: 1 }
}

pub(crate) fn server(name: &str, zone: &str, limit: u32, cold_limit: u32) -> Server {
    Server {
        name: name.to_owned(),
        zone: zone.to_owned(),
        pool: "m".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port(name))),
        limit,
        cold_limit,
        state: ServerState::In,
        engine: None,
    }
}

fn port(name: &str) -> u16 {
    2_000 + u16::try_from(ServerId::of(name).0 % 60_000).unwrap()
}

pub(crate) fn config(accounts: Vec<Account>, servers: Vec<Server>) -> Config {
    let class = |name: &str, tier| Class {
        name: name.to_owned(),
        tier,
        target_ms: 2_000,
        max_wait_ms: None,
    };
    let route = |name: &str, idempotent| Route {
        name: name.to_owned(),
        method: "POST".to_owned(),
        path: format!("/{name}"),
        pool: Some("m".to_owned()),
        classes: vec!["high".to_owned(), "low".to_owned()],
        idempotent,
        open: false,
        max_duration_ms: 30_000,
    };
    let zone = |name: &&str| Zone { name: (*name).to_owned(), state: ZoneState::In };
    Config {
        version: 1,
        zones: ZONES.iter().map(zone).collect(),
        classes: vec![class("high", 0), class("low", 1)],
        accounts,
        pools: vec![Pool { name: "m".to_owned(), kind: PoolKind::Engine }],
        servers,
        routes: vec![route("read", true), route("write", false)],
    }
}

impl Fleet {
    /// Starts `count` instances, spread over the three zones in turn.
    pub(crate) fn start(seed: u64, count: usize, cfg: Config) -> Self {
        let instances = (0..count).map(|i| Instance {
            name: format!("d{i}"),
            zone: ZONES[i % 3].to_owned(),
            peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(i).unwrap())),
            state: InstanceState::Live,
        });
        let list = InstanceList { version: 1, instances: instances.collect() };
        let now = Time::from_millis(1_000_000);
        let backends = cfg.servers.iter().map(|server| {
            let health = Health::Up;
            let backend = Backend { health, incarnation: 1, running: 0, cold: true, completed: 0 };
            (ServerId::of(&server.name), backend)
        });
        let mut fleet = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            backends: backends.collect(),
            cfg,
            lists: vec![(now, list.clone())],
            list,
            faults: Faults::default(),
            arrivals: Vec::new(),
            outcomes: BTreeMap::new(),
            installed: Vec::new(),
            nodes: Vec::new(),
            heads: BTreeMap::new(),
            stuck: BTreeSet::new(),
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            next_seq: 0,
            next_no: 0,
        };
        for i in 0..count {
            let node = fleet.node(i, 1);
            fleet.nodes.push(node);
            fleet.begin(i);
        }
        fleet
    }

    fn node(&self, i: usize, incarnation: u64) -> Node {
        let name = format!("d{i}");
        let zone = ZONES[i % 3];
        let setup = Setup {
            me: Peer { instance: InstanceId::of(&name), incarnation: Incarnation(incarnation) },
            name: name.clone(),
            zone: ZoneId::of(zone),
            zone_name: zone.to_owned(),
            times: times(),
            config_spread: Duration::from_secs(1),
            policy: Policy::Tiered,
            max_requests: 10_000,
            seeds: Vec::new(),
            drain_grace: Duration::from_millis(200),
            drain: Duration::from_secs(5),
            seed: incarnation * 100 + i as u64,
        };
        let state = State::new(self.now, setup);
        let paused_until = Time::default();
        let watched = BTreeSet::new();
        let next_wake = Time::default();
        Node {
            name,
            state,
            incarnation,
            alive: true,
            paused_until,
            next_wake,
            watched,
            ready: false,
        }
    }

    fn begin(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.push(self.now, Action::ReadConfig { node, incarnation });
        self.push(self.now, Action::ReadList { node, incarnation });
        self.step(node, Event::Tick);
    }

    /// Ends an instance without a shutdown. Its attempts run to their end at the backend servers.
    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].watched.clear();
    }

    /// Starts an instance again, with a new state and incarnation.
    pub(crate) fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = self.node(node, incarnation);
        self.begin(node);
    }

    pub(crate) fn pause(&mut self, node: usize, span: Duration) {
        self.nodes[node].paused_until = self.now + span;
    }

    pub(crate) fn shutdown(&mut self, node: usize) {
        self.step(node, Event::Shutdown);
    }

    pub(crate) fn is_alive(&self, node: usize) -> bool {
        self.nodes[node].alive
    }

    pub(crate) fn is_ready(&self, node: usize) -> bool {
        self.nodes[node].alive && self.nodes[node].ready
    }

    pub(crate) fn dump(&self, node: usize) -> serde_json::Value {
        self.nodes[node].state.dump(self.now)
    }

    /// Publishes a list without these instances; instances read it with a lag.
    pub(crate) fn unlist(&mut self, missing: &[usize]) {
        let names: Vec<_> = missing.iter().map(|node| format!("d{node}")).collect();
        let all = &self.lists[0].1.instances;
        let instances =
            all.iter().filter(|instance| !names.contains(&instance.name)).cloned().collect();
        let version = self.list.version + 1;
        self.list = InstanceList { version, instances };
        self.lists.push((self.now, self.list.clone()));
    }

    /// Restarts a backend server without a notice: its attempts are lost, and it is cold.
    pub(crate) fn restart_server(&mut self, server: &str) {
        let backend = self.backends.get_mut(&ServerId::of(server)).unwrap();
        backend.incarnation += 1;
        backend.running = 0;
        backend.cold = true;
        backend.completed = 0;
    }

    /// Changes how a backend server responds; one that is set to up restarts.
    pub(crate) fn set_health(&mut self, server: &str, health: Health) {
        if health == Health::Up {
            self.restart_server(server);
        }
        self.backends.get_mut(&ServerId::of(server)).unwrap().health = health;
    }

    /// Cuts all links of an instance, to other instances and to the platform.
    pub(crate) fn cut_off(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.faults.cuts.insert((node, other));
            self.faults.cuts.insert((other, node));
        }
        self.faults.cuts.remove(&(node, node));
        self.faults.blind.insert(node);
    }

    /// Cuts an instance's links to the instances in other availability zones.
    pub(crate) fn cut_from_other_zones(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|other| other % 3 != node % 3) {
            self.faults.cuts.insert((node, other));
            self.faults.cuts.insert((other, node));
        }
    }

    /// Restores all links, between instances and to the platform.
    pub(crate) fn heal(&mut self) {
        self.faults.cuts.clear();
        self.faults.blind.clear();
    }

    /// Sends an idempotent request to an instance, and returns its id.
    pub(crate) fn request(&mut self, node: usize, account: &str, class: &str) -> RequestId {
        self.next_no += 1;
        let id = RequestId(u128::from(self.next_no));
        let head = self.head(id, account, class, true);
        self.send(node, head);
        id
    }

    /// Sends a request that must not run twice, with an idempotency key.
    pub(crate) fn write(
        &mut self,
        node: usize,
        account: &str,
        id: RequestId,
        key: &str,
        resend: bool,
    ) {
        let mut head = self.head(id, account, "high", false);
        let key = IdempotencyId::of(AccountId::of(account), head.route, key);
        head.idempotency = Some(Idempotency { key, resend });
        self.send(node, head);
    }

    fn head(&mut self, id: RequestId, account: &str, class: &str, idempotent: bool) -> RequestHead {
        self.next_no += 1;
        RequestHead {
            no: RequestNo(self.next_no),
            id,
            arrived: self.now,
            route: RouteId::of(if idempotent { "read" } else { "write" }),
            pool: PoolId::of("m"),
            class: ClassId::of(class),
            idempotent,
            key: Some(KeyHash::of(account.as_bytes())),
            prefix: PrefixHash(0),
            idempotency: None,
        }
    }

    fn send(&mut self, node: usize, head: RequestHead) {
        if !self.nodes[node].alive {
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        self.heads.insert((node, incarnation, head.no), head.clone());
        self.step(node, Event::Request(head));
    }

    /// Lets the simulated time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let action = self.actions.remove(&seq).unwrap();
            self.act(action);
        }
        self.now = until;
    }

    fn push(&mut self, at: Time, action: Action) {
        self.next_seq += 1;
        self.queue.push(Reverse((at, self.next_seq)));
        self.actions.insert(self.next_seq, action);
    }

    fn act(&mut self, action: Action) {
        let (Action::Step { node, incarnation, .. }
        | Action::Wake { node, incarnation }
        | Action::ReadList { node, incarnation }
        | Action::ReadConfig { node, incarnation }
        | Action::PollLoad { node, incarnation, .. }
        | Action::Arrive { node, incarnation, .. }
        | Action::Finish { node, incarnation, .. }) = action;
        let target = &self.nodes[node];
        let is_gone = !target.alive || target.incarnation != incarnation;
        if let (true, Action::Finish { server, .. }) = (is_gone, &action) {
            let backend = self.backends.get_mut(server).unwrap();
            backend.running = backend.running.saturating_sub(1);
        }
        if is_gone {
            return;
        }
        if self.now < target.paused_until {
            return self.push(target.paused_until, action);
        }
        match action {
            Action::Step { event, .. } => self.step(node, event),
            Action::Wake { .. } => {
                if self.now >= self.nodes[node].next_wake {
                    self.step(node, Event::Tick);
                }
            }
            Action::ReadList { .. } => self.read_list(node, incarnation),
            Action::ReadConfig { .. } => self.read_config(node, incarnation),
            Action::Arrive { no, attempt, server, .. } => self.arrive(node, no, attempt, server),
            Action::Finish { no, attempt, server, .. } => self.finish(node, no, attempt, server),
            Action::PollLoad { server, .. } => self.poll_load(node, server),
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let effects = self.nodes[node].state.step(self.now, event);
        for effect in effects {
            self.effect(node, effect);
        }
        let stepped = &mut self.nodes[node];
        let wake = stepped.state.next_wake(self.now).max(self.now + Duration::from_millis(1));
        if wake < stepped.next_wake || stepped.next_wake <= self.now {
            stepped.next_wake = wake;
            let incarnation = stepped.incarnation;
            self.push(wake, Action::Wake { node, incarnation });
        }
    }

    fn effect(&mut self, node: usize, effect: Effect) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            Effect::Send { to, msg, .. } => self.deliver(node, to, &msg),
            Effect::Request { no, command: RequestCommand::Run(command) } => {
                let at = self.now + self.delay();
                if at < command.start_by {
                    let (attempt, server) = (command.attempt, command.server);
                    self.push(at, Action::Arrive { node, incarnation, no, attempt, server });
                } else {
                    let event = ended(no, command.attempt, AttemptEnd::Unused, false);
                    self.push(self.now, Action::Step { node, incarnation, event });
                }
            }
            Effect::Request { no, command: RequestCommand::Preempt { attempt } } => {
                self.preempt(node, no, attempt);
            }
            Effect::Request { no, command: RequestCommand::Refuse(refusal) } => {
                if let Some(head) = self.heads.remove(&(node, incarnation, no)) {
                    self.outcomes.insert(head.id, Outcome::Refused(refusal));
                }
            }
            Effect::Install(catalog) => {
                self.installed.push((node, self.now, catalog.version.0));
            }
            Effect::Watch { server, .. } => {
                self.nodes[node].watched.insert(server);
                self.push(self.now, Action::PollLoad { node, incarnation, server });
            }
            Effect::Unwatch { server } => {
                self.nodes[node].watched.remove(&server);
            }
            Effect::Ready(ready) => self.nodes[node].ready = ready,
            Effect::Exit => self.kill(node),
            _ => {}
        }
    }

    /// Ends an attempt at a hanging server as preempted; others run to their end.
    fn preempt(&mut self, node: usize, no: RequestNo, attempt: u32) {
        if !self.stuck.remove(&(node, no, attempt)) {
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        let event = ended(no, attempt, AttemptEnd::Preempted, false);
        self.push(self.now, Action::Step { node, incarnation, event });
    }

    fn delay(&mut self) -> Duration {
        let max = self.faults.delay_ms.max(MAX_DELAY_MS);
        Duration::from_micros(self.rng.random_range(100..max * 1_000))
    }

    fn deliver(&mut self, from: usize, to: InstanceId, msg: &Msg) {
        let Some(node) = self.nodes.iter().position(|node| InstanceId::of(&node.name) == to) else {
            return;
        };
        let is_lost = self.rng.random_range(0..1_000) < self.faults.loss;
        if is_lost || self.faults.cuts.contains(&(from, node)) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..1_000) < self.faults.doubling);
        let peer = Peer {
            instance: InstanceId::of(&self.nodes[from].name),
            incarnation: Incarnation(self.nodes[from].incarnation),
        };
        for _ in 0..copies {
            let at = self.now + self.delay();
            let incarnation = self.nodes[node].incarnation;
            let event = Event::Message { from: peer, msg: msg.clone() };
            self.push(at, Action::Step { node, incarnation, event });
        }
    }

    fn read_list(&mut self, node: usize, incarnation: u64) {
        self.push(self.now + Duration::from_millis(100), Action::ReadList { node, incarnation });
        if self.faults.blind.contains(&node) {
            return self.step(node, Event::ListFailed);
        }
        let lag = Duration::from_millis(self.rng.random_range(0..400));
        let seen = self.lists.iter().rev().find(|(at, _)| *at + lag <= self.now);
        let list = seen.map_or_else(|| self.lists[0].1.clone(), |entry| entry.1.clone());
        let event = Event::ListRead { asked_at: self.now, list };
        let at = self.now + self.delay();
        self.push(at, Action::Step { node, incarnation, event });
    }

    fn read_config(&mut self, node: usize, incarnation: u64) {
        self.push(self.now + Duration::from_millis(100), Action::ReadConfig { node, incarnation });
        if self.faults.blind.contains(&node) {
            return self.step(node, Event::ConfigFailed);
        }
        let text = Arc::from(serde_json::to_string(&self.cfg).unwrap());
        let at = self.now + self.delay();
        self.push(at, Action::Step { node, incarnation, event: Event::ConfigRead { text } });
    }

    fn arrive(&mut self, node: usize, no: RequestNo, attempt: u32, server: ServerId) {
        let incarnation = self.nodes[node].incarnation;
        let health = self.backends[&server].health;
        if health == Health::Stopped {
            return self.step(node, ended(no, attempt, AttemptEnd::ConnectFailed, false));
        }
        let Some(head) = self.heads.get(&(node, incarnation, no)) else { return };
        let request = head.id;
        let key = head.key.unwrap();
        let named =
            self.cfg.accounts.iter().find(|account| KeyHash::of(account.name.as_bytes()) == key);
        let account = named.map_or(AccountId(0), |account| AccountId::of(&account.name));
        let backend = self.backends.get_mut(&server).unwrap();
        backend.running += 1;
        let running = backend.running;
        let at = self.now;
        self.arrivals.push(Arrival { at, server, account, request, running });
        if health == Health::Hanging {
            self.stuck.insert((node, no, attempt));
        } else {
            self.push(at + SERVICE_TIME, Action::Finish { node, incarnation, no, attempt, server });
        }
        self.step(node, Event::AttemptSent { no, attempt });
    }

    fn finish(&mut self, node: usize, no: RequestNo, attempt: u32, server: ServerId) {
        let incarnation = self.nodes[node].incarnation;
        let backend = self.backends.get_mut(&server).unwrap();
        backend.running = backend.running.saturating_sub(1);
        backend.completed += 1;
        backend.cold &= backend.completed < 4;
        let end =
            AttemptEnd::Completed { first_byte: SERVICE_TIME, total: SERVICE_TIME, tokens: 1 };
        let cold = backend.cold;
        if let Some(head) = self.heads.remove(&(node, incarnation, no)) {
            self.outcomes.insert(head.id, Outcome::Completed);
        }
        self.step(node, ended(no, attempt, end, cold));
    }

    fn poll_load(&mut self, node: usize, server: ServerId) {
        if !self.nodes[node].watched.contains(&server) {
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        self.push(
            self.now + Duration::from_millis(250),
            Action::PollLoad { node, incarnation, server },
        );
        let backend = &self.backends[&server];
        let report = LoadReport {
            incarnation: backend.incarnation,
            running: backend.running,
            queued: 0,
            cold: backend.cold,
        };
        let report = match backend.health {
            Health::Up => Ok(report),
            Health::Stopped => Err(LoadError::Disconnected),
            Health::Hanging => Err(LoadError::TimedOut),
        };
        self.step(node, Event::Load { server, report });
    }
}

fn ended(no: RequestNo, attempt: u32, end: AttemptEnd, cold: bool) -> Event {
    Event::AttemptEnded { no, attempt, end, cold }
}

/// Checks that the attempts of each account stay within its rate and burst over every window.
pub(crate) fn check_rates(fleet: &Fleet, rate: f64, burst: u32) {
    let mut by_account: BTreeMap<AccountId, Vec<Time>> = BTreeMap::new();
    for arrival in &fleet.arrivals {
        by_account.entry(arrival.account).or_default().push(arrival.at);
    }
    for (account, times) in by_account {
        // A token bucket with the account's limits, from which each arrival takes a token.
        let mut level = f64::from(burst);
        let mut last = times[0];
        for (i, at) in times.iter().enumerate() {
            level = (level + rate * at.since(last).as_secs_f64()).min(f64::from(burst)) - 1.0;
            last = *at;
            assert!(level > -1e-6, "account {account:?} over its rate at arrival {i}, {at:?}");
        }
    }
}
