//! A request's claim of its idempotency key.

use model::{
    msg::{OnceMsg, OnceVerdict},
    prelude::*,
};

use crate::ClaimsOut;

/// The time after which a claim is sent again to the holders that have not replied that the key is
/// new.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// How many times the message that frees a key is sent to each holder, since messages may get lost
/// and a key that is not freed blocks resends.
const FREE_SENDS: u32 = 3;

/// The time between two messages that free a key.
const FREE_INTERVAL: Duration = Duration::from_millis(100);

/// What identifies a claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimIds {
    pub(crate) no: RequestNo,
    /// Identifies the claim in messages to and from the holders.
    pub(crate) ask: AskId,
    pub(crate) key: IdempotencyId,
    /// Whether the caller marks the request as a resend.
    pub(crate) resend: bool,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    ids: ClaimIds,
    holders: Vec<Holder>,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    instance: InstanceId,
    /// Whether it has replied that the key is new.
    is_new: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    /// The claim was sent to the holders, and not enough have replied.
    Asking { deadline: Time, resend_at: Time },
    /// The request may run.
    Claimed,
    /// The request did not run. The message that frees the key is sent this many times more.
    Freeing { sends: u32, next_at: Time },
    /// The claim can be removed.
    Ended,
}

impl Claim {
    /// Sends a claim to the holders. It is refused at `deadline`, or at once if there are no
    /// holders.
    pub(crate) fn start(
        now: Time,
        ids: ClaimIds,
        deadline: Time,
        holders: &[InstanceId],
        out: &mut Vec<ClaimsOut>,
    ) -> Self {
        let holders = holders.iter().map(|instance| Holder { instance: *instance, is_new: false });
        let phase = Phase::Asking { deadline, resend_at: now };
        let mut claim = Self { ids, holders: holders.collect(), phase };
        if claim.holders.is_empty() {
            claim.refuse(now, Reason::NoOwner, out);
        }
        claim.tick(now, out);
        claim
    }

    pub(crate) fn ids(&self) -> ClaimIds {
        self.ids
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns when [`Self::tick`] must be called; `None` if nothing is due at any time.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        match self.phase {
            Phase::Asking { deadline, resend_at } => Some(deadline.min(resend_at)),
            Phase::Freeing { next_at, .. } => Some(next_at),
            Phase::Claimed | Phase::Ended => None,
        }
    }

    /// Refuses the request, or sends messages again, if that is due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<ClaimsOut>) {
        match self.phase {
            Phase::Asking { deadline, .. } if now >= deadline => {
                self.refuse(now, Reason::NoOwner, out);
            }
            Phase::Asking { deadline, resend_at } if now >= resend_at => {
                self.send_claim(out);
                self.phase = Phase::Asking { deadline, resend_at: now + RESEND_INTERVAL };
            }
            Phase::Freeing { sends, next_at } if now >= next_at => self.send_free(now, sends, out),
            _ => {}
        }
    }

    /// Handles a holder's reply.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        from: InstanceId,
        verdict: OnceVerdict,
        out: &mut Vec<ClaimsOut>,
    ) {
        if !matches!(self.phase, Phase::Asking { .. }) {
            return;
        }
        let Some(holder) = self.holders.iter_mut().find(|holder| holder.instance == from) else {
            return;
        };
        match verdict {
            OnceVerdict::New => holder.is_new = true,
            OnceVerdict::Seen => self.refuse(now, Reason::Duplicate, out),
            OnceVerdict::Unsure => self.refuse(now, Reason::MaybeDuplicate, out),
        }
        if matches!(self.phase, Phase::Asking { .. }) && self.is_claimed() {
            self.phase = Phase::Claimed;
            out.push(ClaimsOut::Ready { no: self.ids.no });
        }
    }

    /// Frees the key, as the request did not run.
    pub(crate) fn free(&mut self, now: Time, out: &mut Vec<ClaimsOut>) {
        if matches!(self.phase, Phase::Asking { .. } | Phase::Claimed) {
            self.send_free(now, FREE_SENDS, out);
        }
    }

    /// Returns whether enough holders replied that the key is new: a majority, or all for a resend.
    fn is_claimed(&self) -> bool {
        let new = self.holders.iter().filter(|holder| holder.is_new).count();
        let needed = if self.ids.resend { self.holders.len() } else { self.holders.len() / 2 + 1 };
        new >= needed
    }

    /// Sends the claim to the holders that have not replied that the key is new.
    fn send_claim(&self, out: &mut Vec<ClaimsOut>) {
        let ClaimIds { ask, key, resend, .. } = self.ids;
        let msg = OnceMsg::Claim { ask, key, resend };
        let asked = self.holders.iter().filter(|holder| !holder.is_new);
        out.extend(asked.map(|holder| ClaimsOut::Send { to: holder.instance, msg }));
    }

    fn refuse(&mut self, now: Time, reason: Reason, out: &mut Vec<ClaimsOut>) {
        self.send_free(now, FREE_SENDS, out);
        out.push(ClaimsOut::Refuse { no: self.ids.no, reason });
    }

    fn send_free(&mut self, now: Time, sends: u32, out: &mut Vec<ClaimsOut>) {
        let ClaimIds { ask, key, .. } = self.ids;
        let msg = OnceMsg::Free { ask, key };
        out.extend(self.holders.iter().map(|holder| ClaimsOut::Send { to: holder.instance, msg }));
        self.phase = match sends {
            0 | 1 => Phase::Ended,
            sends => Phase::Freeing { sends: sends - 1, next_at: now + FREE_INTERVAL },
        };
    }
}
