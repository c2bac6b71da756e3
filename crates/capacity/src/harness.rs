//! Runs one control state and simulates the instances and backend servers around it.

use std::{
    collections::VecDeque,
    error::Error,
    sync::Arc,
    time::{Duration, Instant},
};

use control::{Effect, Event, LoadReport, RequestCommand, RequestHead, State};
use model::{
    msg::{CellMsg, Heartbeat, TokenMsg},
    prelude::*,
};
use own::{Members, Shard};

use crate::{
    fleet::{Fleet, POOLS, Size},
    messages::envelope_bytes,
};

/// Simulated time until all shards are taken over and the cells are open.
const WARM_UP: Duration = Duration::from_secs(12);
/// Simulated time between two ticks of the warm-up.
const WARM_UP_STEP: Duration = Duration::from_millis(50);
/// The ids of the harness start here, high enough to differ from those of the control state.
const FIRST_ID: u64 = 1 << 60;

/// The class whose requests the simulated owners of cells put into a queue; all other requests get
/// a grant at once.
const QUEUED_CLASS: &str = "class-1";
/// The pool of the queued requests. At [`crate::DESIGN_SIZE`] the measured instance owns no cell of
/// it, so that a simulated owner answers them.
const QUEUED_POOL: &str = "pool-1";

/// The cost of the steps since it was last reset.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    /// Time of the control thread.
    pub(crate) time: Duration,
    /// Messages sent to other instances.
    pub(crate) sent: u64,
    /// Messages that the other instances sent back.
    pub(crate) received: u64,
    /// Bytes of the envelopes sent.
    pub(crate) bytes: u64,
}

/// What the harness simulates and counts beside replies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Options {
    /// Whether other instances also send a heartbeat of their own for each one that they get.
    pub(crate) peer_heartbeats: bool,
    /// Whether the bytes of sent envelopes are counted.
    pub(crate) count_bytes: bool,
}

/// One control state, and simulated instances and backend servers around it.
pub(crate) struct Harness {
    pub(crate) fleet: Fleet,
    /// The configuration that [`Harness::read_config`] passes to the state, JSON.
    pub(crate) config_text: Arc<str>,
    pub(crate) state: State,
    pub(crate) now: Time,
    pub(crate) me: Peer,
    /// The instances as the state knows them, to find the owners of shards.
    pub(crate) members: Members,
    pub(crate) options: Options,
    pub(crate) cost: Cost,
    /// Backend servers whose load the state asked for.
    watched_servers: Vec<ServerId>,
    /// Attempts that the state started, and that have not ended.
    started_attempts: Vec<(RequestNo, u32)>,
    next_id: u64,
}

impl Harness {
    /// Starts an instance that owns a cell and some shares, and runs the warm-up.
    pub(crate) fn start(size: Size) -> Result<Self, Box<dyn Error>> {
        let fleet = Fleet::new(size);
        let config_text = fleet.config_text()?;
        let me = Peer { instance: fleet.owner(), incarnation: Incarnation(1) };
        let now = Time::from_millis(1_000_000);
        let mut harness = Self {
            state: State::new(now, fleet.setup(me)),
            members: fleet.members(me),
            fleet,
            config_text,
            now,
            me,
            options: Options::default(),
            cost: Cost::default(),
            watched_servers: Vec::new(),
            started_attempts: Vec::new(),
            next_id: FIRST_ID,
        };
        harness.read_config();
        let end = now + WARM_UP;
        while harness.now < end {
            harness.idle(WARM_UP_STEP, true);
        }
        harness.cost = Cost::default();
        Ok(harness)
    }

    /// Lets simulated time pass without requests: load reports arrive, timers run, and the instance
    /// list is read if it is readable.
    pub(crate) fn idle(&mut self, duration: Duration, is_list_readable: bool) {
        self.now = self.now + duration;
        if is_list_readable {
            self.read_list();
        }
        for server in self.watched_servers.clone() {
            let report = LoadReport { incarnation: 1, running: 0, queued: 0, cold: false };
            self.step(Event::Load { server, report: Ok(report) });
        }
        self.step(Event::Tick);
    }

    pub(crate) fn read_list(&mut self) {
        let list = self.fleet.list.clone();
        self.step(Event::ListRead { asked_at: self.now, list });
    }

    pub(crate) fn read_config(&mut self) {
        self.step(Event::ConfigRead { text: Arc::clone(&self.config_text) });
    }

    /// Serves one request from its arrival to its end.
    pub(crate) fn serve_request(&mut self, account: usize) {
        let pool = format!("pool-{}", account % POOLS);
        self.start_request(account, PoolId::of(&pool), ClassId::of("class-0"));
        for (no, attempt) in std::mem::take(&mut self.started_attempts) {
            self.step(Event::AttemptSent { no, attempt });
            let millis = Duration::from_millis;
            let end =
                AttemptEnd::Completed { first_byte: millis(5), total: millis(9), tokens: 100 };
            self.step(Event::AttemptEnded { no, attempt, end, cold: false });
        }
    }

    /// Lets a request arrive that waits for a grant: see [`QUEUED_CLASS`].
    pub(crate) fn queue_request(&mut self, account: usize) {
        self.start_request(account, PoolId::of(QUEUED_POOL), ClassId::of(QUEUED_CLASS));
    }

    fn start_request(&mut self, account: usize, pool: PoolId, class: ClassId) {
        let id = self.fresh_id();
        self.step(Event::Request(RequestHead {
            no: RequestNo(id),
            id: RequestId(id.into()),
            arrived: self.now,
            route: RouteId::of("chat"),
            pool,
            class,
            idempotent: true,
            key: Some(KeyHash::of(account.to_string().as_bytes())),
            prefix: PrefixHash(id),
            idempotency: None,
        }));
    }

    /// Sends a tick if a timer of the state is due.
    pub(crate) fn run_due_timers(&mut self) {
        if self.state.next_wake(self.now) <= self.now {
            self.step(Event::Tick);
        }
    }

    /// Lets a message from another instance arrive and returns the messages that the state sends.
    pub(crate) fn receive(&mut self, from: Peer, msg: Msg) -> Vec<Msg> {
        self.step(Event::Message { from, msg })
    }

    /// Handles an event, then the replies to the messages that the state sends, until it sends no
    /// more. Returns all messages that it sent.
    pub(crate) fn step(&mut self, event: Event) -> Vec<Msg> {
        let mut events = VecDeque::from([event]);
        let mut sent = Vec::new();
        while let Some(event) = events.pop_front() {
            for effect in self.timed_step(event) {
                match effect {
                    Effect::Send { to, msg, .. } => {
                        self.count_sent(to, &msg);
                        let before = events.len();
                        self.reply_to(to, &msg, &mut events);
                        self.cost.received += (events.len() - before) as u64;
                        sent.push(msg);
                    }
                    Effect::Watch { server, .. } => self.watched_servers.push(server),
                    Effect::Request { no, command: RequestCommand::Run(run) } => {
                        self.started_attempts.push((no, run.attempt));
                    }
                    _ => {}
                }
            }
        }
        sent
    }

    fn timed_step(&mut self, event: Event) -> Vec<Effect> {
        let start = Instant::now();
        let effects = self.state.step(self.now, event);
        std::hint::black_box(self.state.next_wake(self.now));
        self.cost.time += start.elapsed();
        effects
    }

    fn count_sent(&mut self, to: InstanceId, msg: &Msg) {
        self.cost.sent += 1;
        if self.options.count_bytes {
            self.cost.bytes += envelope_bytes(self.me, to, msg);
        }
    }

    fn reply_to(&mut self, to: InstanceId, msg: &Msg, events: &mut VecDeque<Event>) {
        let from = Peer { instance: to, incarnation: Incarnation(1) };
        let mut reply = |msg| events.push_back(Event::Message { from, msg });
        match msg {
            Msg::Heartbeat(heartbeat) if !heartbeat.ack => {
                reply(Msg::Heartbeat(Heartbeat {
                    ack: true,
                    cells: Vec::new(),
                    ..heartbeat.clone()
                }));
                if self.options.peer_heartbeats {
                    reply(Msg::Heartbeat(Heartbeat { cells: Vec::new(), ..heartbeat.clone() }));
                }
            }
            Msg::Token(TokenMsg::Ask { ask, share, .. }) => {
                let (ask, share, ttl) = (*ask, *share, Duration::from_secs(1));
                let lease = LeaseId(self.fresh_id());
                reply(Msg::Token(TokenMsg::Give { ask, share, lease, ttl }));
            }
            Msg::Cell(CellMsg::Acquire(acquire)) => {
                let is_queued = acquire.class == ClassId::of(QUEUED_CLASS);
                let msg = self.cell_reply(acquire.ticket, acquire.cell, is_queued);
                reply(Msg::Cell(msg));
            }
            Msg::Cell(CellMsg::Reclaim { cell }) => {
                reply(Msg::Cell(CellMsg::Held { cell: *cell, grants: Vec::new() }));
            }
            _ => {}
        }
    }

    fn cell_reply(&mut self, ticket: TicketId, cell: CellId, is_queued: bool) -> CellMsg {
        if is_queued {
            return CellMsg::Queued { ticket, cell, eta: Duration::from_secs(1) };
        }
        let grant = GrantId(self.fresh_id());
        let server = ServerId::of("runner-0");
        CellMsg::Grant { ticket, cell, grant, server, start_within: Duration::from_secs(1) }
    }

    /// Returns an id that was not used before.
    pub(crate) fn fresh_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Returns the shares that the measured instance owns.
    pub(crate) fn owned_shares(&self) -> Vec<ShareId> {
        let accounts = self.fleet.cfg.accounts.iter().map(|account| AccountId::of(&account.name));
        let shares = accounts.map(|account| ShareId { account, zone: ZoneId::of("zone-0") });
        let me = Some(self.me.instance);
        shares.filter(|share| self.members.owner(Shard::Share(*share)) == me).collect()
    }

    /// Returns another instance of the fleet, or the measured one if it is alone.
    pub(crate) fn peer(&self) -> Peer {
        let other = self.members.others().map(|(id, _)| id).next();
        Peer { instance: other.unwrap_or(self.me.instance), incarnation: Incarnation(1) }
    }
}
