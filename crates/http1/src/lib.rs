//! HTTP/1.1 message parsing for callers, backend servers and the platform.
//!
//! `httparse` parses heads and chunk sizes; this crate limits the size of heads, rejects messages
//! that two parsers may read differently (request smuggling), and decodes bodies. It keeps heads as
//! the received bytes, so that a message can be forwarded unchanged.

mod body;
mod buffered;
mod error;
mod event_grammar;
mod fields;
mod framing;
mod raw;
mod request;
mod response;
mod status_line;

pub use body::{BodyDecoder, BodyError, discard, read_whole};
pub use buffered::Buffered;
pub use error::{ConnectionError, HeadError};
pub use event_grammar::is_event;
pub use fields::{Fields, push_field};
pub use framing::Framing;
pub use request::RequestHead;
pub use response::ResponseHead;
pub use status_line::is_status_line;
