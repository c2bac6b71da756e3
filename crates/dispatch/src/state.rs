//! The reducer.

use std::{collections::HashMap, sync::Arc};

use gossip::{Member, Members, PeerLoads, ViewSummary};
use model::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;

use crate::{
    Catalog, Effect, Event, Freshness, LiveDemand, LogEntry, RequestKey, RetryBudget, Setup, Share,
    queue::Queue, request::Request, servers::Servers,
};

/// Longest time between two ticks: requests that wait are looked at again, as loads change.
const MAX_TICK: Duration = Duration::from_millis(100);
/// The same while requests wait for a server.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// How long connections are accepted after the request to stop: the balancer asks once a second
/// and believes the second answer. A request that is taken later than 3 s may not be cut.
const LISTEN_GRACE: Duration = Duration::from_millis(2_700);
/// Time that is left at the end of the grace to write last answers.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Keys that stop being accepted within this time make the instance not ready, before callers
/// notice.
const READY_MARGIN: Duration = Duration::from_millis(300);

/// Age of the view at which the first member reads the platform again. A draining server must get
/// nothing more after two seconds, and a configuration must be in force after two; each read is
/// priced.
const READ_INTERVAL: Duration = Duration::from_millis(550);
/// Added for each member that goes first: longer than its packets are under way.
const READ_STAGGER: Duration = Duration::from_millis(350);
/// Members that take turns; those behind them all read at the same age.
const MAX_READ_RANK: u32 = 3;

/// The state of an instance. All decisions are made in [`State::step`].
#[derive(Debug)]
pub struct State {
    pub(crate) setup: Setup,
    pub(crate) started: Time,
    pub(crate) phase: Phase,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) servers: Servers,
    pub(crate) is_listed: bool,
    pub(crate) freshness: Freshness,
    /// Whether a peer has read something that is not known here.
    pub(crate) is_behind: bool,
    /// Since when reads of the platform fail.
    pub(crate) outage: Option<Time>,
    /// The latest time at which another instance is known to have read the platform.
    pub(crate) peer_read_at: Option<Time>,
    pub(crate) members: Members,
    pub(crate) loads: PeerLoads,
    pub(crate) share: Share,
    pub(crate) budgets: HashMap<PoolId, RetryBudget>,
    pub(crate) live: HashMap<PoolId, LiveDemand>,
    pub(crate) requests: SecondaryMap<RequestKey, Request>,
    pub(crate) queue: Queue,
    is_ready: bool,
    next_tick: Time,
    effects: Vec<Effect>,
}

/// How far the life of the process has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// Requests are served.
    Serving,
    /// New requests come until the balancer has noticed.
    Draining { since: Time, is_listening: bool },
    /// The process ends.
    Ended,
}

impl State {
    /// Starts with nothing known.
    pub fn new(now: Time, setup: Setup) -> Self {
        let card = Member {
            address: setup.address,
            incarnation: setup.incarnation,
            heartbeat: 0,
            is_leaving: false,
        };
        Self {
            started: now,
            phase: Phase::Serving,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            catalog: None,
            servers: Servers::default(),
            is_listed: false,
            freshness: Freshness::default(),
            is_behind: false,
            outage: None,
            peer_read_at: None,
            members: Members::new(now, card, &setup.seeds, setup.seed),
            loads: PeerLoads::default(),
            share: Share::new(setup.address, setup.zones),
            budgets: HashMap::new(),
            live: HashMap::new(),
            requests: SecondaryMap::new(),
            queue: Queue::default(),
            is_ready: false,
            next_tick: now,
            effects: Vec::new(),
            setup,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Settings { bounds, seeds } => {
                self.setup.bounds = bounds;
                self.members.set_seeds(&seeds);
            }
            Event::Config(catalog) => self.config(now, catalog),
            Event::Listed(entries) => self.listed(now, entries),
            Event::Server(change) => self.server(now, change),
            Event::EvacuatedZones(zones) => self.withdrawn(now, zones),
            Event::PlatformRead { as_of, view } => {
                self.freshness.read(as_of, view);
                self.is_behind = false;
                self.outage = None;
            }
            Event::PlatformReadFailed => {
                self.outage.get_or_insert(now);
            }
            Event::Packet(packet) => self.packet(now, packet),
            Event::Request { key, new } => self.request(now, key, *new),
            Event::Sent { key } => self.sent(now, key),
            Event::FirstByte { key } => self.began(now, key),
            Event::BytesReceived { server } => self.heard_from(now, server),
            Event::Ended { key, end, cold } => self.ended(now, key, end, cold),
            Event::CallerLeft { key } => self.caller_left(now, key),
            Event::Shutdown => self.shutdown(now),
        }
        self.judge_readiness(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn next_wake(&self, now: Time) -> Time {
        let busy = self.queue.next_due().map(|it| it.min(now + BUSY_TICK));
        let due = [self.members.next_wake(), self.next_tick];
        due.into_iter().chain(busy).min().unwrap_or(self.next_tick)
    }

    /// Returns when the platform is to be read. The first member in an order on which all agree
    /// reads; the others rely on its reads while nothing changes, and read themselves
    /// if they hear of a change or if what they were told grows old.
    pub fn next_read(&self) -> Time {
        let Some(as_of) = self.freshness.as_of().filter(|_| !self.is_behind) else {
            return Time::default();
        };
        let rank = u32::try_from(self.members.rank()).unwrap_or(u32::MAX);
        as_of + READ_INTERVAL + READ_STAGGER * rank.min(MAX_READ_RANK)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the number of requests that are under way.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many instances live.
    pub fn alive(&self) -> usize {
        self.members.alive_count()
    }

    /// Returns what is known of the platform.
    pub fn view(&self) -> ViewSummary {
        self.freshness.view()
    }

    /// Returns how old the view of the platform may be.
    pub fn view_age(&self, now: Time) -> Option<Duration> {
        self.freshness.as_of().map(|it| now.since(it))
    }

    /// Returns this instance's part of the connections to a server of a pool.
    pub fn connections(&self, pool: PoolId) -> u32 {
        let pool = self.catalog.as_ref().and_then(|it| it.pools.get(&pool));
        let whole = pool.map_or(0, |it| it.max_connections);
        // A server that gets too many resets some, so that an instance that has just started need
        // not wait until it knows the fleet.
        (whole / self.share.size_in_sight()).max(1)
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn note(&mut self, entry: LogEntry) {
        self.effects.push(Effect::Log(entry));
    }

    fn tick(&mut self, now: Time) {
        self.next_tick = now + MAX_TICK;
        self.gossip(now);
        self.drop_lapsed(now);
        self.refuse_due(now);
        self.dispatch_all(now);
        self.advance_phase(now);
    }

    fn shutdown(&mut self, now: Time) {
        if self.phase != Phase::Serving {
            return;
        }
        self.phase = Phase::Draining { since: now, is_listening: true };
        self.members.leave();
        let requests = self.requests.len();
        self.note(LogEntry::ShuttingDown { requests });
    }

    fn advance_phase(&mut self, now: Time) {
        let Phase::Draining { since, is_listening } = self.phase else { return };
        if is_listening && now.since(since) >= LISTEN_GRACE.min(self.setup.bounds.grace / 2) {
            self.phase = Phase::Draining { since, is_listening: false };
            self.emit(Effect::StopListening);
        }
        if now.since(since) + EXIT_MARGIN >= self.setup.bounds.grace {
            self.phase = Phase::Ended;
            self.emit(Effect::Exit);
        }
    }

    fn judge_readiness(&mut self, now: Time) {
        let why = self.unready(now);
        let is_ready = why.is_none();
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            self.emit(Effect::Ready(is_ready));
            self.note(LogEntry::Ready { ready: is_ready, why: why.unwrap_or("serving") });
        }
    }

    /// Returns why callers are better served elsewhere.
    fn unready(&self, now: Time) -> Option<&'static str> {
        let Some(catalog) = &self.catalog else { return Some("no configuration") };
        if self.phase != Phase::Serving {
            return Some("shutting down");
        }
        if !self.is_listed {
            return Some("no list of servers");
        }
        let keys_until = self.freshness.keys_until(self.setup.bounds.revoke);
        let is_stale = keys_until.is_none_or(|it| it < now + READY_MARGIN);
        (catalog.accounts.is_some() && is_stale).then_some("view of the platform too old for keys")
    }
}
