//! Backend servers.

use std::{net::SocketAddrV4, sync::Arc};

use gossip::{LoadByRank, SoftwareTag};
use model::prelude::*;

use crate::{PrefixCache, RequestWindow, health::Health};

slotmap::new_key_type! {
    /// Identifies a server that this process knows.
    pub struct ServerKey;
}

/// The entry of a server in the platform's list.
#[derive(Clone, PartialEq, Debug)]
pub struct ServerEntry {
    /// Its name, which in most cases is new at each start of the server.
    pub name: Arc<str>,
    /// The pool whose requests it serves.
    pub pool: PoolId,
    /// The availability zone where it runs; it gets no requests while the zone is evacuated.
    pub zone: ZoneId,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to stop and gets no more requests.
    pub is_draining: bool,
    /// For how long it stays cold.
    pub cold: Duration,
    /// Distinguishes its starts under the same name.
    pub incarnation: u64,
    /// The version of its software.
    pub software: SoftwareTag,
}

impl ServerEntry {
    /// Returns the server's id, which depends on its name only.
    pub fn id(&self) -> ServerId {
        ServerId::of(&self.name)
    }
}

/// A backend server, as this instance sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id of its entry.
    pub id: ServerId,
    /// Its entry in the platform's list.
    pub entry: ServerEntry,
    /// The attempts of this instance that run there, and the prompt tokens that it still has to read
    /// for them, by rank.
    pub(crate) load: LoadByRank,
    /// The number of these attempts that have not been sent yet.
    pub(crate) unsent: u32,
    /// Until when it is cold.
    pub(crate) cold_until: Time,
    /// Until when it wants no requests of this instance.
    pub(crate) paused_until: Time,
    /// The incarnation that leaves, as another instance said first, and until when that counts.
    pub(crate) reported_leaving: Option<(u64, Time)>,
    /// When the platform came back, if the entry has been missing since: it has probably expired, and
    /// will be listed again if the server still runs.
    pub(crate) expired_at: Option<Time>,
    /// The requests that this instance sent lately, for the rate limit of cold servers.
    pub(crate) recent_requests: RequestWindow,
    /// The shared prefixes that it probably has cached.
    pub(crate) prefixes: PrefixCache,
    pub(crate) health: Health,
}

impl Server {
    /// Creates a server that has just been listed.
    pub fn new(now: Time, entry: ServerEntry) -> Self {
        Self {
            id: entry.id(),
            cold_until: now + entry.cold,
            entry,
            load: LoadByRank::default(),
            unsent: 0,
            paused_until: Time::default(),
            reported_leaving: None,
            expired_at: None,
            recent_requests: RequestWindow::default(),
            prefixes: PrefixCache::default(),
            health: Health::new(now),
        }
    }

    /// Returns the number of attempts of this instance that run there.
    pub fn attempts(&self) -> u32 {
        self.load.total().attempts
    }

    /// Returns the server's position, from 0 to 1, in an order on which all instances agree.
    pub fn order_position(&self) -> f64 {
        self.id.0 as f64 / u64::MAX as f64
    }

    /// Returns whether the server is cold: it may get only a limited rate of requests.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server wants no requests of this instance for now.
    pub fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Returns whether another instance said lately that the server leaves.
    pub fn is_reported_leaving(&self, now: Time) -> bool {
        self.reported_leaving.is_some_and(|(incarnation, until)| {
            incarnation == self.entry.incarnation && now < until
        })
    }

    /// Treats the server as cold for at least this time.
    pub(crate) fn mark_cold(&mut self, now: Time, span: Duration) {
        self.cold_until = self.cold_until.max(now + span);
    }

    /// Records that the server has been restarted under its name: its prefix cache is empty, its
    /// health is unknown, it has not asked for a pause, and it is cold.
    pub(crate) fn restarted(&mut self, now: Time, cold: Duration) {
        self.paused_until = Time::default();
        self.prefixes.clear();
        self.health = Health::new(now);
        self.health.set_attempts(now, self.attempts());
        self.mark_cold(now, cold);
    }
}
