//! What the engines of a zone carry and could carry.

use model::prelude::*;

/// What the engines of one pool in one zone carry and could carry, as the whole fleet sees it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ZoneLoad {
    /// The zone.
    pub zone: ZoneId,
    /// Engines that may get requests: neither leaving nor backed off, cold or evacuated.
    pub engines: u32,
    /// Prompt tokens that these engines read in a millisecond, all together.
    pub tokens_per_ms: f64,
    /// Prompt tokens that they still have to read.
    pub unread_tokens: f64,
    /// Requests that run or wait there.
    pub attempts: u32,
    /// Requests that they can run at the same time, limited by slots or by memory.
    pub slots: u32,
}
