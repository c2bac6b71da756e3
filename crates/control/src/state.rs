//! The reducer: the state of an instance, and how it handles an event.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

use config::Catalog;
use limit::{Shares, StaticLimits, Timing, TokenClient};
use model::{msg::CellLoad, prelude::*, timers::Timers};
use once::{Claims, HeldKeys};
use own::{Members, OwnedShards};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use sched::Cell;

use crate::{
    Effect, Event, LogEntry, Setup,
    budget::RetryBudget,
    orders::Orders,
    request::{HeldGrants, Request},
};

/// The longest time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A process that handled no event for longer than this counts as paused: it may have been stopped
/// meanwhile.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);

/// How long after a pause grants from other instances are not used: they may have waited in this
/// process's network buffers during the whole pause.
const STALE_GRANT_TIME: Duration = Duration::from_millis(300);

/// An instance that shuts down exits after this time without requests: a caller may send one more
/// on a connection whose last response began before the shutdown.
const EXIT_IDLE_TIME: Duration = Duration::from_millis(500);

/// How long a starting instance waits for the acknowledgements of all others before it serves: one
/// of them may have a newer configuration.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The control state of an instance.
///
/// All decisions are made in [`State::step`]. The crates `own`, `limit`, `sched` and `once`
/// document the parts that it combines.
#[derive(Debug)]
pub struct State {
    pub(crate) setup: Setup,
    pub(crate) phase: Phase,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) members: Members,
    pub(crate) owned_shards: OwnedShards,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) docs: Docs,
    pub(crate) shares: Shares,
    /// The cells that this instance owns.
    pub(crate) cells: BTreeMap<CellId, Cell>,
    /// The backend servers of the owned cells, whose load is read.
    pub(crate) watched: BTreeSet<ServerId>,
    /// The instances of the list in use.
    pub(crate) listed: BTreeSet<InstanceId>,
    /// When an instance was last removed from the list.
    pub(crate) last_removal_at: Option<Time>,
    pub(crate) orders: Orders,
    pub(crate) token_client: TokenClient,
    /// Used instead of `token_client` by the policy `StaticLimits`.
    pub(crate) static_limits: StaticLimits,
    /// The idempotency keys that this instance remembers for the fleet.
    pub(crate) held_keys: HeldKeys,
    /// The idempotency keys that the requests of this instance claim.
    pub(crate) claims: Claims,
    pub(crate) requests: HashMap<RequestNo, Request>,
    /// The requests by their tickets.
    pub(crate) by_ticket: HashMap<TicketId, RequestNo>,
    /// The requests by the grants that they hold.
    pub(crate) by_grant: HashMap<GrantId, RequestNo>,
    pub(crate) held_grants: HeldGrants,
    /// The load of the cells as their owners last reported it.
    pub(crate) cell_loads: HashMap<CellId, CellLoad>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) next_ticket: u64,
    /// Until when grants from other instances are not used, after a pause of this process.
    pub(crate) suspect_until: Time,
    /// Until when shares that were taken over without a handover give no tokens.
    pub(crate) hold_off_until: Time,
    /// The [`Members::owners_epoch`] for which the owners of all tickets were looked up.
    pub(crate) tickets_epoch: u64,
    /// When requests ask the cells of other availability zones.
    pub(crate) other_cells_due: Timers<RequestNo>,
    /// When all waiting requests are next examined.
    pub(crate) next_scan: Time,
    last_step: Time,
    next_tick: Time,
    pub(crate) out: Out,
}

/// The phase of an instance between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The instance does not serve yet: its configuration may be older than that of others, or it
    /// still waits to use its shards.
    Joining {
        /// When heartbeats were sent to all others for the first time; `None` before this
        /// instance has a configuration and a list.
        asked_at: Option<Time>,
    },
    /// Requests are served.
    Serving,
    /// The instance shuts down. Requests are completed, and new ones are accepted, as the balancer
    /// sends them until it has noticed that the instance is not ready.
    Draining {
        /// When no new connections are accepted any more.
        listen_until: Time,
        /// When the process exits, even if requests are left.
        until: Time,
        /// Whether connections are still accepted.
        listening: bool,
        /// When there was last a request, or connections were still accepted.
        busy_at: Time,
    },
    /// All requests have ended or their time is over, and [`Effect::Exit`] was emitted.
    Ended,
}

/// The documents in use, as they are sent to other instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct Docs {
    pub(crate) config: Option<Arc<str>>,
    pub(crate) list: Option<Arc<str>>,
    /// What the check found in the last configuration that it rejected.
    pub(crate) rejected: Option<String>,
    /// Whether the last read of the configuration from the platform failed, and no document has
    /// arrived since from another instance.
    pub(crate) config_down: bool,
    /// Whether the last read of the instance list from the platform failed.
    pub(crate) list_down: bool,
    /// When the seeds are asked next.
    pub(crate) next_seed_ask: Time,
}

/// The output of a step.
#[derive(Debug, Default)]
pub(crate) struct Out {
    pub(crate) effects: Vec<Effect>,
    /// Messages of this instance to itself, handled in the same step.
    pub(crate) local: VecDeque<Msg>,
}

impl Out {
    pub(crate) fn log(&mut self, entry: LogEntry) {
        self.effects.push(Effect::Log(entry));
    }
}

impl State {
    /// Starts without configuration, instance list and requests.
    pub fn new(now: Time, setup: Setup) -> Self {
        let me = setup.me;
        let timing = Timing { margin: setup.times.margin, grow_after: setup.config_spread };
        Self {
            phase: Phase::Joining { asked_at: None },
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            members: Members::new(me, setup.zone, setup.times),
            owned_shards: OwnedShards::default(),
            catalog: Arc::default(),
            docs: Docs::default(),
            shares: Shares::new(me, timing),
            cells: BTreeMap::new(),
            watched: BTreeSet::new(),
            listed: BTreeSet::new(),
            last_removal_at: None,
            orders: Orders::default(),
            token_client: TokenClient::new(me),
            static_limits: StaticLimits::new(1),
            held_keys: HeldKeys::new(now),
            claims: Claims::new(me),
            requests: HashMap::new(),
            by_ticket: HashMap::new(),
            by_grant: HashMap::new(),
            held_grants: HeldGrants::default(),
            cell_loads: HashMap::new(),
            retry_budget: RetryBudget::default(),
            next_ticket: 1,
            suspect_until: Time::default(),
            hold_off_until: Time::default(),
            tickets_epoch: 0,
            other_cells_due: Timers::default(),
            next_scan: now,
            last_step: now,
            next_tick: now,
            out: Out::default(),
            setup,
        }
    }

    /// Handles an event and returns what is to be done, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.detect_pause(now);
        self.update_ownership(now);
        self.handle_event(now, event);
        self.handle_local(now);
        std::mem::take(&mut self.out.effects)
    }

    /// Returns when [`Event::Tick`] must be sent next.
    pub fn next_wake(&self, now: Time) -> Time {
        let cells = self.cells.values().filter_map(|cell| cell.next_wake(now));
        let due = [self.shares.next_wake(), self.token_client.next_wake(), self.claims.next_wake()];
        let due = due.into_iter().flatten().chain(cells).chain(self.other_cells_due.next());
        due.chain([self.members.next_wake(), self.next_tick, self.next_scan])
            .min()
            .unwrap_or(self.next_tick)
    }

    /// Distrusts grants from other instances for a while after a pause of this process.
    fn detect_pause(&mut self, now: Time) {
        if now.since(self.last_step) > PAUSE_THRESHOLD {
            self.suspect_until = now + STALE_GRANT_TIME;
        }
        self.last_step = now;
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::ListRead { asked_at, list } => self.list_read(now, asked_at, &list),
            Event::ListFailed => self.platform_failed("instance list"),
            Event::ConfigRead { text } => self.config_received(now, text),
            Event::ConfigFailed => self.platform_failed("configuration"),
            Event::Message { from, msg } => self.message(now, from, msg),
            Event::Request(head) => self.request(now, head),
            Event::AttemptSent { no, attempt } => self.sent(now, no, attempt),
            Event::AttemptEnded { no, attempt, end, cold } => {
                self.ended(now, no, attempt, end, cold);
            }
            Event::CallerLeft { no } => self.caller_left(now, no),
            Event::Load { server, report } => self.load(now, server, report),
            Event::OrderAnswered { server, fence, accepted } => {
                self.orders.answered(server, fence, accepted);
            }
            Event::Shutdown => self.shutdown(now),
        }
    }

    fn tick(&mut self, now: Time) {
        self.next_tick = now + TICK_INTERVAL;
        self.send_heartbeats(now);
        self.ask_seeds(now);
        self.tick_shards(now);
        self.tick_requests(now);
        self.advance_phase(now);
    }

    /// Handles the messages of this instance to itself until none are left.
    fn handle_local(&mut self, now: Time) {
        while let Some(msg) = self.out.local.pop_front() {
            self.message(now, self.setup.me, msg);
        }
    }

    fn message(&mut self, now: Time, from: Peer, msg: Msg) {
        if from.instance != self.setup.me.instance {
            self.sender_seen(now, from);
        }
        match msg {
            Msg::Heartbeat(heartbeat) => self.heartbeat(now, from, &heartbeat),
            Msg::ConfigPull => self.send_docs(from.instance),
            Msg::ConfigDoc(doc) => self.config_received(now, doc.text),
            Msg::ListDoc(doc) => self.list_received(now, &doc.text),
            Msg::Token(msg) => self.token_message(now, from, &msg),
            Msg::Cell(msg) => self.cell_message(now, from, &msg),
            Msg::Once(msg) => self.once_message(now, from, &msg),
            Msg::Handover(handover) => self.handover(now, handover),
        }
    }

    /// Sends a message to an instance, or handles it in this step if that is this instance. A
    /// message to an instance without a known address is dropped.
    pub(crate) fn send(&mut self, to: InstanceId, msg: Msg) {
        if to == self.setup.me.instance {
            self.out.local.push_back(msg);
            return;
        }
        if let Some(address) = self.members.address(to) {
            self.out.effects.push(Effect::Send { to, address, msg });
        }
    }

    fn shutdown(&mut self, now: Time) {
        if matches!(self.phase, Phase::Draining { .. } | Phase::Ended) {
            return;
        }
        let until = now + self.setup.drain_grace + self.setup.drain;
        let listen_until = now + self.setup.drain_grace;
        self.phase = Phase::Draining { listen_until, until, listening: true, busy_at: now };
        self.out.effects.push(Effect::Ready(false));
        self.out.log(LogEntry::ShuttingDown { requests: self.requests.len() });
        self.members.leave();
        self.heartbeat_all(now);
        self.refresh_shards(now);
        self.update_ownership(now);
    }

    fn advance_phase(&mut self, now: Time) {
        match self.phase {
            Phase::Joining { asked_at } => self.join(now, asked_at),
            Phase::Serving | Phase::Ended => {}
            Phase::Draining { listen_until, until, listening, busy_at } => {
                let is_busy = !self.requests.is_empty() || !self.token_client.is_empty();
                let busy_at = if is_busy || listening { now } else { busy_at };
                let is_listening = listening && now < listen_until;
                self.phase =
                    Phase::Draining { listen_until, until, listening: is_listening, busy_at };
                if listening && !is_listening {
                    self.out.effects.push(Effect::StopListening);
                }
                if now >= until || !listening && now >= busy_at + EXIT_IDLE_TIME {
                    self.phase = Phase::Ended;
                    self.out.effects.push(Effect::Exit);
                }
            }
        }
    }

    /// Returns how long a share that was taken over without a handover gives no tokens.
    pub(crate) fn hold_off(&self) -> Duration {
        limit::HOLD_OFF + self.setup.times.margin
    }

    /// Returns the time after which every instance of a fleet that starts all at once uses its
    /// shards.
    fn settling_time(&self) -> Duration {
        self.setup.times.takeover() + self.hold_off() + TICK_INTERVAL
    }

    /// Starts to serve once no other instance is known to have a newer configuration and this
    /// instance uses its shards: while a fleet starts, no other instance uses them.
    fn join(&mut self, now: Time, asked_at: Option<Time>) {
        if self.docs.config.is_none() || self.members.list_version() == Version(0) {
            return;
        }
        let Some(asked_at) = asked_at else {
            self.phase = Phase::Joining { asked_at: Some(now) };
            self.heartbeat_all(now);
            return;
        };
        let is_current = now >= asked_at + JOIN_TIMEOUT || self.members.all_acked();
        let is_owner = self.owned_shards.waiting() == 0 && now >= self.hold_off_until;
        let is_settled = is_owner || now >= asked_at + self.settling_time();
        if is_current && is_settled {
            self.phase = Phase::Serving;
            self.out.effects.push(Effect::Ready(true));
        }
    }
}
