//! Availability zones in messages.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies an availability zone in messages: the low half of its id. Two zones with the same tag
/// count as one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct ZoneTag(pub u32);

impl From<ZoneId> for ZoneTag {
    fn from(id: ZoneId) -> Self {
        Self(id.0 as u32)
    }
}
