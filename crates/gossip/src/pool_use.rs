//! What live streams and prompts ask of a pool, in sums of loads.

use serde::{Deserialize, Serialize};

use crate::PoolTag;

/// Units of fractions in messages: a sixteenth.
const UNIT: f64 = 16.0;

/// What live streams and prompts ask of a pool of engines, at one or more members. The order of the
/// fields is the message format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PoolUse {
    /// The tag of the pool.
    pub pool: PoolTag,
    /// Live streams that run.
    pub live_streams: u32,
    starts: u32,
    ends: u32,
    ends_time: u32,
    /// Prompt tokens of live streams that arrive in a second.
    pub live_tokens_per_s: u32,
    /// Prompt tokens of other requests that arrive in a second.
    pub prompt_tokens_per_s: u32,
}

impl PoolUse {
    /// Creates what nobody asks of a pool.
    pub fn new(pool: PoolTag) -> Self {
        Self {
            pool,
            live_streams: 0,
            starts: 0,
            ends: 0,
            ends_time: 0,
            live_tokens_per_s: 0,
            prompt_tokens_per_s: 0,
        }
    }

    /// Sets how many live streams begin in a second, and how many have ended lately after how many
    /// seconds in all.
    pub fn with_rates(self, starts_per_s: f64, ends: f64, ends_time_s: f64) -> Self {
        let units = |it: f64| (it * UNIT).round() as u32;
        Self {
            starts: units(starts_per_s),
            ends: units(ends),
            ends_time: units(ends_time_s),
            ..self
        }
    }

    /// Returns how many live streams will run if they go on to begin at the present rate and to last
    /// as long as those that ended lately (Little's law).
    pub fn expected_streams(&self) -> f64 {
        if self.ends == 0 {
            return 0.0;
        }
        let mean_time_s = f64::from(self.ends_time) / f64::from(self.ends);
        f64::from(self.starts) / UNIT * mean_time_s
    }

    /// Returns whether nothing is asked of the pool.
    pub fn is_idle(&self) -> bool {
        *self == Self::new(self.pool)
    }

    pub(crate) fn add(&mut self, other: &Self) {
        let add = |own: &mut u32, other: u32| *own = own.saturating_add(other);
        add(&mut self.live_streams, other.live_streams);
        add(&mut self.starts, other.starts);
        add(&mut self.ends, other.ends);
        add(&mut self.ends_time, other.ends_time);
        add(&mut self.live_tokens_per_s, other.live_tokens_per_s);
        add(&mut self.prompt_tokens_per_s, other.prompt_tokens_per_s);
    }
}
