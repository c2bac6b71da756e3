//! Messages on their way to other instances.

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

/// Envelopes that wait for one instance; the oldest ones make room for newer ones.
const QUEUE: usize = 256;
/// Messages in one envelope.
const MAX_MESSAGES: usize = 256;
/// Interval at which [`Peers::drain`] looks whether everything was delivered.
const DRAIN_INTERVAL: Duration = Duration::from_millis(5);

/// Sends messages to other instances, over one connection for each address.
pub struct Peers {
    me: Peer,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    /// Messages since the last [`Peers::flush`].
    batches: HashMap<Receiver, Vec<Msg>>,
    /// When the first of them was made.
    made: Option<Time>,
    lanes: HashMap<SocketAddr, Lane>,
    /// Held by every envelope that is not delivered yet.
    undelivered: Rc<()>,
    counters: Rc<Counters>,
}

/// An instance, and where it is reached.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Receiver {
    to: InstanceId,
    address: SocketAddr,
}

/// Messages that go in one envelope.
#[derive(Debug)]
pub(super) struct Batch {
    /// The receiver.
    pub(super) to: InstanceId,
    /// The messages in the order in which they were made.
    pub(super) msgs: Vec<Msg>,
    /// When the first one was made.
    pub(super) made: Time,
    /// Tells [`Peers`] when the batch is dropped.
    pub(super) _undelivered: Rc<()>,
}

impl Batch {
    /// Takes the messages of a later batch if one envelope can carry both.
    pub(super) fn merge(&mut self, later: Self) -> Result<(), Self> {
        let fits = self.msgs.len() + later.msgs.len() <= MAX_MESSAGES;
        let is_small = !self.msgs.iter().chain(&later.msgs).any(is_large);
        if self.to != later.to || !fits || !is_small {
            return Err(later);
        }
        self.msgs.extend(later.msgs);
        Ok(())
    }
}

/// The way to one address.
struct Lane {
    queue: Sender<Batch>,
    /// Dropped with the lane, which closes the connection.
    _task: Task<()>,
}

impl Peers {
    /// Starts without connections.
    pub fn new(me: Peer, clock: Clock, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self {
            me,
            clock,
            executor,
            batches: HashMap::new(),
            made: None,
            lanes: HashMap::new(),
            undelivered: Rc::new(()),
            counters: Rc::default(),
        }
    }

    /// Takes a message, which goes out with the next [`Peers::flush`].
    pub fn send(&mut self, now: Time, to: InstanceId, address: SocketAddr, msg: Msg) {
        self.made.get_or_insert(now);
        self.batches.entry(Receiver { to, address }).or_default().push(msg);
    }

    /// Sends what was taken since the last time, one envelope for each instance.
    pub fn flush(&mut self) {
        let Some(made) = self.made.take() else { return };
        for (receiver, msgs) in std::mem::take(&mut self.batches) {
            for msgs in split(msgs) {
                self.enqueue(made, receiver, msgs);
            }
        }
    }

    /// Waits until everything is delivered or dropped, at most until the deadline.
    pub async fn drain(&self, deadline: Time) {
        while Rc::strong_count(&self.undelivered) > 1 && self.clock.now() < deadline {
            Timer::after(DRAIN_INTERVAL).await;
        }
    }

    /// Returns what became of the messages so far.
    pub fn stats(&self) -> Stats {
        let connections = self.lanes.values().filter(|it| !it.queue.is_closed()).count();
        self.counters.stats(connections)
    }

    fn enqueue(&mut self, made: Time, receiver: Receiver, msgs: Vec<Msg>) {
        let _undelivered = Rc::clone(&self.undelivered);
        let batch = Batch { to: receiver.to, msgs, made, _undelivered };
        // The queue is open: a lane that has ended was replaced.
        if let Ok(Some(dropped)) = self.lane(receiver.address).queue.force_send(batch) {
            self.counters.dropped(dropped.msgs.len());
        }
    }

    /// Returns the lane to an address; lanes that were idle for long have ended.
    fn lane(&mut self, address: SocketAddr) -> &Lane {
        if self.lanes.get(&address).is_none_or(|it| it.queue.is_closed()) {
            self.lanes.retain(|_, it| !it.queue.is_closed());
        }
        self.lanes.entry(address).or_insert_with(|| {
            let (queue, batches) = bounded(QUEUE);
            let counters = Rc::clone(&self.counters);
            let run = sender::run(self.me, address, self.clock, batches, counters);
            Lane { queue, _task: self.executor.spawn(run) }
        })
    }
}

/// Splits messages so that no envelope gets too large: large messages end theirs.
fn split(msgs: Vec<Msg>) -> Vec<Vec<Msg>> {
    let mut envelopes = Vec::new();
    let mut envelope = Vec::new();
    for msg in msgs {
        let ends = is_large(&msg);
        envelope.push(msg);
        if ends || envelope.len() == MAX_MESSAGES {
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
