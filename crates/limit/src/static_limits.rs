//! A baseline for comparisons: each instance limits accounts without the others.

use std::collections::HashMap;

use model::prelude::*;
use thiserror::Error;

use crate::bucket::Bucket;

/// The account has used up this instance's part of its rate and burst.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
#[error("the account is over its rate; a token is expected in {retry_after:?}")]
pub struct OverRate {
    /// Time until a token is expected.
    pub retry_after: Duration,
}

/// Limits each account to an equal part of its rate and burst at each instance.
///
/// A baseline for experiments: an account whose requests all reach one instance gets only that
/// instance's part of its rate, and the fleet may exceed a burst that is smaller than the number
/// of instances, since each instance's part is at least one token.
#[derive(Clone, Debug)]
pub struct StaticLimits {
    instances: u32,
    buckets: HashMap<AccountId, Bucket>,
}

impl StaticLimits {
    /// Starts with a full bucket for each account, at one of `instances` instances.
    pub fn new(instances: u32) -> Self {
        Self { instances: instances.max(1), buckets: HashMap::new() }
    }

    /// Takes a token for one attempt of an account. `rate` (tokens a second) and `burst` are the
    /// account's limits across the fleet.
    pub fn take(
        &mut self,
        now: Time,
        account: AccountId,
        rate: f64,
        burst: u32,
    ) -> Result<(), OverRate> {
        let rate = rate / f64::from(self.instances);
        let burst = (f64::from(burst) / f64::from(self.instances)).max(1.0);
        let bucket = self.buckets.entry(account).or_insert_with(|| Bucket::new(burst, now));
        bucket.refill(now, rate, burst);
        if bucket.take() {
            return Ok(());
        }
        let next = bucket.available_at(1.0, rate).unwrap_or(now + Duration::from_secs(60));
        Err(OverRate { retry_after: now.until(next) })
    }
}
