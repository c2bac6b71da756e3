//! Which software version began a stream, as instances tell each other.

use std::net::SocketAddrV4;

use model::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{DecodeError, checked};

/// The version of the format, and the first byte of each message. Instances that do not know it
/// ignore these messages.
pub(crate) const FORMAT_VERSION: u8 = 4;

/// Identifies a stream: a hash of the id of the caller's request that brought its first event.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct StreamTag(pub u64);

impl StreamTag {
    /// Returns the tag of the stream whose first event this request of a caller brought.
    pub fn of(request_id: &str) -> Self {
        Self(xxh3_64(request_id.as_bytes()))
    }
}

/// Identifies a software version of the servers of a pool: a hash of both.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct SoftwareTag(pub u64);

impl SoftwareTag {
    /// Returns the tag of a version. Servers that state none count as one version.
    pub fn of(pool: PoolId, version: Option<&str>) -> Self {
        let mut hash = Xxh3::new();
        hash.update(&pool.0.to_be_bytes());
        hash.update(&[u8::from(version.is_some())]);
        hash.update(version.unwrap_or_default().as_bytes());
        Self(hash.digest())
    }
}

/// The software version that began a stream. The order of the fields is the message format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamTag,
    /// The version whose server sent its first event; `None` if that is in doubt.
    pub software: Option<SoftwareTag>,
    /// For how long its caller may take it up again, in milliseconds.
    pub lasts_ms: u32,
}

/// A message about the origins of streams. The order of the fields, here and in the types of the
/// fields, is the format; their names are not part of it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OriginMessage {
    format: u8,
    /// Where the sender receives messages.
    pub sender: SocketAddrV4,
    /// What it tells or asks.
    pub content: OriginContent,
}

/// The content of an [`OriginMessage`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum OriginContent {
    /// These streams began at the sender, or their origins have come into doubt.
    Began(Vec<StreamOrigin>),
    /// Asks for the origin of a stream. It is answered at once.
    Question(StreamTag),
    /// Answers a question about a stream.
    Answer {
        /// The stream.
        stream: StreamTag,
        /// Its origin, as far as the sender knows it.
        origin: KnownOrigin,
    },
}

/// What an instance knows of the origin of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum KnownOrigin {
    /// Nothing.
    Unknown,
    /// This version began it.
    Software(SoftwareTag),
    /// Several versions can have begun it.
    InDoubt,
}

/// A message about origins to be sent.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OutgoingOriginMessage {
    /// The receiver's address.
    pub to: SocketAddrV4,
    /// What it gets.
    pub message: OriginMessage,
}

impl OriginMessage {
    /// Creates a message.
    pub fn new(sender: SocketAddrV4, content: OriginContent) -> Self {
        Self { format: FORMAT_VERSION, sender, content }
    }

    /// Encodes the message, with a checksum.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        checked::encode_value(self)
    }

    /// Decodes a message. Bytes after its checksum are ignored.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (message, _) = checked::take(bytes)?.ok_or(DecodeError::DamagedOrigins)?;
        Ok(message)
    }
}
