//! Fleet membership by gossip, without a list of all instances, and the loads that instances
//! exchange with it.
//!
//! Every instance periodically sends small datagrams to its peers: its own [`Member`] entry with a
//! growing heartbeat counter, entries of other members, its load at each backend server, and a
//! summary of its view of the platform with the view's staleness. Datagrams are neither requested
//! nor acknowledged, and any of them may be lost. A member whose heartbeat counter stops growing is
//! considered dead.
//!
//! In a large fleet views spread along a broadcast tree: each member probes its parent, and follows
//! the parent's view. Only the first member reads the platform. Most packets and all but a few
//! branches of the tree stay within an availability zone.
//!
//! * [`Members`]: the known members, and which packets are to be sent,
//! * [`Candidates`]: the members that may be followed in the broadcast tree,
//! * [`Upstream`]: the position in the broadcast tree,
//! * [`Demand`]: what members tell up the tree of their work,
//! * [`PeerLoads`]: the load that peers put on backend servers, as packets tell it,
//! * [`FleetLoads`]: the same in a large fleet, added up along the tree,
//! * [`OriginMessage`]: which software version began a stream,
//! * [`Packet`]: the message and its codec.

mod account;
mod candidates;
mod checked;
mod demand;
mod evidence;
mod fleet_loads;
mod fleet_total;
mod limit_notice;
mod load_message;
mod load_sum;
mod loads;
mod member;
mod members;
mod notice;
mod origin;
mod packet;
mod peer;
mod peer_update;
mod pool_use;
mod rank;
mod reading_fit;
mod recipients;
mod tree;
mod upstream;
mod zone;

pub use account::{AccountTag, AccountUse};
pub use candidates::Candidates;
pub use demand::{Demand, PoolDemand, PoolTag};
pub use evidence::{EndTag, PartEvidence, ServerEnd};
pub use fleet_loads::FleetLoads;
pub use limit_notice::LimitNotice;
pub use load_message::{Direction, LoadMessage, OutgoingLoadMessage};
pub use load_sum::{LoadSum, RankSum, ServerSum};
pub use loads::{Load, PeerLoads, ServerTag, TotalLoad};
pub use member::Member;
pub use members::Members;
pub use notice::IncarnationTag;
pub use origin::{
    KnownOrigin, OriginContent, OriginMessage, OutgoingOriginMessage, SoftwareTag, StreamOrigin,
    StreamTag,
};
pub use packet::{DecodeError, MAX_PACKET_BYTES, OutgoingPacket, Packet, ViewStatus, ViewSummary};
pub use peer_update::PeerUpdate;
pub use pool_use::PoolUse;
pub use rank::{LoadByRank, RankTag, RankedLoad};
pub use reading_fit::ReadingFit;
pub use tree::{Answer, Datagram, OutgoingTreeMessage, Probe, TreeContent, TreeMessage};
pub use upstream::Upstream;
pub use zone::{ZoneMembers, ZoneTag};
