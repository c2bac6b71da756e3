//! How fresh the view of the platform is.

use gossip::{ViewStatus, ViewSummary};
use model::prelude::*;

/// Taken off the bound on withdrawn keys: a watch may miss changes for a second while the store
/// drops its history, and a request takes some time from the check to the server.
const REVOKE_MARGIN: Duration = Duration::from_millis(1_300);

/// Evidence that nothing changed at the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    view: ViewSummary,
    as_of: Option<Time>,
}

impl Freshness {
    /// Takes a read of the platform that showed `view` and began at `as_of`.
    pub fn read(&mut self, as_of: Time, view: ViewSummary) {
        if view.digest == self.view.digest {
            self.as_of = self.as_of.max(Some(as_of));
        } else {
            self.as_of = Some(as_of);
        }
        self.view = view;
    }

    /// Takes what a peer knows, which was up to date at `as_of`. It is evidence only for the same
    /// view.
    pub fn told(&mut self, view: ViewSummary, as_of: Time) {
        if self.as_of.is_some() && view.digest == self.view.digest {
            self.as_of = self.as_of.max(Some(as_of));
        }
    }

    /// Returns whether a peer has read something that is not known here.
    pub fn is_behind(&self, peer: ViewSummary) -> bool {
        peer.digest != self.view.digest && peer.revision > self.view.revision
    }

    /// Returns what is known of the platform.
    pub fn view(&self) -> ViewSummary {
        self.view
    }

    /// Returns the latest time at which the view was up to date.
    pub fn as_of(&self) -> Option<Time> {
        self.as_of
    }

    /// Returns until when keys may be accepted under this bound.
    pub fn keys_until(&self, revoke: Option<Duration>) -> Option<Time> {
        let Some(revoke) = revoke else { return Some(Time { nanos: u64::MAX }) };
        Some(self.as_of? + revoke.saturating_sub(REVOKE_MARGIN))
    }

    /// Returns what other instances are told.
    pub fn knowledge(&self, now: Time) -> ViewStatus {
        let age = |it: Time| u32::try_from(now.since(it).as_millis() + 1).unwrap_or(u32::MAX);
        ViewStatus { view: self.view, staleness_ms: self.as_of.map(age) }
    }
}
