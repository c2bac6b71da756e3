//! A fake model engine or plain service.

mod generator;
mod response;
mod response_spec;
mod serve;
mod state;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Instant,
};

use serde_json::Value;

use self::{serve::serve, state::State};
use crate::{EngineBehavior, Fault, Finish, RecordedRequest, listener::Listener, rt::lock};

/// A fake model engine or plain service that records the requests it receives.
pub struct Engine {
    listener: Listener,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts a server that is cold, as after a restart.
    pub fn start(behavior: EngineBehavior) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::new(behavior)));
        let shared = Arc::clone(&state);
        let listener = Listener::start(move |stream| serve(stream, Arc::clone(&shared)))?;
        Ok(Self { listener, state })
    }

    /// Starts a server that is warm.
    pub fn start_warm(behavior: EngineBehavior) -> io::Result<Self> {
        let engine = Self::start(behavior)?;
        engine.end_cold_start();
        Ok(engine)
    }

    /// Returns the address of its HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Changes its behavior, also of requests that are running.
    pub fn tune(&self, change: impl FnOnce(&mut EngineBehavior)) {
        change(&mut lock(&self.state).behavior);
    }

    /// Injects a fault into each of the next `times` requests, after those injected before.
    pub fn inject_fault(&self, fault: Fault, times: usize) {
        lock(&self.state).faults.extend(std::iter::repeat_n(fault, times));
    }

    /// Ends the cold start at once.
    pub fn end_cold_start(&self) {
        let mut state = lock(&self.state);
        state.cold_until = Instant::now();
        state.record_load();
    }

    /// Crashes the server: its connections are reset and new ones refused until
    /// [`Engine::restart`].
    pub fn crash(&self) {
        self.listener.close();
        lock(&self.state).restart();
    }

    /// Starts the server again, cold and as a new incarnation.
    pub fn restart(&self) -> io::Result<()> {
        lock(&self.state).restart();
        self.listener.open()
    }

    /// Restarts the server with no time in which connections are refused: its connections are
    /// reset, it is cold and has a new incarnation.
    pub fn restart_unannounced(&self) {
        lock(&self.state).restart();
        self.listener.reset_connections();
    }

    /// Returns the recorded requests in the order of arrival.
    pub fn record(&self) -> Vec<RecordedRequest> {
        lock(&self.state).entries.clone()
    }

    /// Clears the recorded requests; does nothing while one of them runs.
    pub fn clear_record(&self) {
        let mut state = lock(&self.state);
        let is_running = |it: &RecordedRequest| it.finish == Finish::Running;
        if !state.entries.iter().any(is_running) {
            state.first_number += state.entries.len();
            state.entries.clear();
        }
    }

    /// Returns how many requests are running.
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// Returns how often it crashed because it got more requests than its cold limit.
    pub fn cold_crashes(&self) -> u32 {
        lock(&self.state).cold_crashes
    }

    /// Returns the bodies of the orders that it accepted.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }
}
