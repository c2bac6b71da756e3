//! Describes a fleet before it starts.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use config::{
    Account, Class, Config, Engine as EngineSpec, Limits, Ownership, Policy, Pool, PoolKind, Route,
    Server, ServerState, Zone, ZoneState,
};
use model::prelude::KeyHash;

use crate::{Engine, Fleet, FleetError, Knobs};

const ROUTE_MAX_MS: u64 = 60_000;
const NO_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Describes a fleet before it starts.
pub struct FleetBuilder {
    pub(crate) config: Config,
    pub(crate) daemons: Vec<DaemonSpec>,
    pub(crate) servers: Vec<ServerPlan>,
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
pub(crate) struct ServerPlan {
    server: Server,
    knobs: Knobs,
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
    /// Starts with nothing but short ownership times.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an availability zone with this many daemons, named `ZONE-1` and so on.
    #[must_use]
    pub fn zone(mut self, name: &str, daemons: usize) -> Self {
        self.config.zones.push(Zone { name: name.to_owned(), state: ZoneState::In });
        self.daemons.extend(
            (1..=daemons)
                .map(|i| DaemonSpec { name: format!("{name}-{i}"), zone: name.to_owned() }),
        );
        self
    }

    /// Adds a class.
    #[must_use]
    pub fn class(mut self, name: &str, tier: u8, target_ms: u64) -> Self {
        let name = name.to_owned();
        self.config.classes.push(Class { name, tier, target_ms, max_wait_ms: None });
        self
    }

    /// Adds a client account whose key is [`key_of`] its name.
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

    /// Adds a model engine to a pool; engines are named `POOL-ZONE-1` and so on.
    #[must_use]
    pub fn engine(self, pool: &str, zone: &str, limit: u32, knobs: Knobs) -> Self {
        self.server(pool, zone, limit, knobs, PoolKind::Engine)
    }

    /// Adds a server of a plain service to a pool, named as engines are.
    #[must_use]
    pub fn service(self, pool: &str, zone: &str, limit: u32, knobs: Knobs) -> Self {
        self.server(pool, zone, limit, knobs, PoolKind::Service)
    }

    /// Adds a route for completions whose body names the pool.
    #[must_use]
    pub fn completions(self, path: &str, classes: &[&str]) -> Self {
        self.route("POST", path, None, classes, true)
    }

    /// Adds a route to a pool.
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

    /// Changes the configuration; backend servers are not in it yet.
    #[must_use]
    pub fn configure(mut self, change: impl FnOnce(&mut Config)) -> Self {
        change(&mut self.config);
        self
    }

    /// Changes how the backend servers behave.
    #[must_use]
    pub fn tune(mut self, mut change: impl FnMut(&str, &mut Knobs)) -> Self {
        for server in &mut self.servers {
            change(&server.server.name, &mut server.knobs);
        }
        self
    }

    /// Sets the daemons' limits.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the times that ownership depends on.
    #[must_use]
    pub fn ownership(mut self, ownership: Ownership) -> Self {
        self.ownership = ownership;
        self
    }

    /// Sets how requests are scheduled.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Puts a fault proxy on every link between daemons and to the platform.
    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Starts everything; the daemons may not be ready yet.
    pub fn start(self) -> Result<Fleet, FleetError> {
        Fleet::start(self)
    }

    fn server(mut self, pool: &str, zone: &str, limit: u32, knobs: Knobs, kind: PoolKind) -> Self {
        if !self.config.pools.iter().any(|it| it.name == pool) {
            self.config.pools.push(Pool { name: pool.to_owned(), kind });
        }
        let same = |it: &&ServerPlan| it.server.pool == pool && it.server.zone == zone;
        let earlier = self.servers.iter().filter(same).count();
        let engine =
            EngineSpec { resumes: knobs.resumes, fenced: knobs.fenced, orders: Vec::new() };
        let server = Server {
            name: format!("{pool}-{zone}-{}", earlier + 1),
            zone: zone.to_owned(),
            pool: pool.to_owned(),
            address: NO_ADDRESS,
            limit,
            cold_limit: u32::try_from(knobs.cold_limit).unwrap_or(u32::MAX).min(limit),
            state: ServerState::In,
            engine: (kind == PoolKind::Engine).then_some(engine),
        };
        self.servers.push(ServerPlan { server, knobs });
        self
    }

    /// Takes over a declared configuration: its zones get this many daemons each, its accounts the
    /// keys that [`key_of`] tells, and its backend servers are started with these knobs.
    #[must_use]
    pub fn declared(
        mut self,
        config: Config,
        daemons: &[usize],
        knobs: impl Fn(&Server) -> Knobs,
    ) -> Self {
        for (zone, daemons) in config.zones.iter().zip(daemons) {
            self = self.zone(&zone.name, *daemons);
        }
        let plan = |server: Server| ServerPlan { knobs: knobs(&server), server };
        self.config = Config { servers: Vec::new(), ..config.clone() };
        self.servers = config.servers.into_iter().map(plan).collect();
        for account in &mut self.config.accounts {
            account.key_hashes = vec![key_hash(&key_of(&account.name))];
        }
        self
    }
}

impl ServerPlan {
    /// Starts the server warm and describes it for the configuration.
    pub(crate) fn start(self) -> Result<(Engine, Server), FleetError> {
        let engine = Engine::start_warm(self.knobs)?;
        let server = Server { address: engine.address(), ..self.server };
        Ok((engine, server))
    }
}

/// Returns the key of a client account of a test fleet.
pub fn key_of(account: &str) -> String {
    format!("key-of-{account}")
}

/// Returns a key's hash as the configuration holds it.
fn key_hash(key: &str) -> String {
    KeyHash::of(key.as_bytes()).0.iter().map(|it| format!("{it:02x}")).collect()
}
