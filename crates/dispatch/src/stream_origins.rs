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

/// Instances that are told of a stream, beside the one where it began: some survive when a third of
/// the fleet is lost at once.
const HOLDERS: usize = 3;
/// Instances that are asked in a large fleet: more than were told, as the instance that tells and the one
/// that asks may know different members.
const ASKED_HOLDERS: usize = 5;
/// How long a stream is remembered after its caller's deadline.
pub(crate) const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// A server may have started again under its name this long before its new entry is seen, at the most, and
/// have sent the first events of streams that were taken for its former run's.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(5);
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
        let server = self.servers.get(running.server);
        let is_same_start = server.is_some_and(|it| {
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
        self.origins.began(now, NewStream { stream, software, server, until });
        self.tell_origin(now, stream, Some(software), until);
    }

    /// Doubts the origins of the streams at a server whose entry has another software version than before:
    /// it was started again, and they may have begun after that.
    pub(crate) fn doubt_streams_at(&mut self, now: Time, server: ServerId) {
        let mut doubted = self.origins.begun_at(server, now - MAX_ENTRY_DELAY);
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
                    self.origins.told(now, origin);
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

    /// Sends a question for the origin of a stream and returns how many instances were asked.
    pub(crate) fn ask_for_origin(&mut self, stream: StreamTag) -> usize {
        let count = if self.members.is_large() { ASKED_HOLDERS } else { usize::MAX };
        let holders = self.members.holders(stream, count);
        for to in &holders {
            self.send_origins(*to, OriginContent::Question(stream));
        }
        holders.len()
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
