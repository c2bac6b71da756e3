//! Which software versions the servers of a pool had lately.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gossip::SoftwareTag;
use model::prelude::*;

/// How long it is kept which versions have left.
const RETENTION: Duration = Duration::from_secs(120);

/// Which software versions the servers of each pool had lately, to tell the version that began a stream by
/// elimination.
#[derive(Debug, Default)]
pub(crate) struct SoftwareUse {
    /// Since when all versions that served are known. `None` before the first list of servers.
    known_since: Option<Time>,
    /// Until when servers that are not listed any more may have begun streams, by version.
    left: HashMap<PoolId, BTreeMap<SoftwareTag, Time>>,
    /// The versions of the servers that are not listed any more, and when they left.
    former: HashMap<ServerId, (SoftwareTag, Time)>,
}

impl SoftwareUse {
    /// Records that servers may have come and left unnoticed before this time.
    pub(crate) fn known_from(&mut self, since: Time) {
        self.known_since = Some(since);
    }

    /// Records that all versions are known that served since this time.
    pub(crate) fn add_history(&mut self, since: Time) {
        self.known_since = self.known_since.map(|it| it.min(since));
    }

    /// Records that a server of this version is not listed any more, and may have begun streams until
    /// `until`.
    pub(crate) fn left(
        &mut self,
        now: Time,
        server: ServerId,
        pool: PoolId,
        software: SoftwareTag,
        until: Time,
    ) {
        self.former.insert(server, (software, now));
        let last = self.left.entry(pool).or_default().entry(software).or_insert(until);
        *last = until.max(*last);
    }

    /// Returns the version of a server when it was listed before; `None` if it was not.
    pub(crate) fn former(&self, server: ServerId) -> Option<SoftwareTag> {
        self.former.get(&server).map(|it| it.0)
    }

    /// Returns whether all versions are known that served since this time.
    pub(crate) fn is_known_since(&self, since: Time) -> bool {
        self.known_since.is_some_and(|it| it <= since)
    }

    /// Returns the versions that can have begun a stream since this time in a pool whose listed servers
    /// have the versions `listed`.
    pub(crate) fn possible_since(
        &self,
        since: Time,
        pool: PoolId,
        listed: impl IntoIterator<Item = SoftwareTag>,
    ) -> BTreeSet<SoftwareTag> {
        let left = self.left.get(&pool).into_iter().flatten();
        let left = left.filter(|it| *it.1 >= since).map(|it| *it.0);
        left.chain(listed).collect()
    }

    /// Forgets the versions that left long ago.
    pub(crate) fn expire(&mut self, now: Time) {
        for versions in self.left.values_mut() {
            versions.retain(|_, until| now.since(*until) < RETENTION);
        }
        self.left.retain(|_, versions| !versions.is_empty());
        self.former.retain(|_, it| now.since(it.1) < RETENTION);
        self.known_since = self.known_since.map(|it| it.max(now - RETENTION));
    }
}
