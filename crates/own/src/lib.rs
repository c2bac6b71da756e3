//! Shard ownership without a coordination service.
//!
//! All state that the fleet must keep in a single place is split into [`Shard`]s. Rendezvous
//! hashing over the platform's instance list determines the owner of each.
//!
//! * [`Members`]: the known instances, heartbeats, and the permit ([`Members::has_permit`]) without
//!   which an owner must not use its shards.
//! * [`OwnedShards`]: the shards that this instance owns or waits to take over.

mod members;
mod owned_shards;
mod shard;

pub use members::{DueHeartbeat, ListEntry, Member, Members, OwnershipTimes, PeerUpdate};
pub use owned_shards::{OwnedShards, OwnershipChange};
pub use shard::Shard;
