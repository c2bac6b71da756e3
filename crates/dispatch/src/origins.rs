//! The software versions that began streams which callers may take up again.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddrV4,
};

use gossip::{KnownOrigin, SoftwareTag, StreamOrigin, StreamTag};
use model::prelude::*;

/// Upper bound on the streams that are remembered, some 130 bytes each. Beyond it, those that can be
/// taken up for the least time are forgotten.
const MAX_STREAMS: usize = 32_768;
/// The longest time for which a stream is remembered.
const MAX_TIME: Duration = Duration::from_secs(120);

/// The software versions that began streams: of this instance, and those that others told.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    streams: HashMap<StreamTag, Entry>,
    /// The same by the end of the time for which they are remembered.
    by_end: BTreeSet<(Time, StreamTag)>,
}

/// A stream that begins at this instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewStream {
    pub(crate) stream: StreamTag,
    /// The version of its server.
    pub(crate) software: SoftwareTag,
    /// The server that sent its first event.
    pub(crate) server: ServerId,
    /// Until when its caller may take it up again.
    pub(crate) until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// `None` if several versions can have begun it: its server was replaced meanwhile, or two streams have
    /// the same tag.
    software: Option<SoftwareTag>,
    until: Time,
    /// The server that sent its first event to this instance, and when; `None` if it began elsewhere.
    began: Option<(ServerId, Time)>,
    /// The instance that told of it; `None` if none did.
    told_by: Option<SocketAddrV4>,
}

impl Origins {
    /// Records that a stream begins here. Returns whether it comes into doubt: its id began another one.
    pub(crate) fn began(&mut self, now: Time, new: NewStream) -> bool {
        let NewStream { stream, software, server, until } = new;
        let until = until.min(now + MAX_TIME);
        let began = Some((server, now));
        self.record(stream, Entry { software: Some(software), until, began, told_by: None })
    }

    /// Records what another instance told of a stream. Returns whether the stream comes into doubt, and who
    /// told of it before.
    pub(crate) fn told(
        &mut self,
        now: Time,
        sender: SocketAddrV4,
        told: StreamOrigin,
    ) -> (bool, Option<SocketAddrV4>) {
        let until = now + Duration::from_millis(told.lasts_ms.into()).min(MAX_TIME);
        let former = self.streams.get(&told.stream).and_then(|it| it.told_by);
        let told_by = Some(sender);
        let entry = Entry { software: told.software, until, began: None, told_by };
        (self.record(told.stream, entry), former)
    }

    /// Records that the version of a stream is in doubt.
    pub(crate) fn doubt(&mut self, now: Time, stream: StreamTag, until: Time) {
        let until = until.min(now + MAX_TIME);
        self.record(stream, Entry { software: None, until, began: None, told_by: None });
    }

    /// Returns the streams that began here at a server since some time, with the end of the time for which
    /// they are remembered.
    pub(crate) fn begun_at(&self, server: ServerId, since: Time) -> Vec<(StreamTag, Time)> {
        let is_begun =
            |entry: &Entry| entry.began.is_some_and(|(it, at)| it == server && at >= since);
        let begun = self.streams.iter().filter(|it| is_begun(it.1));
        begun.map(|(stream, entry)| (*stream, entry.until)).collect()
    }

    /// Returns what is known of the origin of a stream.
    pub(crate) fn get(&self, now: Time, stream: StreamTag) -> KnownOrigin {
        match self.streams.get(&stream).filter(|it| now < it.until) {
            None => KnownOrigin::Unknown,
            Some(entry) => entry.software.map_or(KnownOrigin::InDoubt, KnownOrigin::Software),
        }
    }

    /// Returns how many streams are remembered.
    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Forgets the streams that cannot be taken up any more.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some((until, stream)) = self.by_end.first().copied()
            && (until <= now || self.by_end.len() > MAX_STREAMS)
        {
            self.by_end.remove(&(until, stream));
            self.streams.remove(&stream);
        }
    }

    /// Returns whether the version of the stream comes into doubt, which was known.
    fn record(&mut self, stream: StreamTag, mut entry: Entry) -> bool {
        let former = self.streams.get(&stream).copied();
        if let Some(former) = former {
            self.by_end.remove(&(former.until, stream));
            entry.software = entry.software.filter(|it| former.software == Some(*it));
            entry.until = entry.until.max(former.until);
            entry.began = former.began.or(entry.began);
            entry.told_by = entry.told_by.or(former.told_by);
        }
        self.by_end.insert((entry.until, stream));
        self.streams.insert(stream, entry);
        entry.software.is_none() && former.is_some_and(|it| it.software.is_some())
    }
}
