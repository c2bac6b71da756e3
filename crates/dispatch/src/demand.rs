//! What this instance needs of a pool of engines.

use gossip::{PoolTag, PoolUse};
use model::prelude::*;

/// The time constant of the exponential moving average of running streams, which covers some ten
/// streams of an instance.
const STREAM_AVERAGING_TIME: Duration = Duration::from_secs(8);
/// The same for prompt tokens, which arrive in bursts of some seconds. One instance of many sees
/// few prompts in this time, but the sum over the fleet is steady.
const PROMPT_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// The same for live streams that begin: short, since a burst needs engines before its streams run.
const STARTS_AVERAGING_TIME: Duration = Duration::from_secs(1);

/// What this instance needs of a pool of engines: the live streams that it runs, and the prompt
/// tokens of other requests that arrive.
#[derive(Clone, Copy, Default, Debug)]
pub struct EngineDemand {
    running_streams: u32,
    /// The average of live streams that begin in a second, at `updated_at`.
    starts_per_s: f64,
    /// Live streams that ended lately, and the seconds for which they ran in all, at `updated_at`.
    ends: f64,
    ends_time_s: f64,
    /// The average of prompt tokens of live streams a second at `updated_at`.
    live_tokens_per_s: f64,
    /// The average of running streams at `updated_at`.
    mean_streams: f64,
    /// The average of prompt tokens a second at `updated_at`.
    prompt_tokens_per_s: f64,
    updated_at: Time,
}

impl EngineDemand {
    /// Counts a live stream that starts.
    pub fn stream_started(&mut self, now: Time) {
        self.update(now);
        self.running_streams += 1;
    }

    /// Counts a live stream that ends after this time.
    pub fn stream_ended(&mut self, now: Time, ran: Duration) {
        self.update(now);
        self.running_streams = self.running_streams.saturating_sub(1);
        self.ends += 1.0;
        self.ends_time_s += ran.as_secs_f64();
    }

    /// Counts the prompt of a live stream that arrives.
    pub fn stream_arrived(&mut self, now: Time, tokens: f64) {
        self.update(now);
        self.starts_per_s += 1.0 / STARTS_AVERAGING_TIME.as_secs_f64();
        self.live_tokens_per_s += tokens / STARTS_AVERAGING_TIME.as_secs_f64();
    }

    /// Returns what this instance asks of the pool with this tag.
    pub fn pool_use(&self, now: Time, pool: PoolTag) -> PoolUse {
        let starts = self.decay(now, STARTS_AVERAGING_TIME);
        let ends = self.decay(now, STREAM_AVERAGING_TIME);
        let rates = [self.starts_per_s * starts, self.ends * ends, self.ends_time_s * ends];
        let mut it = PoolUse::new(pool).with_rates(rates[0], rates[1], rates[2]);
        it.live_streams = self.running_streams;
        it.live_tokens_per_s = (self.live_tokens_per_s * starts) as u32;
        it.prompt_tokens_per_s = self.prompt_tokens_per_s(now) as u32;
        it
    }

    /// Counts the tokens of a prompt that arrives and has to be read.
    pub fn prompt_arrived(&mut self, now: Time, tokens: f64) {
        self.update(now);
        self.prompt_tokens_per_s += tokens / PROMPT_AVERAGING_TIME.as_secs_f64();
    }

    /// Returns how many live streams run.
    pub fn running_streams(&self) -> u32 {
        self.running_streams
    }

    /// Returns the moving average of the number of running live streams.
    pub fn mean_streams(&self, now: Time) -> f64 {
        let running = f64::from(self.running_streams);
        running + (self.mean_streams - running) * self.decay(now, STREAM_AVERAGING_TIME)
    }

    /// Returns the moving average of the prompt tokens that arrive in a second.
    pub fn prompt_tokens_per_s(&self, now: Time) -> f64 {
        self.prompt_tokens_per_s * self.decay(now, PROMPT_AVERAGING_TIME)
    }

    fn update(&mut self, now: Time) {
        self.mean_streams = self.mean_streams(now);
        self.prompt_tokens_per_s = self.prompt_tokens_per_s(now);
        self.starts_per_s *= self.decay(now, STARTS_AVERAGING_TIME);
        self.live_tokens_per_s *= self.decay(now, STARTS_AVERAGING_TIME);
        self.ends *= self.decay(now, STREAM_AVERAGING_TIME);
        self.ends_time_s *= self.decay(now, STREAM_AVERAGING_TIME);
        self.updated_at = now;
    }

    /// Returns the weight that a former average still has.
    fn decay(&self, now: Time, averaging_time: Duration) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / averaging_time.as_secs_f64()).exp()
    }
}
