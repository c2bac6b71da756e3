//! Wakes all who wait for something that happens once.

use std::convert::Infallible;

use async_channel::{Receiver, Sender};

/// Wakes all who wait for something that happens once.
#[derive(Clone, Debug)]
pub struct Latch {
    tx: Sender<Infallible>,
    rx: Receiver<Infallible>,
}

impl Default for Latch {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self { tx, rx }
    }
}

impl Latch {
    /// Says that it happened.
    pub fn set(&self) {
        self.tx.close();
    }

    /// Returns whether it happened.
    pub fn is_set(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until it happens.
    pub async fn wait(&self) {
        // Nothing is ever sent, so this ends when the channel is closed.
        let _ = self.rx.recv().await;
    }
}
