//! What this instance records of the origins of streams, and tells and asks others.

use std::net::SocketAddrV4;

use gossip::{OriginContent, OriginMessage, OutgoingOriginMessage, StreamOrigin, StreamTag};
use model::prelude::*;

use crate::{Effect, RequestKey, ServerKey, origins::Origin, request::Stage, state::State};

/// Instances that are told of a stream, beside the one where it began: some survive when a third of
/// the fleet is lost at once.
const HOLDERS: usize = 3;
/// Instances that are asked in a large fleet: more than were told, as the instance that tells and the one
/// that asks may know different members.
const ASKED_HOLDERS: usize = 5;
/// How long a stream is remembered after its caller's deadline.
pub(crate) const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// The longest time that a caller is taken to wait for a stream.
const MAX_CALLER_TIME: Duration = Duration::from_secs(60);

impl State {
    /// Records that the caller is about to get the first event of a stream.
    pub(crate) fn stream_begun(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Running(running) = req.stage else { return };
        let software = running.software;
        let server = self.servers.get(running.server);
        let is_same_start = server.is_none_or(|it| {
            it.entry.incarnation == running.incarnation && it.entry.software == software
        });
        let stream = StreamTag::of(&req.id);
        let until = req.caller_deadline + DEADLINE_SLACK;
        if is_same_start {
            req.software = Some(software);
        } else {
            req.is_origin_in_doubt = true;
        }
        if !req.is_resumable() {
            return;
        }
        if !is_same_start {
            return self.origins.doubt(stream, until);
        }
        self.origins.began(stream, software, until);
        let lasts_ms = u32::try_from(now.until(until).as_millis()).unwrap_or(u32::MAX);
        self.tell_origin(StreamOrigin { stream, software, lasts_ms });
    }

    /// Doubts the origins of the streams that run at a server which was started again with another
    /// software version: they may have begun after that.
    pub(crate) fn doubt_streams_at(&mut self, server: ServerKey) {
        for req in self.requests.values_mut() {
            let Stage::Running(running) = req.stage else { continue };
            if running.server == server && req.software.is_some() {
                req.is_origin_in_doubt = true;
                self.origins.doubt(StreamTag::of(&req.id), req.caller_deadline + DEADLINE_SLACK);
            }
        }
    }

    /// Tells other instances of a stream that begins here, at once: this one may end at any time.
    fn tell_origin(&mut self, origin: StreamOrigin) {
        for to in self.members.holders(origin.stream, HOLDERS) {
            self.send_origins(to, OriginContent::Began(vec![origin]));
        }
    }

    /// Records how long callers wait for the streams of a route.
    pub(crate) fn record_caller_time(&mut self, pool: PoolId, time: Duration) {
        let longest = self.caller_times.entry(pool).or_default();
        *longest = time.min(MAX_CALLER_TIME).max(*longest);
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
                let software = match self.origins.get(now, stream) {
                    Some(Origin::Known(software)) => Some(software),
                    Some(Origin::InDoubt) | None => None,
                };
                let content = OriginContent::Answer { stream, software };
                self.send_origins(message.sender, content);
            }
            OriginContent::Answer { stream, software } => {
                self.origin_answered(now, stream, software);
            }
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

    fn send_origins(&mut self, to: SocketAddrV4, content: OriginContent) {
        let message = OriginMessage::new(self.setup.address, content);
        self.emit(Effect::SendOrigins(OutgoingOriginMessage { to, message }));
    }
}
