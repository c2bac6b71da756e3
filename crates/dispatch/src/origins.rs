//! The software versions that began streams which callers may take up again.

use std::collections::{BTreeSet, HashMap};

use gossip::{SoftwareTag, StreamOrigin, StreamTag};
use model::prelude::*;

/// Upper bound on the streams that are remembered, some 100 bytes each. Beyond it, those that can be
/// taken up for the least time are forgotten.
const MAX_STREAMS: usize = 32_768;
/// The longest time for which another instance can make this one remember a stream.
const MAX_TOLD_TIME: Duration = Duration::from_secs(600);

/// The software versions that began streams: of this instance, and those that others told.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    streams: HashMap<StreamTag, Entry>,
    /// The same by the end of the time for which they are remembered.
    by_end: BTreeSet<(Time, StreamTag)>,
}

/// The software version that began a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Origin {
    /// This one.
    Known(SoftwareTag),
    /// Several are possible: its server was replaced meanwhile, or two streams have the same tag.
    InDoubt,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    origin: Origin,
    until: Time,
}

impl Origins {
    /// Records that a stream began here, which its caller may take up again until `until`.
    pub(crate) fn began(&mut self, stream: StreamTag, software: SoftwareTag, until: Time) {
        self.record(stream, Origin::Known(software), until);
    }

    /// Records what another instance told of a stream.
    pub(crate) fn told(&mut self, now: Time, told: StreamOrigin) {
        let lasts = Duration::from_millis(told.lasts_ms.into()).min(MAX_TOLD_TIME);
        self.record(told.stream, Origin::Known(told.software), now + lasts);
    }

    /// Records that the version of a stream that began here is in doubt.
    pub(crate) fn doubt(&mut self, stream: StreamTag, until: Time) {
        self.record(stream, Origin::InDoubt, until);
    }

    /// Returns the version that began a stream; `None` if nothing is known of it.
    pub(crate) fn get(&self, now: Time, stream: StreamTag) -> Option<Origin> {
        self.streams.get(&stream).filter(|it| now < it.until).map(|it| it.origin)
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

    fn record(&mut self, stream: StreamTag, origin: Origin, until: Time) {
        let former = self.streams.get(&stream).copied();
        let (origin, until) = match former {
            Some(former) if former.origin != origin => (Origin::InDoubt, former.until.max(until)),
            Some(former) => (origin, former.until.max(until)),
            None => (origin, until),
        };
        if let Some(former) = former {
            self.by_end.remove(&(former.until, stream));
        }
        self.streams.insert(stream, Entry { origin, until });
        self.by_end.insert((until, stream));
    }
}
