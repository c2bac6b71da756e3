//! The channel to the control thread, and the state that it shares with the traffic threads.

use std::sync::{
    Arc, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use aio::Latch;
use async_channel::{Receiver, Sender};
use config::Catalog;
use control::{Event, RequestCommand, RequestHead};
use model::prelude::*;

/// A control thread that has handled no event for this time counts as hanging, and the instance
/// as not ready.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the reducer.
    Event(Event),
    /// A request arrived from a caller.
    Request {
        /// What the reducer needs to know of the request.
        head: RequestHead,
        /// Where the commands for it go. The channel is closed once the reducer has dropped the
        /// request.
        commands: Sender<RequestCommand>,
    },
    /// An operator requested a dump of the state.
    Dump {
        /// Where the dump goes, as JSON.
        reply: Sender<String>,
    },
}

/// The sending end of the channel to the control thread.
#[derive(Clone, Debug)]
pub struct ControlSender {
    tx: Sender<Input>,
}

impl ControlSender {
    /// Creates an unbounded channel.
    pub fn new() -> (Self, Receiver<Input>) {
        let (tx, rx) = async_channel::unbounded();
        (Self { tx }, rx)
    }

    /// Sends an input to the control thread. The input is dropped if that thread has ended.
    pub fn send(&self, input: Input) {
        // The control thread ends last, so a closed channel means that the process exits.
        let _ = self.tx.try_send(input);
    }

    /// Sends an event to the control thread.
    pub fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}

/// State that the control thread shares with the traffic threads.
#[derive(Debug, Default)]
pub struct Shared {
    catalog: RwLock<Arc<Catalog>>,
    ready: AtomicBool,
    /// When the control thread last handled an event, in nanoseconds of the process's clock.
    last_step: AtomicU64,
    draining: AtomicBool,
    stopped_listening: Latch,
}

impl Shared {
    /// Returns the configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        match self.catalog.read() {
            Ok(catalog) => Arc::clone(&catalog),
            Err(poisoned) => Arc::clone(&poisoned.into_inner()),
        }
    }

    /// Replaces the configuration in force.
    pub fn install(&self, catalog: Arc<Catalog>) {
        match self.catalog.write() {
            Ok(mut current) => *current = catalog,
            Err(poisoned) => *poisoned.into_inner() = catalog,
        }
    }

    /// Returns whether the load balancer should send callers to this instance: the reducer reports
    /// the instance as ready, and the control thread does not hang.
    pub fn is_ready(&self, now: Time) -> bool {
        let last_step = Time { nanos: self.last_step.load(Ordering::Relaxed) };
        self.ready.load(Ordering::Relaxed) && now.since(last_step) < STALL_TIMEOUT
    }

    /// Records that the control thread handles an event now.
    pub fn record_step(&self, now: Time) {
        self.last_step.store(now.nanos, Ordering::Relaxed);
    }

    /// Sets whether the reducer reports the instance as ready.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns whether callers' connections are closed after the response in progress.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Makes callers' connections close after the response in progress. New ones are still
    /// accepted.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections, and closes those without a request in progress.
    pub fn stop_listening(&self) {
        self.start_draining();
        self.stopped_listening.set();
    }

    /// Returns whether connections are still accepted: [`Shared::stop_listening`] was not called.
    pub fn is_listening(&self) -> bool {
        !self.stopped_listening.is_set()
    }

    /// Waits until [`Shared::stop_listening`] is called.
    pub async fn stopped_listening(&self) {
        self.stopped_listening.wait().await;
    }
}
