//! The idempotency keys that a holder remembers.

use std::collections::HashMap;

use model::{
    msg::{OnceMsg, OnceVerdict},
    prelude::*,
    timers::Timers,
};

use crate::RETENTION;

/// The largest number of keys that a holder remembers. Once it is reached, the holder replies that
/// it is unsure of every unknown key.
const MAX_KEYS: usize = 1 << 17;

/// How long a holder ignores further copies of a claim that was freed, which may arrive late.
const FREED_RETENTION: Duration = Duration::from_secs(10);

/// The idempotency keys that a holder remembers.
#[derive(Clone, Debug)]
pub struct HeldKeys {
    /// From this time on, a key that is not remembered was certainly not claimed within
    /// [`RETENTION`].
    sure_from: Time,
    entries: HashMap<IdempotencyId, Entry>,
    expiry: Timers<IdempotencyId>,
}

/// The last claim of a key.
#[derive(Clone, Copy, Debug)]
struct Entry {
    claimer: Claimer,
    state: EntryState,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum EntryState {
    /// The key is claimed.
    Claimed,
    /// The claim was freed, and no other request has claimed the key.
    Freed,
    /// The message that frees the claim arrived without the claim, so nothing is known of earlier
    /// claims of the key.
    FreedUnclaimed,
}

/// What identifies a claim at a holder.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Claimer {
    from: Peer,
    ask: AskId,
}

impl HeldKeys {
    /// Creates an empty memory. Until `now` plus [`RETENTION`] unknown keys may have been claimed
    /// before.
    pub fn new(now: Time) -> Self {
        Self { sure_from: now + RETENTION, entries: HashMap::new(), expiry: Timers::default() }
    }

    /// Makes the holder unsure of resends with unknown keys for another [`RETENTION`], as it may
    /// have become a holder of keys that were claimed before. Must be called when more than one
    /// instance has left the instance list within [`RETENTION`].
    pub fn distrust_unknown(&mut self, now: Time) {
        self.sure_from = now + RETENTION;
    }

    /// Handles a message that claims or frees a key, and returns the reply to a claim. Copies of a
    /// claim that was freed get no reply.
    pub fn handle(&mut self, now: Time, from: Peer, msg: &OnceMsg) -> Option<OutgoingMsg<OnceMsg>> {
        self.expire(now);
        match *msg {
            OnceMsg::Claim { ask, key, resend } => {
                let verdict = self.claim(now, Claimer { from, ask }, key, resend)?;
                let msg = OnceMsg::Answer { ask, key, verdict };
                Some(OutgoingMsg { to: from.instance, msg })
            }
            OnceMsg::Free { ask, key } => {
                self.free(now, Claimer { from, ask }, key);
                None
            }
            OnceMsg::Answer { .. } => None,
        }
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn claim(
        &mut self,
        now: Time,
        claimer: Claimer,
        key: IdempotencyId,
        resend: bool,
    ) -> Option<OnceVerdict> {
        let entry = self.entries.get(&key).copied();
        if let Some(entry) = entry.filter(|entry| entry.claimer == claimer) {
            return (entry.state == EntryState::Claimed).then_some(OnceVerdict::New);
        }
        let verdict = match entry.map(|entry| entry.state) {
            Some(EntryState::Claimed) => OnceVerdict::Seen,
            Some(EntryState::Freed) => OnceVerdict::New,
            _ if resend && now < self.sure_from => OnceVerdict::Unsure,
            None if self.entries.len() >= MAX_KEYS => OnceVerdict::Unsure,
            Some(EntryState::FreedUnclaimed) | None => OnceVerdict::New,
        };
        if verdict == OnceVerdict::New {
            let entry = Entry { claimer, state: EntryState::Claimed };
            self.remember(key, entry, now + RETENTION);
        }
        Some(verdict)
    }

    fn free(&mut self, now: Time, claimer: Claimer, key: IdempotencyId) {
        let state = match self.entries.get(&key) {
            Some(entry) if entry.claimer != claimer => return,
            Some(Entry { state: EntryState::Claimed, .. }) => EntryState::Freed,
            Some(entry) => entry.state,
            None if self.entries.len() >= MAX_KEYS => return,
            None => EntryState::FreedUnclaimed,
        };
        self.remember(key, Entry { claimer, state }, now + FREED_RETENTION);
    }

    fn remember(&mut self, key: IdempotencyId, entry: Entry, until: Time) {
        self.entries.insert(key, entry);
        self.expiry.set(key, Some(until));
    }

    fn expire(&mut self, now: Time) {
        while let Some(key) = self.expiry.pop_due(now) {
            self.entries.remove(&key);
        }
    }
}
