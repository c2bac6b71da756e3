//! What the tasks of a process share.

use std::{
    cell::{Cell, RefCell},
    net::UdpSocket,
    rc::Rc,
};

use aio::{Clock, Latch, deadline};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use dispatch::{CallerLimits, Command, Effect, Event, LogEntry, RequestKey, State};
use gossip::OutgoingPacket;
use model::prelude::*;
use slotmap::SlotMap;

use crate::{HeaderCodec, Settings, journal::Journal, metrics::Metrics, pool::Pool};

/// A running instance: the reducer and what carries out its effects.
pub struct Instance {
    /// The clock of all decisions.
    pub clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) dialect: Box<dyn HeaderCodec>,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// Raised when connections are no longer accepted.
    pub(crate) stopped_listening: Latch,
    /// Raised when the process ends.
    pub(crate) exits: Latch,
    pub(crate) is_draining: Cell<bool>,
    /// Connections of callers.
    pub(crate) callers: Cell<usize>,
    /// Bytes of bodies that are kept for attempts.
    pub(crate) body_bytes: Cell<usize>,
    is_ready: Cell<bool>,
    socket: Async<UdpSocket>,
    state: RefCell<State>,
    tasks: RefCell<SlotMap<RequestKey, Sender<Command>>>,
    journal: RefCell<Journal>,
    read_sooner: (Sender<()>, Receiver<()>),
    /// When the next tick is scheduled, and who is told that it comes earlier.
    scheduled: Cell<Time>,
    hurry: Sender<()>,
}

/// What an [`Instance`] is made of.
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) settings: Settings,
    pub(crate) dialect: Box<dyn HeaderCodec>,
    pub(crate) socket: Async<UdpSocket>,
    pub(crate) state: State,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) hurry: Sender<()>,
}

impl Instance {
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            metrics: Metrics::default(),
            pool: Pool::default(),
            stopped_listening: Latch::default(),
            exits: Latch::default(),
            is_draining: Cell::new(false),
            callers: Cell::new(0),
            body_bytes: Cell::new(0),
            is_ready: Cell::new(false),
            tasks: RefCell::default(),
            journal: RefCell::new(Journal::new(parts.clock.now())),
            read_sooner: async_channel::bounded(1),
            scheduled: Cell::new(Time::default()),
            clock: parts.clock,
            settings: parts.settings,
            dialect: parts.dialect,
            socket: parts.socket,
            state: RefCell::new(parts.state),
            executor: parts.executor,
            hurry: parts.hurry,
        }
    }

    /// Tells the reducer what happened and carries out what it decides.
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
            // One message is enough to wake the task that ticks.
            let _ = self.hurry.try_send(());
        }
    }

    /// Waits until the platform is to be read.
    pub async fn wait_until_read_due(&self) {
        loop {
            let due = self.ask(State::next_read);
            if self.clock.now() >= due {
                return;
            }
            // Sooner or later, what other instances told meanwhile may have moved it.
            let _ = deadline::until(self.clock, due, self.read_sooner.1.recv()).await;
        }
    }

    /// Returns whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Asks the reducer without changing anything.
    pub(crate) fn ask<T>(&self, question: impl FnOnce(&State) -> T) -> T {
        question(&self.state.borrow())
    }

    /// Returns what callers may send.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.ask(|it| it.catalog().map(|it| it.limits)).unwrap_or_default()
    }

    /// Names a request; orders for it go to `orders`.
    pub(crate) fn add_task(&self, orders: Sender<Command>) -> RequestKey {
        self.tasks.borrow_mut().insert(orders)
    }

    pub(crate) fn remove_task(&self, key: RequestKey) {
        self.tasks.borrow_mut().remove(key);
    }

    /// Returns when the next tick is due and notes that it is scheduled.
    pub(crate) fn schedule(&self) -> Time {
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
            Effect::Command { key, command } => self.command(key, command),
            Effect::Send(outgoing) => self.send(&outgoing),
            Effect::ReadPlatform => {
                // One message is enough to wake the task that reads.
                let _ = self.read_sooner.0.try_send(());
            }
            Effect::Disconnect { address } => self.pool.disconnect(address),
            Effect::Ready(ready) => self.is_ready.set(ready),
            Effect::StopListening => self.stopped_listening.set(),
            Effect::Exit => self.exits.set(),
            Effect::Log(note) => self.note(now, &note),
        }
    }

    /// Counts a decision and logs it, unless too many were logged lately.
    pub(crate) fn note(&self, now: Time, note: &LogEntry) {
        self.metrics.count(note);
        self.journal.borrow_mut().write(now, note);
    }

    fn command(&self, key: RequestKey, command: Command) {
        if let Some(orders) = self.tasks.borrow().get(key) {
            // A task whose caller left takes no more orders.
            let _ = orders.try_send(command);
        }
    }

    fn send(&self, outgoing: &OutgoingPacket) {
        let bytes = match outgoing.packet.encode() {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("cannot encode a packet: {err}"),
        };
        // A packet that the socket does not take at once is lost like any other: the next one
        // tells the same.
        if let Err(err) = self.socket.get_ref().send_to(&bytes, outgoing.to) {
            log::debug!(to:% = outgoing.to; "cannot send a packet: {err}");
        }
    }
}
