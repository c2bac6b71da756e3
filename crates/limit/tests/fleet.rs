//! Simulates the shares and token clients of a fleet of instances with faults from a seed: an
//! account's attempts stay within its rate and burst over every window, and an account within its
//! rate always gets its tokens.

use std::collections::BTreeMap;

use limit::{ShareSpec, ShareStart, Shares, Timing, TokenClient, TokenClientOut, split};
use model::{
    msg::{ShareState, TokenMsg},
    prelude::*,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ZONES: usize = 3;
const INSTANCES: usize = 6;
/// Time after which every instance has learnt of a new configuration.
const CONFIG_SPREAD: Duration = Duration::from_secs(3);
/// How long requests keep coming.
const DEMAND_END: Duration = Duration::from_secs(40);
/// The longest time from sending an attempt to its arrival at a backend server, equal to
/// `limit::REPORT_DELAY`.
const MAX_FLIGHT_MICROS: u64 = 100_000;

/// Guards against counting a token twice or not at all while three zones share a rate and demand
/// is three times as high.
#[test]
fn no_window_exceeds_rate_and_burst_without_faults() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, Faults::default(), Limits { rate: 30.0, burst: 20 });
        fleet.demand(Demand { rate: 90.0, wait: millis(1_500), max_hold: millis(400) });

        fleet.run();

        fleet.check_windows(seed);
        assert!(fleet.arrivals.len() > 300, "seed {seed}: {}", fleet.arrivals.len());
    }
}

/// Guards against tokens beyond the limits after lost, doubled and late messages, and after owners
/// that end, pause or hand their shares over: a new owner does not know of tokens in use, and an
/// old holder may still use its own.
#[test]
fn no_window_exceeds_rate_and_burst_under_faults() {
    let faults =
        Faults { loss: 0.05, double: 0.1, slow: 0.02, every: millis(1_500), changes: false };
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed, faults, Limits { rate: 30.0, burst: 12 });
        fleet.demand(Demand { rate: 60.0, wait: millis(2_500), max_hold: millis(1_500) });

        fleet.run();

        fleet.check_windows(seed);
        assert!(fleet.arrivals.len() > 50, "seed {seed}: {}", fleet.arrivals.len());
    }
}

/// Guards against limits that sum up to more than either configuration allows, while instances
/// learn at different times of new limits and of zones that are added or removed.
#[test]
fn no_window_exceeds_rate_and_burst_while_limits_and_zones_change() {
    let faults =
        Faults { loss: 0.02, double: 0.02, slow: 0.01, every: millis(2_000), changes: true };
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed, faults, Limits { rate: 30.0, burst: 12 });
        fleet.demand(Demand { rate: 90.0, wait: millis(1_500), max_hold: millis(100) });

        fleet.run();

        fleet.check_windows(seed);
        assert!(fleet.arrivals.len() > 50, "seed {seed}: {}", fleet.arrivals.len());
    }
}

/// Guards against tokens stuck at one zone's owner: requests may all enter through one instance,
/// whose own zone's share is too small for them.
#[test]
fn account_within_its_rate_is_never_refused_without_faults() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, Faults::default(), Limits { rate: 30.0, burst: 20 });
        fleet.one_entry = seed % 2 == 0;
        fleet.demand(Demand { rate: 29.0, wait: millis(500), max_hold: millis(20) });

        fleet.run();

        assert_eq!(fleet.without_token, 0, "requests without a token with seed {seed}");
        assert!(fleet.arrivals.len() > 700, "seed {seed}: {}", fleet.arrivals.len());
    }
}

/// The faults of a simulated fleet.
#[derive(Clone, Copy, Default)]
struct Faults {
    /// The probability that a message is lost.
    loss: f64,
    /// The probability that a message arrives twice.
    double: f64,
    /// The probability that a message takes up to three seconds.
    slow: f64,
    /// The mean time between kills, pauses, handovers and configuration changes; zero for none of
    /// them.
    every: Duration,
    /// Whether the configuration changes as well.
    changes: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
struct Limits {
    rate: f64,
    burst: u32,
}

/// A configuration: the limits and how many zones have a share.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Config {
    version: usize,
    limits: Limits,
    zones: usize,
}

#[derive(Clone, Copy)]
struct Demand {
    /// Requests a second.
    rate: f64,
    /// How long a request waits for a token and for a backend server.
    wait: Duration,
    /// The longest time from getting a token to getting a backend server.
    max_hold: Duration,
}

#[derive(Clone, Debug)]
enum Event {
    /// A message to the owner of the shares at an instance.
    Owner {
        at: usize,
        from: Peer,
        msg: TokenMsg,
    },
    /// A message to the token client at an instance.
    TokenClient {
        at: usize,
        msg: TokenMsg,
    },
    /// A caller sends a request.
    Request {
        at: usize,
    },
    /// A backend server is free for a request that has a token.
    ServerFree {
        from: Peer,
        no: RequestNo,
    },
    /// The traffic thread starts an attempt.
    Attempt {
        from: Peer,
        no: RequestNo,
        start_by: Time,
    },
    /// An attempt ends.
    End {
        from: Peer,
        no: RequestNo,
    },
    Tick {
        at: usize,
    },
    Fault,
    /// An instance starts to own a zone's share.
    Open {
        at: usize,
        zone: usize,
        state: Option<ShareState>,
    },
    /// An instance learns of a configuration.
    Learn {
        at: usize,
        cfg: Config,
    },
}

struct Instance {
    peer: Peer,
    shares: Shares,
    client: TokenClient,
    paused_until: Time,
    tick_at: Option<Time>,
    /// The known configurations, with the time at which each was learnt.
    configs: Vec<(Time, Config)>,
}

struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    next_no: u64,
    instances: Vec<Instance>,
    owners: [usize; ZONES],
    faults: Faults,
    demand: Demand,
    /// Whether all requests enter through one instance.
    one_entry: bool,
    /// The configurations with the time at which each was published.
    configs: Vec<(Time, Config)>,
    arrivals: Vec<Time>,
    /// Requests that got no token in time.
    without_token: u32,
}

impl Fleet {
    fn new(seed: u64, faults: Faults, limits: Limits) -> Self {
        let now = Time::from_millis(60_000);
        let cfg = Config { version: 0, limits, zones: ZONES };
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            events: BTreeMap::new(),
            next_no: 0,
            instances: (0..INSTANCES).map(|i| Instance::new(i, 0, now, cfg)).collect(),
            owners: [0, 2, 4],
            faults,
            demand: Demand { rate: 0.0, wait: Duration::ZERO, max_hold: Duration::ZERO },
            one_entry: false,
            configs: vec![(now, cfg)],
            arrivals: Vec::new(),
            without_token: 0,
        };
        for zone in 0..ZONES {
            fleet.open(fleet.owners[zone], zone, None);
        }
        if !faults.every.is_zero() {
            fleet.push(millis(3_000), Event::Fault);
        }
        fleet
    }

    /// Schedules requests of an account that keeps to the demand's rate and a burst of twelve. They
    /// start when the shares are full.
    fn demand(&mut self, demand: Demand) {
        self.demand = demand;
        let (mut tokens, mut at) = (12.0, millis(4_000));
        while at < DEMAND_END {
            let pause = self.between(0, 500_000);
            at += pause;
            tokens = f64::min(tokens + pause.as_secs_f64() * demand.rate, 12.0);
            while tokens >= 1.0 {
                tokens -= 1.0;
                let entry = if self.one_entry { 1 } else { self.rng.random_range(0..INSTANCES) };
                self.push(at, Event::Request { at: entry });
            }
        }
    }

    fn run(&mut self) {
        let end = self.now + DEMAND_END + millis(3_000);
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > end {
                return;
            }
            self.now = now;
            match event.instance() {
                Some(at) if self.instances[at].paused_until > now => {
                    self.push(now.until(self.instances[at].paused_until), event);
                }
                _ => self.step(event),
            }
        }
    }

    /// Checks `count <= rate * window + burst` over every window of arrivals. `allowed` is the
    /// integral of the highest rate in force, and `lowest` the lowest value of arrivals minus
    /// `allowed` so far: no arrival may exceed it by more than the burst.
    fn check_windows(&mut self, seed: u64) {
        self.arrivals.sort_unstable();
        let burst = self.configs.iter().map(|entry| entry.1.limits.burst).max().unwrap_or(0);
        let mut lowest = f64::MAX;
        for (i, at) in self.arrivals.iter().enumerate() {
            let allowed = self.allowed_until(*at);
            lowest = lowest.min(i as f64 - allowed);
            let count = (i + 1) as f64 - allowed - lowest;
            assert!(
                count <= f64::from(burst) + 1e-6,
                "seed {seed}: {count} attempts beyond the rate, burst {burst}, until {at:?}"
            );
        }
    }

    /// Integrates the rate up to `at`. After a lower rate is published, the earlier one counts for
    /// [`CONFIG_SPREAD`] longer, until every instance applies the new one.
    fn allowed_until(&self, at: Time) -> f64 {
        let ends = self.configs.iter().skip(1).map(|entry| entry.0).chain([at]);
        let mut sum = 0.0;
        for ((start, cfg), end) in self.configs.iter().zip(ends) {
            sum += cfg.limits.rate * start.until(end.min(at)).as_secs_f64();
        }
        for pair in self.configs.windows(2) {
            let lowered = (pair[0].1.limits.rate - pair[1].1.limits.rate).max(0.0);
            sum += lowered * pair[1].0.until((pair[1].0 + CONFIG_SPREAD).min(at)).as_secs_f64();
        }
        sum
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Owner { at, from, msg } => {
                let replies = self.instances[at].shares.handle(now, from, &msg);
                self.reply(replies);
                self.schedule_tick(at);
            }
            Event::TokenClient { at, msg } => {
                let out = self.instances[at].client.handle(now, &msg);
                self.handle_output(at, out);
            }
            Event::Request { at } => self.request(at),
            Event::ServerFree { from, no } if self.is_current(from) => self.start(from, no),
            Event::Attempt { from, no, start_by } if self.is_current(from) => {
                self.attempt(from, no, start_by);
            }
            Event::End { from, no } if self.is_current(from) => self.end(from, no),
            Event::ServerFree { .. } | Event::Attempt { .. } | Event::End { .. } => {}
            Event::Tick { at } => self.tick(at),
            Event::Fault => self.fault(),
            Event::Open { at, zone, state } => self.open(at, zone, state),
            Event::Learn { at, cfg } => self.learn(at, cfg),
        }
    }

    fn request(&mut self, at: usize) {
        self.next_no += 1;
        let own = at / 2;
        let zones: Vec<_> = (0..ZONES).map(|i| zone_id((own + i) % ZONES)).collect();
        let no = RequestNo(self.next_no);
        let out =
            self.instances[at].client.acquire(self.now, no, account(), self.demand.wait, &zones);
        self.handle_output(at, out);
    }

    fn start(&mut self, from: Peer, no: RequestNo) {
        let at = from.instance.0 as usize;
        if let Some(start_by) = self.instances[at].client.spend(self.now, no) {
            let delay = self.between(0, 5_000);
            self.push(delay, Event::Attempt { from, no, start_by });
        }
        self.schedule_tick(at);
    }

    fn attempt(&mut self, from: Peer, no: RequestNo, start_by: Time) {
        let at = from.instance.0 as usize;
        if self.now > start_by || self.rng.random_bool(0.05) {
            let out = self.instances[at].client.give_back(self.now, no);
            self.handle_output(at, out);
            return;
        }
        let flight = self.between(0, MAX_FLIGHT_MICROS);
        self.arrivals.push(self.now + flight);
        self.instances[at].client.sent(self.now, no);
        let run = self.between(0, 200_000);
        self.push(run, Event::End { from, no });
        self.schedule_tick(at);
    }

    fn end(&mut self, from: Peer, no: RequestNo) {
        let at = from.instance.0 as usize;
        let out = self.instances[at].client.cancel(self.now, no);
        self.handle_output(at, out);
    }

    fn tick(&mut self, at: usize) {
        if self.instances[at].tick_at.is_none_or(|due| due > self.now) {
            return;
        }
        self.instances[at].tick_at = None;
        let replies = self.instances[at].shares.tick(self.now);
        self.reply(replies);
        let out = self.instances[at].client.tick(self.now);
        self.handle_output(at, out);
    }

    fn handle_output(&mut self, at: usize, out: Vec<TokenClientOut>) {
        let from = self.instances[at].peer;
        for out in out {
            match out {
                TokenClientOut::Send { share, msg } => {
                    let zone = (0..ZONES).find(|zone| zone_id(*zone) == share.zone).unwrap_or(0);
                    let event = Event::Owner { at: self.owners[zone], from, msg };
                    self.send(&event);
                }
                TokenClientOut::Ready { no } => {
                    let hold = self.between(0, self.demand.max_hold.as_micros() as u64);
                    self.push(hold, Event::ServerFree { from, no });
                }
                TokenClientOut::Unavailable { .. } => self.without_token += 1,
            }
        }
        self.schedule_tick(at);
    }

    fn reply(&mut self, replies: Vec<OutgoingMsg<TokenMsg>>) {
        for OutgoingMsg { to, msg } in replies {
            self.send(&Event::TokenClient { at: to.0 as usize, msg });
        }
    }

    fn send(&mut self, event: &Event) {
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.double));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let slow = self.rng.random_bool(self.faults.slow);
            let delay = self.between(100, if slow { 3_000_000 } else { 3_000 });
            self.push(delay, event.clone());
        }
    }

    fn schedule_tick(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let wakes = [instance.shares.next_wake(), instance.client.next_wake()];
        let Some(wake) = wakes.into_iter().flatten().min() else { return };
        if instance.tick_at.is_some_and(|due| due <= wake) {
            return;
        }
        instance.tick_at = Some(wake);
        self.push(self.now.until(wake), Event::Tick { at });
    }

    fn fault(&mut self) {
        let at = self.rng.random_range(0..INSTANCES);
        let zone = self.rng.random_range(0..ZONES);
        match self.rng.random_range(0..if self.faults.changes { 5 } else { 3 }) {
            0 => self.kill(at),
            1 => self.pause(at),
            2 => self.hand_over(zone),
            _ => self.publish(),
        }
        let pause = self.between(0, 2 * self.faults.every.as_micros() as u64);
        self.push(pause, Event::Fault);
    }

    fn kill(&mut self, at: usize) {
        self.lose_shares(at);
        let instance = &self.instances[at];
        let configs = instance.configs.clone();
        let mut next = Instance::new(at, instance.peer.incarnation.0 + 1, self.now, configs[0].1);
        next.configs = configs;
        self.instances[at] = next;
    }

    fn pause(&mut self, at: usize) {
        let pause = self.between(10_000, 3_000_000);
        self.instances[at].paused_until = self.now + pause;
        if pause > millis(500) {
            // An owner that resumes after the end of its lease closes its shares first.
            self.lose_shares(at);
        }
    }

    fn lose_shares(&mut self, at: usize) {
        self.instances[at].shares.close_all(self.now);
        for zone in 0..ZONES {
            if self.owners[zone] == at {
                let delay = self.between(1_000, 1_000_000);
                self.move_share(zone, delay, None);
            }
        }
    }

    fn hand_over(&mut self, zone: usize) {
        let owner = self.owners[zone];
        if self.instances[owner].paused_until > self.now {
            return;
        }
        let state = self.instances[owner].shares.close(self.now, share_id(zone));
        let state = state.filter(|_| self.rng.random_bool(0.8));
        let delay = self.between(100, 50_000);
        self.move_share(zone, delay, state);
    }

    fn move_share(&mut self, zone: usize, delay: Duration, state: Option<ShareState>) {
        self.owners[zone] = self.rng.random_range(0..INSTANCES);
        self.push(delay, Event::Open { at: self.owners[zone], zone, state });
    }

    fn open(&mut self, at: usize, zone: usize, state: Option<ShareState>) {
        if self.owners[zone] != at {
            return;
        }
        let instance = &mut self.instances[at];
        let start = state.map_or(ShareStart::Empty, ShareStart::HandedOver);
        let recent =
            instance.configs.iter().filter(|entry| entry.0 + CONFIG_SPREAD > self.now).count();
        let (older, newer) = instance.configs.split_at(instance.configs.len() - recent);
        let oldest =
            older.last().or(newer.first()).map_or(ShareSpec::default(), |entry| spec(entry, zone));
        instance.shares.open(self.now, share_id(zone), oldest, start);
        for cfg in newer {
            instance.shares.resize(self.now, share_id(zone), spec(cfg, zone));
        }
        self.schedule_tick(at);
    }

    fn publish(&mut self) {
        let limits =
            Limits { rate: self.rng.random_range(10.0..40.0), burst: self.rng.random_range(6..24) };
        let zones = self.rng.random_range(1..=ZONES);
        let cfg = Config { version: self.configs.len(), limits, zones };
        self.configs.push((self.now, cfg));
        for at in 0..INSTANCES {
            let delay = self.between(0, 2_900_000);
            self.push(delay, Event::Learn { at, cfg });
        }
    }

    fn learn(&mut self, at: usize, cfg: Config) {
        let instance = &mut self.instances[at];
        if instance.configs.last().is_some_and(|entry| entry.1.version > cfg.version) {
            return;
        }
        instance.configs.push((self.now, cfg));
        for zone in 0..ZONES {
            instance.shares.resize(self.now, share_id(zone), spec(&(self.now, cfg), zone));
        }
        self.schedule_tick(at);
    }

    fn is_current(&self, peer: Peer) -> bool {
        self.instances[peer.instance.0 as usize].peer == peer
    }

    fn between(&mut self, from_micros: u64, to_micros: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from_micros..=to_micros))
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.next_no += 1;
        self.events.insert((self.now + delay, self.next_no), event);
    }
}

impl Event {
    /// Returns the instance that handles the event and must not be paused.
    fn instance(&self) -> Option<usize> {
        match self {
            Self::Owner { at, .. }
            | Self::TokenClient { at, .. }
            | Self::Request { at }
            | Self::Tick { at }
            | Self::Open { at, .. }
            | Self::Learn { at, .. } => Some(*at),
            Self::ServerFree { from, .. } | Self::Attempt { from, .. } | Self::End { from, .. } => {
                Some(from.instance.0 as usize)
            }
            Self::Fault => None,
        }
    }
}

impl Instance {
    fn new(at: usize, incarnation: u64, now: Time, cfg: Config) -> Self {
        let instance = InstanceId(at as u64);
        let peer = Peer { instance, incarnation: Incarnation(incarnation) };
        let timing = Timing { margin: millis(200), grow_after: CONFIG_SPREAD };
        Self {
            peer,
            shares: Shares::new(peer, timing),
            client: TokenClient::new(peer),
            paused_until: now,
            tick_at: None,
            configs: vec![(Time::default(), cfg)],
        }
    }
}

fn spec((_, cfg): &(Time, Config), zone: usize) -> ShareSpec {
    let zones: Vec<_> = (0..cfg.zones).map(zone_id).collect();
    let parts = split(account(), cfg.limits.rate, cfg.limits.burst, &zones);
    let part = parts.iter().find(|part| part.share == share_id(zone));
    part.map_or(ShareSpec::default(), |part| part.spec)
}

fn share_id(zone: usize) -> ShareId {
    ShareId { account: account(), zone: zone_id(zone) }
}

fn zone_id(zone: usize) -> ZoneId {
    ZoneId(zone as u64)
}

fn account() -> AccountId {
    AccountId::of("x")
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
