//! A baseline: every instance limits accounts on its own.

use std::collections::HashMap;

use model::prelude::*;
use thiserror::Error;

use crate::bucket::Bucket;

/// The account is over this instance's part of its rate.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
#[error("the account is over its rate; a token is expected in {retry_after:?}")]
pub struct OverRate {
    /// When a token is expected.
    pub retry_after: Duration,
}

/// Limits each account to an equal part of its rate and burst at each instance.
///
/// This is a baseline for experiments: an account whose calls reach one instance only gets a part
/// of its rate, and where the parts of the burst are rounded up, the fleet may exceed it.
#[derive(Clone, Debug)]
pub struct StaticLimits {
    instances: u32,
    buckets: HashMap<AccountId, Bucket>,
}

impl StaticLimits {
    /// Limits for one of this many instances.
    pub fn new(instances: u32) -> Self {
        Self { instances: instances.max(1), buckets: HashMap::new() }
    }

    /// Takes a token for one attempt of an account with this rate and burst across the fleet.
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
        let next = bucket.time_of(1.0, rate).unwrap_or(now + Duration::from_secs(60));
        Err(OverRate { retry_after: now.until(next) })
    }
}
