//! The channel between the threads that carry traffic and the control thread.

use std::sync::{
    Arc, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use aio::Latch;
use async_channel::{Receiver, Sender};
use config::Catalog;
use control::{Event, RequestCommand, RequestHead};
use model::prelude::*;

/// A control thread that took no event for this time hangs.
const STALL: Duration = Duration::from_secs(1);

/// What other threads tell the control thread.
#[derive(Debug)]
pub enum Input {
    /// Something happened.
    Event(Event),
    /// A request came from a caller; orders for it go to `orders`.
    Request {
        /// The request.
        head: RequestHead,
        /// Where its orders go. The channel is closed once the control state has forgotten it.
        orders: Sender<RequestCommand>,
    },
    /// Somebody asks for a dump of the state.
    Dump {
        /// Where the dump goes, JSON.
        reply: Sender<String>,
    },
}

/// The sending end of the channel to the control thread.
#[derive(Clone, Debug)]
pub struct Link {
    tx: Sender<Input>,
}

impl Link {
    /// Makes a channel.
    pub fn new() -> (Self, Receiver<Input>) {
        let (tx, rx) = async_channel::unbounded();
        (Self { tx }, rx)
    }

    /// Sends to the control thread; nothing happens if it has ended.
    pub fn send(&self, input: Input) {
        // The control thread ends last, so a closed channel means that the process exits.
        let _ = self.tx.try_send(input);
    }

    /// Sends an event to the control thread.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}

/// What the control thread shows to the threads that carry traffic.
#[derive(Debug, Default)]
pub struct Shared {
    catalog: RwLock<Arc<Catalog>>,
    ready: AtomicBool,
    /// When the control thread took its last event, in nanoseconds of the process's clock.
    stepped_at: AtomicU64,
    draining: AtomicBool,
    listening: Latch,
}

impl Shared {
    /// Returns the configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        match self.catalog.read() {
            Ok(catalog) => Arc::clone(&catalog),
            Err(poisoned) => Arc::clone(&poisoned.into_inner()),
        }
    }

    /// Puts a configuration in force.
    pub fn install(&self, catalog: Arc<Catalog>) {
        match self.catalog.write() {
            Ok(mut place) => *place = catalog,
            Err(poisoned) => *poisoned.into_inner() = catalog,
        }
    }

    /// Returns whether the balancer should send callers here: the control state says so, and the
    /// control thread runs.
    pub fn is_ready(&self, now: Time) -> bool {
        let stepped_at = Time { nanos: self.stepped_at.load(Ordering::Relaxed) };
        self.ready.load(Ordering::Relaxed) && now.since(stepped_at) < STALL
    }

    /// Notes that the control thread runs.
    pub fn stepped(&self, now: Time) {
        self.stepped_at.store(now.nanos, Ordering::Relaxed);
    }

    /// Sets whether the balancer should send callers here.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns whether connections are to be closed after the request that they carry.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts to close connections.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Stops to accept connections, and closes those on which no request runs.
    pub fn stop_listening(&self) {
        self.drain();
        self.listening.set();
    }

    /// Returns whether [`Shared::stop_listening`] was called.
    pub fn is_listening(&self) -> bool {
        !self.listening.is_set()
    }

    /// Waits until [`Shared::stop_listening`] is called.
    pub async fn stopped_listening(&self) {
        self.listening.wait().await;
    }
}
