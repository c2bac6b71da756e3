//! The order of requests.

use model::prelude::*;

/// The order of requests: the rank of the account goes before that of the route.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Rank {
    /// The account's rank, or the route's where the account has none.
    pub account: Tier,
    /// The route's rank.
    pub route: Tier,
}
