//! Load by the rank of the requests that it consists of.

use serde::{Deserialize, Serialize};

use crate::TotalLoad;

/// The rank of requests in packets. Engines admit requests with a lower number first.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug, Serialize, Deserialize,
)]
pub struct RankTag(pub u8);

/// The part of a [`Load`](crate::Load) that consists of requests of one rank. The order of the
/// fields is the packet format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RankedLoad {
    /// The index of the load among those of the packet.
    pub load: u8,
    /// The rank of the requests.
    pub rank: RankTag,
    /// Attempts that run or wait there.
    pub attempts: u16,
    /// Uncached prompt tokens of attempts whose response has not begun.
    pub prefill_tokens: u32,
}

/// The load of a backend server, by the rank of the requests.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct LoadByRank {
    /// Ordered by rank. There are as many as there are tiers of routes and accounts.
    ranks: Vec<(RankTag, TotalLoad)>,
}

impl LoadByRank {
    /// Adds load of a rank.
    pub fn add(&mut self, rank: RankTag, load: TotalLoad) {
        let own = self.entry(rank);
        *own = *own + load;
    }

    /// Takes load of a rank away, at most what there is.
    pub fn remove(&mut self, rank: RankTag, load: TotalLoad) {
        let own = self.entry(rank);
        own.attempts = own.attempts.saturating_sub(load.attempts);
        own.prefill_tokens = own.prefill_tokens.saturating_sub(load.prefill_tokens);
        own.held_tokens = own.held_tokens.saturating_sub(load.held_tokens);
        self.ranks.retain(|it| it.1 != TotalLoad::default());
    }

    /// Returns the load of all ranks.
    pub fn total(&self) -> TotalLoad {
        self.sum(|_| true)
    }

    /// Returns the load that is not served after a request of this rank: that of the same rank and
    /// of more urgent ones.
    pub fn up_to(&self, rank: RankTag) -> TotalLoad {
        self.sum(|it| it <= rank)
    }

    /// Returns the load that is more urgent than a request of this rank.
    pub fn above(&self, rank: RankTag) -> TotalLoad {
        self.sum(|it| it < rank)
    }

    /// Returns the load of each rank, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (RankTag, TotalLoad)> {
        self.ranks.iter().copied()
    }

    fn entry(&mut self, rank: RankTag) -> &mut TotalLoad {
        let index = match self.ranks.binary_search_by_key(&rank, |it| it.0) {
            Ok(index) => index,
            Err(index) => {
                self.ranks.insert(index, (rank, TotalLoad::default()));
                index
            }
        };
        &mut self.ranks[index].1
    }

    fn sum(&self, is_counted: impl Fn(RankTag) -> bool) -> TotalLoad {
        let counted = self.ranks.iter().filter(|it| is_counted(it.0));
        counted.fold(TotalLoad::default(), |sum, it| sum + it.1)
    }
}
