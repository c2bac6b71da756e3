//! What this instance records of the origins of streams, and tells and asks others.

use std::net::SocketAddrV4;

use gossip::{
    OriginContent, OriginMessage, OutgoingOriginMessage, SoftwareTag, StreamOrigin, StreamTag,
};
use model::prelude::*;

use crate::{
    Effect, RequestKey,
    origins::NewStream,
    request::{Request, Stage},
    state::State,
};

/// Instances that keep a stream: some survive when a third of the fleet is lost at once.
const HOLDERS: usize = 4;
/// Instances that are asked in a large fleet: more than were told, as the instance that tells and the one
/// that asks may know different members.
const ASKED_HOLDERS: usize = 6;
/// How long a stream is remembered after its caller's deadline.
pub(crate) const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// A server that starts again under its name writes its entry within this time. Until the entry is seen, the
/// streams that it begins are taken for its former run's.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(2);
/// An instance that cannot read the platform begins streams at a server that has left for this long, if no
/// bound on keys ends that sooner.
const MAX_LATE_BEGIN: Duration = Duration::from_secs(10);

impl State {
    /// Records that the caller is about to get the first event of a stream, and tells other instances at
    /// once: this one may end at any time.
    pub(crate) fn stream_begun(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Running(running) = req.stage else { return };
        let software = running.software;
        // A server that has left the list may still serve. It is the run that was chosen, unless the name is
        // listed again.
        let server = self.servers.by_id(running.server_id).and_then(|key| self.servers.get(key));
        let is_same_start = server.is_none_or(|it| {
            it.entry.incarnation == running.incarnation && it.entry.software == software
        });
        if is_same_start {
            req.software = Some(software);
        } else {
            req.is_origin_in_doubt = true;
        }
        if !req.is_resumable() {
            return;
        }
        let (stream, until) = (StreamTag::of(&req.id), req.taken_up_until());
        if !is_same_start {
            return self.doubt_stream(now, stream, until);
        }
        let server = running.server_id;
        let is_doubted = self.origins.began(now, NewStream { stream, software, server, until });
        self.tell_origin(now, stream, Some(software).filter(|_| !is_doubted), until);
    }

    /// Doubts the origins of the streams at a server whose entry has another software version than before:
    /// it was started again, and they may have begun after that.
    pub(crate) fn doubt_streams_at(&mut self, now: Time, server: ServerId) {
        let seen_at = self.freshness.last_confirmed().unwrap_or_default();
        let mut doubted = self.origins.begun_at(server, seen_at - MAX_ENTRY_DELAY);
        for req in self.requests.values_mut() {
            let Stage::Running(running) = req.stage else { continue };
            if running.server_id == server && req.software.is_some() {
                req.is_origin_in_doubt = true;
                if req.is_resumable() {
                    doubted.push((StreamTag::of(&req.id), req.taken_up_until()));
                }
            }
        }
        for (stream, until) in doubted {
            self.doubt_stream(now, stream, until);
        }
    }

    fn doubt_stream(&mut self, now: Time, stream: StreamTag, until: Time) {
        self.origins.doubt(now, stream, until);
        self.tell_origin(now, stream, None, until);
    }

    fn tell_origin(
        &mut self,
        now: Time,
        stream: StreamTag,
        software: Option<SoftwareTag>,
        until: Time,
    ) {
        let lasts_ms = u32::try_from(now.until(until).as_millis()).unwrap_or(u32::MAX);
        for to in self.members.holders(stream, HOLDERS) {
            let origin = StreamOrigin { stream, software, lasts_ms };
            self.send_origins(to, OriginContent::Began(vec![origin]));
        }
    }

    /// Handles a message about the origins of streams.
    pub(crate) fn origin_message(&mut self, now: Time, message: OriginMessage) {
        match message.content {
            OriginContent::Began(origins) => {
                for origin in origins {
                    self.origin_told(now, message.sender, origin);
                }
                self.origins.expire(now);
            }
            OriginContent::Question(stream) => {
                let origin = self.origins.get(now, stream);
                self.send_origins(message.sender, OriginContent::Answer { stream, origin });
            }
            OriginContent::Answer { stream, origin } => self.origin_answered(now, stream, origin),
        }
    }

    /// Records what another instance told. If two tell of two versions, both have to know.
    fn origin_told(&mut self, now: Time, sender: SocketAddrV4, told: StreamOrigin) {
        let (is_doubted, former) = self.origins.told(now, sender, told);
        if !is_doubted {
            return;
        }
        let doubt = StreamOrigin { software: None, ..told };
        for to in [Some(sender), former].into_iter().flatten() {
            self.send_origins(to, OriginContent::Began(vec![doubt]));
        }
    }

    /// Sends a question for the origin of a stream and returns how many instances were asked. While this
    /// one may not know those that keep the stream, the seeds are asked, too.
    pub(crate) fn ask_for_origin(&mut self, stream: StreamTag, is_joining: bool) -> usize {
        let mut asked = self.members.holders(stream, self.asked_holders());
        if is_joining {
            asked.extend(self.members.seeds());
            asked.sort_unstable();
            asked.dedup();
        }
        for to in &asked {
            self.send_origins(*to, OriginContent::Question(stream));
        }
        asked.len()
    }

    /// Asks an instance that has just been found for the streams that are searched, if it may keep them.
    pub(crate) fn ask_new_member(&mut self, address: SocketAddrV4) {
        for stream in self.asked_streams() {
            if self.members.holders(stream, self.asked_holders()).contains(&address) {
                self.send_origins(address, OriginContent::Question(stream));
            }
        }
    }

    fn asked_holders(&self) -> usize {
        if self.members.is_large() { ASKED_HOLDERS } else { usize::MAX }
    }

    /// Records that a server is not listed any more, or with another version than this one.
    pub(crate) fn version_left(
        &mut self,
        now: Time,
        server: ServerId,
        pool: PoolId,
        software: SoftwareTag,
    ) {
        let late_begin = self.setup.bounds.revoke.unwrap_or(MAX_LATE_BEGIN);
        self.software_use.left(now, server, pool, software, now + late_begin);
    }

    fn send_origins(&mut self, to: SocketAddrV4, content: OriginContent) {
        let message = OriginMessage::new(self.setup.address, content);
        self.emit(Effect::SendOrigins(OutgoingOriginMessage { to, message }));
    }
}

impl Request {
    /// Returns until when the caller may take the stream of this request up again.
    fn taken_up_until(&self) -> Time {
        let unstated =
            if self.states_deadline { Duration::ZERO } else { self.routed.route.timeout };
        self.caller_deadline + unstated + DEADLINE_SLACK
    }
}
