//! What the requests that came to a zone need.

use model::prelude::*;

/// What the requests of one pool that callers sent to the instances of one zone need, wherever they
/// are served.
///
/// In contrast to [`ZoneLoad`](crate::ZoneLoad) it counts requests that still wait at an instance, and
/// does not change when requests leave their zone.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ZoneDemand {
    /// The zone whose instances got the requests.
    pub zone: ZoneId,
    /// Requests that run or wait, at engines or at instances.
    pub attempts: u32,
    /// Prompt tokens of these requests that no engine has read yet.
    pub unread_tokens: f64,
}
