//! The view of the platform and the time at which it was last confirmed.

use std::{fmt, net::SocketAddrV4};

use gossip::{ViewStatus, ViewSummary};
use model::prelude::*;

/// Keys are accepted for this much less than the bound on revoked keys after the view was
/// confirmed. A watch may miss changes for a second while the store drops its history, and a
/// request takes some time from the check of its key to the server.
const REVOKE_MARGIN: Duration = Duration::from_millis(1_300);

/// From whom a view of the platform was learned.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum ViewSource {
    /// The platform itself.
    #[default]
    Platform,
    /// The instance that receives packets at this address.
    Peer(SocketAddrV4),
}

impl fmt::Display for ViewSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Peer(address) => address.fmt(f),
        }
    }
}

/// The view of the platform and the time at which it was last confirmed, by a read of this instance
/// or of another one that read the same view.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    view: ViewSummary,
    /// `None` before the first read.
    last_confirmed: Option<Time>,
    /// Who confirmed it then.
    confirmed_by: ViewSource,
}

impl Freshness {
    /// Records that `view`, which was up to date at `as_of`, was read from `source`. A view of a later revision holds everything that an earlier one did, so
    /// it is at least as recent.
    pub fn record_read(&mut self, as_of: Time, view: ViewSummary, source: ViewSource) {
        if view.digest == self.view.digest || view.revision >= self.view.revision {
            self.confirm(as_of, source);
        } else {
            self.last_confirmed = Some(as_of);
            self.confirmed_by = source;
        }
        self.view = view;
    }

    /// Records that a part of the changes since the last read was applied, which gave `view`. It holds
    /// all that the previous one did, and is not known to hold more.
    pub fn record_part(&mut self, view: ViewSummary) {
        self.view = view;
    }

    /// Records that the instance at `peer` confirmed `view` at `as_of`. A view that differs from this
    /// instance's confirms nothing.
    pub fn record_peer_view(&mut self, view: ViewSummary, as_of: Time, peer: SocketAddrV4) {
        if self.last_confirmed.is_some() && view.digest == self.view.digest {
            self.confirm(as_of, ViewSource::Peer(peer));
        }
    }

    fn confirm(&mut self, as_of: Time, source: ViewSource) {
        if self.last_confirmed < Some(as_of) {
            self.last_confirmed = Some(as_of);
            self.confirmed_by = source;
        }
    }

    /// Returns whether another instance's view is newer than this instance's.
    pub fn is_behind(&self, peer: ViewSummary) -> bool {
        peer.digest != self.view.digest && peer.revision > self.view.revision
    }

    /// Returns the view that was read last.
    pub fn view(&self) -> ViewSummary {
        self.view
    }

    /// Returns the latest time at which the view was known to be up to date; `None` before the
    /// first read.
    pub fn last_confirmed(&self) -> Option<Time> {
        self.last_confirmed
    }

    /// Returns who confirmed the view at that time; `None` before the first read.
    pub fn confirmed_by(&self) -> Option<ViewSource> {
        self.last_confirmed.map(|_| self.confirmed_by)
    }

    /// Returns until when keys may be accepted so that a revoked key works no longer than `revoke`
    /// after its revocation: forever without a bound; `None` if there is one and the platform has
    /// not been read.
    pub fn keys_valid_until(&self, revoke: Option<Duration>) -> Option<Time> {
        let Some(revoke) = revoke else { return Some(Time { nanos: u64::MAX }) };
        Some(self.last_confirmed? + revoke.saturating_sub(REVOKE_MARGIN))
    }

    /// Returns what gossip sends to other instances: the view and its staleness, rounded up.
    pub fn view_status(&self, now: Time) -> ViewStatus {
        let age = |time: Time| u32::try_from(now.since(time).as_millis() + 1).unwrap_or(u32::MAX);
        ViewStatus { view: self.view, staleness_ms: self.last_confirmed.map(age) }
    }
}
