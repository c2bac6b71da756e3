//! The Cap'n Proto encoding of messages between instances.
//!
//! * [`write()`] and [`read`] convert between [`model::msg::Msg`] and the schema in
//!   `schema/peer.capnp`.
//! * [`peer_capnp`] is generated from that schema by `capnp compile`. The generated file is
//!   committed, so that builds do not need the generator.

mod error;
mod read;
mod write;

#[allow(missing_docs, unreachable_pub, rust_2018_idioms, clippy::all, clippy::pedantic, clippy::restriction)]
#[rustfmt::skip]
pub mod peer_capnp;

pub use error::ReadError;
pub use read::{Header, read};
pub use write::write;

/// The protocol version that this crate writes. A receiver accepts any version and ignores messages
/// of unknown types.
pub const PROTOCOL: u16 = 1;
