//! How fast the engines of a pool read prompts, learned from their responses.

use std::collections::HashMap;

use gossip::{PoolTag, ReadingFit};
use model::prelude::*;

use crate::{Server, choice::PREFILL_TOKENS_PER_MS, state::State};

/// The time in which the evidence of an attempt loses all but 1/e of its weight.
const MEMORY: Duration = Duration::from_secs(4);
/// Attempts that read more tokens than this are not counted: callers state the number.
const MAX_TOKENS: f64 = 100_000.0;
/// The weight of the latest estimate in the speed of a pool, in each update.
const UPDATE_WEIGHT: f64 = 0.1;
/// The range of speeds, in tokens per millisecond. What is beyond comes from wrong loads.
const SPEED_RANGE: (f64, f64) = (5.0, 400.0);

/// What the attempts of this instance showed of the speed at which the engines of a pool read.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct ReadingSamples {
    fit: ReadingFit,
    updated_at: Time,
}

impl ReadingSamples {
    /// Records that this many tokens were read before the first byte of a response, in this time.
    pub(crate) fn record(&mut self, now: Time, tokens: f64, took: Duration) {
        if tokens > MAX_TOKENS {
            return;
        }
        let sample = ReadingFit::of_attempt(tokens, took.as_secs_f64() * 1e3);
        self.fit = self.fit(now).and(sample);
        self.updated_at = now;
    }

    /// Returns the evidence that is left at this time.
    pub(crate) fn fit(&self, now: Time) -> ReadingFit {
        let age = now.since(self.updated_at).as_secs_f64() / MEMORY.as_secs_f64();
        self.fit.weighted((-age).exp())
    }
}

/// The speeds at which the engines of each pool read, in tokens per millisecond.
#[derive(Debug, Default)]
pub(crate) struct ReadingSpeeds {
    pools: HashMap<PoolId, f64>,
}

impl ReadingSpeeds {
    /// Returns the mean speed of the engines of a pool: the assumed one until it is known.
    pub(crate) fn of_pool(&self, pool: PoolId) -> f64 {
        self.pools.get(&pool).copied().unwrap_or(PREFILL_TOKENS_PER_MS)
    }
}

impl State {
    /// Updates the mean speeds of the pools by what the fleet knows.
    pub(crate) fn update_reading_speeds(&mut self) {
        if !self.knows_fleet_loads() {
            self.reading_speeds.pools.clear();
            return;
        }
        let Some(catalog) = &self.catalog else { return };
        for (id, _) in catalog.pools.iter().filter(|it| it.1.engine.is_some()) {
            let pool_use = self.fleet_loads.pool_use(PoolTag::from(*id));
            let estimate = pool_use.and_then(|it| it.reading.tokens_per_ms());
            let Some(estimate) = estimate else { continue };
            let estimate = estimate.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
            let speed = self.reading_speeds.pools.entry(*id).or_insert(estimate);
            *speed += UPDATE_WEIGHT * (estimate - *speed);
        }
    }

    /// Returns the speed at which an engine reads prompts, in tokens per millisecond.
    pub(crate) fn reading_speed(&self, server: &Server) -> f64 {
        self.reading_speeds.of_pool(server.entry.pool)
    }

    /// Returns how many times longer than assumed the engines of a pool take to read.
    pub(crate) fn reading_factor(&self, pool: PoolId) -> f64 {
        PREFILL_TOKENS_PER_MS / self.reading_speeds.of_pool(pool)
    }
}
