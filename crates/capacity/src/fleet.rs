//! Generates a configuration and an instance list for a fleet of any size.

use std::{net::SocketAddr, sync::Arc};

use config::{
    Account, Class, Config, Findings, Instance, InstanceList, InstanceState, Policy, Pool,
    PoolKind, Route, Server, ServerState, Zone, ZoneState,
};
use control::Setup;
use model::prelude::*;
use own::{ListEntry, Members, OwnershipTimes, Shard};

/// Availability zones of the fleet.
pub(crate) const ZONES: usize = 5;
/// Pools of the fleet, each with backend servers in every availability zone.
pub(crate) const POOLS: usize = 10;
/// The most client accounts that get an API key: a configuration with 10,000 keys would be larger
/// than the platform allows.
pub(crate) const ACCOUNTS_WITH_KEY: usize = 1_100;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// Client accounts.
    pub(crate) accounts: usize,
    /// Backend servers.
    pub(crate) servers: usize,
    /// Instances.
    pub(crate) instances: usize,
}

/// The documents that the platform publishes for a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) cfg: Config,
    pub(crate) list: InstanceList,
}

impl Fleet {
    pub(crate) fn new(size: Size) -> Self {
        let instances = (0..size.instances).map(instance).collect();
        Self { cfg: config(size), list: InstanceList { version: 1, instances } }
    }

    /// Returns the configuration as JSON, or the findings if it is not valid.
    pub(crate) fn config_text(&self) -> Result<Arc<str>, Findings> {
        let text = serde_json::to_string(&self.cfg).unwrap_or_default();
        Config::parse(&text)?;
        Ok(text.into())
    }

    /// Returns the instance that owns the cell of the first pool in the first availability zone; it
    /// owns some shares, too.
    pub(crate) fn owner(&self) -> InstanceId {
        let cell = CellId { pool: PoolId::of("pool-0"), zone: ZoneId::of("zone-0") };
        let owner = self.members(Peer { instance: InstanceId(0), incarnation: Incarnation(1) });
        owner.owner(Shard::Cell(cell)).unwrap_or(InstanceId(0))
    }

    /// Returns the instances of the list as `me` knows them.
    pub(crate) fn members(&self, me: Peer) -> Members {
        let mut members = Members::new(me, ZoneId::of("zone-0"), times());
        let listed = self.list.instances.iter().map(|instance| ListEntry {
            instance: InstanceId::of(&instance.name),
            zone: ZoneId::of(&instance.zone),
            address: instance.peer,
            leaving: false,
        });
        members.list_received(Time::default(), Version(self.list.version), listed.collect());
        members
    }

    /// Returns the setup of an instance in the first availability zone.
    pub(crate) fn setup(&self, me: Peer) -> Setup {
        Setup {
            me,
            name: "measured".to_owned(),
            zone: ZoneId::of("zone-0"),
            zone_name: "zone-0".to_owned(),
            times: times(),
            config_spread: Duration::from_secs(3),
            policy: Policy::default(),
            max_requests: 100_000,
            seeds: Vec::new(),
            drain_grace: Duration::from_secs(1),
            drain: Duration::from_secs(30),
            seed: 1,
        }
    }
}

fn times() -> OwnershipTimes {
    let defaults = config::Ownership::default();
    OwnershipTimes {
        lease: Duration::from_millis(defaults.lease_ms),
        list_lag: Duration::from_millis(defaults.list_lag_ms),
        margin: Duration::from_millis(defaults.margin_ms),
        heartbeat: Duration::from_millis(defaults.heartbeat_ms),
    }
}

fn instance(i: usize) -> Instance {
    Instance {
        name: format!("instance-{i}"),
        zone: format!("zone-{}", i % ZONES),
        peer: address(1, i),
        state: InstanceState::Live,
    }
}

fn config(size: Size) -> Config {
    Config {
        version: 1,
        zones: (0..ZONES).map(zone).collect(),
        classes: (0..4).map(class).collect(),
        accounts: (0..size.accounts).map(account).collect(),
        pools: (0..POOLS).map(pool).collect(),
        servers: (0..size.servers).map(server).collect(),
        routes: vec![route()],
    }
}

fn zone(i: usize) -> Zone {
    Zone { name: format!("zone-{i}"), state: ZoneState::In }
}

fn class(tier: u8) -> Class {
    Class { name: format!("class-{tier}"), tier, target_ms: 600_000, max_wait_ms: None }
}

fn account(i: usize) -> Account {
    let key = KeyHash::of(i.to_string().as_bytes()).to_hex();
    Account {
        name: format!("a{i}"),
        key_hashes: if i < ACCOUNTS_WITH_KEY { vec![key] } else { Vec::new() },
        rate: 5_000.0,
        burst: 5_000,
        weight: 1,
    }
}

fn pool(i: usize) -> Pool {
    Pool { name: format!("pool-{i}"), kind: PoolKind::Engine }
}

fn server(i: usize) -> Server {
    Server {
        name: format!("runner-{i}"),
        zone: format!("zone-{}", i % ZONES),
        pool: format!("pool-{}", i / ZONES % POOLS),
        address: address(2, i),
        limit: 8,
        cold_limit: 8,
        state: ServerState::In,
        engine: None,
    }
}

fn route() -> Route {
    Route {
        name: "chat".to_owned(),
        method: "POST".to_owned(),
        path: "/chat".to_owned(),
        pool: None,
        classes: (0..4).map(|i| format!("class-{i}")).collect(),
        idempotent: true,
        open: false,
        max_duration_ms: 600_000,
    }
}

fn address(net: u8, i: usize) -> SocketAddr {
    let [high, low] = u16::try_from(i).unwrap_or_default().to_be_bytes();
    SocketAddr::from(([10, net, high, low], 7_000))
}
