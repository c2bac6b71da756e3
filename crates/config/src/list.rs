//! The list of live and leaving instances that the platform publishes.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::schema;

/// The instance list; it may lag behind what is true.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct InstanceList {
    /// The list's version, raised with each change.
    pub version: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// An instance of the daemon.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Instance {
    /// The instance's name, unique in the fleet.
    #[schemars(length(min = 1, max = 256))]
    pub name: String,
    /// The name of its availability zone.
    #[schemars(length(min = 1, max = 256))]
    pub zone: String,
    /// The address at which other instances reach it.
    #[schemars(with = "schema::Address")]
    pub peer: SocketAddr,
    /// Whether it is shutting down.
    #[serde(default)]
    pub state: InstanceState,
}

/// Whether an instance is shutting down.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It serves.
    #[default]
    Live,
    /// It is about to stop.
    Leaving,
}
