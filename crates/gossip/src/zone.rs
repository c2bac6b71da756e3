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

/// The members in a packet that run in a zone. The order of the fields is the packet format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ZoneMembers {
    /// The zone.
    pub zone: ZoneTag,
    /// A bit for each member: the lowest for the sender, the next ones for the other members in
    /// their order.
    pub members: u32,
}

impl ZoneMembers {
    /// Groups members, the sender first, by their zones. Those of unknown zone are left out.
    pub(crate) fn group(zones: impl Iterator<Item = Option<ZoneTag>>) -> Vec<Self> {
        let mut groups: Vec<Self> = Vec::new();
        for (no, zone) in zones.enumerate().take(u32::BITS as usize) {
            let Some(zone) = zone else { continue };
            match groups.iter_mut().find(|it| it.zone == zone) {
                Some(group) => group.members |= 1 << no,
                None => groups.push(Self { zone, members: 1 << no }),
            }
        }
        groups
    }

    /// Returns the zone of a member, 0 being the sender; `None` if the groups do not tell it.
    pub(crate) fn zone_of(groups: &[Self], no: usize) -> Option<ZoneTag> {
        let bit = u32::try_from(no).ok().and_then(|no| 1_u32.checked_shl(no))?;
        groups.iter().find(|it| it.members & bit != 0).map(|it| it.zone)
    }
}
