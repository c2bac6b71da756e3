//! What the members of the fleet need of the pools of backend servers.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Upper bound on the pools in a message, which keeps it small.
const MAX_POOLS: usize = 16;

/// Identifies a pool in messages: the low half of its id. Two pools with the same tag count as one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct PoolTag(pub u32);

impl From<PoolId> for PoolTag {
    fn from(id: PoolId) -> Self {
        Self(id.0 as u32)
    }
}

/// What members need of a pool. The order of the fields is the message format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PoolDemand {
    /// The tag of the pool.
    pub pool: PoolTag,
    /// Live streams that run.
    pub live_streams: u32,
    /// Prompt tokens of other requests that arrive in a second and have to be read.
    pub prompt_tokens_per_s: u32,
}

/// What some members of the fleet need. The order of the fields is the message format.
#[derive(Clone, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct Demand {
    /// How many members are counted.
    pub members: u32,
    /// What they need, by pool. Pools without demand may be left out.
    pub pools: Vec<PoolDemand>,
}

impl Demand {
    /// Creates the demand of one member. Pools beyond `MAX_POOLS` are left out.
    pub fn of_member(pools: impl Iterator<Item = PoolDemand>) -> Self {
        Self { members: 1, pools: pools.take(MAX_POOLS).collect() }
    }

    /// Adds the demand of other members.
    pub fn add(&mut self, other: &Self) {
        self.members = self.members.saturating_add(other.members);
        for demand in &other.pools {
            if let Some(own) = self.pools.iter_mut().find(|it| it.pool == demand.pool) {
                own.live_streams = own.live_streams.saturating_add(demand.live_streams);
                own.prompt_tokens_per_s =
                    own.prompt_tokens_per_s.saturating_add(demand.prompt_tokens_per_s);
            } else if self.pools.len() < MAX_POOLS {
                self.pools.push(*demand);
            }
        }
    }

    /// Returns the demand for a pool; `None` if there is none.
    pub fn of_pool(&self, pool: PoolTag) -> Option<PoolDemand> {
        self.pools.iter().find(|it| it.pool == pool).copied()
    }

    /// Returns by what the demand has to be multiplied if members that are not counted need as much
    /// as the others. `members` is the size of the whole fleet.
    pub fn extrapolation(&self, members: usize) -> f64 {
        (members as f64 / f64::from(self.members.max(1))).max(1.0)
    }
}
