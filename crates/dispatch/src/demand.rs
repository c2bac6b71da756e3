//! What this instance needs of a pool of engines.

use model::prelude::*;

/// The time constant of the exponential moving average of running streams, which covers some ten
/// streams of an instance.
const STREAM_AVERAGING_TIME: Duration = Duration::from_secs(8);
/// The same for prompt tokens, which arrive in bursts of some seconds. One instance of many sees
/// few prompts in this time, but the sum over the fleet is steady.
const PROMPT_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// What this instance needs of a pool of engines: the live streams that it runs, and the prompt
/// tokens of other requests that arrive.
#[derive(Clone, Copy, Default, Debug)]
pub struct EngineDemand {
    running_streams: u32,
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

    /// Counts a live stream that ends.
    pub fn stream_ended(&mut self, now: Time) {
        self.update(now);
        self.running_streams = self.running_streams.saturating_sub(1);
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
        self.updated_at = now;
    }

    /// Returns the weight that a former average still has.
    fn decay(&self, now: Time, averaging_time: Duration) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / averaging_time.as_secs_f64()).exp()
    }
}
