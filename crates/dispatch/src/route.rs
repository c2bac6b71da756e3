//! Routes and where their requests go.

use std::sync::Arc;

use gossip::AccountTag;
use model::prelude::*;

use crate::{Account, Rank};

/// Whether a request may run more than once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repeat {
    /// It may run any number of times, with the same effect as once.
    Idempotent,
    /// It must run at most once.
    Never,
    /// It may run again, and another server can continue its stream after the last event that the
    /// caller got.
    Resume,
}

/// A pool that gets a share of a route's requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Target {
    /// The pool's key in [`crate::Catalog::pools`].
    pub pool: PoolId,
    /// Its weight: its share is the weight divided by the sum of the weights of the route's
    /// targets.
    pub weight: u32,
}

/// A route: the requests that it matches, and how they are served.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Route {
    /// Its name in log lines and metrics.
    pub name: Box<str>,
    /// The host, in lower case.
    pub host: Box<str>,
    /// The path prefix that it matches.
    pub prefix: Box<str>,
    /// The pools that its requests go to.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Whether its requests need no API key.
    pub is_public: bool,
    /// The time after its arrival at which a request ends at the latest.
    pub timeout: Duration,
    /// The time to first byte within which a response meets the route's target.
    pub target: Duration,
    /// The tier of its requests, unless their account has one.
    pub tier: Tier,
    /// The largest number of attempts that may run one request.
    pub max_attempts: u32,
}

impl Route {
    /// Returns the pool for a request whose id hashes to `hash`; `None` if all weights are 0.
    pub fn pool(&self, hash: u64) -> Option<PoolId> {
        let sum: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = hash.checked_rem(sum)?;
        for target in &self.targets {
            match point.checked_sub(u64::from(target.weight)) {
                Some(rest) => point = rest,
                None => return Some(target.pool),
            }
        }
        None
    }
}

/// A request's route and the account that it runs for.
#[derive(Clone, Debug)]
pub struct Routed {
    /// The route that the request's host and path match.
    pub route: Arc<Route>,
    /// The account; `None` on public routes and if no request needs a key.
    pub account: Option<Arc<Account>>,
    /// The hash of the key that the caller sent; `None` if there is no account.
    pub key: Option<KeyHash>,
    /// The version of the configuration that the request was routed by.
    pub version: Version,
}

impl Routed {
    /// Returns the rank of the request.
    pub fn rank(&self) -> Rank {
        let route = self.route.tier;
        let account = self.account.as_ref().and_then(|account| account.tier).unwrap_or(route);
        Rank { account, route }
    }

    /// Returns the tag of the account; `None` if the request runs for none.
    pub(crate) fn account_tag(&self) -> Option<AccountTag> {
        self.account.as_ref().map(|account| account.tag())
    }
}
