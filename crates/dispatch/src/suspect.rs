//! The evidence against one prompt part.

use std::collections::BTreeMap;

use gossip::{EndTag, PartEvidence, ServerEnd};
use model::prelude::*;

use crate::HeldPart;

/// The least time between the end of one server and the sending of the request that counts for the
/// next one. Instances tell each other times of ends that differ by less.
const MIN_GAP: Duration = Duration::from_millis(100);
/// For how long evidence is kept against a part that is not held back.
const RETENTION: Duration = Duration::from_secs(30);
/// The same for a part that is held back, from the last end.
const HELD_RETENTION: Duration = Duration::from_secs(600);
/// The least time from the last end until a request with a part that is held back is tried. It
/// doubles with each further end.
const MIN_TRIAL_DELAY: Duration = Duration::from_secs(15);
/// A server that still runs this long after it began to answer a request was not ended by it.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(300);
/// Ends that are kept of each part: those at both ends of the time that they span.
const MAX_ENDS: usize = 12;
/// Ends of each part in a packet: enough to hold a part back that was answered before.
const MAX_REPORTED_ENDS: usize = 6;
/// The tag of an end that stands for the decision of an operator to hold a part back.
pub(crate) const OPERATOR: EndTag = EndTag(0);

/// The end of a server at which a request with a part was unanswered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct End {
    pub(crate) sent_at: Time,
    pub(crate) ended_at: Time,
}

impl End {
    /// Merges what another instance saw of the same end, with the same result in any order. The
    /// earliest time is the best known, as packets only arrive later. Of the requests that were
    /// unanswered the one that was sent last counts.
    fn merge(&mut self, other: Self) {
        let took = self.ended_at.since(self.sent_at).min(other.ended_at.since(other.sent_at));
        self.ended_at = self.ended_at.min(other.ended_at);
        self.sent_at = self.ended_at - took;
    }
}

/// The evidence against a part.
#[derive(Clone, Default, Debug)]
pub(crate) struct Suspect {
    pub(crate) ends: BTreeMap<EndTag, End>,
    /// When the latest request with the part was sent that is known to have been answered by a
    /// server that lived on. It refutes all ends before.
    pub(crate) answered_at: Option<Time>,
    /// When the latest request with the part was sent whose answer has begun at this instance, and
    /// when it began.
    pub(crate) begun: Option<(Time, Time)>,
    /// Since when it is held back; `None` if it is not.
    pub(crate) held_since: Option<Time>,
    /// Whether another instance holds it back.
    pub(crate) is_held_elsewhere: bool,
    /// When an instance last sent a request with the part although it is held back.
    pub(crate) tried_at: Option<Time>,
}

impl Suspect {
    pub(crate) fn add(&mut self, tag: EndTag, end: End) {
        self.ends
            .entry(tag)
            .and_modify(|known| {
                if tag == OPERATOR {
                    // Of the demands of operators the last one counts.
                    *known = if end.ended_at > known.ended_at { end } else { *known };
                } else {
                    known.merge(end);
                }
            })
            .or_insert(end);
        if self.ends.len() > MAX_ENDS {
            let mut tags: Vec<_> = self.ends.iter().map(|it| (it.1.ended_at, *it.0)).collect();
            tags.sort_unstable();
            self.ends.remove(&tags[MAX_ENDS / 2].1);
        }
    }

    /// Forgets old ends. Those that were refuted lately are kept, so that all instances learn of it.
    pub(crate) fn forget(&mut self, now: Time) {
        let is_recent = self.answered_at.is_some_and(|at| now.since(at) < RETENTION);
        let retention = if self.held_since.is_some() { HELD_RETENTION } else { RETENTION };
        self.ends.retain(|_, end| is_recent || now.since(end.ended_at) < retention);
    }

    pub(crate) fn unrefuted(&self) -> impl Iterator<Item = (EndTag, End)> {
        let is_unrefuted = |end: &End| self.answered_at.is_none_or(|at| at <= end.ended_at);
        self.ends.iter().filter(move |it| is_unrefuted(it.1)).map(|it| (*it.0, *it.1))
    }

    /// Returns whether a server has begun to answer a request that was sent after an end, and it is
    /// not known yet whether it survives.
    pub(crate) fn is_answer_pending(&self, now: Time) -> bool {
        let Some((sent_at, begun_at)) = self.begun else { return false };
        now.since(begun_at) <= SURVIVAL_TIME
            && self.unrefuted().any(|(_, end)| end.ended_at < sent_at)
    }

    /// Returns when a request with the part is to be tried: at once, but only once, if it tells the
    /// part from others.
    pub(crate) fn trial_due(&self, tells_apart: bool) -> Time {
        let last = self.unrefuted().map(|it| it.1.ended_at).max().unwrap_or_default();
        let first = self.unrefuted().map(|it| it.1.ended_at).min().unwrap_or_default();
        let delay = last.since(first).max(MIN_TRIAL_DELAY);
        let after_end = if tells_apart { last } else { last + delay };
        self.tried_at.map_or(after_end, |tried_at| after_end.max(tried_at + delay))
    }

    pub(crate) fn held_part(&self, part: u64) -> Option<HeldPart> {
        let last_end = self.unrefuted().map(|it| it.1.ended_at).max()?;
        Some(HeldPart {
            part,
            since: self.held_since?,
            ends: self.unrefuted().count(),
            last_end,
            trial_due: self.trial_due(false),
        })
    }

    pub(crate) fn report(&self, now: Time, part: u64) -> PartEvidence {
        let mut ends = row(self.unrefuted());
        // The first end and the last ones: the time until a trial follows from them.
        if ends.len() > MAX_REPORTED_ENDS {
            ends.drain(1..=ends.len() - MAX_REPORTED_ENDS);
        }
        if ends.is_empty() {
            ends.extend(self.ends.iter().map(|it| (*it.0, *it.1)).take(MAX_REPORTED_ENDS));
        }
        let to_ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let ends = ends.into_iter().map(|(tag, end)| ServerEnd {
            tag,
            age_ms: to_ms(now.since(end.ended_at)),
            took_ms: to_ms(end.ended_at.since(end.sent_at)),
        });
        let age_ms = |at: Option<Time>| at.map(|at| to_ms(now.since(at)));
        let (answered_age_ms, tried_age_ms) = (age_ms(self.answered_at), age_ms(self.tried_at));
        let is_held = self.held_since.is_some();
        PartEvidence { part, is_held, answered_age_ms, tried_age_ms, ends: ends.collect() }
    }
}

/// Returns the longest row of ends that follow each other, each at a request that was sent after the
/// end before.
pub(crate) fn row(ends: impl Iterator<Item = (EndTag, End)>) -> Vec<(EndTag, End)> {
    let mut ends: Vec<_> = ends.collect();
    ends.sort_unstable_by_key(|it| it.1.ended_at);
    let mut row: Vec<(EndTag, End)> = Vec::new();
    for (tag, end) in ends {
        if row.last().is_none_or(|(_, last)| end.sent_at >= last.ended_at + MIN_GAP) {
            row.push((tag, end));
        }
    }
    row
}
