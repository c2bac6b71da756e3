//! Membership without a list, and what instances tell each other.
//!
//! Every instance sends small datagrams to its peers: its own card with a growing beat, cards of
//! others, its load at each backend server, and how fresh its view of the platform is. Nothing is
//! acknowledged, nothing is asked, and any packet may be lost. A member whose beat stands still is
//! taken for dead.
//!
//! * [`Members`]: who is there, and what to send to whom,
//! * [`Loads`]: what peers have at backend servers,
//! * [`Packet`]: the message and its codec.

mod card;
mod loads;
mod members;
mod packet;

pub use card::Card;
pub use loads::{Load, Loads, ServerTag, Sum};
pub use members::{Heard, Members, Outgoing};
pub use packet::{DecodeError, Knowledge, MAX_PACKET_BYTES, Packet, View};
