//! The total of the loads of the fleet.

use std::collections::HashMap;

use model::prelude::*;

use crate::{
    AccountUse, LoadByRank, LoadMessage, PoolUse, ServerSum, ServerTag, fleet_loads::Round,
    load_sum::RankSum,
};

/// The range of the factor by which totals are scaled to the members that are alive. Members that
/// have just changed their parent may be counted twice, and those of a parent that died not at all.
const SCALE_RANGE: (f64, f64) = (0.5, 2.0);
/// Upper bound on the servers in a total and in what a child tells: three times as many as fleets are
/// designed for.
pub(crate) const MAX_SERVERS: usize = 2_500;

/// The total of the fleet, as the parent told it last.
#[derive(Debug, Default)]
pub(crate) struct FleetTotal {
    /// When it was received last.
    pub(crate) received_at: Option<Time>,
    /// When this instance began the latest of its rounds that is in the total.
    pub(crate) as_of: Option<Time>,
    pub(crate) members: u32,
    pub(crate) servers: HashMap<ServerTag, Seen>,
    pub(crate) accounts: Vec<AccountUse>,
    pub(crate) pools: Vec<PoolUse>,
}

/// What is known of a server.
#[derive(Debug)]
pub(crate) struct Seen {
    /// The load of all other members.
    pub(crate) others: LoadByRank,
}

impl FleetTotal {
    /// Takes over a slice that contains a round of this instance, if any, in a fleet of `alive`
    /// members.
    pub(crate) fn take_over(
        &mut self,
        now: Time,
        message: &LoadMessage,
        alive: usize,
        round: Option<&Round>,
    ) {
        self.received_at = Some(now);
        self.as_of = round.map(|it| it.at).or(self.as_of);
        self.members = message.members;
        self.servers.retain(|server, _| !message.covers(*server));
        let scale = scale(message.members, alive);
        let room = MAX_SERVERS.saturating_sub(self.servers.len());
        for server in message.servers.iter().take(room) {
            let own = round.and_then(|it| it.own.get(&server.server));
            let others = without_own(server, own.map(Vec::as_slice).unwrap_or_default(), scale);
            self.servers.insert(server.server, Seen { others });
        }
        if message.slice == 0 {
            self.accounts = message.accounts.iter().map(|it| it.scaled(scale)).collect();
            self.pools.clone_from(&message.pools);
        }
    }
}

/// Returns the factor by which what the other members tell has to be multiplied if `members` of the
/// `alive` ones are counted.
fn scale(members: u32, alive: usize) -> f64 {
    let others = f64::from(members.saturating_sub(1)).max(1.0);
    let factor = alive.saturating_sub(1) as f64 / others;
    factor.clamp(SCALE_RANGE.0, SCALE_RANGE.1)
}

/// Returns the load at a server without the part that this instance told.
fn without_own(server: &ServerSum, own: &[RankSum], scale: f64) -> LoadByRank {
    let mut others = LoadByRank::default();
    for sum in &server.ranks {
        let own = own.iter().find(|it| it.rank() == sum.rank());
        let rest = own.map_or(*sum, |own| sum.without(*own));
        others.add(sum.rank(), rest.load().scaled(scale));
    }
    others
}
