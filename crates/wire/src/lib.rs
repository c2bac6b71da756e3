//! The encoding of messages between instances, by Cap'n Proto.
//!
//! * [`write()`] and [`read`] convert between [`model::msg::Msg`] and the schema in
//!   `schema/peer.capnp`.
//! * [`peer_capnp`] is generated from that schema by `capnp compile` and committed, so that the
//!   build needs no generator.

mod error;
mod read;
mod write;

#[allow(missing_docs, unreachable_pub, rust_2018_idioms, clippy::all, clippy::pedantic, clippy::restriction)]
#[rustfmt::skip]
pub mod peer_capnp;

pub use error::ReadError;
pub use read::{Header, read};
pub use write::write;

/// The protocol version that this crate writes; a receiver accepts any version and ignores
/// messages that it does not know.
pub const PROTOCOL: u16 = 1;
