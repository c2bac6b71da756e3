//! The memory of the events that a stream buffers.

use std::rc::Rc;

use async_io::Timer;
use model::prelude::*;

use crate::{
    Instance,
    memory::{Memory, MemoryUse, Reservation},
    relay::MAX_EVENT_BYTES,
};

/// Copies of an event that are held while it is written: as it was read, split and as a chunk.
const COPIES: usize = 3;
/// Buffered bytes up to which only they are reserved. Beyond, the largest event is, at once: streams
/// that reserve memory step by step could take it from each other, so that none of them ends.
const SMALL_BYTES: usize = 16 << 10;
/// Time between two attempts to reserve memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The memory that is reserved for the events of a stream.
#[derive(Debug)]
pub(crate) struct EventMemory {
    small: Reservation,
    large: Reservation,
}

impl EventMemory {
    pub(crate) fn new(memory: &Rc<Memory>) -> Self {
        let new = |purpose| Reservation::new(memory, purpose);
        Self { small: new(MemoryUse::Responses), large: new(MemoryUse::LargeEvents) }
    }

    /// Reserves memory for this many buffered bytes. While there is too little, the stream is not read
    /// on, until the deadline of its attempt at the latest.
    pub(crate) async fn wait_for(&mut self, instance: &Instance, buffered: usize) {
        while !self.resize(instance.clock.now(), buffered) {
            Timer::after(RETRY_INTERVAL).await;
        }
    }

    /// Changes the number of buffered bytes. Returns `false` if there is too little memory.
    pub(crate) fn resize(&mut self, now: Time, buffered: usize) -> bool {
        let large = if buffered > SMALL_BYTES { MAX_EVENT_BYTES } else { 0 };
        self.small.resize(now, buffered.min(SMALL_BYTES) * COPIES)
            && self.large.resize(now, large * COPIES)
    }
}
