//! The settings of a process.

use std::{net::SocketAddrV4, str::FromStr};

use dispatch::{Bounds, Crossing};
use model::prelude::*;

/// The settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// The availability zone where the instance runs; servers there are preferred.
    pub zone: ZoneId,
    /// The number of availability zones.
    pub zones: u32,
    /// What a request pays for going to another zone, in fleets whose loads are known.
    pub crossing: Option<Crossing>,
    /// The address for callers.
    pub listen: SocketAddrV4,
    /// The address for readiness checks of the load balancer.
    pub ready_listen: SocketAddrV4,
    /// The path of readiness checks.
    pub ready_path: String,
    /// The UDP address for gossip packets of other instances.
    pub peer_listen: SocketAddrV4,
    /// UDP addresses at which other instances may be reached, used to discover the fleet.
    pub seeds: Vec<SocketAddrV4>,
    /// Where metrics are served; nowhere if absent.
    pub metrics: Option<MetricsAddress>,
    /// Memory that the process may use, in bytes; limits the request bodies that are held at once.
    pub memory_bytes: usize,
    /// Sockets that the process may open; limits the callers' connections.
    pub max_sockets: usize,
    /// The bounds that the fleet stays within.
    pub bounds: Bounds,
}

/// Where metrics are served.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MetricsAddress {
    /// The port, at the IP address of [`Settings::listen`].
    pub port: u16,
    /// The path, with its leading slash.
    pub path: String,
}

impl FromStr for MetricsAddress {
    type Err = String;

    /// Parses `PORT/PATH`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (port, path) = text.split_once('/').ok_or("must be PORT/PATH")?;
        let port = port.parse().map_err(|err| format!("the port {port:?}: {err}"))?;
        Ok(Self { port, path: format!("/{path}") })
    }
}
