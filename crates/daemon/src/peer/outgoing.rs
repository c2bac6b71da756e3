//! Batching and queueing of messages to other instances.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use async_channel::{Sender, bounded};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use model::prelude::*;

use super::{
    sender,
    stats::{Counters, Stats},
};
use crate::Clock;

/// Maximum number of envelopes queued for an address. Beyond it, the oldest one is dropped for each
/// new one.
const MAX_QUEUED_ENVELOPES: usize = 256;
/// Maximum number of messages in an envelope.
const MAX_ENVELOPE_MESSAGES: usize = 256;
/// Interval at which [`Peers::drain`] checks whether everything was delivered.
const DRAIN_INTERVAL: Duration = Duration::from_millis(5);

/// Sends messages to other instances, over one connection per address.
pub struct Peers {
    me: Peer,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    /// Messages since the last [`Peers::flush`].
    batches: HashMap<Destination, Vec<Msg>>,
    /// When the first of these messages was passed to [`Peers::send`].
    created_at: Option<Time>,
    outboxes: HashMap<SocketAddr, Outbox>,
    /// Cloned into every envelope that is not delivered yet, to count them.
    undelivered: Rc<()>,
    counters: Rc<Counters>,
}

/// An instance and its address.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Destination {
    to: InstanceId,
    address: SocketAddr,
}

/// Messages that are sent in one envelope.
#[derive(Debug)]
pub(super) struct Batch {
    /// The intended receiver; `InstanceId(0)` if only its address is known.
    pub(super) to: InstanceId,
    /// The messages in the order in which they were sent.
    pub(super) msgs: Vec<Msg>,
    /// When the first message was passed to [`Peers::send`].
    pub(super) created_at: Time,
    /// Counts the batch as undelivered until it is dropped.
    pub(super) _undelivered: Rc<()>,
}

impl Batch {
    /// Appends the messages of a later batch, or returns it if one envelope cannot carry both.
    pub(super) fn merge(&mut self, later: Self) -> Result<(), Self> {
        let fits = self.msgs.len() + later.msgs.len() <= MAX_ENVELOPE_MESSAGES;
        let is_small = !self.msgs.iter().chain(&later.msgs).any(is_large);
        if self.to != later.to || !fits || !is_small {
            return Err(later);
        }
        self.msgs.extend(later.msgs);
        Ok(())
    }
}

/// The queue of an address and the task that sends from it.
struct Outbox {
    queue: Sender<Batch>,
    /// Dropping the outbox cancels the task, which closes the connection.
    _task: Task<()>,
}

impl Peers {
    /// Creates a sender without connections. Its tasks run on `executor`.
    pub fn new(me: Peer, clock: Clock, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            me,
            clock,
            executor,
            batches: HashMap::new(),
            created_at: None,
            outboxes: HashMap::new(),
            undelivered: Rc::new(()),
            counters: Rc::default(),
        }
    }

    /// Queues a message, which is sent by the next [`Peers::flush`].
    pub fn send(&mut self, now: Time, to: InstanceId, address: SocketAddr, msg: Msg) {
        self.created_at.get_or_insert(now);
        self.batches.entry(Destination { to, address }).or_default().push(msg);
    }

    /// Sends all messages since the last flush: one envelope per instance, more if one would get too
    /// large.
    pub fn flush(&mut self) {
        let Some(created_at) = self.created_at.take() else { return };
        for (destination, msgs) in std::mem::take(&mut self.batches) {
            for msgs in split_into_envelopes(msgs) {
                self.enqueue(created_at, destination, msgs);
            }
        }
    }

    /// Waits until all messages are delivered or dropped, or until the deadline.
    pub async fn drain(&self, deadline: Time) {
        while Rc::strong_count(&self.undelivered) > 1 && self.clock.now() < deadline {
            Timer::after(DRAIN_INTERVAL).await;
        }
    }

    /// Returns the counts of messages and failures since the start.
    pub fn stats(&self) -> Stats {
        let addresses = self.outboxes.values().filter(|outbox| !outbox.queue.is_closed()).count();
        self.counters.stats(addresses)
    }

    fn enqueue(&mut self, created_at: Time, destination: Destination, msgs: Vec<Msg>) {
        let _undelivered = Rc::clone(&self.undelivered);
        let batch = Batch { to: destination.to, msgs, created_at, _undelivered };
        // The queue is open: `outbox` replaces one that is closed.
        if let Ok(Some(dropped)) = self.outbox(destination.address).queue.force_send(batch) {
            self.counters.add_dropped(dropped.msgs.len());
        }
    }

    /// Returns the outbox of an address. Creates one if there is none or its task has ended, as it
    /// does after a long idle time.
    fn outbox(&mut self, address: SocketAddr) -> &Outbox {
        if self.outboxes.get(&address).is_none_or(|outbox| outbox.queue.is_closed()) {
            self.outboxes.retain(|_, outbox| !outbox.queue.is_closed());
        }
        self.outboxes.entry(address).or_insert_with(|| {
            let (queue, batches) = bounded(MAX_QUEUED_ENVELOPES);
            let counters = Rc::clone(&self.counters);
            let run = sender::run(self.me, address, self.clock, batches, counters);
            Outbox { queue, _task: self.executor.spawn(run) }
        })
    }
}

/// Splits messages into envelopes, so that none gets too large: an envelope ends after a large
/// message.
fn split_into_envelopes(msgs: Vec<Msg>) -> Vec<Vec<Msg>> {
    let mut envelopes = Vec::new();
    let mut envelope = Vec::new();
    for msg in msgs {
        let ends_envelope = is_large(&msg);
        envelope.push(msg);
        if ends_envelope || envelope.len() == MAX_ENVELOPE_MESSAGES {
            envelopes.push(std::mem::take(&mut envelope));
        }
    }
    if !envelope.is_empty() {
        envelopes.push(envelope);
    }
    envelopes
}

fn is_large(msg: &Msg) -> bool {
    matches!(msg, Msg::ConfigDoc(_) | Msg::ListDoc(_) | Msg::Handover(_))
}
