//! State shared by the tasks of the process.

use std::{
    cell::{Cell, RefCell},
    fmt::Display,
    future::Future,
    net::{SocketAddrV4, UdpSocket},
    rc::Rc,
};

use aio::{Clock, Latch, deadline};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use dispatch::{
    CallerLimits, Command, Effect, Event, LogEntry, ReadSource, RequestKey, RetryPolicy, ServerKey,
    State,
};
use gossip::ViewStatus;
use model::prelude::*;
use slotmap::SlotMap;

use crate::{
    HeaderCodec, Settings,
    connection_pool::ConnectionPool,
    journal::Journal,
    memory::Memory,
    metrics::Metrics,
    traffic::{Cause, Zone},
};

/// A running instance: the reducer, and what is needed to carry out its effects.
pub struct Instance {
    /// The clock for all decisions.
    pub clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) header_codec: Box<dyn HeaderCodec>,
    pub(crate) metrics: Metrics,
    pub(crate) connections: Rc<ConnectionPool>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Set when the process stops accepting callers' connections.
    pub(crate) stopped_listening: Latch,
    /// Set when the process must end.
    pub(crate) exit: Latch,
    /// Whether the process was asked to stop; connections then close after their response.
    pub(crate) is_draining: Cell<bool>,
    /// Open connections of callers.
    pub(crate) caller_connections: Cell<usize>,
    pub(crate) memory: Rc<Memory>,
    is_ready: Cell<bool>,
    socket: Async<UdpSocket>,
    state: RefCell<State>,
    tasks: RefCell<SlotMap<RequestKey, Sender<Command>>>,
    journal: RefCell<Journal>,
    /// Servers to be checked, for the task that does it. Each server is in it once at most.
    checks: (Sender<ServerCheck>, Receiver<ServerCheck>),
    /// Wakes the task that reads the platform.
    read_now: (Sender<()>, Receiver<()>),
    /// When the next tick is scheduled.
    scheduled: Cell<Time>,
    /// Wakes the task that ticks if a tick is due before [`Instance::scheduled`].
    reschedule: Sender<()>,
}

/// A server to be checked, which may have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerCheck {
    pub(crate) server: ServerKey,
    pub(crate) address: SocketAddrV4,
}

/// What an [`Instance`] is built from.
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) header_codec: Box<dyn HeaderCodec>,
    pub(crate) socket: Async<UdpSocket>,
    pub(crate) state: State,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) reschedule: Sender<()>,
}

impl Instance {
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            metrics: Metrics::default(),
            connections: Rc::default(),
            stopped_listening: Latch::default(),
            exit: Latch::default(),
            is_draining: Cell::new(false),
            caller_connections: Cell::new(0),
            memory: Rc::new(Memory::new(parts.settings.memory_bytes)),
            is_ready: Cell::new(false),
            tasks: RefCell::default(),
            journal: RefCell::new(Journal::new(parts.clock.now())),
            checks: async_channel::unbounded(),
            read_now: async_channel::bounded(1),
            scheduled: Cell::new(Time::default()),
            clock: parts.clock,
            settings: parts.settings,
            header_codec: parts.header_codec,
            socket: parts.socket,
            state: RefCell::new(parts.state),
            executor: parts.executor,
            reschedule: parts.reschedule,
        }
    }

    /// Passes an event to the reducer and carries out the effects that it returns.
    pub fn handle_event(&self, event: Event) {
        let now = self.clock.now();
        if matches!(event, Event::Shutdown) {
            self.is_draining.set(true);
        }
        let effects = self.state.borrow_mut().step(now, event);
        for effect in effects {
            self.execute(now, effect);
        }
        if self.next_wake(now) < self.scheduled.get() {
            // A full channel means that the task that ticks will wake anyway.
            let _ = self.reschedule.try_send(());
        }
    }

    /// Waits until changes must be read next, and returns from where: the platform if no peer is
    /// acceptable, as this instance lacks what changes apply to. The platform is not read before
    /// `earliest` under the policy on retries, which may change meanwhile.
    pub async fn wait_until_read_due(
        &self,
        accepts_peers: bool,
        earliest: impl Fn(RetryPolicy) -> Time,
    ) -> ReadSource {
        loop {
            let (due, source) = self.read_state(|state| (state.next_read(), state.read_source()));
            let source = if accepts_peers { source } else { ReadSource::Platform };
            let earliest = earliest(self.read_state(State::retry_policy));
            let due = if source == ReadSource::Platform { due.max(earliest) } else { due };
            if self.clock.now() >= due {
                return source;
            }
            // Woken or timed out, the due time is read again: packets of other instances may have
            // moved it in the meantime.
            let _ = deadline::until(self.clock, due, self.read_now.1.recv()).await;
        }
    }

    /// Returns the address at which other instances reach this one.
    pub fn peer_address(&self) -> SocketAddrV4 {
        self.settings.peer_listen
    }

    /// Returns the view of the platform and its staleness, as other instances get them.
    pub fn view_status(&self) -> ViewStatus {
        let now = self.clock.now();
        self.read_state(|state| state.view_status(now))
    }

    /// Runs a task for as long as the process runs, or until it completes.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Returns whether the load balancer should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Waits for the next server that must be checked; `None` if there will be none.
    pub(crate) async fn next_check(&self) -> Option<ServerCheck> {
        self.checks.1.recv().await.ok()
    }

    /// Reads the reducer's state.
    pub fn read_state<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Returns the limits on what callers may send: defaults until a configuration is in force.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.read_state(|state| state.catalog().map(|catalog| catalog.limits)).unwrap_or_default()
    }

    /// Registers the task of a request and returns the request's key. The reducer's commands for
    /// the request are sent to `commands`.
    pub(crate) fn add_task(&self, commands: Sender<Command>) -> RequestKey {
        self.tasks.borrow_mut().insert(commands)
    }

    pub(crate) fn remove_task(&self, key: RequestKey) {
        self.tasks.borrow_mut().remove(key);
    }

    /// Returns when the next tick is due, and stores it as the scheduled time.
    pub(crate) fn schedule_tick(&self) -> Time {
        let due = self.next_wake(self.clock.now());
        self.scheduled.set(due);
        due
    }

    pub(crate) fn socket(&self) -> &Async<UdpSocket> {
        &self.socket
    }

    fn next_wake(&self, now: Time) -> Time {
        self.state.borrow().next_wake(now)
    }

    fn execute(&self, now: Time, effect: Effect) {
        match effect {
            Effect::Command { key, command } => self.send_command(key, command),
            Effect::Send(outgoing) => {
                self.send(Cause::Packet, outgoing.to, outgoing.packet.encode());
            }
            Effect::SendTree(outgoing) => {
                self.send(Cause::Tree, outgoing.to, outgoing.message.encode());
            }
            Effect::SendLoads(outgoing) => {
                self.send(Cause::Loads, outgoing.to, outgoing.message.encode());
            }
            Effect::SendOrigins(outgoing) => {
                self.send(Cause::Origins, outgoing.to, outgoing.message.encode());
            }
            Effect::ReadPlatform => {
                // A full channel means that the task that reads will wake anyway.
                let _ = self.read_now.0.try_send(());
            }
            Effect::Disconnect { address } => self.connections.close_idle(address),
            Effect::CheckServer { server, address } => {
                if let Err(err) = self.checks.0.try_send(ServerCheck { server, address }) {
                    log::warn!(address:%; "a server is not checked: {err}");
                }
            }
            Effect::Ready(ready) => self.is_ready.set(ready),
            Effect::StopListening => self.stopped_listening.set(),
            Effect::Exit => self.exit.set(),
            Effect::Log(entry) => self.record(now, &entry),
        }
    }

    /// Counts a decision in the metrics and logs it, within the log's rate limit.
    pub(crate) fn record(&self, now: Time, entry: &LogEntry) {
        self.metrics.count(entry);
        self.journal.borrow_mut().write(now, entry);
    }

    fn send_command(&self, key: RequestKey, command: Command) {
        if let Some(commands) = self.tasks.borrow().get(key) {
            // This fails if the task has ended because its caller left.
            let _ = commands.try_send(command);
        }
    }

    fn send<E: Display>(&self, cause: Cause, to: SocketAddrV4, encoded: Result<Vec<u8>, E>) {
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("cannot encode a datagram: {err}"),
        };
        let zone = Zone::new(self.read_state(|state| state.is_peer_in_own_zone(to)));
        self.metrics.traffic.bytes(cause, zone).inc_by(bytes.len() as u64);
        // A datagram that the socket does not accept at once is dropped, as the network may drop
        // any: the next one carries the same state.
        if let Err(err) = self.socket.get_ref().send_to(&bytes, to) {
            log::debug!(to:%; "cannot send a datagram: {err}");
        }
    }
}
