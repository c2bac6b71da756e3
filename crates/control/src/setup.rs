//! What the control state is started with.

use std::net::SocketAddr;

use config::{Policy, Settings};
use model::prelude::*;
use own::OwnershipTimes;

/// What the control state is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This instance and its run.
    pub me: Peer,
    /// This instance's name.
    pub name: String,
    /// This instance's availability zone.
    pub zone: ZoneId,
    /// The availability zone's name.
    pub zone_name: String,
    /// Times that ownership depends on.
    pub times: OwnershipTimes,
    /// Within which a configuration is in force everywhere.
    pub config_spread: Duration,
    /// How requests are scheduled.
    pub policy: Policy,
    /// Requests served at a time.
    pub max_requests: usize,
    /// Instances to ask while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Time to accept requests after a shutdown began.
    pub drain_grace: Duration,
    /// Time to wait for the last answer at shutdown.
    pub drain: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Setup {
    /// Takes what the control state needs from the settings.
    pub fn new(settings: &Settings, incarnation: Incarnation, seed: u64) -> Self {
        let ownership = &settings.ownership;
        let millis = Duration::from_millis;
        Self {
            me: Peer { instance: InstanceId::of(&settings.instance), incarnation },
            name: settings.instance.clone(),
            zone: ZoneId::of(&settings.zone),
            zone_name: settings.zone.clone(),
            times: OwnershipTimes {
                lease: millis(ownership.lease_ms),
                list_lag: millis(ownership.list_lag_ms),
                margin: millis(ownership.margin_ms),
                heartbeat: millis(ownership.heartbeat_ms),
            },
            config_spread: millis(ownership.spread_ms),
            policy: settings.policy,
            max_requests: settings.limits.requests,
            seeds: settings.seeds.clone(),
            drain_grace: millis(settings.limits.drain_grace_ms),
            drain: millis(settings.limits.drain_ms),
            seed,
        }
    }
}
