//! Backend servers.

use std::{net::SocketAddrV4, sync::Arc};

use model::prelude::*;

use crate::{ColdGate, Prefixes, health::Health};

slotmap::new_key_type! {
    /// A server that this process knows.
    pub struct ServerKey;
}

/// What the platform lists of a server.
#[derive(Clone, PartialEq, Debug)]
pub struct ServerEntry {
    /// Its name, new at each start in most cases.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// For how long it is cold.
    pub cold: Duration,
    /// Tells its runs under the same name apart.
    pub incarnation: u64,
}

impl ServerEntry {
    /// Returns the server's id.
    pub fn id(&self) -> ServerId {
        ServerId::of(&self.name)
    }
}

/// A backend server, as this instance sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id of its entry.
    pub id: ServerId,
    /// What the platform lists of it.
    pub entry: ServerEntry,
    /// Attempts of this instance that run there.
    pub attempts: u32,
    /// Prompt tokens of those that have not begun to answer.
    pub prefill: u64,
    /// Until when it is cold.
    pub(crate) cold_until: Time,
    /// When it was found to be unlisted while the store was not to be trusted with that; it may be
    /// listed again.
    pub(crate) lapsed_at: Option<Time>,
    pub(crate) gate: ColdGate,
    pub(crate) prefixes: Prefixes,
    pub(crate) health: Health,
}

impl Server {
    /// Starts with what the platform lists.
    pub fn new(now: Time, entry: ServerEntry) -> Self {
        Self {
            id: entry.id(),
            cold_until: now + entry.cold,
            entry,
            attempts: 0,
            prefill: 0,
            lapsed_at: None,
            gate: ColdGate::default(),
            prefixes: Prefixes::default(),
            health: Health::new(now),
        }
    }

    /// Returns the server's place between 0 and 1 in an order on which all instances agree.
    pub fn place(&self) -> f64 {
        self.id.0 as f64 / u64::MAX as f64
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Takes the server for cold for at least this time.
    pub(crate) fn chill(&mut self, now: Time, span: Duration) {
        self.cold_until = self.cold_until.max(now + span);
    }

    /// Notes that a new process answers under the name: it knows nothing of before.
    pub(crate) fn restarted(&mut self, now: Time, cold: Duration) {
        self.prefixes.clear();
        self.health = Health::new(now);
        self.health.busy(now, self.attempts);
        self.chill(now, cold);
    }
}
