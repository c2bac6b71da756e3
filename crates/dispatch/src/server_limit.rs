//! The limit on requests that a server named in its responses.

use model::prelude::*;

use crate::RequestRate;

/// The limit on the requests of the whole fleet that a start of a server named in its responses.
#[derive(Clone, Debug)]
pub(crate) struct ServerLimit {
    /// The incarnation that named it.
    pub(crate) incarnation: u64,
    /// The requests that it takes from all instances together.
    pub(crate) rate: RequestRate,
    /// When it was last named to this instance.
    pub(crate) named_at: Time,
}
