//! The parts of HTTP/1.1 messages that callers, backend servers and the platform share.
//!
//! `httparse` reads lines; this crate bounds heads, refuses what two parsers may read differently,
//! and takes bodies out of their framing. It keeps heads as the bytes that came, so that a message
//! can be passed on unchanged.

mod body;
mod buffered;
mod error;
mod fields;
mod framing;
mod raw;
mod request;
mod response;

pub use body::{BodyDecoder, BodyError, read_whole};
pub use buffered::Buffered;
pub use error::{ConnectionError, HeadError};
pub use fields::{Fields, push_field};
pub use framing::Framing;
pub use request::RequestHead;
pub use response::ResponseHead;
