//! `Copy` ids.
//!
//! Things that the configuration names are identified by the 64-bit hash of their name: the id
//! stays the same in every configuration version and in every instance, and takes eight bytes in
//! a message. The configuration check refuses two names with the same hash.

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
            /// Returns the id of the thing with this name.
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
    /// A client account.
    AccountId
}
name_id! {
    /// An availability zone.
    ZoneId
}
name_id! {
    /// A backend server.
    ServerId
}
name_id! {
    /// A pool of backend servers that serve the same model or service.
    PoolId
}
name_id! {
    /// A class of requests.
    ClassId
}
name_id! {
    /// A route.
    RouteId
}
name_id! {
    /// An instance of the daemon, by its name in the platform's instance list.
    InstanceId
}
name_id! {
    /// The part of a prompt that engines may have cached.
    PrefixHash
}
number_id! {
    /// One run of an instance: a restart gets a new one.
    Incarnation
}
number_id! {
    /// A request for tokens by one instance; unique in that instance's incarnation.
    AskId
}
number_id! {
    /// Tokens that the owner of an account share handed out; unique in the owner's incarnation.
    LeaseId
}
number_id! {
    /// A request's place in a cell's queue; unique in the incarnation of the instance that waits.
    TicketId
}
number_id! {
    /// The right to send one attempt to a backend server; unique in the owner's incarnation.
    GrantId
}
number_id! {
    /// A request that this process serves, named in the order of arrival.
    RequestNo
}
number_id! {
    /// Ties an acknowledgement to its heartbeat.
    Nonce
}

/// A request, as shown to callers and backend servers in `x-request-id`.
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

/// A caller's idempotency key together with its account and route, hashed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct IdempotencyId(pub u128);

impl IdempotencyId {
    /// Hashes an idempotency key; the same key of another account or route gets another id.
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
/// Equality takes the same time wherever two hashes differ. The value is shown only in part, so
/// that a dump or a log line is of no use to somebody who collects hashes.
#[derive(Clone, Copy)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a key as its caller sent it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the whole hash as 64 hexadecimal digits, the form in which operators publish it.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the first eight bytes, to look a hash up before [`PartialEq`] compares it whole.
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
    /// The client account.
    pub account: AccountId,
    /// The availability zone.
    pub zone: ZoneId,
}

/// The backend servers of one pool in one availability zone; the unit of scheduling.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
pub struct CellId {
    /// The pool.
    pub pool: PoolId,
    /// The availability zone.
    pub zone: ZoneId,
}

/// One run of an instance, as the sender of a message.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize)]
pub struct Peer {
    /// The instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
}
