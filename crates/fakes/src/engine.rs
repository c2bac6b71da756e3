//! A model engine or a plain service.

mod answer;
mod pace;
mod serve;
mod shape;
mod state;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Instant,
};

use serde_json::Value;

use self::{serve::serve, state::State};
use crate::{Entry, Fault, Finish, Knobs, host::Host, rt::lock};

/// A fake model engine or plain service that records what it receives.
pub struct Engine {
    host: Host,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine in its cold start.
    pub fn start(knobs: Knobs) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::new(knobs)));
        let shared = Arc::clone(&state);
        let host = Host::start(move |stream| serve(stream, Arc::clone(&shared)))?;
        Ok(Self { host, state })
    }

    /// Starts an engine whose cold start is over.
    pub fn start_warm(knobs: Knobs) -> io::Result<Self> {
        let engine = Self::start(knobs)?;
        engine.warm();
        Ok(engine)
    }

    /// Returns the address of its HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Changes how it behaves.
    pub fn tune(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut lock(&self.state).knobs);
    }

    /// Spoils the next `times` requests.
    pub fn fault(&self, fault: Fault, times: usize) {
        lock(&self.state).faults.extend(std::iter::repeat_n(fault, times));
    }

    /// Ends the cold start.
    pub fn warm(&self) {
        let mut state = lock(&self.state);
        state.cold_until = Instant::now();
        state.note_load();
    }

    /// Kills the engine: connections are reset and new ones refused.
    pub fn stop(&self) {
        self.host.down();
        lock(&self.state).restart();
    }

    /// Starts the engine again, cold.
    pub fn restart(&self) -> io::Result<()> {
        lock(&self.state).restart();
        self.host.up()
    }

    /// Restarts the engine at once and without a word: connections are reset, it is cold.
    pub fn turn_cold(&self) {
        lock(&self.state).restart();
        self.host.reset();
    }

    /// Returns what it received, in the order of arrival.
    pub fn record(&self) -> Vec<Entry> {
        lock(&self.state).entries.clone()
    }

    /// Forgets what it received; requests that run stay.
    pub fn forget(&self) {
        let mut state = lock(&self.state);
        let running = |it: &Entry| it.finish == Finish::Running;
        if !state.entries.iter().any(running) {
            state.base += state.entries.len();
            state.entries.clear();
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// Returns how often it fell over because it was cold.
    pub fn falls(&self) -> u32 {
        lock(&self.state).falls
    }

    /// Returns the orders that it took.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }
}
