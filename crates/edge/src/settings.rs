//! The settings of a process.

use std::{net::SocketAddrV4, str::FromStr};

use dispatch::Bounds;
use model::prelude::*;

/// The settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of availability zones.
    pub zones: u32,
    /// Where callers connect to.
    pub listen: SocketAddrV4,
    /// Where the balancer asks whether the instance is ready.
    pub ready_listen: SocketAddrV4,
    /// The path of that question.
    pub ready_path: String,
    /// Where other instances send packets.
    pub peer_listen: SocketAddrV4,
    /// Where other instances may take packets.
    pub seeds: Vec<SocketAddrV4>,
    /// Where metrics are served.
    pub metrics: Option<MetricsAddress>,
    /// Bytes of memory that the process may take.
    pub memory_bytes: usize,
    /// Sockets that the process may have.
    pub max_sockets: usize,
    /// The bounds that the fleet keeps.
    pub bounds: Bounds,
}

/// Where metrics are served.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MetricsAddress {
    /// The port, at the instance's address.
    pub port: u16,
    /// The path, with its slash.
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
