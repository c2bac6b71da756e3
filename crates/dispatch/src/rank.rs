//! The rank of requests.

use gossip::RankTag;
use model::prelude::*;

/// The rank of a request, by which queues are ordered: the tier of the account goes before that of
/// the route. The least rank is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Rank {
    /// The account's tier, or the route's if the account has none.
    pub account: Tier,
    /// The route's tier.
    pub route: Tier,
}

/// The greatest tier that is told apart in a [`RankTag`].
const MAX_TAGGED_TIER: u8 = 14;

impl From<Rank> for RankTag {
    /// Keeps the order of ranks. No rank has the tag 0, as which load of unknown rank counts.
    fn from(rank: Rank) -> Self {
        let digit = |tier: Tier| tier.0.min(MAX_TAGGED_TIER) + 1;
        Self(digit(rank.account) * (MAX_TAGGED_TIER + 2) + digit(rank.route))
    }
}
