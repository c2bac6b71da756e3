//! Messages between instances, by Cap'n Proto RPC over TCP.
//!
//! [`Peers`] sends messages, [`serve`] receives them. Messages may be lost: nothing here repeats
//! one, and one that cannot be sent soon is dropped. Everything runs on the control thread's
//! executor, because the RPC objects stay on one thread.

mod backoff;
mod connection;
mod incoming;
mod outgoing;
mod sender;
mod stats;
mod writer;

use capnp::message::ReaderOptions;

pub use self::{incoming::serve, outgoing::Peers, stats::Stats};

/// Bytes of a message of the RPC protocol: a configuration document of the largest size, with
/// room for what stands around it.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Bytes of a word of the encoding.
const WORD_BYTES: usize = 8;
/// Depth of structs and lists in each other; the protocol needs less than ten.
const MAX_NESTING: i32 = 32;

/// Limits what a message of another process may cost here.
fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    options.nesting_limit(MAX_NESTING);
    options
}
