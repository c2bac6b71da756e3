//! Messages between neighbours in the broadcast tree, and their codec.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    DecodeError, Demand, LoadMessage, OriginMessage, Packet, ViewStatus, load_message, origin,
};

/// The version of the format of tree messages, and the first byte of each. A [`Packet`] begins with
/// another one, and instances that know only packets ignore these messages.
const FORMAT_VERSION: u8 = 2;

/// A message between an instance and its parent in the broadcast tree. The order of the fields,
/// here and in the types of the
/// fields, is the format; their names are not part of it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TreeMessage {
    format: u8,
    /// Where the sender receives messages.
    pub sender: SocketAddrV4,
    /// What it asks or answers.
    pub content: TreeContent,
}

/// The content of a [`TreeMessage`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TreeContent {
    /// Asks the parent for its view. It is answered at once, and again when the view changes.
    Probe(Probe),
    /// Answers a probe.
    Answer(Answer),
}

/// What a child tells its parent.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Probe {
    /// Identifies the probe in its answers.
    pub number: u32,
    /// The demand of the child and of all members below it.
    pub demand: Demand,
}

/// What a parent answers.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The number of the latest probe that was received from the child.
    pub number: u32,
    /// The parent's view of the platform.
    pub view_status: ViewStatus,
    /// Whether the parent is a root of the tree that cannot read the platform.
    pub is_cut_off: bool,
    /// The demand of all members, as far as the parent knows.
    pub demand: Demand,
}

/// A tree message to be sent.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OutgoingTreeMessage {
    /// The receiver's address.
    pub to: SocketAddrV4,
    /// What it gets.
    pub message: TreeMessage,
}

impl TreeMessage {
    /// Creates a message.
    pub fn new(sender: SocketAddrV4, content: TreeContent) -> Self {
        Self { format: FORMAT_VERSION, sender, content }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }
}

/// Everything that instances send each other in a datagram.
#[derive(Clone, PartialEq, Debug)]
pub enum Datagram {
    /// Membership and loads.
    Packet(Packet),
    /// A message along the broadcast tree.
    Tree(TreeMessage),
    /// A sum of loads, along the same tree.
    Loads(LoadMessage),
    /// Origins of streams.
    Origins(OriginMessage),
}

impl Datagram {
    /// Decodes a datagram of any kind. Bytes after it are ignored.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.first() {
            Some(&FORMAT_VERSION) => Ok(Self::Tree(postcard::from_bytes(bytes)?)),
            Some(&load_message::FORMAT_VERSION) => LoadMessage::decode(bytes).map(Self::Loads),
            Some(&origin::FORMAT_VERSION) => OriginMessage::decode(bytes).map(Self::Origins),
            _ => Packet::decode(bytes).map(Self::Packet),
        }
    }
}
