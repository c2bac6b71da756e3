//! Messages between instances, over Cap'n Proto RPC on TCP.
//!
//! [`Peers`] sends messages, [`serve`] receives them. Messages may be lost: none is sent again, and
//! one that cannot be sent soon is dropped. Everything runs on the control thread's executor, since
//! RPC objects cannot move between threads.

mod backoff;
mod connection;
mod incoming;
mod outgoing;
mod sender;
mod stats;
mod writer;

use capnp::message::ReaderOptions;

pub use self::{incoming::serve, outgoing::Peers, stats::Stats};

/// Maximum size of an RPC message, in bytes: enough for the largest configuration document and its
/// envelope.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Bytes per word of the Cap'n Proto encoding.
const WORD_BYTES: usize = 8;
/// Maximum nesting of structs and lists in a message; the protocol needs less than ten levels.
const MAX_NESTING: i32 = 32;

/// Returns limits on the memory and time that reading another process's message may take.
fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    options.nesting_limit(MAX_NESTING);
    options
}
