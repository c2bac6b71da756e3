//! What an instance is told at its start.

use std::net::SocketAddrV4;

use model::prelude::*;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Where it takes packets of other instances.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of availability zones.
    pub zones: u32,
    /// Where other instances may take packets.
    pub seeds: Vec<SocketAddrV4>,
    /// Its run.
    pub incarnation: u32,
    /// Seeds its random choices.
    pub seed: u64,
    /// The bounds that the fleet keeps.
    pub bounds: Bounds,
}

/// The bounds that the fleet keeps.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// Within this time a withdrawn key stops working, even where the platform cannot be read;
    /// none if that is not asked.
    pub revoke: Option<Duration>,
    /// Retries as a share of requests.
    pub retry_ratio: f64,
    /// The span over which retries are counted.
    pub retry_window: Duration,
    /// Retries of the whole fleet in a window, beyond the share.
    pub retry_slack: f64,
    /// A cold server's rate times this, and [`Bounds::cold_extra`], is what it may get at most.
    pub cold_factor: f64,
    /// Requests in a second that a cold server may get beyond its rate.
    pub cold_extra: f64,
    /// Time from the request to stop to the end of the process.
    pub grace: Duration,
}

impl Default for Bounds {
    /// Bounds in the absence of others: those of the published examples.
    fn default() -> Self {
        Self {
            revoke: Some(Duration::from_secs(5)),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 50.0,
            cold_factor: 1.5,
            cold_extra: 5.0,
            grace: Duration::from_secs(8),
        }
    }
}
