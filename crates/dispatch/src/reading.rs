//! Which instance reads the platform, and how the others learn what it has read.
//!
//! Reads are billed, so in a small fleet one instance reads at a time and the others take its word
//! that nothing has changed. In a large fleet views spread along the broadcast tree of
//! [`Upstream`](gossip::Upstream): its root reads the platform, and all others read changes from a
//! peer that has them.

use std::net::SocketAddrV4;

use gossip::{TreeContent, TreeMessage, ViewSummary};
use model::prelude::*;

use crate::{Effect, LogEntry, ViewSource, state::State};

/// The age of the view at which the first member of the fleet reads the platform again. A draining
/// server must get no requests after two seconds, and a configuration must be in force after two,
/// but each read is billed.
const READ_INTERVAL: Duration = Duration::from_millis(550);
/// Added to [`READ_INTERVAL`] for each member that reads before this one in a small fleet. It is
/// longer than gossip takes to spread that member's read, which makes a further read unnecessary.
const READ_STAGGER: Duration = Duration::from_millis(350);
/// The number of members that read at staggered ages. All others read at the same age as the last
/// of them.
const MAX_READ_RANK: u32 = 3;
/// Time after the start in which gossip finds the first members. A view that was read within it
/// is read again as late as by a member that many others precede.
const JOIN_TIME: Duration = Duration::from_millis(1_000);
/// The age of the view at which a member of a large fleet reads the platform although it has a
/// parent in the tree. It is more than the tree takes to replace a root that fell silent, and
/// leaves time for two reads before keys are refused.
const TREE_READ_AGE: Duration = Duration::from_millis(2_400);
/// Added to [`TREE_READ_AGE`] in proportion to the member's place in the fleet, so that not all
/// members read at once.
const TREE_READ_SPREAD: Duration = Duration::from_millis(400);
/// The time that is left for a read until a change must be followed.
const FOLLOW_MARGIN: Duration = Duration::from_millis(400);
/// A peer's view that was confirmed this much later than the own one and differs from it is a reason to read,
/// whatever its revision. Times of views are less wrong than that.
const MIN_CURRENT_LEAD: Duration = Duration::from_millis(1_000);
/// How long a view of a peer is no reason to read the platform again after the platform did not have it.
const REFUTED_TIME: Duration = Duration::from_millis(1_000);
/// The first members of a large fleet, which retry failed reads as often as those of a small one:
/// one of them succeeds soon after the platform is back, and the others follow it.
const EAGER_READERS: usize = 8;
/// The platform must have been away for this long for entries of servers to have expired: a server
/// is unlisted after three heartbeats, 1.2 s apart, and the last one came up to one interval before
/// the platform failed.
const MIN_EXPIRY_TIME: Duration = Duration::from_millis(2_400);
/// A server whose entry expired in an outage of the platform may get requests for this time from the
/// platform's return. Servers that still run are listed again within two seconds of it.
pub(crate) const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_000);

/// Where changes are read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadSource {
    /// The platform itself.
    Platform,
    /// The instance at this address, which has a newer view.
    Peer(SocketAddrV4),
}

/// How soon failed reads of the platform are retried. A large fleet whose members all retry soon
/// would send the platform hundreds of requests a second while it is down.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RetryPolicy {
    /// Other instances may depend on this one.
    Soon,
    /// Others retry soon, but none of them can be reached, or this instance lacks changes that they
    /// have.
    Later,
    /// Others retry soon, and tell this instance.
    Rarely,
}

impl State {
    /// Returns when changes must be read next, from [`State::read_source`].
    ///
    /// In a small fleet normally only the first member, in an order on which all members agree,
    /// reads. The others learn by gossip that nothing has changed. They read when they learn of a
    /// change, or when their view gets older than the reads of the first member should allow. In a
    /// large fleet the same holds for the roots of the tree and for the others.
    pub fn next_read(&self) -> Time {
        let due = self.next_regular_read();
        self.next_origin_read().map_or(due, |it| it.min(due))
    }

    fn next_regular_read(&self) -> Time {
        let Some(as_of) = self.freshness.last_confirmed().filter(|_| !self.is_behind) else {
            return Time::default();
        };
        let rank = self.members.rank();
        if !self.members.is_large() {
            // The members that read before this one may not be known yet. An instance that has
            // heard of none by then is taken to be alone.
            let is_joining = as_of < self.started_at + JOIN_TIME && self.members.alive_count() > 1;
            let rank = u32::try_from(rank).map_or(MAX_READ_RANK, |it| it.min(MAX_READ_RANK));
            let rank = if is_joining { MAX_READ_RANK } else { rank };
            return as_of + self.in_time_to_follow(READ_INTERVAL + READ_STAGGER * rank);
        }
        if self.upstream.is_root() {
            return as_of + READ_INTERVAL;
        }
        let place = rank as f64 / self.members.alive_count().max(1) as f64;
        let latest = self.in_time_to_follow(TREE_READ_AGE + TREE_READ_SPREAD);
        as_of + latest.saturating_sub(TREE_READ_SPREAD) + TREE_READ_SPREAD.mul_f64(place)
    }

    /// Returns the age of the view at which changes are read, so that they are followed in time.
    fn in_time_to_follow(&self, age: Duration) -> Duration {
        let latest = self.setup.bounds.follow.map(|follow| follow.saturating_sub(FOLLOW_MARGIN));
        latest.map_or(age, |latest| age.min(latest.max(READ_INTERVAL)))
    }

    /// Returns where changes must be read next.
    pub fn read_source(&self) -> ReadSource {
        match self.newer_peer {
            Some(peer) if self.is_behind && self.freshness.last_confirmed().is_some() => {
                ReadSource::Peer(peer)
            }
            _ => ReadSource::Platform,
        }
    }

    /// Returns how soon failed reads of the platform are to be retried. This changes while a retry is
    /// awaited.
    pub fn retry_policy(&self) -> RetryPolicy {
        if !self.members.is_large() || self.members.rank() < EAGER_READERS {
            RetryPolicy::Soon
        } else if self.upstream.has_answering_parent() && !self.is_behind {
            RetryPolicy::Rarely
        } else {
            RetryPolicy::Later
        }
    }

    /// Handles a successful read, of the platform or of a peer.
    pub(crate) fn view_read(
        &mut self,
        now: Time,
        as_of: Time,
        view: ViewSummary,
        source: ViewSource,
    ) {
        let is_changed = view.digest != self.freshness.view().digest;
        self.platform_seen(as_of);
        self.freshness.record_read(as_of, view, source);
        if let Some(peer) = self.behind_of.take().filter(|_| source == ViewSource::Platform)
            && view.digest != peer.digest
            && view.revision < peer.revision
        {
            self.refuted_view = Some((peer.digest, now + REFUTED_TIME));
        }
        self.is_behind = false;
        self.newer_peer = None;
        if is_changed {
            // Children read the changes at once instead of with their next probe.
            self.notify_children(now);
        }
        self.eliminate_versions(now, as_of);
    }

    /// Handles a part of the platform's changes. The platform is there, but the view may lack changes
    /// of which others know.
    pub(crate) fn view_part_read(&mut self, seen_at: Time, view: ViewSummary) {
        self.platform_seen(seen_at);
        self.freshness.record_part(view);
    }

    /// Reads the platform instead, as the peer with the newer view did not deliver it.
    pub(crate) fn peer_read_failed(&mut self) {
        self.newer_peer = None;
    }

    /// Processes the view of a peer, which was up to date at `as_of` if that is known.
    pub(crate) fn peer_view(
        &mut self,
        now: Time,
        peer: SocketAddrV4,
        view: ViewSummary,
        as_of: Option<Time>,
    ) {
        let Some(as_of) = as_of else { return };
        self.platform_seen(as_of);
        let own = self.freshness.view();
        if view.digest == own.digest && view.version != own.version {
            let (peer_version, version) = (view.version, own.version);
            self.log(LogEntry::ViewsDiffer { peer, peer_version, version });
            // Nothing shows which of the two has what operators wrote last.
            return;
        }
        self.freshness.record_peer_view(view, as_of, peer);
        if let Some(confirmed) = self.freshness.last_confirmed() {
            self.eliminate_versions(now, confirmed);
        }
        let is_newer = self.freshness.is_behind(view) && !self.is_refuted(now, view);
        // After the platform went back to an older copy, current views have lower revisions.
        let last_confirmed = self.freshness.last_confirmed();
        let is_current = view.digest != own.digest
            && last_confirmed.is_some_and(|it| it + MIN_CURRENT_LEAD <= as_of);
        // An instance that can read neither the platform nor the peer that it asked asks the next.
        let may_ask = !self.is_behind || self.newer_peer.is_none() && self.failing_since.is_some();
        if (is_newer || is_current) && may_ask {
            self.is_behind = true;
            self.behind_of = Some(view);
            self.newer_peer = (is_newer && self.members.is_large()).then_some(peer);
            self.emit(Effect::ReadPlatform);
        }
    }

    /// Returns whether the platform was read lately because a peer had this view, and did not have its
    /// revision: the view is of what was there before the platform went back to an older copy.
    fn is_refuted(&self, now: Time, view: ViewSummary) -> bool {
        let refuted = self.refuted_view;
        refuted.is_some_and(|(digest, until)| digest == view.digest && now < until)
    }

    /// Probes the parent in the tree, if the fleet is large.
    pub(crate) fn probe_parent(&mut self, now: Time) {
        if !self.members.is_large() {
            return;
        }
        let candidates = self.members.candidates();
        let is_failing = self.failing_since.is_some();
        let substitute = if is_failing { self.members.any_available() } else { None };
        let was_root = self.upstream.is_root();
        let demand = self.own_demand(now);
        if let Some(outgoing) = self.upstream.tick(now, &candidates, substitute, demand) {
            self.emit(Effect::SendTree(outgoing));
        }
        if self.upstream.is_root() && !was_root {
            self.emit(Effect::ReadPlatform);
        }
    }

    /// Handles a message along the tree.
    pub(crate) fn tree_message(&mut self, now: Time, message: TreeMessage) {
        let sender = message.sender;
        match message.content {
            TreeContent::Probe(probe) => {
                let is_cut_off = self.upstream.is_root() && self.failing_since.is_some();
                let status = self.freshness.view_status(now);
                let answer = self.upstream.probed(now, sender, probe, status, is_cut_off);
                self.emit(Effect::SendTree(answer));
            }
            TreeContent::Answer(answer) => {
                let view = answer.view_status.view;
                let as_of = self.upstream.answered(now, sender, answer);
                self.peer_view(now, sender, view, as_of);
            }
        }
    }

    /// Records that some instance read the platform at `as_of`. A long time without any such read is
    /// an outage that ended then.
    fn platform_seen(&mut self, as_of: Time) {
        if self.is_end_of_outage(as_of) {
            self.platform_back_at = Some(as_of);
        }
        self.platform_seen_at = self.platform_seen_at.max(Some(as_of));
    }

    /// Returns whether this instance could not read the platform, and no other one is known to have
    /// read it for so long before `now` that entries of servers may have expired.
    fn is_end_of_outage(&self, now: Time) -> bool {
        let is_long = |seen_at: Time| now.since(seen_at) >= MIN_EXPIRY_TIME;
        self.failing_since.is_some() && self.platform_seen_at.is_some_and(is_long)
    }

    /// Returns since when a server can be missing from the list, which is read now, although it runs:
    /// its entry may have expired in an outage of the platform that ended then. `None` if the entry
    /// was deleted for another reason. An instance that alone could not read the platform was told
    /// by others that they could.
    pub(crate) fn entries_expired_at(&self, now: Time) -> Option<Time> {
        if self.is_end_of_outage(now) {
            return Some(now);
        }
        self.platform_back_at.filter(|back_at| now.since(*back_at) < EXPIRED_ENTRY_GRACE)
    }

    fn notify_children(&mut self, now: Time) {
        for outgoing in self.upstream.notify(self.freshness.view_status(now)) {
            self.emit(Effect::SendTree(outgoing));
        }
    }
}
