//! One control state, and answers for the instances and backend servers around it.

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
    messages::bytes_of,
    site::{POOLS, Site, Size},
};

/// Simulated time until all shards are taken over and the cells are open.
const WARM_UP: Duration = Duration::from_secs(12);
/// Simulated time between two rounds of the warm-up.
const ROUND: Duration = Duration::from_millis(50);
/// Ids that this harness makes up start here, apart from those of the state.
const FIRST_ID: u64 = 1 << 60;

/// The class whose requests are put into the queues of cells in place of being granted.
const WAITING_CLASS: &str = "class-1";
/// The pool that they wait for; the measured instance owns no cell of it at the size of the aim.
const WAITING_POOL: &str = "pool-1";

/// What the steps so far cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    /// Time of the control thread.
    pub(crate) time: Duration,
    /// Messages sent to other instances.
    pub(crate) sent: u64,
    /// Messages that the other instances sent in answer.
    pub(crate) received: u64,
    /// Bytes of the envelopes sent.
    pub(crate) bytes: u64,
}

/// How the other instances answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Answers {
    /// Every instance sends as many heartbeats as it gets.
    pub(crate) beats: bool,
    /// The size of envelopes is counted.
    pub(crate) bytes: bool,
}

/// One control state, and answers for the instances and backend servers around it.
pub(crate) struct Harness {
    pub(crate) site: Site,
    pub(crate) text: Arc<str>,
    pub(crate) state: State,
    pub(crate) now: Time,
    pub(crate) me: Peer,
    pub(crate) members: Members,
    pub(crate) answers: Answers,
    pub(crate) cost: Cost,
    watched: Vec<ServerId>,
    started: Vec<(RequestNo, u32)>,
    next_id: u64,
}

impl Harness {
    /// Starts an instance that owns a cell and some shares, and waits until it uses them.
    pub(crate) fn start(size: Size) -> Result<Self, Box<dyn Error>> {
        let site = Site::new(size);
        let text = site.text()?;
        let me = Peer { instance: site.owner(), incarnation: Incarnation(1) };
        let now = Time::from_millis(1_000_000);
        let mut harness = Self {
            state: State::new(now, site.setup(me)),
            members: site.members(me),
            site,
            text,
            now,
            me,
            answers: Answers::default(),
            cost: Cost::default(),
            watched: Vec::new(),
            started: Vec::new(),
            next_id: FIRST_ID,
        };
        harness.read_config();
        let end = now + WARM_UP;
        while harness.now < end {
            harness.idle(ROUND, true);
        }
        harness.cost = Cost::default();
        Ok(harness)
    }

    /// Lets time pass without requests. The instance list is read if the platform answers.
    pub(crate) fn idle(&mut self, span: Duration, platform: bool) {
        self.now = self.now + span;
        if platform {
            self.read_list();
        }
        for server in self.watched.clone() {
            let report = LoadReport { incarnation: 1, running: 0, queued: 0, cold: false };
            self.step(Event::Load { server, report: Ok(report) });
        }
        self.step(Event::Tick);
    }

    pub(crate) fn read_list(&mut self) {
        let list = self.site.list.clone();
        self.step(Event::ListRead { asked_at: self.now, list });
    }

    pub(crate) fn read_config(&mut self) {
        self.step(Event::ConfigRead { text: Arc::clone(&self.text) });
    }

    /// Serves one request from its arrival to its end.
    pub(crate) fn request(&mut self, account: usize) {
        let pool = format!("pool-{}", account % POOLS);
        self.arrive(account, PoolId::of(&pool), ClassId::of("class-0"));
        for (no, attempt) in std::mem::take(&mut self.started) {
            self.step(Event::AttemptSent { no, attempt });
            let millis = Duration::from_millis;
            let end =
                AttemptEnd::Completed { first_byte: millis(5), total: millis(9), tokens: 100 };
            self.step(Event::AttemptEnded { no, attempt, end, cold: false });
        }
    }

    /// Lets a request arrive that waits for a backend server: see [`WAITING_CLASS`].
    pub(crate) fn arrive_and_wait(&mut self, account: usize) {
        self.arrive(account, PoolId::of(WAITING_POOL), ClassId::of(WAITING_CLASS));
    }

    fn arrive(&mut self, account: usize, pool: PoolId, class: ClassId) {
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

    /// Takes the timers that are due.
    pub(crate) fn wake(&mut self) {
        if self.state.next_wake(self.now) <= self.now {
            self.step(Event::Tick);
        }
    }

    /// Lets a message of another instance arrive.
    pub(crate) fn message(&mut self, from: Peer, msg: Msg) -> Vec<Msg> {
        self.step(Event::Message { from, msg })
    }

    /// Steps the state and answers what it sends, until it sends no more. Returns the messages
    /// that it sent.
    pub(crate) fn step(&mut self, event: Event) -> Vec<Msg> {
        let mut events = VecDeque::from([event]);
        let mut sent = Vec::new();
        while let Some(event) = events.pop_front() {
            for effect in self.timed(event) {
                match effect {
                    Effect::Send { to, msg, .. } => {
                        self.count(to, &msg);
                        let before = events.len();
                        self.answer(to, &msg, &mut events);
                        self.cost.received += (events.len() - before) as u64;
                        sent.push(msg);
                    }
                    Effect::Watch { server, .. } => self.watched.push(server),
                    Effect::Request { no, command: RequestCommand::Run(run) } => {
                        self.started.push((no, run.attempt));
                    }
                    _ => {}
                }
            }
        }
        sent
    }

    fn timed(&mut self, event: Event) -> Vec<Effect> {
        let start = Instant::now();
        let effects = self.state.step(self.now, event);
        std::hint::black_box(self.state.next_wake(self.now));
        self.cost.time += start.elapsed();
        effects
    }

    fn count(&mut self, to: InstanceId, msg: &Msg) {
        self.cost.sent += 1;
        if self.answers.bytes {
            self.cost.bytes += bytes_of(self.me, to, msg);
        }
    }

    fn answer(&mut self, to: InstanceId, msg: &Msg, events: &mut VecDeque<Event>) {
        let from = Peer { instance: to, incarnation: Incarnation(1) };
        let mut reply = |msg| events.push_back(Event::Message { from, msg });
        match msg {
            Msg::Heartbeat(it) if !it.ack => {
                reply(Msg::Heartbeat(Heartbeat { ack: true, cells: Vec::new(), ..it.clone() }));
                if self.answers.beats {
                    reply(Msg::Heartbeat(Heartbeat { cells: Vec::new(), ..it.clone() }));
                }
            }
            Msg::Token(TokenMsg::Ask { ask, share, .. }) => {
                let (ask, share, ttl) = (*ask, *share, Duration::from_secs(1));
                let lease = LeaseId(self.fresh_id());
                reply(Msg::Token(TokenMsg::Give { ask, share, lease, ttl }));
            }
            Msg::Cell(CellMsg::Acquire(it)) => {
                let waits = it.class == ClassId::of(WAITING_CLASS);
                let msg = self.cell_answer(it.ticket, it.cell, waits);
                reply(Msg::Cell(msg));
            }
            Msg::Cell(CellMsg::Reclaim { cell }) => {
                reply(Msg::Cell(CellMsg::Held { cell: *cell, grants: Vec::new() }));
            }
            _ => {}
        }
    }

    fn cell_answer(&mut self, ticket: TicketId, cell: CellId, waits: bool) -> CellMsg {
        if waits {
            return CellMsg::Queued { ticket, cell, eta: Duration::from_secs(1) };
        }
        let grant = GrantId(self.fresh_id());
        let server = ServerId::of("runner-0");
        CellMsg::Grant { ticket, cell, grant, server, start_within: Duration::from_secs(1) }
    }

    /// Returns a number that was not used before.
    pub(crate) fn fresh_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Returns the shares that the instance owns.
    pub(crate) fn shares(&self) -> Vec<ShareId> {
        let accounts = self.site.cfg.accounts.iter().map(|it| AccountId::of(&it.name));
        let shares = accounts.map(|account| ShareId { account, zone: ZoneId::of("zone-0") });
        let me = Some(self.me.instance);
        shares.filter(|it| self.members.owner(Shard::Share(*it)) == me).collect()
    }

    /// Returns another instance.
    pub(crate) fn peer(&self) -> Peer {
        let other = self.members.others().map(|(id, _)| id).next();
        Peer { instance: other.unwrap_or(self.me.instance), incarnation: Incarnation(1) }
    }
}
