//! The requests of a load, drawn with a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::{AccountMix, Mix, OutputLength};

/// Time from one burst of arrivals to the next.
const BURST_PERIOD_S: f64 = 4.0;
/// Fraction of the period that a burst lasts.
const BURST_FRACTION: f64 = 0.1;
/// Arrival rate during a burst, relative to that outside of bursts.
const BURST_FACTOR: f64 = 3.0;
/// Number of different prompt prefixes.
const PREFIX_COUNT: u32 = 40;

/// The requests of a load in the order of arrival.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The requests of all accounts, sorted by the time at which they are sent.
    pub arrivals: Vec<Arrival>,
    /// How long requests arrive.
    pub length: Duration,
}

/// A request of the load.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its number in the order of arrival, from 0.
    pub no: usize,
    /// When it is sent, from the start of the load.
    pub at: Duration,
    /// The index of its account in the mix.
    pub account: usize,
    /// The index of its kind in the mix.
    pub kind: usize,
    /// Output tokens.
    pub tokens: u32,
    /// The number of the prompt's prefix; equal numbers make equal prompts.
    pub prefix: u32,
    /// Whether its account is within its rate and burst when it is sent.
    pub within_rate: bool,
}

impl Plan {
    /// Draws a load of `per_s` requests per second on average; the same arguments give the same
    /// load.
    pub fn new(mix: &Mix, seed: u64, length: Duration, per_s: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights: Vec<f64> = mix.accounts.iter().map(|it| it.rate).collect();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while at < length.as_secs_f64() {
            let account = pick_weighted(&mut rng, &weights);
            arrivals.push(arrival(&mut rng, mix, at, account));
            at += gap(&mut rng, per_s * burst_factor(at));
        }
        Self { arrivals, length }.finish(mix)
    }

    /// Adds requests of one account at `times` its rate, on top of its share of the load.
    #[must_use]
    pub fn flood(mut self, mix: &Mix, seed: u64, account: usize, times: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        let per_s = mix.accounts[account].rate * times;
        let mut at = 0.0;
        while at < self.length.as_secs_f64() {
            self.arrivals.push(arrival(&mut rng, mix, at, account));
            at += gap(&mut rng, per_s);
        }
        self.finish(mix)
    }

    /// Sorts and numbers the requests and determines which are within their account's rate.
    fn finish(mut self, mix: &Mix) -> Self {
        self.arrivals.sort_by_key(|it| it.at);
        let mut buckets: Vec<Bucket> = mix.accounts.iter().map(Bucket::new).collect();
        for (no, arrival) in self.arrivals.iter_mut().enumerate() {
            arrival.no = no;
            arrival.within_rate = buckets[arrival.account].take(arrival.at);
        }
        self
    }
}

/// A token bucket with an account's rate and burst, independent of the fleet's.
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl Bucket {
    fn new(account: &AccountMix) -> Self {
        let burst = f64::from(account.burst);
        Self { rate: account.rate, burst, level: burst, at: Duration::ZERO }
    }

    fn take(&mut self, at: Duration) -> bool {
        let gained = (at - self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = at;
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }
}

fn arrival(rng: &mut ChaCha8Rng, mix: &Mix, at: f64, account: usize) -> Arrival {
    let weights: Vec<f64> = mix.kinds.iter().map(|it| it.weight).collect();
    let kind = pick_weighted(rng, &weights);
    Arrival {
        no: 0,
        at: Duration::from_secs_f64(at),
        account,
        kind,
        tokens: tokens(rng, mix.kinds[kind].length),
        prefix: rng.random_range(0..PREFIX_COUNT),
        within_rate: false,
    }
}

fn tokens(rng: &mut ChaCha8Rng, length: OutputLength) -> u32 {
    let drawn = LogNormal::new(length.median.ln(), length.sigma).map_or(1.0, |it| it.sample(rng));
    (drawn as u32).clamp(1, length.max)
}

/// Draws the time to the next arrival of a Poisson process, in seconds.
fn gap(rng: &mut ChaCha8Rng, per_s: f64) -> f64 {
    Exp::new(per_s).map_or(f64::INFINITY, |it| it.sample(rng))
}

/// Returns the arrival rate at a time relative to its average over a burst period.
fn burst_factor(at: f64) -> f64 {
    let quiet = 1.0 / (1.0 - BURST_FRACTION + BURST_FRACTION * BURST_FACTOR);
    let bursting = at % BURST_PERIOD_S > BURST_PERIOD_S * (1.0 - BURST_FRACTION);
    if bursting { quiet * BURST_FACTOR } else { quiet }
}

fn pick_weighted(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut rest = rng.random_range(0.0..weights.iter().sum::<f64>());
    for (i, weight) in weights.iter().enumerate() {
        rest -= weight;
        if rest < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}
