//! What a server said of its limit, as packets carry it.

use serde::{Deserialize, Serialize};

use crate::IncarnationTag;

/// What a server told the sender lately of the requests that it takes from the whole fleet. The order of
/// the fields is the packet format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Identifies the start of the server.
    pub server: IncarnationTag,
    /// Thousandths of a request a second; `None` if it named no limit any more.
    pub millis_per_second: Option<u32>,
    /// Time since it said so, in milliseconds.
    pub age_ms: u32,
}
