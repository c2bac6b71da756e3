//! Orders to engines: what they load or change.

use std::collections::{BTreeSet, HashMap};

use config::{Catalog, Order};
use model::prelude::*;

use crate::Effect;

/// The least time between two messages with orders from one instance, so that the fleet stays
/// within the rate of the weight store.
const ORDER_INTERVAL: Duration = Duration::from_secs(1);

/// How long an engine has to accept its orders before they are sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(10);

/// What the engines of owned cells were ordered to run.
///
/// The orders depend only on the configuration, and its version is their fencing number. Two owners
/// with the same configuration send the same orders, which does no harm at an engine that ignores
/// fencing. Only an owner with an older configuration can send older ones; the other owner sends
/// its own again when the engine's incarnation or the orders change.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    engines: HashMap<ServerId, Engine>,
    next_at: Time,
}

#[derive(Debug, Default)]
struct Engine {
    /// The last one that its load report had.
    incarnation: u64,
    sent: Option<SentOrders>,
}

#[derive(Debug)]
struct SentOrders {
    orders: Vec<Order>,
    fence: Version,
    incarnation: u64,
    at: Time,
    accepted: bool,
}

impl Orders {
    /// Records an engine's incarnation. Until it is known, an engine gets no orders.
    pub(crate) fn incarnation_seen(&mut self, server: ServerId, incarnation: u64) {
        self.engines.entry(server).or_default().incarnation = incarnation;
    }

    /// Records an engine's response to the orders with this fencing number.
    pub(crate) fn answered(&mut self, server: ServerId, fence: Version, accepted: bool) {
        let sent = self.engines.get_mut(&server).and_then(|engine| engine.sent.as_mut());
        if let Some(sent) = sent
            && sent.fence == fence
        {
            sent.accepted = accepted;
        }
    }

    /// Removes an engine whose cell this instance no longer owns.
    pub(crate) fn remove(&mut self, server: ServerId) {
        self.engines.remove(&server);
    }

    /// Returns the effect that sends the orders of one engine, if any are due.
    pub(crate) fn next(
        &mut self,
        now: Time,
        catalog: &Catalog,
        watched: &BTreeSet<ServerId>,
    ) -> Option<Effect> {
        if now < self.next_at {
            return None;
        }
        for server in watched {
            let Some(spec) = catalog.servers.get(server) else { continue };
            let Some(engine) = self.engines.get_mut(server) else { continue };
            if spec.orders.is_empty() || !engine.is_due(now, &spec.orders) {
                continue;
            }
            let fence = catalog.version;
            let orders = spec.orders.clone();
            let incarnation = engine.incarnation;
            let sent =
                SentOrders { orders: orders.clone(), fence, incarnation, at: now, accepted: false };
            engine.sent = Some(sent);
            self.next_at = now + ORDER_INTERVAL;
            return Some(Effect::Order { server: *server, address: spec.address, fence, orders });
        }
        None
    }
}

impl Engine {
    fn is_due(&self, now: Time, orders: &[Order]) -> bool {
        let Some(sent) = &self.sent else { return true };
        let is_current = sent.orders == orders && sent.incarnation == self.incarnation;
        !is_current || !sent.accepted && now >= sent.at + ORDER_RETRY_DELAY
    }
}
