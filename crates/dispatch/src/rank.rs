//! The rank of requests.

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
