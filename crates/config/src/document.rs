//! The configuration that operators publish for the whole fleet.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::schema::{self, DAY_MS};

/// The lowest rate of a client account: about one attempt a day.
const MIN_RATE_PER_S: f64 = 0.000_01;
/// The highest rate of a client account.
const MAX_RATE_PER_S: f64 = 1_000_000.0;
/// The highest weight of a client account.
const MAX_WEIGHT: u32 = 1_000;

/// The configuration of the whole fleet.
///
/// A document replaces one with a lower version, never one with a higher version.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The version of the document. Each change must increase it.
    #[schemars(range(min = 1))]
    pub version: u64,
    /// The availability zones. At least one must not be `lost`.
    #[schemars(length(min = 1))]
    pub zones: Vec<Zone>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The client accounts. Except on open routes, a request without a key of one of
    /// them is rejected.
    pub accounts: Vec<Account>,
    /// The pools of backend servers.
    pub pools: Vec<Pool>,
    /// The backend servers. No two may have the same address.
    pub servers: Vec<Server>,
    /// The routes. No two may have the same method and path; a request that matches none is
    /// rejected.
    pub routes: Vec<Route>,
}

/// An availability zone, which can be evacuated as a whole.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone's name, as in the fields `zone` of settings and servers.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// Whether the zone is in use.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether an availability zone is in use.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The zone's backend servers receive requests.
    #[default]
    In,
    /// The zone is evacuated: its backend servers receive no new requests. Its instances still
    /// serve callers.
    Out,
    /// As `out`, and all instances of the zone are stopped: the zone's part of the accounts' rates
    /// goes to the other zones. Set this only once no instance of the zone is running, as the rates
    /// may be exceeded otherwise.
    Lost,
}

/// A class of requests.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name, as in routes and in the header `x-class`.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// The tier: requests of tier 0 are served first.
    pub tier: u8,
    /// The target for the time to first byte: milliseconds from the arrival of the request to the
    /// first byte of the response.
    #[schemars(range(min = 1, max = DAY_MS))]
    pub target_ms: u64,
    /// How long a request may wait for its account's rate and for a backend server, in
    /// milliseconds; the target if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(max = DAY_MS))]
    pub max_wait_ms: Option<u64>,
}

/// A client account: its keys, its rate limit and its share of the capacity.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    #[schemars(regex(pattern = schema::NAME))]
    pub name: String,
    /// SHA-256 hashes of the account's valid keys, 64 hexadecimal digits each.
    #[schemars(inner(regex(pattern = schema::KEY_HASH)))]
    pub key_hashes: Vec<String>,
    /// The most attempts per second that are sent to backend servers, across the whole fleet.
    #[schemars(range(min = MIN_RATE_PER_S, max = MAX_RATE_PER_S))]
    pub rate: f64,
    /// The most attempts that may be sent to backend servers at once after a pause, across the
    /// whole fleet.
    #[schemars(range(min = 1))]
    pub burst: u32,
    /// The account's share of the capacity, relative to the weights of the other accounts with
    /// requests of the same tier.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = MAX_WEIGHT))]
    pub weight: u32,
}

/// A pool of interchangeable backend servers.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's name; for model engines, the name of the model in the body of requests.
    #[schemars(regex(pattern = schema::MODEL_NAME))]
    pub name: String,
    /// The kind of its servers.
    pub kind: PoolKind,
}

/// The kind of a pool's servers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// A plain service. Its servers must not have the field `engine`.
    Service,
}

/// A backend server, which runs attempts for the requests of one pool.
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
    /// The most attempts that it runs at a time.
    #[schemars(range(min = 1))]
    pub limit: u32,
    /// The most attempts that it runs at a time right after its start, while it is cold; not more
    /// than `limit`.
    #[schemars(range(min = 1))]
    pub cold_limit: u32,
    /// Whether it receives new requests.
    #[serde(default)]
    pub state: ServerState,
    /// The properties of a model engine; absent for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<Engine>,
}

/// Whether a backend server receives new requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It receives requests.
    #[default]
    In,
    /// It finishes its running requests and receives no new ones.
    Leaving,
}

/// The properties of a model engine.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Whether it can continue an interrupted stream after the last event that was received.
    #[serde(default)]
    pub resumes: bool,
    /// Whether it rejects orders whose fencing token is lower than that of an earlier order.
    #[serde(default)]
    pub fenced: bool,
    /// What it must load or change.
    #[serde(default)]
    pub orders: Vec<Order>,
}

/// An order to a model engine.
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
    /// Load the model of this name.
    Model,
    /// Load the adapter of this name.
    Adapter,
    /// Change the model to the version of this name.
    Version,
    /// Take the role of this name. An engine can have only one order of this kind.
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
    /// The path, which must match exactly.
    #[schemars(regex(pattern = schema::PATH))]
    pub path: String,
    /// The name of the pool. If absent, the field `model` of the request's body names the pool.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// The names of the classes that callers may choose by the header `x-class`. The first one is
    /// the default.
    #[schemars(length(min = 1))]
    pub classes: Vec<String>,
    /// Whether a request may be run more than once, for example in a retry.
    pub idempotent: bool,
    /// Whether requests need no key. They belong to no account then, and no rate limits them.
    #[serde(default)]
    pub open: bool,
    /// The longest time from the arrival of a request to the end of its response, in milliseconds.
    #[serde(default = "default_max_duration_ms")]
    #[schemars(range(min = 1, max = DAY_MS))]
    pub max_duration_ms: u64,
}

fn default_weight() -> u32 {
    1
}

fn default_max_duration_ms() -> u64 {
    600_000
}
