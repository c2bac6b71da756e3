//! How long servers take for the requests of each tier.

use std::collections::HashMap;

use model::prelude::*;

/// The weight of the latest response in the mean, an exponential moving average.
const WEIGHT: f64 = 0.1;
/// How many times the mean is left for a request to end in time: responses differ in length.
const MARGIN: f64 = 1.5;

/// How long servers take for the requests of each pool and tier, from the sending to the end of the
/// response.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    means: HashMap<(PoolId, Tier), Duration>,
}

impl ServiceTimes {
    /// Records a response. One that was cut off took at least this long.
    pub(crate) fn record(&mut self, pool: PoolId, tier: Tier, took: Duration) {
        let mean = self.means.entry((pool, tier)).or_insert(took);
        *mean = mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
    }

    /// Returns the time that a request needs to end, for most requests; `None` if there was no
    /// response yet.
    pub(crate) fn needed(&self, pool: PoolId, tier: Tier) -> Option<Duration> {
        self.means.get(&(pool, tier)).map(|mean| mean.mul_f64(MARGIN))
    }
}
