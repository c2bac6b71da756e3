//! Builder of fleets.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use config::{
    Account, Class, Config, Engine as EngineSpec, Limits, Ownership, Policy, Pool, PoolKind, Route,
    Server, ServerState, Zone, ZoneState,
};
use model::prelude::KeyHash;

use crate::{Engine, EngineBehavior, Fleet, FleetError};

/// Longest duration of a request on the fleet's routes, in milliseconds.
const ROUTE_MAX_MS: u64 = 60_000;
/// Placeholder until the backend server is started.
const NO_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Describes a fleet that is not started yet.
pub struct FleetBuilder {
    pub(crate) config: Config,
    pub(crate) daemons: Vec<DaemonSpec>,
    pub(crate) servers: Vec<ServerSpec>,
    pub(crate) limits: Limits,
    pub(crate) ownership: Ownership,
    pub(crate) policy: Policy,
    pub(crate) proxied: bool,
}

/// A daemon to start.
pub(crate) struct DaemonSpec {
    pub(crate) name: String,
    pub(crate) zone: String,
}

/// A backend server to start; its address is not known yet.
pub(crate) struct ServerSpec {
    server: Server,
    behavior: EngineBehavior,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            config: Config { version: 1, ..Config::default() },
            daemons: Vec::new(),
            servers: Vec::new(),
            limits: Limits { drain_grace_ms: 300, drain_ms: 10_000, ..Limits::default() },
            ownership: Ownership {
                lease_ms: 600,
                list_lag_ms: 400,
                margin_ms: 100,
                heartbeat_ms: 100,
                spread_ms: 1_000,
            },
            policy: Policy::default(),
            proxied: false,
        }
    }
}

impl FleetBuilder {
    /// Returns a builder without zones, servers, accounts and routes, and with short ownership
    /// times.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an availability zone with this many daemons, named `ZONE-1`, `ZONE-2` and so on.
    #[must_use]
    pub fn zone(mut self, name: &str, daemons: usize) -> Self {
        self.config.zones.push(Zone { name: name.to_owned(), state: ZoneState::In });
        self.daemons.extend(
            (1..=daemons)
                .map(|i| DaemonSpec { name: format!("{name}-{i}"), zone: name.to_owned() }),
        );
        self
    }

    /// Adds a class whose target is `target_ms` until the first byte; tier 0 is the highest.
    #[must_use]
    pub fn class(mut self, name: &str, tier: u8, target_ms: u64) -> Self {
        let name = name.to_owned();
        self.config.classes.push(Class { name, tier, target_ms, max_wait_ms: None });
        self
    }

    /// Adds a client account with `rate` requests per second; its API key is [`key_of`] its name.
    #[must_use]
    pub fn account(mut self, name: &str, rate: f64, burst: u32) -> Self {
        let key_hashes = vec![key_hash(&key_of(name))];
        self.config.accounts.push(Account {
            name: name.to_owned(),
            key_hashes,
            rate,
            burst,
            weight: 1,
        });
        self
    }

    /// Adds a model engine to a pool, and the pool if there is none of this name. Engines are named
    /// `POOL-ZONE-1`, `POOL-ZONE-2` and so on; `limit` is the number of concurrent requests.
    #[must_use]
    pub fn engine(self, pool: &str, zone: &str, limit: u32, behavior: EngineBehavior) -> Self {
        self.server(pool, zone, limit, behavior, PoolKind::Engine)
    }

    /// Adds a server of a plain service to a pool, named like engines.
    #[must_use]
    pub fn service(self, pool: &str, zone: &str, limit: u32, behavior: EngineBehavior) -> Self {
        self.server(pool, zone, limit, behavior, PoolKind::Service)
    }

    /// Adds an idempotent route for completions; the request's body names the pool as its model.
    #[must_use]
    pub fn completion_route(self, path: &str, classes: &[&str]) -> Self {
        self.route("POST", path, None, classes, true)
    }

    /// Adds a route to a pool; if `pool` is `None`, the request's body names the pool.
    #[must_use]
    pub fn route(
        mut self,
        method: &str,
        path: &str,
        pool: Option<&str>,
        classes: &[&str],
        idempotent: bool,
    ) -> Self {
        self.config.routes.push(Route {
            name: format!("{method}{}", path.replace('/', "-")).to_lowercase(),
            method: method.to_owned(),
            path: path.to_owned(),
            pool: pool.map(str::to_owned),
            classes: classes.iter().map(|&it| it.to_owned()).collect(),
            idempotent,
            open: false,
            max_duration_ms: ROUTE_MAX_MS,
        });
        self
    }

    /// Changes the configuration, to which backend servers are only added at the start.
    #[must_use]
    pub fn configure(mut self, change: impl FnOnce(&mut Config)) -> Self {
        change(&mut self.config);
        self
    }

    /// Changes the behavior of the backend servers added so far, each given by its name.
    #[must_use]
    pub fn tune(mut self, mut change: impl FnMut(&str, &mut EngineBehavior)) -> Self {
        for server in &mut self.servers {
            change(&server.server.name, &mut server.behavior);
        }
        self
    }

    /// Sets the limits in the daemons' settings.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the ownership times in the daemons' settings.
    #[must_use]
    pub fn ownership(mut self, ownership: Ownership) -> Self {
        self.ownership = ownership;
        self
    }

    /// Sets the scheduling policy in the daemons' settings.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Puts a fault-injecting proxy on every link between daemons and to the platform.
    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Starts the fakes and the daemons; does not wait until the daemons are ready.
    pub fn start(self) -> Result<Fleet, FleetError> {
        Fleet::start(self)
    }

    fn server(
        mut self,
        pool: &str,
        zone: &str,
        limit: u32,
        behavior: EngineBehavior,
        kind: PoolKind,
    ) -> Self {
        if !self.config.pools.iter().any(|it| it.name == pool) {
            self.config.pools.push(Pool { name: pool.to_owned(), kind });
        }
        let same = |it: &&ServerSpec| it.server.pool == pool && it.server.zone == zone;
        let earlier = self.servers.iter().filter(same).count();
        let engine =
            EngineSpec { resumes: behavior.resumes, fenced: behavior.fenced, orders: Vec::new() };
        let server = Server {
            name: format!("{pool}-{zone}-{}", earlier + 1),
            zone: zone.to_owned(),
            pool: pool.to_owned(),
            address: NO_ADDRESS,
            limit,
            cold_limit: u32::try_from(behavior.cold_limit).unwrap_or(u32::MAX).min(limit),
            state: ServerState::In,
            engine: (kind == PoolKind::Engine).then_some(engine),
        };
        self.servers.push(ServerSpec { server, behavior });
        self
    }

    /// Uses an existing configuration. `daemons` gives the number of daemons of each zone, accounts
    /// get the API keys of [`key_of`], and each backend server is started with its `behavior`.
    #[must_use]
    pub fn with_config(
        mut self,
        config: Config,
        daemons: &[usize],
        behavior: impl Fn(&Server) -> EngineBehavior,
    ) -> Self {
        for (zone, daemons) in config.zones.iter().zip(daemons) {
            self = self.zone(&zone.name, *daemons);
        }
        let spec = |server: Server| ServerSpec { behavior: behavior(&server), server };
        self.config = Config { servers: Vec::new(), ..config.clone() };
        self.servers = config.servers.into_iter().map(spec).collect();
        for account in &mut self.config.accounts {
            account.key_hashes = vec![key_hash(&key_of(&account.name))];
        }
        self
    }
}

impl ServerSpec {
    /// Starts the server warm; returns it with its entry for the configuration.
    pub(crate) fn start(self) -> Result<(Engine, Server), FleetError> {
        let engine = Engine::start_warm(self.behavior)?;
        let server = Server { address: engine.address(), ..self.server };
        Ok((engine, server))
    }
}

/// Returns the API key of a client account of a test fleet.
pub fn key_of(account: &str) -> String {
    format!("key-of-{account}")
}

/// Returns the hash of a key in the format of the configuration.
fn key_hash(key: &str) -> String {
    KeyHash::of(key.as_bytes()).0.iter().map(|it| format!("{it:02x}")).collect()
}
