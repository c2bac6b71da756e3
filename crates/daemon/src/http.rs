//! HTTP/1.1 messages for callers, operators, backend servers and the platform.
//!
//! `async-h1` encodes messages, and decodes heads that were checked before. It must not read from
//! connections: it accepts several lengths and uses the last one, buffers beyond the end of a
//! message, and its decoder for chunked bodies can hang at a trailer that is split between two
//! reads. The crate `http1` reads heads and bodies instead, limits their size and rejects ambiguous
//! ones; this module then passes the head to `async-h1` from memory.

mod client;
mod exchange;
mod head;

pub(crate) use client::{ResponseParts, encode_request, read_response};
pub(crate) use exchange::{Client, ExchangeError};
pub(crate) use head::{RequestParts, read_request};
pub(crate) use http1::{BodyDecoder, BodyError, Buffered, Framing, HeadError, read_whole};
