//! Which instance decides what, without a coordination service.
//!
//! Everything that must be counted once in the fleet is cut into [`Shard`]s. Rendezvous hashing
//! over the platform's instance list names the owner of each.
//!
//! * [`Members`]: the instances that are known, heartbeats, and the [`Members::permit`] without
//!   which an owner must not use its shards.
//! * [`Holdings`]: the shards that this instance owns or waits to take over.

mod holdings;
mod members;
mod shard;

pub use holdings::{Holdings, Shift};
pub use members::{Beat, Heard, Listed, Member, Members, Times};
pub use shard::Shard;
