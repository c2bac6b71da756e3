//! What a packet says.

use model::prelude::*;

use crate::{IncarnationTag, LimitNotice, Load, Member, PartEvidence, RankedLoad, ViewStatus};

/// What a received packet says about its sender.
#[derive(Debug)]
pub struct PeerUpdate {
    /// The entry of the sender.
    pub sender: Member,
    /// Whether the sender was unknown or considered dead, or has restarted.
    pub is_new: bool,
    /// The sender's view of the platform.
    pub view_status: ViewStatus,
    /// A time at which the sender's view was up to date, on this process's clock; `None` if
    /// the packet gives no bound.
    pub as_of: Option<Time>,
    /// The sender's load at backend servers.
    pub loads: Vec<Load>,
    /// The same by rank, as far as the sender tells it.
    pub ranked_loads: Vec<RankedLoad>,
    /// Evidence against prompt parts that end servers, as far as the sender tells it.
    pub evidence: Vec<PartEvidence>,
    /// Servers that told the sender lately that they leave.
    pub leaving: Vec<IncarnationTag>,
    /// What servers told the sender lately of their limits.
    pub limits: Vec<LimitNotice>,
}
