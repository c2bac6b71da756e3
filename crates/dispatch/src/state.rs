//! The reducer: the state of an instance and how events change it.

use std::{collections::HashMap, net::SocketAddrV4, sync::Arc};

use gossip::{FleetLoads, Member, Members, PeerLoads, Upstream, ViewStatus, ViewSummary};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;

use crate::{
    Catalog, Effect, EngineDemand, Event, Freshness, HeldPart, LiveEngines, LogEntry, Quarantine,
    RequestKey, RetryBudget, ServerKey, Setup, Share, ViewSource,
    account_shares::AccountShares,
    caller_times::CallerTimes,
    origins::Origins,
    queue::Queue,
    reading_speed::ReadingSpeeds,
    request::{Request, Stage},
    server_ends::PossibleEnd,
    server_limits::ServerLimits,
    servers::Servers,
    service_times::ServiceTimes,
    software_use::SoftwareUse,
    zone_plans::ZonePlans,
};

/// The longest time between two ticks. A tick tries to start waiting requests, since gossip may
/// have changed the loads of servers.
const MAX_TICK: Duration = Duration::from_millis(100);
/// The longest time between two ticks while requests wait for a server.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// The same where the load of the whole fleet is known.
const KNOWN_BUSY_TICK: Duration = Duration::from_millis(30);
/// How long connections are accepted after the request to stop. The load balancer checks readiness
/// once a second and acts on the second response in a row, so it sends callers for about two
/// seconds more. A request that arrives later than 3 s after the request to stop must not be cut
/// off, however long it takes.
const LISTEN_GRACE: Duration = Duration::from_millis(2_700);
/// The process ends this much before the end of its grace period, so that there is time to write
/// the last responses.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time between two log entries about the use of the retry budgets.
const RETRY_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The instance becomes not ready this long before it has to stop accepting keys, so that the load
/// balancer sends callers elsewhere before they are refused.
const READY_MARGIN: Duration = Duration::from_millis(300);

/// The state of an instance. All decisions are made in [`State::step`].
#[derive(Debug)]
pub struct State {
    pub(crate) setup: Setup,
    pub(crate) started_at: Time,
    pub(crate) phase: Phase,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) servers: Servers,
    pub(crate) server_limits: ServerLimits,
    /// Whether the platform's server list has been read.
    pub(crate) has_server_list: bool,
    pub(crate) freshness: Freshness,
    /// Whether another instance's view of the platform is newer; cleared by the next read.
    pub(crate) is_behind: bool,
    /// The instance from which the changes can be read that this one lacks; `None` if they are read
    /// from the platform.
    pub(crate) newer_peer: Option<SocketAddrV4>,
    /// The view of a peer because of which the platform is to be read.
    pub(crate) behind_of: Option<ViewSummary>,
    /// The digest of a peer's view that the platform did not have, and until when that counts.
    pub(crate) refuted_view: Option<(u64, Time)>,
    /// Since when reads of the platform fail; `None` if the last one succeeded.
    pub(crate) failing_since: Option<Time>,
    /// The latest time at which any instance is known to have read the platform, whatever it read.
    pub(crate) platform_seen_at: Option<Time>,
    /// When the platform was first seen again after its last outage; `None` if there was none.
    pub(crate) platform_back_at: Option<Time>,
    pub(crate) members: Members,
    pub(crate) upstream: Upstream,
    pub(crate) loads: PeerLoads,
    pub(crate) fleet_loads: FleetLoads,
    /// Whether the total of the fleet's loads is known.
    pub(crate) knows_fleet_loads: bool,
    pub(crate) reading_speeds: ReadingSpeeds,
    pub(crate) account_shares: AccountShares,
    pub(crate) share: Share,
    pub(crate) budgets: HashMap<PoolId, RetryBudget>,
    pub(crate) demand: HashMap<PoolId, EngineDemand>,
    pub(crate) live_engines: HashMap<PoolId, LiveEngines>,
    pub(crate) zone_plans: ZonePlans,
    pub(crate) quarantine: Quarantine,
    /// Servers that may have ended, until that is known.
    pub(crate) possible_ends: SecondaryMap<ServerKey, PossibleEnd>,
    pub(crate) requests: SecondaryMap<RequestKey, Request>,
    pub(crate) queue: Queue,
    pub(crate) service_times: ServiceTimes,
    pub(crate) origins: Origins,
    pub(crate) software_use: SoftwareUse,
    /// The requests that take up a stream whose software version is not known yet. Some may have ended.
    pub(crate) searching: Vec<RequestKey>,
    /// When the platform was last read, or tried to be, for these.
    pub(crate) last_origin_read: Option<Time>,
    /// How long callers wait for streams that they may take up again, by pool.
    pub(crate) caller_times: HashMap<PoolId, CallerTimes>,
    is_ready: bool,
    next_tick: Time,
    /// When the use of the retry budgets is logged next.
    next_retry_report: Time,
    effects: Vec<Effect>,
}

/// The phase of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// Requests are served.
    Serving,
    /// The process was asked to stop. Requests are finished, and new ones are served until the load
    /// balancer has noticed.
    Draining { since: Time, is_listening: bool },
    /// The grace period is over and [`Effect::Exit`] was emitted.
    Ended,
}

impl State {
    /// Creates the state of an instance that knows nothing of the platform and the fleet.
    pub fn new(now: Time, setup: Setup) -> Self {
        let member = Member {
            address: setup.address,
            incarnation: setup.incarnation,
            heartbeat: 0,
            is_leaving: false,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        Self {
            started_at: now,
            phase: Phase::Serving,
            upstream: Upstream::new(setup.address, rng.random()),
            catalog: None,
            servers: Servers::default(),
            server_limits: ServerLimits::default(),
            has_server_list: false,
            freshness: Freshness::default(),
            is_behind: false,
            newer_peer: None,
            behind_of: None,
            refuted_view: None,
            failing_since: None,
            platform_seen_at: None,
            platform_back_at: None,
            members: Members::new(now, member, &setup.seeds, setup.seed).in_zone(setup.zone.into()),
            loads: PeerLoads::default(),
            fleet_loads: FleetLoads::new(now, setup.address, rng.random()),
            knows_fleet_loads: false,
            reading_speeds: ReadingSpeeds::default(),
            account_shares: AccountShares::default(),
            share: Share::new(now, setup.address, setup.zones),
            budgets: HashMap::new(),
            demand: HashMap::new(),
            live_engines: HashMap::new(),
            zone_plans: ZonePlans::default(),
            quarantine: Quarantine::default(),
            possible_ends: SecondaryMap::new(),
            requests: SecondaryMap::new(),
            queue: Queue::default(),
            service_times: ServiceTimes::default(),
            origins: Origins::default(),
            software_use: SoftwareUse::default(),
            searching: Vec::new(),
            last_origin_read: None,
            caller_times: HashMap::new(),
            is_ready: false,
            next_tick: now,
            next_retry_report: now,
            effects: Vec::new(),
            rng,
            setup,
        }
    }

    /// Handles an event and returns the effects that the caller must carry out, in order. `now` is
    /// the time of a monotonic clock.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.update_knowledge(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Settings { bounds, seeds } => {
                self.setup.bounds = bounds;
                self.members.set_seeds(&seeds);
            }
            Event::Config(catalog) => self.config(now, catalog),
            Event::Listed(entries) => self.servers_listed(now, entries),
            Event::Server(change) => self.server_changed(now, change),
            Event::EvacuatedZones(zones) => self.evacuated_zones(now, zones),
            Event::PlatformRead { as_of, view } => {
                self.platform_tried(now);
                self.view_read(now, as_of, view, ViewSource::Platform);
                self.failing_since = None;
            }
            Event::PlatformPartRead { seen_at, view } => {
                self.view_part_read(seen_at, view);
                self.failing_since = None;
            }
            Event::PeerRead { as_of, view, peer } => {
                // A peer tells the latest state of each server, so one that came and left is not seen.
                self.software_use.known_from(now);
                self.view_read(now, as_of, view, ViewSource::Peer(peer));
            }
            // Servers that were listed since the copy was made list themselves again.
            Event::PlatformRestored => self.platform_back_at = Some(now),
            Event::PlatformReadFailed => {
                self.platform_tried(now);
                self.failing_since.get_or_insert(now);
            }
            Event::PeerReadFailed => self.peer_read_failed(),
            Event::Packet(packet) => self.packet(now, packet),
            Event::Tree(message) => self.tree_message(now, message),
            Event::Loads(message) => self.loads_message(now, message),
            Event::Origins(message) => self.origin_message(now, message),
            Event::HistoryRead { since, served } => {
                self.history_read(now, since, served.as_deref());
            }
            Event::Request { key, new } => self.request(now, key, *new),
            Event::Sent { key } => self.sent(now, key),
            Event::FirstByte { key } => self.first_byte(now, key),
            Event::StreamBegun { key } => self.stream_begun(now, key),
            Event::FirstByteDue { key } => self.first_byte_due(now, key),
            Event::ServerLeaving { key } => self.server_leaves(now, key),
            Event::ServerPaused { key, span } => self.server_pauses(now, key, span),
            Event::ServerLimit { key, rate } => self.server_named_limit(now, key, rate),
            Event::ServerClosed { key } => self.server_closed(key),
            Event::BytesReceived { server } => self.bytes_received(now, server),
            Event::Ended { key, end, cold, trace } => {
                self.attempt_ended(now, key, end, cold, trace);
            }
            Event::RunEnded { key, end } => self.run_ended(now, key, end),
            Event::ServerChecked { server, is_down } => self.server_checked(now, server, is_down),
            Event::HoldPart { part } => {
                self.quarantine.hold(now, part);
                self.update_quarantine(now);
            }
            Event::ReleasePart { part } => {
                self.quarantine.release(now, part);
                self.update_quarantine(now);
            }
            Event::CallerLeft { key } => self.caller_left(now, key),
            Event::Shutdown => self.shutdown(now),
        }
        self.update_readiness(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_wake(&self, now: Time) -> Time {
        // Where loads are told a few times a second, a request that waits is rarely taken between.
        let pause = if self.knows_fleet_loads { KNOWN_BUSY_TICK } else { BUSY_TICK };
        let busy = self.queue.next_refusal().map(|time| time.min(now + pause));
        let loads = self.members.is_large().then(|| self.fleet_loads.next_wake());
        let due = [self.members.next_wake(), self.next_tick].into_iter().chain(loads);
        due.chain(busy).min().unwrap_or(self.next_tick)
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the number of streams whose software version is remembered.
    pub fn origin_count(&self) -> usize {
        self.origins.len()
    }

    /// Returns the number of requests that wait or run.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for a server.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many members the known load of the fleet counts and how old it is at most; `None` if
    /// it is not known, as in a small fleet.
    pub fn fleet_load(&self, now: Time) -> Option<(u32, Duration)> {
        let age = self.fleet_loads.age(now).filter(|_| self.knows_fleet_loads)?;
        Some((self.fleet_loads.members(), age))
    }

    /// Returns the number of instances that are alive, including this one.
    pub fn alive(&self) -> usize {
        self.members.alive_count()
    }

    /// Returns the number of instances that precede this one in the order of the fleet.
    pub fn preceding_count(&self) -> usize {
        self.members.rank()
    }

    /// Returns whether another instance runs in the zone of this one; `None` if that is not known.
    /// The instances of a small fleet do not tell each other.
    pub fn is_peer_in_own_zone(&self, address: SocketAddrV4) -> Option<bool> {
        self.members.is_in_own_zone(address)
    }

    /// Returns whether a server runs in the zone of this instance; `None` if it is not listed any
    /// more.
    pub fn is_server_in_own_zone(&self, server: ServerKey) -> Option<bool> {
        self.servers.get(server).map(|it| it.entry.zone == self.setup.zone)
    }

    /// Returns the view of the platform that was read last.
    pub fn view(&self) -> ViewSummary {
        self.freshness.view()
    }

    /// Returns the view of the platform and its staleness, as other instances get them.
    pub fn view_status(&self, now: Time) -> ViewStatus {
        self.freshness.view_status(now)
    }

    /// Returns whether the server of a request's attempt has named a limit.
    pub fn is_limited(&self, key: RequestKey) -> bool {
        let Some(Stage::Running(running)) = self.requests.get(key).map(|req| req.stage) else {
            return false;
        };
        let server = self.servers.get(running.server);
        server.is_some_and(|it| self.server_limits.get(it.id, running.incarnation).is_some())
    }

    /// Returns by how many instances limits of the fleet are divided.
    pub fn limit_divisor(&self) -> u32 {
        self.share.size()
    }

    /// Returns the parts of prompts that are held back.
    pub fn held_parts(&self) -> Vec<HeldPart> {
        self.quarantine.held()
    }

    /// Returns the time since the view of the platform was last confirmed; `None` before the first
    /// read.
    pub fn view_age(&self, now: Time) -> Option<Duration> {
        self.freshness.last_confirmed().map(|time| now.since(time))
    }

    /// Returns who confirmed the view of the platform last; `None` before the first read.
    pub fn confirmed_by(&self) -> Option<ViewSource> {
        self.freshness.confirmed_by()
    }

    /// Returns how many connections this instance may have to each server of a pool, at least 1.
    pub fn max_connections(&self, pool: PoolId) -> u32 {
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&pool));
        let limit = pool.map_or(0, |pool| pool.max_connections);
        // The known size is used even before gossip has found all members: a server with too many
        // connections only resets some, and a new instance can serve at once.
        (limit / self.share.known_size()).max(1)
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn log(&mut self, entry: LogEntry) {
        self.effects.push(Effect::Log(entry));
    }

    fn tick(&mut self, now: Time) {
        self.next_tick = now + MAX_TICK;
        self.gossip(now);
        self.tell_loads(now);
        self.remove_expired_servers(now);
        self.forget_limits(now);
        self.expire_searches(now);
        self.refuse_expired(now);
        self.update_late(now);
        self.record_survivals(now);
        self.update_reading_speeds();
        self.update_live_engines(now);
        self.update_zone_plans(now);
        self.update_account_shares(now);
        self.dispatch_all(now);
        self.report_retries(now);
        self.update_phase(now);
    }

    /// Logs what was done with the retry budgets since the last report, if it is due.
    fn report_retries(&mut self, now: Time) {
        if now < self.next_retry_report {
            return;
        }
        self.next_retry_report = now + RETRY_REPORT_INTERVAL;
        let Some(catalog) = self.catalog.clone() else { return };
        let divisor = self.share.size();
        for (id, pool) in &catalog.pools {
            let Some(budget) = self.budgets.get_mut(id) else { continue };
            let used = budget.take_use();
            if !used.is_empty() {
                self.log(LogEntry::Retries { pool: pool.name.clone(), used, divisor });
            }
        }
    }

    fn shutdown(&mut self, now: Time) {
        if self.phase != Phase::Serving {
            return;
        }
        self.phase = Phase::Draining { since: now, is_listening: true };
        self.members.leave();
        let requests = self.requests.len();
        self.log(LogEntry::ShuttingDown { requests });
    }

    /// Stops listening and ends the process when their times after the request to stop have come.
    fn update_phase(&mut self, now: Time) {
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

    fn update_readiness(&mut self, now: Time) {
        let why = self.not_ready_reason(now);
        let is_ready = why.is_none();
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            self.emit(Effect::Ready(is_ready));
            self.log(LogEntry::Ready { ready: is_ready, why: why.unwrap_or("serving") });
        }
    }

    /// Returns why the load balancer should send callers to other instances; `None` if this one is
    /// ready.
    fn not_ready_reason(&self, now: Time) -> Option<&'static str> {
        let Some(catalog) = &self.catalog else { return Some("no configuration") };
        if self.phase != Phase::Serving {
            return Some("shutting down");
        }
        if !self.has_server_list {
            return Some("no list of servers");
        }
        let keys_until = self.freshness.keys_valid_until(self.setup.bounds.revoke);
        let is_stale = keys_until.is_none_or(|until| until < now + READY_MARGIN);
        (catalog.accounts.is_some() && is_stale).then_some("view of the platform too old for keys")
    }
}
