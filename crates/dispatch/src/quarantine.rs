//! Prompt parts that end the servers which begin to answer them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gossip::{EndTag, PartEvidence};
use model::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Part, Prompt,
    suspect::{End, OPERATOR, Suspect, row},
};

/// Ends of servers in a row after which a part is held back. Two could follow each other by chance
/// while many servers crash.
const ENDS_TO_HOLD: usize = 3;
/// The same for a part of which an answer is known: it may be popular and innocent.
const ENDS_TO_HOLD_ANSWERED: usize = 5;
/// Ends in a row after which a request with the part is not repeated.
const ENDS_TO_DOUBT: usize = 2;
/// Added to the time of a trial for each instance that precedes this one, so that others know of it
/// before they try as well. Requests with the part need not come to the first instance.
const TRIAL_STAGGER: Duration = Duration::from_secs(2);
/// The same for a request that tells a part from others.
const TELLING_STAGGER: Duration = Duration::from_millis(300);
/// Parts against which there is evidence. Those with the least are forgotten beyond that.
const MAX_SUSPECTS: usize = 256;
/// Upper bound on the time for which a packet is under way. Answers and trials that it tells of count
/// as that much older at each instance that passes them on.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(200);
/// Parts in a packet.
const MAX_REPORTED_PARTS: usize = 12;
/// Parts of which the latest answer is remembered, to judge ends that others report later.
const MAX_ANSWERED: usize = 4_096;

/// A part that is held back, for operators.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HeldPart {
    /// The id of the part.
    pub part: u64,
    /// Since when this instance holds it back.
    pub since: Time,
    /// The ends of servers that speak against it.
    pub ends: usize,
    /// When the last of them ended.
    pub last_end: Time,
    /// When a request with it is tried next.
    pub trial_due: Time,
}

/// A change of the parts that are held back.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QuarantineChange {
    /// A part is held back from now on.
    Held(HeldPart),
    /// A part is not held back any more.
    Released {
        /// The id of the part.
        part: u64,
    },
}

/// What happens to a request with regard to its parts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It may be sent, as a trial of a part that is held back.
    Trial,
    /// It is held back.
    Held {
        /// When a request with the part is tried next.
        trial_due: Time,
    },
}

/// Finds prompt parts that end the servers which begin to answer them, and decides which requests
/// are held back.
///
/// Evidence against a part is the end of a server at which a request with the part was unanswered or
/// its answer had just begun.
/// An answer to a request that was sent later refutes it. Ends count if each request was sent after
/// the server before had ended, so servers that end at the same moment for another reason count as
/// one. Evidence of other instances is merged by the tags of the ends, in any order.
#[derive(Clone, Default, Debug)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
    /// When the latest answered request with each part was sent.
    answered: HashMap<u64, Time>,
}

/// Returns the tag of the end of a server, the same at all instances.
pub fn end_tag(server: ServerId, incarnation: u64) -> EndTag {
    // 0 stands for operators.
    EndTag((xxh3_64_with_seed(&incarnation.to_be_bytes(), server.0) as u32).max(1))
}

impl Quarantine {
    /// Returns whether there is evidence against any part.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns whether there is evidence against a shared part of a prompt.
    pub fn is_suspected(&self, prompt: &Prompt) -> bool {
        prompt.shared_parts().iter().any(|part| self.suspects.contains_key(&part.id))
    }

    /// Records that a server ended at `ended_at` while a request with this prompt, sent at `sent_at`,
    /// was unanswered or its answer had just begun.
    pub fn server_ended(&mut self, tag: EndTag, prompt: &Prompt, sent_at: Time, ended_at: Time) {
        for part in prompt.shared_parts() {
            self.add(part.id, tag, End { sent_at, ended_at });
            if let Some(suspect) = self.suspects.get_mut(&part.id) {
                // The server did not survive this answer.
                suspect.begun = suspect.begun.filter(|begun| begun.0 != sent_at);
            }
        }
    }

    /// Records that a server begins to answer a request with this prompt, sent at `sent_at`. Nothing is
    /// decided against its parts until it is known whether the server survives.
    pub fn begun(&mut self, now: Time, prompt: &Prompt, sent_at: Time) {
        for part in prompt.shared_parts() {
            if let Some(suspect) = self.suspects.get_mut(&part.id) {
                suspect.begun = suspect.begun.max(Some((sent_at, now)));
            }
        }
    }

    /// Records that a request with this prompt, sent at `sent_at`, is answered by a server that
    /// still runs.
    pub fn answered(&mut self, prompt: &Prompt, sent_at: Time) {
        for part in prompt.shared_parts() {
            if self.answered.len() >= MAX_ANSWERED && !self.answered.contains_key(&part.id) {
                self.forget_answers();
            }
            let latest = self.answered.entry(part.id).or_default();
            *latest = sent_at.max(*latest);
            if let Some(suspect) = self.suspects.get_mut(&part.id) {
                suspect.answered_at = suspect.answered_at.max(Some(sent_at));
            }
        }
    }

    /// Merges the evidence of another instance.
    pub fn merge(&mut self, now: Time, evidence: &[PartEvidence]) {
        for PartEvidence { part, is_held, answered_age_ms, tried_age_ms, ends } in evidence {
            let at = |age: &Option<u32>| age.map(|age| now - millis(age) - MAX_TRANSIT_TIME);
            let (answered_at, tried_at) = (at(answered_age_ms), at(tried_age_ms));
            for end in ends {
                let ended_at = now - millis(end.age_ms);
                let sent_at = ended_at - millis(end.took_ms);
                self.add(*part, end.tag, End { sent_at, ended_at });
            }
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.answered_at = suspect.answered_at.max(answered_at);
                suspect.tried_at = suspect.tried_at.max(tried_at);
                suspect.is_held_elsewhere |= is_held;
            }
        }
    }

    /// Returns the evidence for other instances, the strongest first.
    pub fn report(&self, now: Time) -> Vec<PartEvidence> {
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        // Parts that are or were held back concern everybody, whether the ends are refuted or not.
        suspects.sort_by_key(|(_, suspect)| {
            let last = suspect.ends.values().map(|end| end.ended_at).max();
            std::cmp::Reverse((suspect.held_since.is_some(), suspect.ends.len(), last))
        });
        let reported = suspects.into_iter().take(MAX_REPORTED_PARTS);
        reported.map(|(part, suspect)| suspect.report(now, *part)).collect()
    }

    /// Forgets old evidence and returns which parts are held back or released from now on.
    pub fn update(&mut self, now: Time) -> Vec<QuarantineChange> {
        let guilty = self.guilty(now);
        let mut changes = Vec::new();
        for (part, suspect) in &mut self.suspects {
            if guilty.contains(part) && suspect.held_since.is_none() {
                suspect.held_since = Some(now);
                changes.extend(suspect.held_part(*part).map(QuarantineChange::Held));
            } else if !guilty.contains(part) && suspect.held_since.take().is_some() {
                suspect.is_held_elsewhere = false;
                changes.push(QuarantineChange::Released { part: *part });
            }
            suspect.forget(now);
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
        while self.suspects.len() > MAX_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, it)| {
                (it.held_since.is_some(), it.unrefuted().count(), it.ends.len())
            });
            let Some(part) = least.map(|it| *it.0) else { break };
            self.suspects.remove(&part);
        }
        changes
    }

    /// Decides on a request with this prompt. `rank` is the number of instances that precede this one,
    /// which try a part that is held back earlier; `None` if it may not be tried.
    pub fn verdict(&self, now: Time, prompt: &Prompt, rank: Option<u32>) -> Verdict {
        let suspect = |part: &Part| self.suspects.get(&part.id).map(|it| (part.id, it));
        let suspects = prompt.shared_parts().iter().filter_map(suspect);
        let mut verdict = Verdict::Free;
        for (part, suspect) in suspects.filter(|it| it.1.held_since.is_some()) {
            let tells_apart = self.tells_apart(part, suspect, prompt);
            let trial_due = suspect.trial_due(tells_apart);
            let stagger = if tells_apart { TELLING_STAGGER } else { TRIAL_STAGGER };
            let is_due = |rank| now >= trial_due + stagger.saturating_mul(rank);
            if !rank.is_some_and(is_due) {
                return Verdict::Held { trial_due };
            }
            verdict = Verdict::Trial;
        }
        verdict
    }

    /// Returns whether a request with this prompt tells whether a part that is held back is innocent:
    /// other parts that are held back and that the prompt does not have explain all its ends.
    fn tells_apart(&self, part: u64, suspect: &Suspect, prompt: &Prompt) -> bool {
        let is_in_prompt = |id| prompt.shared_parts().iter().any(|it| it.id == id);
        let others = self.suspects.iter().filter(|it| *it.0 != part && it.1.held_since.is_some());
        let others: Vec<_> = others.filter(|it| !is_in_prompt(*it.0)).map(|it| it.1).collect();
        let is_explained = |tag| others.iter().any(|it| it.unrefuted().any(|end| end.0 == tag));
        suspect.unrefuted().all(|end| is_explained(end.0))
    }

    /// Records that a request is sent as a trial.
    pub fn tried(&mut self, now: Time, prompt: &Prompt) {
        for part in prompt.shared_parts() {
            if let Some(suspect) = self.suspects.get_mut(&part.id) {
                suspect.tried_at = Some(now);
            }
        }
    }

    /// Returns whether a request that may have ended its server must not be repeated: too many
    /// servers in a row have ended at requests with one of its parts.
    pub fn is_doubtful(&self, prompt: &Prompt) -> bool {
        let mut suspects =
            prompt.shared_parts().iter().filter_map(|part| self.suspects.get(&part.id));
        suspects.any(|suspect| row(suspect.unrefuted()).len() >= ENDS_TO_DOUBT)
    }

    /// Holds a part back, as operators demand.
    pub fn hold(&mut self, now: Time, part: u64) {
        self.add(part, OPERATOR, End { sent_at: now, ended_at: now });
    }

    /// Refutes all evidence against a part, as operators demand.
    pub fn release(&mut self, now: Time, part: u64) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.answered_at = Some(now);
        }
    }

    /// Returns the parts that are held back.
    pub fn held(&self) -> Vec<HeldPart> {
        self.suspects.iter().filter_map(|(part, suspect)| suspect.held_part(*part)).collect()
    }

    fn add(&mut self, part: u64, tag: EndTag, end: End) {
        let answered_at = self.answered.get(&part).copied();
        let suspect = self.suspects.entry(part).or_default();
        suspect.answered_at = suspect.answered_at.max(answered_at);
        suspect.add(tag, end);
    }

    /// Returns the parts against which there is enough evidence. Ends do not count at which another
    /// such part was present that was at more ends and was never answered: it explains them. A part
    /// that is held back stays so until its ends are refuted.
    fn guilty(&self, now: Time) -> BTreeSet<u64> {
        let strength =
            |suspect: &Suspect| (suspect.answered_at.is_none(), suspect.unrefuted().count());
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|it| std::cmp::Reverse(strength(it.1)));
        let mut guilty: BTreeMap<u64, &Suspect> = BTreeMap::new();
        for (part, suspect) in suspects {
            let explains =
                |it: &Suspect| it.answered_at.is_none() && strength(it) > strength(suspect);
            let is_explained = |tag: EndTag| {
                let mut stronger = guilty.values().filter(|it| explains(it));
                stronger.any(|it| it.unrefuted().any(|end| end.0 == tag))
            };
            let is_ordered = suspect.unrefuted().any(|it| it.0 == OPERATOR);
            // What others have found without knowing of an answer holds for all.
            let needed = match suspect.answered_at {
                Some(_) if !suspect.is_held_elsewhere => ENDS_TO_HOLD_ANSWERED,
                _ => ENDS_TO_HOLD,
            };
            let is_enough = if suspect.held_since.is_some() {
                row(suspect.unrefuted()).len() >= ENDS_TO_HOLD
            } else {
                row(suspect.unrefuted().filter(|it| !is_explained(it.0))).len() >= needed
                    && !suspect.is_answer_pending(now)
            };
            if is_ordered || is_enough {
                guilty.insert(*part, suspect);
            }
        }
        guilty.into_keys().collect()
    }

    /// Forgets the older half of the answers.
    fn forget_answers(&mut self) {
        let mut times: Vec<_> = self.answered.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_ANSWERED / 2);
        let median = *median;
        self.answered.retain(|_, sent_at| *sent_at > median);
    }
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(count.into())
}
