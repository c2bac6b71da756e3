//! Evidence against prompt parts that end backend servers, as packets carry it.

use serde::{Deserialize, Serialize};

/// Identifies the end of a server. Instances that saw the same end use the same tag.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct EndTag(pub u32);

/// The end of a server at which a request with a prompt part was unanswered. The order of the fields
/// is the packet format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServerEnd {
    /// Identifies the end.
    pub tag: EndTag,
    /// Time since the end, in milliseconds.
    pub age_ms: u32,
    /// Time from the sending of the request to the end, in milliseconds.
    pub took_ms: u32,
}

/// The ends of servers at which requests with a prompt part were unanswered. The order of the fields
/// is the packet format.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartEvidence {
    /// The id of the part.
    pub part: u64,
    /// Whether the sender holds the part back.
    pub is_held: bool,
    /// Time since the sending of the latest request with the part that was answered, in
    /// milliseconds; `None` if none is known. It refutes all ends before.
    pub answered_age_ms: Option<u32>,
    /// Time since a request with the part was last sent although it is held back, in milliseconds;
    /// `None` if none was.
    pub tried_age_ms: Option<u32>,
    /// Ends, in any order.
    pub ends: Vec<ServerEnd>,
}
