//! Streams that callers take up again: they go on only at the software version that began them.

use std::collections::BTreeSet;

use gossip::{SoftwareTag, StreamTag};
use model::prelude::*;

use crate::{
    Effect, LogEntry, RequestKey, ServedVersion, Server,
    origins::Origin,
    request::{Request, Stage},
    state::State,
    stream_origins::DEADLINE_SLACK,
};

/// Time for other instances to answer. Some of those that are asked may have ended.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time for the platform to be read.
const READ_TIME: Duration = Duration::from_millis(700);

/// That a caller takes up a stream of which it has a part.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TakenUp {
    /// The stream; `None` if the caller does not name the request that brought its first event.
    pub stream: Option<StreamTag>,
}

/// A request that takes up a stream whose software version has to be found out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tracing {
    stream: Option<StreamTag>,
    step: Step,
    /// When the step ends without a result.
    until: Time,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Other instances were asked; this many have not answered.
    Asking { unanswered: usize },
    /// The platform must be read as of this time or later, as another version may have begun to serve.
    Reading { after: Time },
}

impl State {
    /// Finds out which software version began the stream that a request takes up, and then adds the request
    /// to the queue.
    pub(crate) fn trace_origin(&mut self, now: Time, key: RequestKey, taken_up: TakenUp) {
        let stream = taken_up.stream;
        match stream.and_then(|stream| self.origins.get(now, stream)) {
            Some(Origin::Known(software)) => {
                return self.origin_found(now, key, software, "remembered");
            }
            Some(Origin::InDoubt) => return self.origin_unknown(now, key, "in doubt", None),
            None => {}
        }
        let asked = match stream {
            Some(stream) => self.ask_for_origin(stream),
            None => 0,
        };
        if asked == 0 {
            return self.read_for_origin(now, key, stream);
        }
        let step = Step::Asking { unanswered: asked };
        self.set_tracing(key, Tracing { stream, step, until: now + ANSWER_TIME });
    }

    /// Handles what another instance answered about a stream.
    pub(crate) fn origin_answered(
        &mut self,
        now: Time,
        stream: StreamTag,
        software: Option<SoftwareTag>,
    ) {
        for key in self.traced() {
            let Some(Stage::Tracing(tracing)) = self.requests.get(key).map(|req| req.stage) else {
                continue;
            };
            if tracing.stream != Some(stream) {
                continue;
            }
            if let Some(software) = software {
                self.origin_found(now, key, software, "told by another instance");
                continue;
            }
            let Step::Asking { unanswered } = tracing.step else { continue };
            if unanswered <= 1 {
                self.read_for_origin(now, key, Some(stream));
            } else {
                let step = Step::Asking { unanswered: unanswered - 1 };
                self.set_tracing(key, Tracing { step, ..tracing });
            }
        }
    }

    /// Goes on with the requests whose step has taken too long.
    pub(crate) fn expire_tracing(&mut self, now: Time) {
        self.origins.expire(now);
        self.software_use.expire(now);
        for key in self.traced() {
            let Some(Stage::Tracing(tracing)) = self.requests.get(key).map(|req| req.stage) else {
                continue;
            };
            if now < tracing.until {
                continue;
            }
            match tracing.step {
                Step::Asking { .. } => self.read_for_origin(now, key, tracing.stream),
                Step::Reading { .. } => {
                    let retry_after = self.requests.get(key).map(|req| req.routed.route.target);
                    self.origin_unknown(now, key, "platform not read in time", retry_after);
                }
            }
        }
    }

    /// Decides by elimination for the requests that waited for a read of the platform that was up to date
    /// at `as_of`.
    pub(crate) fn eliminate_versions(&mut self, now: Time, as_of: Time) {
        for key in self.traced() {
            let Some(req) = self.requests.get(key) else { continue };
            let Stage::Tracing(Tracing { step: Step::Reading { after }, .. }) = req.stage else {
                continue;
            };
            if as_of < after {
                continue;
            }
            let begun_after = self.begun_after(now, req);
            let versions = self.possible_versions(begun_after, req);
            let is_known = self.software_use.is_known_since(begun_after);
            let mut versions = versions.into_iter();
            match (versions.next(), versions.next()) {
                (Some(only), None) if is_known => {
                    self.origin_found(now, key, only, "only version in use");
                }
                (_, None) => self.origin_unknown(now, key, "versions before are not known", None),
                _ => self.origin_unknown(now, key, "several versions in use", None),
            }
        }
    }

    /// Returns the time since which the servers that were listed have to be read from the platform's history,
    /// so that a request that waits for it can be decided; `None` if no history is needed.
    pub fn wanted_history(&self, now: Time) -> Option<Time> {
        let reading = self.tracing.iter().filter_map(|key| {
            let req = self.requests.get(*key)?;
            let is_reading =
                matches!(req.stage, Stage::Tracing(Tracing { step: Step::Reading { .. }, .. }));
            let begun_after = self.begun_after(now, req);
            let is_open = is_reading
                && !self.software_use.is_known_since(begun_after)
                && self.possible_versions(begun_after, req).len() == 1;
            is_open.then_some(begun_after)
        });
        reading.min()
    }

    /// Handles what the platform's history shows of the servers since some time.
    pub(crate) fn history_read(&mut self, since: Time, served: Vec<ServedVersion>) {
        let left = served.into_iter().map(|it| (it.pool, it.software, it.until));
        self.software_use.extend(since, left);
    }

    /// Returns whether the platform must be read for a request that takes up a stream.
    pub(crate) fn awaits_read(&self) -> bool {
        let last = self.freshness.last_confirmed();
        self.tracing.iter().any(|key| match self.requests.get(*key).map(|req| req.stage) {
            Some(Stage::Tracing(Tracing { step: Step::Reading { after }, .. })) => {
                last < Some(after)
            }
            _ => false,
        })
    }

    /// Returns whether a server may get a request: if the request goes on with a stream, only servers of
    /// the version that began it.
    pub(crate) fn suits_stream(&self, req: &Request, server: &Server) -> bool {
        req.software.is_none_or(|software| software == server.entry.software)
    }

    /// Lets a request wait for a read of the platform: nobody remembers the stream, but if all servers that
    /// can have begun it are of one version, that began it.
    fn read_for_origin(&mut self, now: Time, key: RequestKey, stream: Option<StreamTag>) {
        let step = Step::Reading { after: now };
        self.set_tracing(key, Tracing { stream, step, until: now + READ_TIME });
        self.emit(Effect::ReadPlatform);
    }

    /// Returns a time before which the stream that a request takes up cannot have begun: its caller waits
    /// for it no longer than callers of the route do.
    fn begun_after(&self, now: Time, req: &Request) -> Time {
        let known = self.caller_times.get(&req.pool).copied().unwrap_or_default();
        let whole = known.max(req.routed.route.timeout).max(req.caller_deadline.since(req.arrived));
        now - (whole.saturating_sub(now.until(req.caller_deadline)) + DEADLINE_SLACK)
    }

    /// Returns the versions that can have begun the stream that a request takes up.
    fn possible_versions(&self, begun_after: Time, req: &Request) -> BTreeSet<SoftwareTag> {
        let mut versions = BTreeSet::new();
        for pool in req.routed.route.targets.iter().map(|it| it.pool) {
            let listed = self.servers.in_pool(pool).iter();
            let listed = listed.filter_map(|key| Some(self.servers.get(*key)?.entry.software));
            versions.extend(self.software_use.since(begun_after, pool, listed));
        }
        versions
    }

    /// Adds a request to the queue of the pool that has servers of the version with which it goes on.
    fn origin_found(
        &mut self,
        now: Time,
        key: RequestKey,
        software: SoftwareTag,
        evidence: &'static str,
    ) {
        self.tracing.retain(|it| *it != key);
        let Some(req) = self.requests.get(key) else { return };
        let targets = req.routed.route.targets.iter().filter(|it| it.weight > 0);
        let is_usable = |pool: PoolId| {
            self.servers.in_pool(pool).iter().any(|key| {
                let server = self.servers.get(*key);
                server
                    .is_some_and(|it| it.entry.software == software && self.servers.is_eligible(it))
            })
        };
        let mut pools = [req.pool].into_iter().chain(targets.map(|it| it.pool));
        let pool = pools.find(|pool| is_usable(*pool));
        let took = now.since(req.arrived);
        self.log(LogEntry::TakenUp { id: req.id.clone(), evidence, goes_on: pool.is_some(), took });
        let Some(req) = self.requests.get_mut(key) else { return };
        req.stage = Stage::Idle;
        req.software = Some(software);
        match pool {
            Some(pool) => {
                req.pool = pool;
                self.admit(now, key);
            }
            None => self.refuse(now, key, Refusal::not_run(Reason::OriginGone)),
        }
    }

    fn origin_unknown(
        &mut self,
        now: Time,
        key: RequestKey,
        evidence: &'static str,
        retry_after: Option<Duration>,
    ) {
        self.tracing.retain(|it| *it != key);
        let Some(req) = self.requests.get_mut(key) else { return };
        req.stage = Stage::Idle;
        let (id, took) = (req.id.clone(), now.since(req.arrived));
        self.log(LogEntry::TakenUp { id, evidence, goes_on: false, took });
        let refusal = Refusal::not_run(Reason::OriginUnknown);
        self.refuse(now, key, Refusal { retry_after, ..refusal });
    }

    fn set_tracing(&mut self, key: RequestKey, tracing: Tracing) {
        let Some(req) = self.requests.get_mut(key) else { return };
        req.stage = Stage::Tracing(tracing);
        if !self.tracing.contains(&key) {
            self.tracing.push(key);
        }
    }

    /// Returns the requests whose stream is being traced, without those that have ended.
    fn traced(&mut self) -> Vec<RequestKey> {
        let requests = &self.requests;
        self.tracing.retain(|key| requests.contains_key(*key));
        self.tracing.clone()
    }
}
