//! A reducer with a configuration and servers, driven by the tests.

use std::{net::SocketAddrV4, sync::Arc};

use dispatch::{
    Account, Accounts, Attempt, AttemptEnd, Bounds, Catalog, Command, Effect, Engine, Event,
    NewRequest, Part, Pool, Prompt, Repeat, RequestKey, ResponseTrace, Route, ServerChange,
    ServerEntry, Setup, State, TakenUp, Target,
};
use gossip::{Member, Members, SoftwareTag, StreamTag, ViewStatus, ViewSummary};
use model::prelude::*;
use slotmap::SlotMap;

/// The zone of most instances and servers.
pub(crate) const ZONE: &str = "zone-a";
pub(crate) const KEY: &[u8] = b"a key of the account";
/// The name of the account that has [`KEY`].
pub(crate) const ACCOUNT: &str = "an account";

/// An instance, its simulated clock and the keys of its requests.
pub(crate) struct Bench {
    pub(crate) state: State,
    pub(crate) now: Time,
    keys: SlotMap<RequestKey, ()>,
    next_id: u32,
}

pub(crate) fn address(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, host].into(), port)
}

pub(crate) fn zone() -> ZoneId {
    ZoneId::of(ZONE)
}

pub(crate) fn setup() -> Setup {
    Setup {
        address: address(1, 7000),
        zone: zone(),
        zones: 3,
        crossing: None,
        seeds: Vec::new(),
        incarnation: 1,
        seed: 1,
        bounds: Bounds::default(),
    }
}

/// Returns a pool of engines like those of the deployments.
pub(crate) fn engines() -> Pool {
    Pool {
        name: "engines".into(),
        max_connections: 620,
        cold_start: Duration::from_secs(3),
        cold_rate: 20.0,
        engine: Some(Engine {
            slots: 128,
            has_backups: true,
            can_end_runs: true,
            fetch_per_token: Some(Duration::from_nanos(399)),
        }),
    }
}

/// Returns a pool of plain servers like those of the deployments.
pub(crate) fn ledger() -> Pool {
    Pool {
        name: "ledger".into(),
        max_connections: 100,
        cold_start: Duration::ZERO,
        cold_rate: 0.0,
        engine: None,
    }
}

/// Returns a route to `pool` whose path begins with its name.
pub(crate) fn route(name: &str, pool: &str, repeat: Repeat, tier: u8, target_ms: u64) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        targets: vec![Target { pool: PoolId::of(pool), weight: 1 }],
        repeat,
        is_stream: pool == "engines",
        is_public: false,
        timeout: Duration::from_millis(4_000),
        target: Duration::from_millis(target_ms),
        tier: Tier(tier),
        max_attempts: if repeat == Repeat::Never { 1 } else { 2 },
    }
}

pub(crate) fn catalog(version: u64) -> Catalog {
    let routes = [
        route("batch", "engines", Repeat::Never, 2, 1_200),
        route("short", "engines", Repeat::Resume, 1, 400),
        route("live", "engines", Repeat::Never, 0, 300),
        route("order", "ledger", Repeat::Never, 2, 300),
        route("look", "ledger", Repeat::Idempotent, 2, 300),
    ];
    let mut catalog = Catalog::default().with_routes(routes);
    catalog.version = Version(version);
    let mut accounts = Accounts::default();
    accounts.add(Account { name: ACCOUNT.into(), tier: None }, [KeyHash::of(KEY)]);
    catalog.accounts = Some(accounts);
    catalog.pools = [engines(), ledger()].map(|pool| (PoolId::of(&pool.name), pool)).into();
    catalog
}

pub(crate) fn server(name: &str, pool: &str, host: u8) -> ServerEntry {
    ServerEntry {
        name: Arc::from(name),
        pool: PoolId::of(pool),
        zone: zone(),
        address: address(host, 8080),
        slots: if pool == "engines" { 128 } else { 6 },
        is_draining: false,
        cold: Duration::ZERO,
        incarnation: 1,
        software: software(pool, "v1"),
    }
}

/// Returns the tag of a software version of the servers of a pool.
pub(crate) fn software(pool: &str, version: &str) -> SoftwareTag {
    SoftwareTag::of(PoolId::of(pool), Some(version))
}

/// Returns a prompt of three parts: one that all prompts share, one that those with the same topic
/// share, and its own.
pub(crate) fn prompt(shared: u32, own: u32, topic: u64) -> Prompt {
    let parts = vec![
        Part { id: 1, tokens: shared / 2 },
        Part { id: 1_000 + topic, tokens: shared / 2 },
        Part { id: own_part_id(topic, own), tokens: own },
    ];
    Prompt { tokens: shared / 2 * 2 + own, max_output: 60, parts }
}

fn own_part_id(topic: u64, own: u32) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&[topic.to_be_bytes(), u64::from(own).to_be_bytes()].concat())
}

impl Bench {
    /// Returns an instance in the first zone that knows [`catalog`] and these servers, and has run
    /// long enough to know that it is alone and to use its share of the slack for retries.
    pub(crate) fn new(servers: Vec<ServerEntry>) -> Self {
        Self::in_zone(ZONE, servers)
    }

    /// Does the same as [`Self::new`] for an instance in this zone.
    pub(crate) fn in_zone(zone: &str, servers: Vec<ServerEntry>) -> Self {
        let now = Time::from_millis(10_000_000);
        let state = State::new(now, Setup { zone: ZoneId::of(zone), ..setup() });
        let mut bench = Self::running(state, now);
        bench.step(Event::Config(Arc::new(catalog(1))));
        bench.step(Event::Listed(servers));
        bench.read();
        bench.pass(10_000);
        bench.read();
        bench
    }

    /// Returns an instance in this state.
    pub(crate) fn running(state: State, now: Time) -> Self {
        Self { state, now, keys: SlotMap::default(), next_id: 0 }
    }

    pub(crate) fn step(&mut self, event: Event) -> Vec<Effect> {
        self.state.step(self.now, event)
    }

    /// Reads the platform, which has not changed.
    pub(crate) fn read(&mut self) -> Vec<Effect> {
        let as_of = self.now;
        self.step(Event::PlatformRead { as_of, view: ViewSummary::default() })
    }

    /// Lets time pass, with ticks when they are due, and returns their effects.
    pub(crate) fn pass(&mut self, millis: u64) -> Vec<Effect> {
        let until = self.now + Duration::from_millis(millis);
        let mut effects = Vec::new();
        while self.now < until {
            let wake = self.state.next_wake(self.now);
            self.now = wake.max(self.now + Duration::from_millis(1)).min(until);
            effects.extend(self.step(Event::Tick));
        }
        effects
    }

    /// Sends a request and returns its key and the effects.
    pub(crate) fn request(&mut self, route: &str, prompt: Prompt) -> (RequestKey, Vec<Effect>) {
        self.request_of(KEY, route, prompt)
    }

    /// Does the same as [`Self::request`] for the account with this key.
    pub(crate) fn request_of(
        &mut self,
        api_key: &[u8],
        route: &str,
        prompt: Prompt,
    ) -> (RequestKey, Vec<Effect>) {
        self.send(api_key, route, prompt, None, true)
    }

    /// Sends a request that takes up the stream of which the request with this id brought the first
    /// event; without an id, it does not say which stream.
    pub(crate) fn take_up(
        &mut self,
        route: &str,
        first_id: Option<&str>,
    ) -> (RequestKey, Vec<Effect>) {
        let taken_up = TakenUp { stream: first_id.map(StreamTag::of) };
        self.send(KEY, route, prompt(500, 500, 1), Some(taken_up), true)
    }

    /// Does the same without saying when the caller gives up.
    pub(crate) fn take_up_without_deadline(&mut self, route: &str, first_id: &str) -> RequestKey {
        let taken_up = TakenUp { stream: Some(StreamTag::of(first_id)) };
        self.send(KEY, route, prompt(500, 500, 1), Some(taken_up), false).0
    }

    fn send(
        &mut self,
        api_key: &[u8],
        route: &str,
        prompt: Prompt,
        taken_up: Option<TakenUp>,
        states_deadline: bool,
    ) -> (RequestKey, Vec<Effect>) {
        let path = format!("/{route}/x");
        let routed = self.state.route(self.now, "host.example", &path, Some(api_key)).unwrap();
        let key = self.keys.insert(());
        self.next_id += 1;
        let new = NewRequest {
            id: Arc::from(format!("request-{}", self.next_id)),
            routed,
            arrived: self.now,
            caller_deadline: self.now + Duration::from_secs(4),
            states_deadline,
            prompt,
            taken_up,
        };
        let effects = self.step(Event::Request { key, new: Box::new(new) });
        (key, effects)
    }

    pub(crate) fn ended(&mut self, key: RequestKey, end: AttemptEnd) -> Vec<Effect> {
        self.step(Event::Ended { key, end, cold: None, trace: ResponseTrace::default() })
    }

    /// Delivers the packets of another instance that has just read the platform.
    pub(crate) fn receive_peer_read(&mut self) {
        let member =
            Member { address: address(2, 7000), incarnation: 2, heartbeat: 0, is_leaving: false };
        let mut peer = Members::new(self.now, member, &[address(1, 7000)], 2);
        let view_status = ViewStatus { view: ViewSummary::default(), staleness_ms: Some(0) };
        // A view counts only from a peer whose packets echo one of this instance, which the second
        // packet does.
        for _ in 0..2 {
            let (packets, _) = peer.tick(self.now, view_status, &[]);
            for outgoing in packets {
                self.step(Event::Packet(outgoing.packet));
            }
            for effect in self.pass(200) {
                let Effect::Send(outgoing) = effect else { continue };
                if outgoing.to == member.address {
                    peer.receive(self.now, outgoing.packet);
                }
            }
        }
        let (packets, _) = peer.tick(self.now, view_status, &[]);
        for outgoing in packets {
            self.step(Event::Packet(outgoing.packet));
        }
    }

    pub(crate) fn list(&mut self, entry: ServerEntry) -> Vec<Effect> {
        self.step(Event::Server(ServerChange::Listed(entry)))
    }
}

impl Bench {
    /// Lets time pass until an effect matches, and returns how long that took.
    pub(crate) fn pass_until(&mut self, mut is_match: impl FnMut(&Effect) -> bool) -> Duration {
        let started = self.now;
        for _ in 0..20_000 {
            if self.pass(1).iter().any(&mut is_match) {
                return self.now.since(started);
            }
        }
        panic!("no effect matched within 20 s");
    }
}

/// Returns the attempts among the commands.
pub(crate) fn attempts(effects: &[Effect]) -> Vec<(RequestKey, Attempt)> {
    let attempt = |effect: &Effect| match effect {
        Effect::Command { key, command: Command::Run(attempt) } => Some((*key, attempt.clone())),
        _ => None,
    };
    effects.iter().filter_map(attempt).collect()
}

/// Returns the refusals among the commands.
pub(crate) fn refusals(effects: &[Effect]) -> Vec<(RequestKey, Refusal)> {
    let refusal = |effect: &Effect| match effect {
        Effect::Command { key, command: Command::Refuse(refusal) } => Some((*key, *refusal)),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}
