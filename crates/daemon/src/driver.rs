//! The control thread: turns input into events for the reducer, and effects into output.

use std::{collections::HashMap, rc::Rc};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use control::{Effect, Event, LogEntry, RequestCommand, Setup, State};
use futures_lite::future;
use model::prelude::*;
use serde_json::{Value, json};

use crate::{Input, Traffic, deadline, peer::Peers, watch::Watcher};

/// Shortest time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(20);
/// Longest time between two ticks.
const MAX_TICK: Duration = Duration::from_millis(100);
/// Inputs taken before messages are sent and connections are served.
const MAX_BATCH: usize = 256;
/// Time for the last messages to be delivered before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Drives the reducer.
pub struct Driver {
    cx: Traffic,
    state: State,
    peers: Peers,
    watcher: Watcher,
    /// Where the orders for requests go that the reducer knows.
    requests: HashMap<RequestNo, Sender<RequestCommand>>,
    started: Time,
    ticked: Time,
    exits: bool,
}

impl Driver {
    /// Starts the reducer; other instances are reached over connections on `executor`.
    pub fn new(cx: Traffic, setup: Setup, executor: Rc<LocalExecutor<'static>>) -> Self {
        let now = cx.clock.now();
        Self {
            peers: Peers::new(setup.me, cx.clock, executor),
            watcher: Watcher::new(cx.clone()),
            state: State::new(now, setup),
            requests: HashMap::new(),
            started: now,
            ticked: now,
            exits: false,
            cx,
        }
    }

    /// Takes input until the reducer says that the process ends, and delivers the last messages.
    pub async fn run(mut self, inputs: &Receiver<Input>) {
        while !self.exits {
            let due = self.next_tick();
            let first = deadline::until(self.cx.clock, due, inputs.recv()).await;
            if let Some(Ok(first)) = first {
                self.take(first);
                self.take_waiting(inputs);
            }
            if self.cx.clock.now() >= due {
                self.tick();
            }
            self.peers.flush();
            // Lets connections be served however much input there is.
            future::yield_now().await;
        }
        self.peers.drain(self.cx.clock.now() + FLUSH_TIMEOUT).await;
    }

    /// Takes what has come already, so that one envelope carries all messages that it causes.
    fn take_waiting(&mut self, inputs: &Receiver<Input>) {
        for _ in 1..MAX_BATCH {
            let Ok(input) = inputs.try_recv() else { return };
            self.take(input);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.event(event),
            Input::Request { head, orders } => {
                self.requests.insert(head.no, orders);
                self.step(Event::Request(head));
            }
            // Somebody who does not wait any more needs no dump.
            Input::Dump { reply } => drop(reply.try_send(self.dump().to_string())),
        }
    }

    fn event(&mut self, event: Event) {
        let ended = ended_request(&event);
        self.step(event);
        if let Some(no) = ended {
            self.requests.remove(&no);
        }
    }

    fn tick(&mut self) {
        self.ticked = self.cx.clock.now();
        self.step(Event::Tick);
    }

    fn next_tick(&self) -> Time {
        let wake = self.state.next_wake(self.cx.clock.now());
        wake.clamp(self.ticked + MIN_TICK, self.ticked + MAX_TICK)
    }

    fn step(&mut self, event: Event) {
        let now = self.cx.clock.now();
        self.cx.shared.stepped(now);
        for effect in self.state.step(now, event) {
            self.execute(now, effect);
        }
    }

    fn execute(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Send { to, address, msg } => self.peers.send(now, to, address, msg),
            Effect::Request { no, command } => self.order(no, command),
            Effect::Install(catalog) => self.cx.shared.install(catalog),
            Effect::Watch { server, address } => self.watcher.watch(server, address),
            Effect::Unwatch { server } => self.watcher.unwatch(server),
            Effect::Order { server, address, fence, orders } => {
                self.watcher.order(server, address, fence, orders);
            }
            Effect::Ready(ready) => self.cx.shared.set_ready(ready),
            Effect::StopListening => self.cx.shared.stop_listening(),
            Effect::Exit => self.exits = true,
            Effect::Count(metric) => self.cx.metrics.count(metric, &self.cx.shared.catalog()),
            Effect::Log(note) => log_note(&note),
        }
    }

    /// Passes an order on; a request that is refused gets no further one.
    fn order(&mut self, no: RequestNo, order: RequestCommand) {
        let is_last = matches!(order, RequestCommand::Refuse(_));
        let Some(orders) = self.requests.get(&no) else {
            log::debug!(request:% = no; "dropped an order for a request that has ended");
            return;
        };
        // The channel is unbounded, so an error means that the caller has left.
        let _ = orders.try_send(order);
        if is_last {
            self.requests.remove(&no);
        }
    }

    fn dump(&self) -> Value {
        let now = self.cx.clock.now();
        let mut dump = self.state.dump(now);
        dump["process"] = json!({
            "version": env!("CARGO_PKG_VERSION"),
            "uptime_ms": u64::try_from(now.since(self.started).as_millis()).unwrap_or(u64::MAX),
            "requests": self.requests.len(),
            "peers": self.peers.stats(),
        });
        dump
    }
}

/// Returns the request that no order can follow for after this event.
fn ended_request(event: &Event) -> Option<RequestNo> {
    match event {
        Event::CallerLeft { no }
        | Event::AttemptEnded {
            no,
            end: AttemptEnd::Completed { .. } | AttemptEnd::CallerLeft,
            ..
        } => Some(*no),
        _ => None,
    }
}

fn log_note(note: &LogEntry) {
    match note {
        LogEntry::RequestEnded { id, outcome } => {
            log::info!(request:% = id, outcome:%; "request ended");
        }
        LogEntry::ConfigInForce { version } => {
            log::info!(version:%; "configuration is in force");
        }
        LogEntry::ConfigRejected { version: Some(version), findings } => {
            log::warn!(version:%, findings:%; "configuration is refused");
        }
        LogEntry::ConfigRejected { version: None, findings } => {
            log::warn!(findings:%; "configuration is refused");
        }
        LogEntry::ShardTaken { shard } => log::info!(shard:%; "took a shard"),
        LogEntry::ShardReleased { shard } => log::info!(shard:%; "left a shard"),
        LogEntry::PlatformDown { service } => {
            log::warn!(service:%; "cannot read the platform; what was read last stays in use");
        }
        LogEntry::ShuttingDown { requests } => log::info!(requests; "shutting down"),
    }
}
