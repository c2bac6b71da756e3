//! Which software versions the servers of a pool had lately.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gossip::SoftwareTag;
use model::prelude::*;

/// An instance may begin a stream at a server for this time after another one has seen that the server
/// left: changes are followed within two seconds.
const LATE_BEGIN: Duration = Duration::from_millis(2_500);
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
}

impl SoftwareUse {
    /// Records that a version is known of all servers that serve from `since` on, and that others may have
    /// served before.
    pub(crate) fn begin(&mut self, since: Time) {
        self.known_since = Some(since);
    }

    /// Records what the platform's history shows: since when all versions that served are known, and until
    /// when those served that are not listed any more.
    pub(crate) fn extend(
        &mut self,
        since: Time,
        left: impl IntoIterator<Item = (PoolId, SoftwareTag, Time)>,
    ) {
        for (pool, software, until) in left {
            self.record(pool, software, until + LATE_BEGIN);
        }
        self.known_since = self.known_since.map(|it| it.min(since));
    }

    /// Records that a server of this version is not listed any more.
    pub(crate) fn left(&mut self, now: Time, pool: PoolId, software: SoftwareTag) {
        self.record(pool, software, now + LATE_BEGIN);
    }

    /// Returns whether all versions are known that served since this time.
    pub(crate) fn is_known_since(&self, since: Time) -> bool {
        self.known_since.is_some_and(|it| it <= since)
    }

    /// Returns the versions that can have begun a stream since this time in a pool whose listed servers
    /// have the versions `listed`.
    pub(crate) fn since(
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
        self.known_since = self.known_since.map(|it| it.max(now - RETENTION));
    }

    fn record(&mut self, pool: PoolId, software: SoftwareTag, until: Time) {
        let last = self.left.entry(pool).or_default().entry(software).or_insert(until);
        *last = until.max(*last);
    }
}
