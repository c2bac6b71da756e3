//! Counts of the bytes that the process exchanges, by cause and by zone.

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Bytes that were exchanged with other instances and backend servers.
#[derive(Clone, Default, Debug)]
pub(crate) struct Traffic(Family<Labels, Counter>);

/// What bytes were exchanged for.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, EncodeLabelValue)]
pub(crate) enum Cause {
    /// Packets that were sent to other instances.
    Packet,
    /// Messages along the broadcast tree that were sent.
    Tree,
    /// Sums of loads that were sent.
    Loads,
    /// Origins of streams that were sent.
    Origins,
    /// Bodies of requests, sent to backend servers.
    Requests,
    /// Bodies of responses, received from backend servers.
    Responses,
}

/// The availability zone of the other end.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, EncodeLabelValue)]
pub(crate) enum Zone {
    /// That of this process.
    Same,
    /// Another one.
    Other,
    /// This process does not know it.
    Unknown,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, EncodeLabelSet)]
struct Labels {
    cause: Cause,
    zone: Zone,
}

impl Traffic {
    /// Returns the counter of bytes for a cause.
    pub(crate) fn bytes(&self, cause: Cause, zone: Zone) -> Counter {
        self.0.get_or_create(&Labels { cause, zone }).clone()
    }

    /// Registers the counters.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help =
            "Bytes of messages to other instances, and of bodies to and from backend servers";
        registry.register("bytes", help, self.0.clone());
    }
}

impl Zone {
    /// Returns the label for whether the other end runs in the same zone, if that is known.
    pub(crate) fn new(is_in_own_zone: Option<bool>) -> Self {
        match is_in_own_zone {
            Some(true) => Self::Same,
            Some(false) => Self::Other,
            None => Self::Unknown,
        }
    }
}
