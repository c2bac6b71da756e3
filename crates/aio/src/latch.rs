//! A one-time notification.

use std::convert::Infallible;

use async_channel::{Receiver, Sender};

/// A flag that is set once and never reset, for which any number of tasks can wait. Clones share
/// the flag.
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
    /// Sets the latch and wakes all tasks that wait for it. Setting it again has no effect.
    pub fn set(&self) {
        self.tx.close();
    }

    /// Returns whether the latch is set.
    pub fn is_set(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until the latch is set.
    pub async fn wait(&self) {
        // Nothing is ever sent, so this returns only when the channel is closed.
        let _ = self.rx.recv().await;
    }
}
