//! The operators' configuration.

use std::{collections::HashMap, sync::Arc};

use model::prelude::*;

use crate::Route;

/// The operators' configuration, indexed. It is replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Its version.
    pub version: Version,
    /// The pools of backend servers.
    pub pools: HashMap<PoolId, Pool>,
    /// The accounts by key; nothing if requests need no keys.
    pub accounts: Option<Accounts>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Routes by host, the longest prefix first.
    hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    /// The highest rank of the routes to a pool.
    top_tiers: HashMap<PoolId, Tier>,
}

impl Catalog {
    /// Indexes the routes.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            for target in &route.targets {
                let top = self.top_tiers.entry(target.pool).or_insert(route.tier);
                *top = route.tier.min(*top);
            }
            self.hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        self
    }

    /// Returns the route of a request: of those of the host the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower;
        let host = if host.bytes().any(|it| it.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            &lower
        } else {
            host
        };
        self.hosts.get(host)?.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns whether no route to a pool has a higher rank.
    pub fn is_top_tier(&self, pool: PoolId, tier: Tier) -> bool {
        self.top_tiers.get(&pool).is_none_or(|it| !it.is_above(tier))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// A pool of backend servers that serve the same.
#[derive(Clone, PartialEq, Debug)]
pub struct Pool {
    /// Its name.
    pub name: Box<str>,
    /// Connections that one of its servers accepts from all callers together.
    pub max_connections: u32,
    /// How long a server is cold after its start.
    pub cold_start: Duration,
    /// Requests in a second that a cold server takes; 0 if its servers are never cold.
    pub cold_rate: f64,
    /// What its servers are, if they are model engines.
    pub engine: Option<Engine>,
}

/// A model engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Whether it sends a run's memory to another engine on request, where the run can go on.
    pub has_backups: bool,
    /// The time in which an engine fetches what another one has read of a prompt, for each token;
    /// none if engines do not fetch.
    pub fetch_per_token: Option<Duration>,
}

/// What callers may send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits in the absence of a configuration: those of the published examples.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A client account.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Account {
    /// Its name, as backend servers get it.
    pub name: Box<str>,
    /// The rank of its requests, if it goes before that of their routes.
    pub tier: Option<Tier>,
}

/// The accounts by key.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_key: HashMap<u64, Vec<(KeyHash, Arc<Account>)>>,
}

impl Accounts {
    /// Adds an account with its keys.
    pub fn add(&mut self, account: Account, keys: impl IntoIterator<Item = KeyHash>) {
        let account = Arc::new(account);
        for key in keys {
            self.by_key.entry(key.bucket()).or_default().push((key, Arc::clone(&account)));
        }
    }

    /// Returns the account that has a key.
    pub fn get(&self, key: &KeyHash) -> Option<&Arc<Account>> {
        let bucket = self.by_key.get(&key.bucket())?;
        bucket.iter().find(|it| it.0 == *key).map(|it| &it.1)
    }
}
