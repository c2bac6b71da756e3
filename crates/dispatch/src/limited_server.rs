//! A server that names a limit, as operators see it.

use std::sync::Arc;

use model::prelude::*;

use crate::RequestRate;

/// A server that names a limit, as operators see it.
#[derive(Clone, Debug)]
pub struct LimitedServer {
    /// Its name in the platform's list.
    pub name: Arc<str>,
    /// The requests that it takes from all instances together.
    pub rate: RequestRate,
    /// The requests that this instance may send there in each window.
    pub share: u32,
    /// Those that it has sent in the present one.
    pub sent: u32,
    /// When the server last named the limit, as far as this instance knows.
    pub named_at: Time,
    /// Whether it named it to this instance, not only to others.
    pub is_direct: bool,
}
