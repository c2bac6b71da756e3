//! Membership without a list, and what instances tell each other.
//!
//! Every instance sends small datagrams to its peers: its own card with a growing heartbeat, cards of
//! others, its load at each backend server, and how fresh its view of the platform is. Nothing is
//! acknowledged, nothing is asked, and any packet may be lost. A member whose beat stands still is
//! taken for dead.
//!
//! * [`Members`]: who is there, and what to send to whom,
//! * [`PeerLoads`]: what peers have at backend servers,
//! * [`Packet`]: the message and its codec.

mod loads;
mod member;
mod members;
mod packet;

pub use loads::{Load, PeerLoads, ServerTag, TotalLoad};
pub use member::Member;
pub use members::{Members, OutgoingPacket, PeerUpdate};
pub use packet::{DecodeError, MAX_PACKET_BYTES, Packet, ViewStatus, ViewSummary};
