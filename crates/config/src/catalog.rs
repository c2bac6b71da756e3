//! The configuration, indexed for look-ups.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use model::prelude::*;

use crate::{Config, Order, Route, Server, ServerState, ZoneState};

/// A [`Config`] that passed its check, indexed by id.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The version of the document; 0 if there is none yet.
    pub version: Version,
    /// The states of the availability zones.
    pub zones: BTreeMap<ZoneId, ZoneState>,
    /// The tier, target and longest wait of each class.
    pub classes: HashMap<ClassId, ClassSpec>,
    /// The limits of each client account.
    pub accounts: HashMap<AccountId, AccountSpec>,
    /// The names of the pools.
    pub pools: HashMap<PoolId, String>,
    /// All backend servers, also those that receive no new requests.
    pub servers: BTreeMap<ServerId, ServerSpec>,
    /// The cells with a backend server that receives new requests, by pool.
    open_cells: HashMap<PoolId, Vec<CellId>>,
    /// The longest time from a request's arrival to the end of its response, by route.
    max_durations: HashMap<RouteId, Duration>,
    /// The routes of each path, which differ in their method.
    routes: HashMap<String, Vec<RouteSpec>>,
    /// The hashes of the accounts' keys, by [`KeyHash::bucket`].
    keys: HashMap<u64, Vec<KeyEntry>>,
}

#[derive(Clone, Copy, Debug)]
struct KeyEntry {
    hash: KeyHash,
    account: AccountId,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// The name in the configuration, which is also the value of the tag `class` of metrics.
    pub name: String,
    /// Requests of lower tiers are served first.
    pub tier: Tier,
    /// The target for the time to first byte.
    pub target: Duration,
    /// How long a request may wait for a rate token and for a backend server.
    pub max_wait: Duration,
}

/// A client account's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// The name in the configuration; [`AccountId::of`] returns its id.
    pub name: String,
    /// The most attempts per second, across the fleet.
    pub rate: f64,
    /// The most attempts at once after a pause, across the fleet.
    pub burst: u32,
    /// The weight relative to other accounts with requests of the same tier.
    pub weight: u32,
}

/// The place, limits and properties of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// The name in the configuration; [`ServerId::of`] returns its id.
    pub name: String,
    /// The pool and the availability zone to which it belongs.
    pub cell: CellId,
    /// The address of its HTTP interface.
    pub address: SocketAddr,
    /// The most attempts at a time.
    pub limit: u32,
    /// The most attempts at a time while it is cold.
    pub cold_limit: u32,
    /// Whether it receives new requests: it is not leaving, and its zone is [`ZoneState::In`].
    pub open: bool,
    /// Whether it can continue an interrupted stream.
    pub resumes: bool,
    /// What it must load or change, if it is a model engine.
    pub orders: Vec<Order>,
}

/// How the requests of one method and path are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Made from the route's name in the configuration.
    pub id: RouteId,
    /// The HTTP method in upper case.
    pub method: String,
    /// The pool; `None` if the request's body names it.
    pub pool: Option<PoolId>,
    /// The classes that callers may choose; the first one is the default.
    pub classes: Vec<ClassId>,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Whether requests need no key.
    pub open: bool,
    /// The longest time from a request's arrival to the end of its response.
    pub max_duration: Duration,
}

impl Catalog {
    /// Indexes a configuration that passed its check. Malformed key hashes are left out.
    pub fn new(cfg: &Config) -> Self {
        let mut catalog = Self { version: Version(cfg.version), ..Self::default() };
        for zone in &cfg.zones {
            catalog.zones.insert(ZoneId::of(&zone.name), zone.state);
        }
        for class in &cfg.classes {
            let spec = ClassSpec {
                name: class.name.clone(),
                tier: Tier(class.tier),
                target: Duration::from_millis(class.target_ms),
                max_wait: Duration::from_millis(class.max_wait_ms.unwrap_or(class.target_ms)),
            };
            catalog.classes.insert(ClassId::of(&class.name), spec);
        }
        for account in &cfg.accounts {
            let id = AccountId::of(&account.name);
            for hash in account.key_hashes.iter().filter_map(|text| parse_key_hash(text)) {
                let entry = KeyEntry { hash, account: id };
                catalog.keys.entry(hash.bucket()).or_default().push(entry);
            }
            let spec = AccountSpec {
                name: account.name.clone(),
                rate: account.rate,
                burst: account.burst,
                weight: account.weight,
            };
            catalog.accounts.insert(id, spec);
        }
        for pool in &cfg.pools {
            catalog.pools.insert(PoolId::of(&pool.name), pool.name.clone());
        }
        for server in &cfg.servers {
            let spec = catalog.server_spec(server);
            if spec.open {
                let cells = catalog.open_cells.entry(spec.cell.pool).or_default();
                if !cells.contains(&spec.cell) {
                    cells.push(spec.cell);
                }
            }
            catalog.servers.insert(ServerId::of(&server.name), spec);
        }
        for route in &cfg.routes {
            let spec = route_spec(route);
            catalog.max_durations.insert(spec.id, spec.max_duration);
            catalog.routes.entry(route.path.clone()).or_default().push(spec);
        }
        catalog
    }

    /// Returns the account that has the key with this hash, or `None` if no account has it.
    pub fn account_of(&self, hash: KeyHash) -> Option<AccountId> {
        let entries = self.keys.get(&hash.bucket())?;
        entries.iter().find(|entry| entry.hash == hash).map(|entry| entry.account)
    }

    /// Returns the route of a method, in upper case, and a path.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteSpec> {
        self.routes.get(path)?.iter().find(|route| route.method == method)
    }

    /// Returns whether a route of any method has this path.
    pub fn has_path(&self, path: &str) -> bool {
        self.routes.contains_key(path)
    }

    /// Returns the cells of a pool in which a backend server receives new requests.
    pub fn open_cells(&self, pool: PoolId) -> &[CellId] {
        self.open_cells.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the longest time from a request's arrival to the end of its response; zero for an
    /// unknown route.
    pub fn max_duration(&self, route: RouteId) -> Duration {
        self.max_durations.get(&route).copied().unwrap_or_default()
    }

    /// Returns the cells that have a backend server, in the order of their ids.
    pub fn cells(&self) -> Vec<CellId> {
        let mut cells: Vec<_> = self.servers.values().map(|server| server.cell).collect();
        cells.sort_unstable();
        cells.dedup();
        cells
    }

    /// Returns the availability zones between which the accounts' rates are divided, in the order
    /// of their ids.
    pub fn share_zones(&self) -> Vec<ZoneId> {
        let zones = self.zones.iter().filter(|(_, state)| **state != ZoneState::Lost);
        zones.map(|(id, _)| *id).collect()
    }

    fn server_spec(&self, server: &Server) -> ServerSpec {
        let zone = ZoneId::of(&server.zone);
        let zone_is_in = self.zones.get(&zone) == Some(&ZoneState::In);
        let engine = server.engine.clone().unwrap_or_default();
        ServerSpec {
            name: server.name.clone(),
            cell: CellId { pool: PoolId::of(&server.pool), zone },
            address: server.address,
            limit: server.limit,
            cold_limit: server.cold_limit,
            open: zone_is_in && server.state == ServerState::In,
            resumes: engine.resumes,
            orders: engine.orders,
        }
    }
}

fn route_spec(route: &Route) -> RouteSpec {
    RouteSpec {
        id: RouteId::of(&route.name),
        method: route.method.to_ascii_uppercase(),
        pool: route.pool.as_deref().map(PoolId::of),
        classes: route.classes.iter().map(|name| ClassId::of(name)).collect(),
        idempotent: route.idempotent,
        open: route.open,
        max_duration: Duration::from_millis(route.max_duration_ms),
    }
}

/// Parses 64 hexadecimal digits.
fn parse_key_hash(text: &str) -> Option<KeyHash> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut buf = [0; 32];
    for (i, byte) in buf.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(KeyHash(buf))
}
