//! The parts of HTTP/1.1 that callers, backend servers and the platform share.
//!
//! `async-h1` decodes and encodes messages, but only what was checked here first: it takes the
//! last of several lengths, buffers beyond the end of a message, and its decoder for chunked
//! bodies can wait forever at a trailer that is split between two reads. So crate `http1` reads the
//! head and the body within their bounds and refuses what is ambiguous, and this module gives
//! `async-h1` a head in memory.

mod client;
mod exchange;
mod head;

pub(crate) use client::{ResponseParts, encode_request, read_response};
pub(crate) use exchange::{Client, ExchangeError};
pub(crate) use head::{RequestParts, read_request};
pub(crate) use http1::{BodyDecoder, BodyError, Buffered, Framing, HeadError, read_whole};
