//! The configuration of the fleet.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use gossip::AccountTag;
use model::prelude::*;

use crate::{Route, ViewSource};

/// The configuration of the fleet as operators published it, indexed for lookups. A new version
/// replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Set by operators. A configuration replaces only one with a lower version.
    pub version: Version,
    /// Where it was read.
    pub origin: ConfigOrigin,
    /// The pools of backend servers.
    pub pools: HashMap<PoolId, Pool>,
    /// The accounts by API key; `None` if no request needs a key.
    pub accounts: Option<Accounts>,
    /// The limits on what callers send.
    pub limits: CallerLimits,
    /// Routes by host, those with the longest prefix first.
    hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    /// The tiers of the routes to each pool, the highest first, with the least target of each.
    tiers: HashMap<PoolId, BTreeMap<Tier, Duration>>,
}

/// Where a configuration was read; only for log lines.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ConfigOrigin {
    /// The platform's revision at which it was written.
    pub revision: u64,
    /// From whom it was read.
    pub source: ViewSource,
}

impl Catalog {
    /// Adds routes to the index.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            for target in &route.targets {
                let tiers = self.tiers.entry(target.pool).or_default();
                let least = tiers.entry(route.tier).or_insert(route.target);
                *least = route.target.min(*least);
            }
            self.hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self
    }

    /// Returns the route of a request: of the host's routes that match the path, the one with the
    /// longest prefix. Case does not matter in the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower;
        let host = if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            &lower
        } else {
            host
        };
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether no route to a pool has a higher tier.
    pub fn is_top_tier(&self, pool: PoolId, tier: Tier) -> bool {
        self.least_target_above(pool, tier).is_none()
    }

    /// Returns the least target among the routes to a pool; `None` if there are none.
    pub fn least_target(&self, pool: PoolId) -> Option<Duration> {
        self.tiers.get(&pool)?.values().min().copied()
    }

    /// Returns the least target among the routes to a pool that have a higher tier; `None` if there
    /// are none.
    pub fn least_target_above(&self, pool: PoolId, tier: Tier) -> Option<Duration> {
        let above = self.tiers.get(&pool)?.iter().take_while(|it| it.0.is_above(tier));
        above.map(|it| *it.1).min()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// A pool of interchangeable backend servers.
#[derive(Clone, PartialEq, Debug)]
pub struct Pool {
    /// Its name in the configuration, from which its [`PoolId`] is derived.
    pub name: Box<str>,
    /// The number of connections that one of its servers accepts, from all instances together.
    pub max_connections: u32,
    /// How long a server is cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold server can take; 0 if its servers need no warm-up.
    pub cold_rate: f64,
    /// The properties of its servers if they are model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// The properties of a model engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Engine {
    /// The number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it copies the KV cache of a generation to another engine on request, so that the
    /// generation can resume there.
    pub has_backups: bool,
    /// Whether it ends a run on request, and moves its KV cache to another engine.
    pub can_end_runs: bool,
    /// The time to fetch the KV cache of one prompt token from another engine; `None` if engines
    /// cannot fetch.
    pub fetch_per_token: Option<Duration>,
}

/// The limits on what callers send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// The largest size of a request head, in bytes.
    pub head_bytes: usize,
    /// The largest size of a request body, in bytes.
    pub body_bytes: usize,
    /// The longest time in which a head must arrive.
    pub head_time: Duration,
    /// The longest time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// The limits before a configuration is known, which are those of the published examples.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A client account, found by the API key of a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Account {
    /// Its name, as it is sent to backend servers.
    pub name: Box<str>,
    /// The tier of its requests, which goes before that of their routes; `None` if only the route
    /// counts.
    pub tier: Option<Tier>,
}

impl Account {
    /// Returns the tag of the account in messages between instances.
    pub(crate) fn tag(&self) -> AccountTag {
        AccountId::of(&self.name).into()
    }
}

/// The accounts by API key.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    /// The accounts by [`KeyHash::bucket`]. Keys in a bucket are compared in full.
    by_key: HashMap<u64, Vec<(KeyHash, Arc<Account>)>>,
}

impl Accounts {
    /// Adds an account with the hashes of its keys.
    pub fn add(&mut self, account: Account, keys: impl IntoIterator<Item = KeyHash>) {
        let account = Arc::new(account);
        for key in keys {
            self.by_key.entry(key.bucket()).or_default().push((key, Arc::clone(&account)));
        }
    }

    /// Returns the account that has a key; `None` if the key is unknown or revoked.
    pub fn get(&self, key: &KeyHash) -> Option<&Arc<Account>> {
        let bucket = self.by_key.get(&key.bucket())?;
        bucket.iter().find(|entry| entry.0 == *key).map(|entry| &entry.1)
    }

    /// Returns an account with this tag; `None` if there is none.
    pub(crate) fn by_tag(&self, tag: AccountTag) -> Option<&Arc<Account>> {
        let mut accounts = self.by_key.values().flatten().map(|entry| &entry.1);
        accounts.find(|account| account.tag() == tag)
    }
}
