//! The limit on requests that a server named in its responses.

use model::prelude::*;

use crate::{RequestRate, RequestWindow};

/// The limit on the requests of the whole fleet that a start of a server named in its responses.
#[derive(Clone, Debug)]
pub(crate) struct ServerLimit {
    /// The incarnation that named it.
    pub(crate) incarnation: u64,
    /// The requests that it takes from all instances together.
    pub(crate) rate: RequestRate,
    /// Whether the server named it to this instance, not only to others.
    pub(crate) is_direct: bool,
    /// When it named it last to this instance, or when this instance first heard of it.
    pub(crate) told_at: Time,
    /// When it named it last, as far as this instance knows.
    pub(crate) named_at: Time,
    /// The requests that this instance has sent since it knows the limit.
    pub(crate) sent: RequestWindow,
}
