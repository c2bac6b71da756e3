//! The reducer.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

use config::Catalog;
use limit::{Shares, StaticLimits, Timing, TokenClient};
use model::{msg::CellLoad, prelude::*, wakes::Wakes};
use once::{Claims, HeldKeys};
use own::{Members, OwnedShards};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use sched::Cell;

use crate::{
    Effect, Event, LogEntry, Setup,
    budget::RetryBudget,
    orders::Orders,
    request::{Holding, Request},
};

/// Time between two ticks while nothing else happens.
const TICK: Duration = Duration::from_millis(100);

/// A process that did not step for this time may have been stopped meanwhile.
const PAUSE: Duration = Duration::from_millis(400);

/// For this time after a pause, grants that come may have waited in the network buffers of this
/// process for as long as the pause.
const PAUSE_ECHO: Duration = Duration::from_millis(300);

/// An instance that shuts down ends after this time without requests: a caller may send one more
/// on a connection whose last answer began before the shutdown.
const EXIT_QUIET: Duration = Duration::from_millis(500);

/// How long an instance that starts waits for the others to tell a newer configuration.
const JOIN_WAIT: Duration = Duration::from_millis(1_500);

/// The control state of an instance.
///
/// All decisions are made in [`State::step`]. What the state is made of is documented at the
/// crates that it combines: `own`, `limit`, `sched` and `once`.
#[derive(Debug)]
pub struct State {
    pub(crate) setup: Setup,
    pub(crate) phase: Phase,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) members: Members,
    pub(crate) holdings: OwnedShards,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) docs: Docs,
    pub(crate) shares: Shares,
    pub(crate) cells: BTreeMap<CellId, Cell>,
    pub(crate) watched: BTreeSet<ServerId>,
    /// The instances of the last list.
    pub(crate) former: BTreeSet<InstanceId>,
    /// When an instance left the list last.
    pub(crate) left_at: Option<Time>,
    pub(crate) orders: Orders,
    pub(crate) wallet: TokenClient,
    pub(crate) static_limits: StaticLimits,
    pub(crate) memory: HeldKeys,
    pub(crate) claims: Claims,
    pub(crate) requests: HashMap<RequestNo, Request>,
    pub(crate) tickets: HashMap<TicketId, RequestNo>,
    pub(crate) held: HashMap<GrantId, RequestNo>,
    pub(crate) holding: Holding,
    pub(crate) loads: HashMap<CellId, CellLoad>,
    pub(crate) budget: RetryBudget,
    pub(crate) next_ticket: u64,
    pub(crate) suspect_until: Time,
    /// Until when shares that nobody handed over give no tokens.
    pub(crate) silent_until: Time,
    /// The [`Members::owners_epoch`] for which the owners of all tickets were looked up.
    pub(crate) tickets_epoch: u64,
    /// When requests ask the cells of other availability zones.
    pub(crate) spreads: Wakes<RequestNo>,
    /// When all waiting requests are looked at again.
    pub(crate) next_scan: Time,
    last_step: Time,
    next_tick: Time,
    pub(crate) out: Out,
}

/// How far the life of the instance has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The configuration may be older than that of other instances.
    Joining {
        /// When the others were asked first.
        asked_at: Option<Time>,
    },
    /// Requests are served.
    Serving,
    /// Requests are served to their end; new ones come until the balancer has noticed.
    Draining {
        /// When no new connections are accepted any more.
        listen_until: Time,
        /// When the process ends, whatever is left.
        until: Time,
        /// Whether connections are still accepted.
        listening: bool,
        /// When there was a request last, or connections were still accepted.
        busy_at: Time,
    },
    /// The process ends.
    Ended,
}

/// The documents in use, as they are passed on to other instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct Docs {
    pub(crate) config: Option<Arc<str>>,
    pub(crate) list: Option<Arc<str>>,
    /// What was wrong with the last configuration that was refused.
    pub(crate) rejected: Option<String>,
    pub(crate) config_down: bool,
    pub(crate) list_down: bool,
    pub(crate) next_seed_ask: Time,
}

/// What a step produces.
#[derive(Debug, Default)]
pub(crate) struct Out {
    pub(crate) effects: Vec<Effect>,
    /// Messages of this instance to itself.
    pub(crate) local: VecDeque<Msg>,
}

impl Out {
    pub(crate) fn log(&mut self, note: LogEntry) {
        self.effects.push(Effect::Log(note));
    }
}

impl State {
    /// Starts with nothing known.
    pub fn new(now: Time, setup: Setup) -> Self {
        let me = setup.me;
        let timing = Timing { margin: setup.times.margin, grow_after: setup.config_spread };
        Self {
            phase: Phase::Joining { asked_at: None },
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            members: Members::new(me, setup.zone, setup.times),
            holdings: OwnedShards::default(),
            catalog: Arc::default(),
            docs: Docs::default(),
            shares: Shares::new(me, timing),
            cells: BTreeMap::new(),
            watched: BTreeSet::new(),
            former: BTreeSet::new(),
            left_at: None,
            orders: Orders::default(),
            wallet: TokenClient::new(me),
            static_limits: StaticLimits::new(1),
            memory: HeldKeys::new(now),
            claims: Claims::new(me),
            requests: HashMap::new(),
            tickets: HashMap::new(),
            held: HashMap::new(),
            holding: Holding::default(),
            loads: HashMap::new(),
            budget: RetryBudget::default(),
            next_ticket: 1,
            suspect_until: Time::default(),
            silent_until: Time::default(),
            tickets_epoch: 0,
            spreads: Wakes::default(),
            next_scan: now,
            last_step: now,
            next_tick: now,
            out: Out::default(),
            setup,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.notice_pause(now);
        self.follow_ownership(now);
        self.take(now, event);
        self.run_local(now);
        std::mem::take(&mut self.out.effects)
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn next_wake(&self, now: Time) -> Time {
        let cells = self.cells.values().filter_map(|it| it.next_wake(now));
        let due = [self.shares.next_wake(), self.wallet.next_wake(), self.claims.next_wake()];
        let due = due.into_iter().flatten().chain(cells).chain(self.spreads.next());
        due.chain([self.members.next_wake(), self.next_tick, self.next_scan])
            .min()
            .unwrap_or(self.next_tick)
    }

    /// A process that was stopped must not act on what it knew before.
    fn notice_pause(&mut self, now: Time) {
        if now.since(self.last_step) > PAUSE {
            self.suspect_until = now + PAUSE_ECHO;
        }
        self.last_step = now;
    }

    fn take(&mut self, now: Time, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::ListRead { asked_at, list } => self.list_read(now, asked_at, &list),
            Event::ListFailed => self.platform_failed("instance list"),
            Event::ConfigRead { text } => self.config_read(now, text),
            Event::ConfigFailed => self.platform_failed("configuration"),
            Event::Message { from, msg } => self.message(now, from, msg),
            Event::Request(head) => self.request(now, head),
            Event::AttemptSent { no, attempt } => self.sent(now, no, attempt),
            Event::AttemptEnded { no, attempt, end, cold } => {
                self.ended(now, no, attempt, end, cold)
            }
            Event::CallerLeft { no } => self.caller_left(now, no),
            Event::Load { server, report } => self.load(now, server, report),
            Event::OrderAnswered { server, fence, accepted } => {
                self.orders.answered(server, fence, accepted)
            }
            Event::Shutdown => self.shutdown(now),
        }
    }

    fn tick(&mut self, now: Time) {
        self.next_tick = now + TICK;
        self.send_beats(now);
        self.ask_seeds(now);
        self.tick_duties(now);
        self.tick_entry(now);
        self.advance_phase(now);
    }

    /// Handles the messages of this instance to itself until there are no more.
    fn run_local(&mut self, now: Time) {
        while let Some(msg) = self.out.local.pop_front() {
            self.message(now, self.setup.me, msg);
        }
    }

    fn message(&mut self, now: Time, from: Peer, msg: Msg) {
        if from.instance != self.setup.me.instance {
            self.heard(now, from);
        }
        match msg {
            Msg::Heartbeat(it) => self.heartbeat(now, from, &it),
            Msg::ConfigPull => self.send_docs(from.instance),
            Msg::ConfigDoc(it) => self.config_read(now, it.text),
            Msg::ListDoc(it) => self.list_heard(now, &it.text),
            Msg::Token(it) => self.token(now, from, &it),
            Msg::Cell(it) => self.cell(now, from, &it),
            Msg::Once(it) => self.once(now, from, &it),
            Msg::Handover(it) => self.handed_over(now, it),
        }
    }

    /// Sends a message to an instance, or handles it here if it is this one.
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
        self.tell_all(now);
        self.refresh_shards(now);
        self.follow_ownership(now);
    }

    fn advance_phase(&mut self, now: Time) {
        match self.phase {
            Phase::Joining { asked_at } => self.join(now, asked_at),
            Phase::Serving | Phase::Ended => {}
            Phase::Draining { listen_until, until, listening, busy_at } => {
                let is_busy = !self.requests.is_empty() || !self.wallet.is_empty();
                let busy_at = if is_busy || listening { now } else { busy_at };
                let listens = listening && now < listen_until;
                self.phase = Phase::Draining { listen_until, until, listening: listens, busy_at };
                if listening && !listens {
                    self.out.effects.push(Effect::StopListening);
                }
                if now >= until || !listening && now >= busy_at + EXIT_QUIET {
                    self.phase = Phase::Ended;
                    self.out.effects.push(Effect::Exit);
                }
            }
        }
    }

    /// For how long a share that nobody handed over gives no tokens.
    pub(crate) fn silence(&self) -> Duration {
        limit::HOLD_OFF + self.setup.times.margin
    }

    /// The time in which a fleet that starts all at once comes to own its shards.
    fn settling_time(&self) -> Duration {
        self.setup.times.takeover() + self.silence() + TICK
    }

    /// Begins to serve once no other instance is known to have a newer configuration, and the
    /// shards of this instance are in use: nobody else serves them while a fleet starts.
    fn join(&mut self, now: Time, asked_at: Option<Time>) {
        if self.docs.config.is_none() || self.members.list_version() == Version(0) {
            return;
        }
        let Some(asked_at) = asked_at else {
            self.phase = Phase::Joining { asked_at: Some(now) };
            self.tell_all(now);
            return;
        };
        let is_current = now >= asked_at + JOIN_WAIT || self.members.all_acked();
        let is_owner = self.holdings.waiting() == 0 && now >= self.silent_until;
        let is_settled = is_owner || now >= asked_at + self.settling_time();
        if is_current && is_settled {
            self.phase = Phase::Serving;
            self.out.effects.push(Effect::Ready(true));
        }
    }
}
