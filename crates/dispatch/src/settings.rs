//! What an instance needs to know at its start.

use std::net::SocketAddrV4;

use model::prelude::*;
use zones::Crossing;

/// What an instance needs to know at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The address at which it receives packets of other instances.
    pub address: SocketAddrV4,
    /// The availability zone where it runs; servers there are preferred.
    pub zone: ZoneId,
    /// The number of availability zones.
    pub zones: u32,
    /// What leaving the zone costs a request, in fleets whose loads are known; `None` if operators have
    /// not said so, and live streams may leave it freely.
    pub crossing: Option<Crossing>,
    /// Addresses of other instances that may be running, to join the fleet.
    pub seeds: Vec<SocketAddrV4>,
    /// A random number that distinguishes its starts at the same address.
    pub incarnation: u32,
    /// The seed of its random number generators.
    pub seed: u64,
    /// The bounds that the fleet stays within.
    pub bounds: Bounds,
}

/// The bounds that the fleet stays within.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// A revoked key stops working within this time, even if the platform cannot be read. With
    /// `None` a revoked key may be accepted until the platform is read again.
    pub revoke: Option<Duration>,
    /// A change that the platform has acknowledged is followed within this time, if the platform can
    /// be read: a server that leaves gets no more requests. `None` if any time will do.
    pub follow: Option<Duration>,
    /// The number of retries that each request adds to the budget of its pool.
    pub retry_ratio: f64,
    /// The window over which retries and requests are counted.
    pub retry_window: Duration,
    /// Retries to a pool that the whole fleet may send in a window beyond that ratio.
    pub retry_slack: f64,
    /// A cold server gets at most its [`Pool::cold_rate`] times this, plus [`Bounds::cold_extra`].
    ///
    /// [`Pool::cold_rate`]: crate::Pool::cold_rate
    pub cold_factor: f64,
    /// Requests per second that a cold server may get beyond its rate times the factor.
    pub cold_extra: f64,
    /// The window over which the requests to a server that names a limit are counted.
    pub limit_window: Duration,
    /// Such a server gets in each window at most what its limit allows there times this, plus
    /// [`Bounds::limit_extra`].
    pub limit_factor: f64,
    /// Requests in a window that it may get beyond that.
    pub limit_extra: f64,
    /// The time from the request to stop until the process is killed.
    pub grace: Duration,
}

impl Default for Bounds {
    /// The bounds where the settings give none, which are those of the published examples.
    fn default() -> Self {
        Self {
            revoke: Some(Duration::from_secs(5)),
            follow: None,
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 50.0,
            cold_factor: 1.5,
            cold_extra: 5.0,
            limit_window: Duration::from_secs(4),
            limit_factor: 1.5,
            limit_extra: 5.0,
            grace: Duration::from_secs(8),
        }
    }
}
