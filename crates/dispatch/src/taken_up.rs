//! Streams that callers take up again: they go on only at the software version that began them.

use gossip::{KnownOrigin, SoftwareTag, StreamTag};
use model::prelude::*;

use crate::{
    Effect, LogEntry, RequestKey, Server,
    request::{Request, Stage},
    state::State,
};

/// Time for other instances to answer. Some of those that are asked may have ended.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// The same in the time after the start in which other instances are found.
const JOINING_ANSWER_TIME: Duration = Duration::from_millis(500);
/// The time after the start in which gossip finds the other instances of a small fleet.
const JOIN_TIME: Duration = Duration::from_millis(1_000);
/// Time for the platform to be read.
const READ_TIME: Duration = Duration::from_millis(800);

/// That a caller takes up a stream of which it has a part.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TakenUp {
    /// The stream; `None` if the caller does not name the request that brought its first event.
    pub stream: Option<StreamTag>,
}

/// The search for the software version of a stream that a request takes up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OriginSearch {
    pub(crate) stream: Option<StreamTag>,
    pub(crate) step: Step,
    /// When the step ends without a result.
    pub(crate) until: Time,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Other instances were asked; this many have not answered. `None` while more may be found.
    Asking { unanswered: Option<usize> },
    /// The platform must be read.
    Reading(Reading),
}

/// What a search needs of the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    /// It must be read as of this time or later, as another version may have begun to serve.
    pub(crate) after: Time,
    /// The version, if only its servers are missing.
    pub(crate) known: Option<SoftwareTag>,
    /// Whether the history was read for this search.
    pub(crate) has_history: bool,
}

impl State {
    /// Finds out which software version began the stream that a request takes up, and then adds the request
    /// to the queue.
    pub(crate) fn search_origin(&mut self, now: Time, key: RequestKey, taken_up: TakenUp) {
        let Some(stream) = taken_up.stream else { return self.read_for_origin(now, key, None) };
        match self.origins.get(now, stream) {
            KnownOrigin::Software(software) => {
                return self.origin_found(now, key, software, "remembered");
            }
            KnownOrigin::InDoubt => return self.origin_unknown(now, key, "in doubt", None),
            KnownOrigin::Unknown => {}
        }
        let is_joining = now.since(self.started_at) < JOIN_TIME && self.members.has_seeds();
        let asked = self.ask_for_origin(stream, is_joining);
        if asked == 0 {
            return self.read_for_origin(now, key, Some(stream));
        }
        let unanswered = (!is_joining).then_some(asked);
        let step = Step::Asking { unanswered };
        let time = if is_joining { JOINING_ANSWER_TIME } else { ANSWER_TIME };
        self.set_search(key, OriginSearch { stream: Some(stream), step, until: now + time });
    }

    /// Handles what another instance answered about a stream.
    pub(crate) fn origin_answered(&mut self, now: Time, stream: StreamTag, origin: KnownOrigin) {
        for (key, search) in self.searches() {
            if search.stream != Some(stream) {
                continue;
            }
            match (origin, search.step) {
                (KnownOrigin::Software(software), _) => {
                    self.origin_found(now, key, software, "told by another instance");
                }
                (KnownOrigin::InDoubt, _) => self.origin_unknown(now, key, "in doubt", None),
                (KnownOrigin::Unknown, Step::Asking { unanswered: Some(1) }) => {
                    self.read_for_origin(now, key, Some(stream));
                }
                (KnownOrigin::Unknown, Step::Asking { unanswered: Some(count) }) => {
                    let step = Step::Asking { unanswered: Some(count.saturating_sub(1)) };
                    self.set_search(key, OriginSearch { step, ..search });
                }
                (KnownOrigin::Unknown, Step::Asking { unanswered: None } | Step::Reading(_)) => {}
            }
        }
    }

    /// Goes on with the searches whose step has taken too long.
    pub(crate) fn expire_searches(&mut self, now: Time) {
        self.origins.expire(now);
        self.software_use.expire(now);
        for (key, search) in self.searches() {
            if now < search.until {
                continue;
            }
            match search.step {
                Step::Asking { .. } => self.read_for_origin(now, key, search.stream),
                Step::Reading(reading) => {
                    let retry_after = self.requests.get(key).map(|req| req.routed.route.target);
                    let (evidence, reason) = match reading.known {
                        Some(_) => ("version known, no server listed", Reason::OriginGone),
                        None => ("platform not read in time", Reason::OriginUnknown),
                    };
                    self.end_search(now, key, evidence, reason, retry_after);
                }
            }
        }
    }

    /// Returns the streams for which other instances are asked.
    pub(crate) fn asked_streams(&mut self) -> Vec<StreamTag> {
        let asking = self.searches().into_iter().map(|it| it.1);
        asking
            .filter(|it| matches!(it.step, Step::Asking { .. }))
            .filter_map(|it| it.stream)
            .collect()
    }

    /// Returns whether a server may get a request: if the request goes on with a stream, only servers of
    /// the version that began it.
    pub(crate) fn suits_stream(&self, req: &Request, server: &Server) -> bool {
        req.software.is_none_or(|software| software == server.entry.software)
    }

    /// Lets a search wait for a read of the platform: nobody remembers the stream, but if all servers that
    /// can have begun it are of one version, that began it.
    fn read_for_origin(&mut self, now: Time, key: RequestKey, stream: Option<StreamTag>) {
        self.start_reading(now, key, stream, None);
    }

    fn start_reading(
        &mut self,
        now: Time,
        key: RequestKey,
        stream: Option<StreamTag>,
        known: Option<SoftwareTag>,
    ) {
        let step = Step::Reading(Reading { after: now, known, has_history: false });
        self.set_search(key, OriginSearch { stream, step, until: now + READ_TIME });
        self.emit(Effect::ReadPlatform);
    }

    /// Adds a request to the queue of the pool that has servers of the version with which it goes on.
    pub(crate) fn origin_found(
        &mut self,
        now: Time,
        key: RequestKey,
        software: SoftwareTag,
        evidence: &'static str,
    ) {
        let Some(req) = self.requests.get(key) else { return };
        let targets = req.routed.route.targets.iter().filter(|it| it.weight > 0);
        let is_usable = |pool: PoolId| {
            let servers = self.servers.in_pool(pool).iter().filter_map(|it| self.servers.get(*it));
            let mut same = servers.filter(|it| it.entry.software == software);
            same.any(|it| self.servers.is_eligible(it))
        };
        let mut pools = [req.pool].into_iter().chain(targets.map(|it| it.pool));
        let Some(pool) = pools.find(|pool| is_usable(*pool)) else {
            // Another instance may have seen the version's servers first.
            if req.reading().is_none() && self.freshness.last_confirmed() < Some(req.arrived) {
                return self.start_reading(now, key, None, Some(software));
            }
            return self.end_search(now, key, evidence, Reason::OriginGone, None);
        };
        self.searching.retain(|it| *it != key);
        let (id, took) = (req.id.clone(), now.since(req.arrived));
        self.log(LogEntry::TakenUp { id, evidence, goes_on: true, took });
        let Some(req) = self.requests.get_mut(key) else { return };
        req.stage = Stage::Idle;
        req.software = Some(software);
        req.pool = pool;
        self.admit(now, key);
    }

    pub(crate) fn origin_unknown(
        &mut self,
        now: Time,
        key: RequestKey,
        evidence: &'static str,
        retry_after: Option<Duration>,
    ) {
        self.end_search(now, key, evidence, Reason::OriginUnknown, retry_after);
    }

    /// Refuses a request whose stream does not go on.
    fn end_search(
        &mut self,
        now: Time,
        key: RequestKey,
        evidence: &'static str,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        self.searching.retain(|it| *it != key);
        let Some(req) = self.requests.get_mut(key) else { return };
        req.stage = Stage::Idle;
        let (id, took) = (req.id.clone(), now.since(req.arrived));
        self.log(LogEntry::TakenUp { id, evidence, goes_on: false, took });
        self.refuse(now, key, Refusal { retry_after, ..Refusal::not_run(reason) });
    }

    pub(crate) fn set_search(&mut self, key: RequestKey, search: OriginSearch) {
        let Some(req) = self.requests.get_mut(key) else { return };
        req.stage = Stage::Searching(search);
        if !self.searching.contains(&key) {
            self.searching.push(key);
        }
    }

    /// Returns the searches, without those of requests that have ended.
    pub(crate) fn searches(&mut self) -> Vec<(RequestKey, OriginSearch)> {
        let requests = &self.requests;
        self.searching.retain(|key| requests.contains_key(*key));
        let searches = self.searching.iter();
        searches.filter_map(|key| Some((*key, requests.get(*key)?.search()?))).collect()
    }
}

impl Request {
    fn search(&self) -> Option<OriginSearch> {
        match self.stage {
            Stage::Searching(search) => Some(search),
            _ => None,
        }
    }

    pub(crate) fn reading(&self) -> Option<Reading> {
        match self.search()?.step {
            Step::Reading(reading) => Some(reading),
            Step::Asking { .. } => None,
        }
    }
}
