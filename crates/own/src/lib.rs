//! Which instance decides what, without a coordination service.
//!
//! Everything that must be counted once in the fleet is cut into [`Shard`]s. Rendezvous hashing
//! over the platform's instance list names the owner of each.
//!
//! * [`Members`]: the instances that are known, heartbeats, and the [`Members::has_permit`] without
//!   which an owner must not use its shards.
//! * [`OwnedShards`]: the shards that this instance owns or waits to take over.

mod holdings;
mod members;
mod shard;

pub use holdings::{OwnedShards, OwnershipChange};
pub use members::{DueHeartbeat, Heard, ListEntry, Member, Members, OwnershipTimes};
pub use shard::Shard;
