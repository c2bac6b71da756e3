//! Which software version began a stream that nobody remembers: the only one that can have.

use std::collections::{BTreeMap, BTreeSet};

use gossip::SoftwareTag;
use model::prelude::*;

use crate::{
    ServedVersion,
    caller_times::CallerTimes,
    request::Request,
    state::State,
    stream_origins::DEADLINE_SLACK,
    taken_up::{OriginSearch, Reading, Step},
};

/// The least time between two reads of the platform for streams that are taken up: callers that name unknown
/// streams must not make all instances read without a pause.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// The time that a caller may wait of which nothing else is known.
const MAX_WAIT: Duration = Duration::from_secs(600);

impl State {
    /// Decides by elimination for the searches that waited for a view that was up to date at `as_of` or
    /// later.
    pub(crate) fn eliminate_versions(&mut self, now: Time, as_of: Time) {
        for (key, search) in self.searches() {
            let Step::Reading(reading) = search.step else { continue };
            if as_of < reading.after {
                continue;
            }
            if let Some(software) = reading.known {
                self.origin_found(now, key, software, "version known, no server listed");
                continue;
            }
            let Some(req) = self.requests.get(key) else { continue };
            let begun_after = self.begun_after(now, req);
            let versions = self.possible_versions(begun_after, req);
            let is_known = self.software_use.is_known_since(begun_after);
            match (versions.first(), versions.len()) {
                (Some(only), 1) if is_known => {
                    self.origin_found(now, key, *only, "only version in use");
                }
                (_, 2..) => self.origin_unknown(now, key, "several versions in use", None),
                _ if reading.has_history => {
                    self.origin_unknown(now, key, "versions before are not known", None);
                }
                _ => {}
            }
        }
    }

    /// Returns the time since which the servers that were listed have to be read from the platform's history,
    /// so that searches can be decided; `None` if no history is needed.
    pub fn wanted_history(&self, now: Time) -> Option<Time> {
        let open = self.searching.iter().filter_map(|key| {
            let req = self.requests.get(*key)?;
            let reading = req.reading()?;
            let begun_after = self.begun_after(now, req);
            let is_open = reading.known.is_none()
                && !reading.has_history
                && !self.software_use.is_known_since(begun_after)
                && self.possible_versions(begun_after, req).len() == 1;
            is_open.then_some(begun_after)
        });
        open.min()
    }

    /// Handles what the platform's history shows of the servers since some time; `served` is `None` if it
    /// does not show them all.
    pub(crate) fn history_read(
        &mut self,
        now: Time,
        since: Time,
        served: Option<&[ServedVersion]>,
    ) {
        let mut versions: BTreeMap<PoolId, BTreeSet<SoftwareTag>> = BTreeMap::new();
        for it in served.into_iter().flatten() {
            versions.entry(it.pool).or_default().insert(it.software);
        }
        for (_, server) in self.servers.iter() {
            versions.entry(server.entry.pool).or_default().insert(server.entry.software);
        }
        // Where several versions served, another search may need less of the history, with one of them.
        if served.is_some() && versions.values().all(|it| it.len() == 1) {
            self.software_use.add_history(since);
        }
        for (key, search) in self.searches() {
            let Step::Reading(reading) = search.step else { continue };
            let Some(req) = self.requests.get(key) else { continue };
            if self.begun_after(now, req) <= since {
                let step = Step::Reading(Reading { has_history: true, ..reading });
                self.set_search(key, OriginSearch { step, ..search });
            }
        }
    }

    /// Returns when the platform must be read for searches; `None` if no search needs it.
    pub(crate) fn next_origin_read(&self) -> Option<Time> {
        let mut readings =
            self.searching.iter().filter_map(|key| self.requests.get(*key)?.reading());
        let first = readings.next()?;
        let after = readings.map(|it| it.after).min().map_or(first.after, |it| it.min(first.after));
        Some(self.last_origin_read.map_or(after, |it| it + READ_INTERVAL))
    }

    /// Records that the platform was read, or could not be: a read for searches was among them.
    pub(crate) fn platform_tried(&mut self, now: Time) {
        if self.next_origin_read().is_some() {
            self.last_origin_read = Some(now);
        }
    }

    /// Records how long a caller waits for the streams of a route.
    pub(crate) fn record_caller_time(&mut self, now: Time, req: &Request) {
        let time = req.caller_deadline.since(req.arrived);
        for target in &req.routed.route.targets {
            self.caller_times.entry(target.pool).or_default().record(now, time);
        }
    }

    /// Returns a time before which the stream that a request takes up cannot have begun. All requests of a
    /// caller for one stream have its deadline, and it waits no longer than the route allows or callers of
    /// its pools have lately said.
    fn begun_after(&self, now: Time, req: &Request) -> Time {
        let route = &req.routed.route;
        let times = route.targets.iter().filter_map(|it| self.caller_times.get(&it.pool));
        let longest = times.map(CallerTimes::longest).max().unwrap_or_default().max(route.timeout);
        if !req.states_deadline {
            return now - (longest + DEADLINE_SLACK);
        }
        // A caller that still has more time than that may have had any.
        let whole =
            if req.caller_deadline.since(req.arrived) > longest { MAX_WAIT } else { longest };
        now - (whole.saturating_sub(now.until(req.caller_deadline)) + DEADLINE_SLACK)
    }

    /// Returns the versions that can have begun the stream that a request takes up.
    fn possible_versions(&self, begun_after: Time, req: &Request) -> BTreeSet<SoftwareTag> {
        let mut versions = BTreeSet::new();
        for pool in req.routed.route.targets.iter().map(|it| it.pool) {
            let listed = self.servers.in_pool(pool).iter();
            let listed = listed.filter_map(|key| Some(self.servers.get(*key)?.entry.software));
            versions.extend(self.software_use.possible_since(begun_after, pool, listed));
        }
        versions
    }
}
