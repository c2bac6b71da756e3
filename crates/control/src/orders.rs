//! Orders to engines.

use std::collections::{BTreeSet, HashMap};

use config::{Catalog, Order};
use model::prelude::*;

use crate::Effect;

/// Time between two orders of one instance, so that the fleet stays within the weight store's
/// rate.
const ORDER_INTERVAL: Duration = Duration::from_secs(1);

/// Time for an engine to answer before the order is sent again.
const ORDER_RETRY: Duration = Duration::from_secs(10);

/// What the engines of owned cells were ordered to run.
///
/// The orders are a function of the configuration, and its version is their fencing number: two
/// owners send the same orders, so an engine that ignores fencing comes to no harm from them. Only
/// an owner that has fallen behind can send older ones, and the newer owner then repeats its own
/// when the engine's incarnation changes or the orders do.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    engines: HashMap<ServerId, Engine>,
    next_at: Time,
}

#[derive(Debug, Default)]
struct Engine {
    incarnation: u64,
    sent: Option<Sent>,
}

#[derive(Debug)]
struct Sent {
    orders: Vec<Order>,
    fence: Version,
    incarnation: u64,
    at: Time,
    taken: bool,
}

impl Orders {
    /// Notes an engine's incarnation.
    pub(crate) fn seen(&mut self, server: ServerId, incarnation: u64) {
        self.engines.entry(server).or_default().incarnation = incarnation;
    }

    /// Notes an engine's answer.
    pub(crate) fn answered(&mut self, server: ServerId, fence: Version, taken: bool) {
        let sent = self.engines.get_mut(&server).and_then(|it| it.sent.as_mut());
        if let Some(sent) = sent
            && sent.fence == fence
        {
            sent.taken = taken;
        }
    }

    /// Forgets an engine that another instance owns now.
    pub(crate) fn forget(&mut self, server: ServerId) {
        self.engines.remove(&server);
    }

    /// Returns the next order that is due.
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
            let sent = Sent { orders: orders.clone(), fence, incarnation, at: now, taken: false };
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
        !is_current || !sent.taken && now >= sent.at + ORDER_RETRY
    }
}
