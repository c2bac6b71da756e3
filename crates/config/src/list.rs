//! The list of instances that the platform publishes.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::schema;

/// The instance list. It may lag behind the actual state of the fleet.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct InstanceList {
    /// The version of the list. Each change increases it.
    pub version: u64,
    /// The instances that run, those that are shutting down included.
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
    /// The address to which other instances connect.
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
    /// It serves requests.
    #[default]
    Live,
    /// It is shutting down.
    Leaving,
}
