//! The control thread's loop: passes events to the reducer and carries out its effects.

use std::{collections::HashMap, rc::Rc};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use control::{Effect, Event, LogEntry, RequestCommand, Setup, State};
use futures_lite::future;
use model::prelude::*;
use serde_json::{Value, json};

use crate::{Context, Input, deadline, peer::Peers, watch::Watcher};

/// Minimum time between two ticks, however early the reducer asks for the next one.
const MIN_TICK: Duration = Duration::from_millis(20);
/// Maximum time between two ticks, however late the reducer asks for the next one.
const MAX_TICK: Duration = Duration::from_millis(100);
/// Inputs handled at a time before messages are sent and the connections to other instances are
/// served.
const MAX_BATCH: usize = 256;
/// Timeout for delivering the last messages before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the reducer on the control thread.
pub struct Driver {
    cx: Context,
    state: State,
    peers: Peers,
    watcher: Watcher,
    /// Where the commands go for the requests that the reducer knows.
    requests: HashMap<RequestNo, Sender<RequestCommand>>,
    started: Time,
    last_tick: Time,
    is_exiting: bool,
}

impl Driver {
    /// Creates the reducer. The connections to other instances run on `executor`.
    pub fn new(cx: Context, setup: Setup, executor: Rc<LocalExecutor<'static>>) -> Self {
        let now = cx.clock.now();
        Self {
            peers: Peers::new(setup.me, cx.clock, executor),
            watcher: Watcher::new(cx.clone()),
            state: State::new(now, setup),
            requests: HashMap::new(),
            started: now,
            last_tick: now,
            is_exiting: false,
            cx,
        }
    }

    /// Handles input until the reducer ends the process, then delivers the last messages.
    pub async fn run(mut self, inputs: &Receiver<Input>) {
        while !self.is_exiting {
            let tick_at = self.next_tick();
            let first = deadline::until(self.cx.clock, tick_at, inputs.recv()).await;
            if let Some(Ok(first)) = first {
                self.handle_input(first);
                self.handle_queued_input(inputs);
            }
            if self.cx.clock.now() >= tick_at {
                self.tick();
            }
            self.peers.flush();
            // Lets connections be served even if input never stops coming.
            future::yield_now().await;
        }
        self.peers.drain(self.cx.clock.now() + FLUSH_TIMEOUT).await;
    }

    /// Handles the input that is queued already, so that the messages it causes share envelopes.
    fn handle_queued_input(&mut self, inputs: &Receiver<Input>) {
        for _ in 1..MAX_BATCH {
            let Ok(input) = inputs.try_recv() else { return };
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Request { head, commands } => {
                self.requests.insert(head.no, commands);
                self.step(Event::Request(head));
            }
            // An error means that the operator's request has timed out.
            Input::Dump { reply } => drop(reply.try_send(self.dump().to_string())),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let ended = ended_request(&event);
        self.step(event);
        if let Some(no) = ended {
            self.requests.remove(&no);
        }
    }

    fn tick(&mut self) {
        self.last_tick = self.cx.clock.now();
        self.step(Event::Tick);
    }

    fn next_tick(&self) -> Time {
        let wake = self.state.next_wake(self.cx.clock.now());
        wake.clamp(self.last_tick + MIN_TICK, self.last_tick + MAX_TICK)
    }

    fn step(&mut self, event: Event) {
        let now = self.cx.clock.now();
        self.cx.shared.record_step(now);
        for effect in self.state.step(now, event) {
            self.execute(now, effect);
        }
    }

    fn execute(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Send { to, address, msg } => self.peers.send(now, to, address, msg),
            Effect::Request { no, command } => self.send_command(no, command),
            Effect::Install(catalog) => self.cx.shared.install(catalog),
            Effect::Watch { server, address } => self.watcher.watch(server, address),
            Effect::Unwatch { server } => self.watcher.unwatch(server),
            Effect::Order { server, address, fence, orders } => {
                self.watcher.send_orders(server, address, fence, orders);
            }
            Effect::Ready(ready) => self.cx.shared.set_ready(ready),
            Effect::StopListening => self.cx.shared.stop_listening(),
            Effect::Exit => self.is_exiting = true,
            Effect::Count(metric) => self.cx.metrics.count(metric, &self.cx.shared.catalog()),
            Effect::Log(entry) => write_log(&entry),
        }
    }

    /// Passes a command to the task that serves the request. A refusal is the last command for a
    /// request.
    fn send_command(&mut self, no: RequestNo, command: RequestCommand) {
        let is_last = matches!(command, RequestCommand::Refuse(_));
        let Some(commands) = self.requests.get(&no) else {
            log::debug!(request:% = no; "dropped a command for a request that has ended");
            return;
        };
        // The channel is unbounded, so an error means that the task has ended: the caller has left.
        let _ = commands.try_send(command);
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

/// Returns the request that ends with this event, if any: no command can follow for it.
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

fn write_log(entry: &LogEntry) {
    match entry {
        LogEntry::RequestEnded { id, outcome } => {
            log::info!(request:% = id, outcome:%; "request ended");
        }
        LogEntry::ConfigInForce { version } => {
            log::info!(version:%; "configuration applied");
        }
        LogEntry::ConfigRejected { version: Some(version), findings } => {
            log::warn!(version:%, findings:%; "configuration rejected");
        }
        LogEntry::ConfigRejected { version: None, findings } => {
            log::warn!(findings:%; "configuration rejected");
        }
        LogEntry::ShardTaken { shard } => log::info!(shard:%; "shard taken"),
        LogEntry::ShardReleased { shard } => log::info!(shard:%; "shard released"),
        LogEntry::PlatformDown { service } => {
            log::warn!(service:%; "cannot read the platform; the document read last stays in use");
        }
        LogEntry::ShuttingDown { requests } => log::info!(requests; "shutdown started"),
    }
}
