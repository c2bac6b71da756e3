//! `Copy` ids.
//!
//! What the configuration names is identified by the 64-bit hash of its name: the id is the same in
//! every configuration version and in every instance, and takes eight bytes in a message. The
//! configuration check rejects two names with the same hash.

use std::fmt;

use serde::{Serialize, Serializer};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! name_id {
    ($(#[$doc:meta])* $id:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $id(pub u64);

        impl $id {
            /// Returns the id that belongs to this name.
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }

        number_id!(@format $id);
    };
}

macro_rules! number_id {
    (@format $id:ident) => {
        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl fmt::Debug for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({:016x})", stringify!($id), self.0)
            }
        }

        impl Serialize for $id {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }
    };
    ($(#[$doc:meta])* $id:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $id(pub u64);

        number_id!(@format $id);
    };
}

name_id! {
    /// The id of a client account.
    AccountId
}
name_id! {
    /// The id of an availability zone.
    ZoneId
}
name_id! {
    /// The id of a backend server.
    ServerId
}
name_id! {
    /// The id of a pool: backend servers that serve the same model or service.
    PoolId
}
name_id! {
    /// The id of a class of requests.
    ClassId
}
name_id! {
    /// The id of a route.
    RouteId
}
name_id! {
    /// The id of an instance of the daemon, from its name in the platform's instance list.
    InstanceId
}
name_id! {
    /// The hash of a prompt's shared prefix, which engines may have cached.
    PrefixHash
}
number_id! {
    /// Identifies one run of an instance: each start of its process has a new one.
    Incarnation
}
number_id! {
    /// A request for a rate token, or a claim of an idempotency key; unique in the incarnation of
    /// the instance that sends it.
    AskId
}
number_id! {
    /// A rate token that the owner of an account share handed out; unique in the owner's
    /// incarnation.
    LeaseId
}
number_id! {
    /// A request's place in a cell's queue; unique in the incarnation of the instance that has the
    /// request.
    TicketId
}
number_id! {
    /// The right to send one attempt to a backend server; unique in the incarnation of the cell's
    /// owner.
    GrantId
}
number_id! {
    /// A request that this process serves, numbered in the order of arrival.
    RequestNo
}
number_id! {
    /// Matches an acknowledgement to its heartbeat.
    Nonce
}

/// The id of a request, sent to callers and backend servers in `x-request-id`.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestId({self})")
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The hash of a caller's idempotency key together with its account and route.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct IdempotencyId(pub u128);

impl IdempotencyId {
    /// Hashes an idempotency key; the same key of another account or route has another id.
    pub fn of(account: AccountId, route: RouteId, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(account.0.to_be_bytes())
            .chain_update(route.0.to_be_bytes())
            .chain_update(key.as_bytes())
            .finalize();
        let mut buf = [0; 16];
        buf.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(buf))
    }
}

/// The SHA-256 hash of a client account's key.
///
/// Comparing two hashes takes the same time wherever they differ. The `Debug` output shows only the
/// first two bytes, so that nobody can collect hashes from dumps or log lines.
#[derive(Clone, Copy)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a key in the form in which the caller sent it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the whole hash as 64 hexadecimal digits, the form in the configuration.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the first eight bytes: a key for look-ups, before [`PartialEq`] compares the whole
    /// hash.
    pub fn bucket(&self) -> u64 {
        let mut buf = [0; 8];
        buf.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(buf)
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// The part of a client account's rate and burst that one availability zone hands out.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
pub struct ShareId {
    /// The client account whose rate and burst are divided.
    pub account: AccountId,
    /// The zone whose instances own the share.
    pub zone: ZoneId,
}

/// The backend servers of one pool in one availability zone. Each cell is scheduled separately.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
pub struct CellId {
    /// The pool that the servers belong to.
    pub pool: PoolId,
    /// The zone of the servers, and of the instance that owns the cell.
    pub zone: ZoneId,
}

/// One incarnation of an instance, as the sender of messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
pub struct Peer {
    /// The same after a restart.
    pub instance: InstanceId,
    /// Another one after each restart.
    pub incarnation: Incarnation,
}
