//! Routes.

use std::sync::Arc;

use model::prelude::*;

use crate::{Account, Rank};

/// Whether a request may run more than once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    Never,
    /// Its stream may go on at another server after the events that came.
    Resume,
}

/// Where a part of a route's requests goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Target {
    /// The pool.
    pub pool: PoolId,
    /// Its part, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// The host, in lower case.
    pub host: Box<str>,
    /// What the path begins with.
    pub prefix: Box<str>,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time to the first byte of an answer that is on time.
    pub target: Duration,
    /// The rank of its requests.
    pub tier: Tier,
    /// Servers that may run one request.
    pub max_attempts: u32,
}

impl Route {
    /// Returns the pool for a request whose id hashes to `hash`.
    pub fn pool(&self, hash: u64) -> Option<PoolId> {
        let sum: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut place = hash.checked_rem(sum)?;
        for target in &self.targets {
            match place.checked_sub(u64::from(target.weight)) {
                Some(rest) => place = rest,
                None => return Some(target.pool),
            }
        }
        None
    }
}

/// A request's route and the account that it runs for.
#[derive(Clone, Debug)]
pub struct Routed {
    /// The route.
    pub route: Arc<Route>,
    /// The account; none on open routes.
    pub account: Option<Arc<Account>>,
    /// The hash of the account's key.
    pub key: Option<KeyHash>,
    /// The version of the configuration that says so.
    pub version: Version,
}

impl Routed {
    /// Returns the rank of the request.
    pub fn rank(&self) -> Rank {
        let route = self.route.tier;
        let account = self.account.as_ref().and_then(|it| it.tier).unwrap_or(route);
        Rank { account, route }
    }
}
