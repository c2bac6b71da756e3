//! Wakes all who wait for something that happens once.

use std::convert::Infallible;

use async_channel::{Receiver, Sender};

/// Wakes all who wait for something that happens once.
#[derive(Clone, Debug)]
pub struct Signal {
    tx: Sender<Infallible>,
    rx: Receiver<Infallible>,
}

impl Default for Signal {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self { tx, rx }
    }
}

impl Signal {
    /// Says that it happened.
    pub fn raise(&self) {
        self.tx.close();
    }

    /// Returns whether it happened.
    pub fn is_raised(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until it happens.
    pub async fn raised(&self) {
        // Nothing is ever sent, so this ends when the channel is closed.
        let _ = self.rx.recv().await;
    }
}
