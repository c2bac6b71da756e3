//! How fast engines read prompts, learned from their responses.

use std::collections::HashMap;

use gossip::{ServerTag, SpeedEvidence};
use model::prelude::*;

use crate::{Server, ServerKey, choice::PREFILL_TOKENS_PER_MS, state::State};

/// The time in which the evidence of an attempt loses all but 1/e of its weight.
const MEMORY: Duration = Duration::from_secs(4);
/// Attempts with fewer tokens say more of the latency of an engine than of its speed.
const MIN_TOKENS: f64 = 1_000.0;
/// Tokens of an attempt that are counted at most: callers state the number.
const MAX_TOKENS: f64 = 200_000.0;
/// The weight of the speed that is assumed for a pool, as time of reading.
const POOL_PRIOR_MS: f64 = 300.0;
/// The weight of the speed of the pool in that of an engine, as time of reading.
const ENGINE_PRIOR_MS: f64 = 600.0;
/// The range of speeds, in tokens per millisecond. What is beyond comes from wrong loads.
const SPEED_RANGE: (f64, f64) = (5.0, 400.0);

/// What the attempts of this instance showed of the speed at which a server reads prompts.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct ReadingSamples {
    tokens: f64,
    millis: f64,
    updated_at: Time,
}

impl ReadingSamples {
    /// Records that this many tokens were read before the first byte of a response, in this time.
    pub(crate) fn record(&mut self, now: Time, tokens: f64, took: Duration) {
        if tokens < MIN_TOKENS {
            return;
        }
        let decay = self.decay(now);
        self.tokens = self.tokens * decay + tokens.min(MAX_TOKENS);
        self.millis = self.millis * decay + took.as_secs_f64() * 1e3;
        self.updated_at = now;
    }

    /// Returns the evidence that is left at this time.
    pub(crate) fn evidence(&self, now: Time) -> SpeedEvidence {
        let decay = self.decay(now);
        SpeedEvidence::new(self.tokens * decay, self.millis * decay)
    }

    fn decay(&self, now: Time) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// The speeds at which the engines of each pool read, in tokens per millisecond.
#[derive(Debug, Default)]
pub(crate) struct ReadingSpeeds {
    pools: HashMap<PoolId, f64>,
}

impl ReadingSpeeds {
    /// Returns the mean speed of the engines of a pool.
    pub(crate) fn of_pool(&self, pool: PoolId) -> f64 {
        self.pools.get(&pool).copied().unwrap_or(PREFILL_TOKENS_PER_MS)
    }

    /// Returns the speed of an engine of a pool with this evidence.
    pub(crate) fn of_engine(&self, pool: PoolId, evidence: SpeedEvidence) -> f64 {
        speed(evidence, self.of_pool(pool), ENGINE_PRIOR_MS)
    }
}

/// Returns the speed by the evidence, and a prior speed with the weight of this time.
fn speed(evidence: SpeedEvidence, prior: f64, weight_ms: f64) -> f64 {
    let speed = (evidence.tokens() + prior * weight_ms) / (evidence.millis() + weight_ms);
    speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
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
            let keys: &[ServerKey] = self.servers.in_pool(*id);
            let tags = keys.iter().filter_map(|key| self.servers.get(*key));
            let tags = tags.map(|server| ServerTag::from(server.id));
            let evidence = tags
                .fold(SpeedEvidence::default(), |sum, tag| sum.and(self.fleet_loads.speed(tag)));
            let mean = speed(evidence, PREFILL_TOKENS_PER_MS, POOL_PRIOR_MS);
            self.reading_speeds.pools.insert(*id, mean);
        }
    }

    /// Returns how many times longer than assumed the engines of a pool take to read.
    pub(crate) fn reading_factor(&self, pool: PoolId) -> f64 {
        PREFILL_TOKENS_PER_MS / self.reading_speeds.of_pool(pool)
    }

    /// Returns the speed at which an engine reads prompts, in tokens per millisecond.
    pub(crate) fn reading_speed(&self, server: &Server) -> f64 {
        if !self.knows_fleet_loads() {
            return PREFILL_TOKENS_PER_MS;
        }
        let evidence = self.fleet_loads.speed(server.id.into());
        let pool = server.entry.pool;
        let relative =
            self.reading_speeds.of_engine(pool, evidence) / self.reading_speeds.of_pool(pool);
        PREFILL_TOKENS_PER_MS * relative.powf(0.0)
    }
}
