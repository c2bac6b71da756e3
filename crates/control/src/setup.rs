//! The parameters of the control state.

use std::net::SocketAddr;

use config::{Policy, Settings};
use model::prelude::*;
use own::OwnershipTimes;

/// The parameters of the control state. They stay the same while the process runs.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The id and the incarnation of this instance.
    pub me: Peer,
    /// This instance's name in the instance list.
    pub name: String,
    /// This instance's availability zone.
    pub zone: ZoneId,
    /// The availability zone's name.
    pub zone_name: String,
    /// Times that ownership depends on.
    pub times: OwnershipTimes,
    /// Time within which a new configuration comes into force at all instances.
    pub config_spread: Duration,
    /// How requests are scheduled.
    pub policy: Policy,
    /// The most requests served at a time; further ones are refused.
    pub max_requests: usize,
    /// Addresses of instances to ask for the documents while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// How long new connections are accepted after a shutdown has started.
    pub drain_grace: Duration,
    /// How long requests may run after that before the process exits.
    pub drain: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Setup {
    /// Takes the parameters from the settings. `incarnation` must differ from that of every earlier
    /// run of this instance.
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
