//! The configuration that operators publish for the whole fleet.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::schema::{self, DAY_MS};

/// The lowest rate of a client account, attempts a second: one in about a day.
const MIN_RATE: f64 = 0.000_01;
/// The highest rate of a client account, attempts a second.
const MAX_RATE: f64 = 1_000_000.0;
/// The highest weight of a client account.
const MAX_WEIGHT: u32 = 1_000;

/// The configuration of a fleet, one JSON document.
///
/// A document with a higher version replaces one with a lower version, never the other way round.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The version of the document, raised with each change.
    #[schemars(range(min = 1))]
    pub version: u64,
    /// The availability zones.
    #[schemars(length(min = 1))]
    pub zones: Vec<Zone>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The pools of backend servers.
    pub pools: Vec<Pool>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The routes.
    pub routes: Vec<Route>,
}

/// An availability zone.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The name that settings and servers refer to.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// Whether the zone's backend servers receive work.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether an availability zone is in use.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone's backend servers receive work.
    #[default]
    In,
    /// The zone's backend servers receive no new work; its instances still serve callers.
    Out,
    /// As `out`, and the operators state that all instances of the zone are stopped: the zone's
    /// part of the rates goes to the other zones.
    Lost,
}

/// A class of requests.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name that routes and callers refer to.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// The rank: 0 is served first.
    pub tier: u8,
    /// The target: milliseconds from the request's arrival to the first byte of the answer.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub target_ms: u64,
    /// How long a request may wait for tokens and for a backend server, in milliseconds; the
    /// target if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(max = DAY_MS))]
    pub max_wait_ms: Option<u64>,
}

/// A client account.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// SHA-256 hashes of the keys that are in force, 64 hexadecimal digits each.
    #[schemars(inner(regex(pattern = schema::KEY_HASH)))]
    pub key_hashes: Vec<String>,
    /// Attempts a second given to backend servers, across the whole fleet.
    #[schemars(range(min = MIN_RATE, max = MAX_RATE))]
    pub rate: f64,
    /// Attempts that may be given to backend servers at once after a pause, across the whole
    /// fleet.
    #[schemars(range(min = 1))]
    pub burst: u32,
    /// The account's weight against the other accounts of a tier.
    #[serde(default = "one")]
    #[schemars(range(min = 1, max = MAX_WEIGHT))]
    pub weight: u32,
}

/// Backend servers that can stand in for each other.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's name; for engines, the model name in the body of requests.
    #[schemars(regex(pattern = schema::MODEL_NAME))]
    pub name: String,
    /// What the pool's servers are.
    pub kind: PoolKind,
}

/// What a pool's servers are.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// A plain service.
    Service,
}

/// A backend server.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The server's name.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// The name of its availability zone.
    pub zone: String,
    /// The name of its pool.
    pub pool: String,
    /// The address of its HTTP interface.
    #[schemars(with = "schema::Address")]
    pub address: SocketAddr,
    /// Attempts that it runs at a time.
    #[schemars(range(min = 1))]
    pub limit: u32,
    /// Attempts that it bears at a time in its cold start.
    #[schemars(range(min = 1))]
    pub cold_limit: u32,
    /// Whether it receives new work.
    #[serde(default)]
    pub state: ServerState,
    /// What the engine offers; absent for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<Engine>,
}

/// Whether a backend server receives new work.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It receives work.
    #[default]
    In,
    /// It finishes what it has and receives no new work.
    Leaving,
}

/// What a model engine offers.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Whether it resumes a stream that broke.
    #[serde(default)]
    pub resumes: bool,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// What it is ordered to run.
    #[serde(default)]
    pub orders: Vec<Order>,
}

/// An order to an engine.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// What to load or change.
    pub kind: OrderKind,
    /// The name of the model, adapter, version or role.
    #[schemars(regex(pattern = schema::MODEL_NAME))]
    pub name: String,
}

/// What an order loads or changes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// A model.
    Model,
    /// An adapter.
    Adapter,
    /// A version of the model.
    Version,
    /// The engine's role.
    Role,
}

/// A route: which requests go to which pool as which class.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// The HTTP method, `GET` or `POST` for example.
    #[schemars(regex(pattern = schema::METHOD))]
    pub method: String,
    /// The path, matched whole.
    #[schemars(regex(pattern = schema::PATH))]
    pub path: String,
    /// The name of the pool; absent where the field `model` of the request's body names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// The classes that callers may choose by the header `x-class`; the first one is used where
    /// the header is absent.
    #[schemars(length(min = 1))]
    pub classes: Vec<String>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether the route is open to all; an open route needs no key.
    #[serde(default)]
    pub open: bool,
    /// The longest that an answer may take, in milliseconds.
    #[serde(default = "default_max_duration_ms")]
    #[schemars(range(min = 1, max = DAY_MS))]
    pub max_duration_ms: u64,
}

fn one() -> u32 {
    1
}

fn default_max_duration_ms() -> u64 {
    600_000
}
