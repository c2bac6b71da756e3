//! One request's claim of its idempotency key.

use model::{
    msg::{OnceMsg, OnceVerdict},
    prelude::*,
};

use crate::ClaimsOut;

/// How long holders have to answer before they are asked again.
const RESEND_AFTER: Duration = Duration::from_millis(100);

/// How often holders are told that a key is free, since the message may get lost.
const FREE_SENDS: u32 = 3;

/// The time between two such messages.
const FREE_EVERY: Duration = Duration::from_millis(100);

/// How a claim is named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimNames {
    pub(crate) no: RequestNo,
    pub(crate) ask: AskId,
    pub(crate) key: IdempotencyId,
    /// Whether the caller says that it sent the request before.
    pub(crate) resend: bool,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    names: ClaimNames,
    holders: Vec<Holder>,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    instance: InstanceId,
    is_new: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    /// Holders are asked.
    Asking { deadline: Time, resend_at: Time },
    /// The request may run.
    Claimed,
    /// The request did not run; holders are told.
    Freeing { sends: u32, next_at: Time },
    /// Nothing is left to do.
    Ended,
}

impl Claim {
    pub(crate) fn start(
        now: Time,
        names: ClaimNames,
        deadline: Time,
        holders: &[InstanceId],
        out: &mut Vec<ClaimsOut>,
    ) -> Self {
        let holders = holders.iter().map(|it| Holder { instance: *it, is_new: false });
        let phase = Phase::Asking { deadline, resend_at: now };
        let mut claim = Self { names, holders: holders.collect(), phase };
        if claim.holders.is_empty() {
            claim.refuse(now, Reason::NoOwner, out);
        }
        claim.tick(now, out);
        claim
    }

    pub(crate) fn names(&self) -> ClaimNames {
        self.names
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns when [`Self::tick`] has something to do.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        match self.phase {
            Phase::Asking { deadline, resend_at } => Some(deadline.min(resend_at)),
            Phase::Freeing { next_at, .. } => Some(next_at),
            Phase::Claimed | Phase::Ended => None,
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<ClaimsOut>) {
        match self.phase {
            Phase::Asking { deadline, .. } if now >= deadline => {
                self.refuse(now, Reason::NoOwner, out);
            }
            Phase::Asking { deadline, resend_at } if now >= resend_at => {
                self.ask(out);
                self.phase = Phase::Asking { deadline, resend_at: now + RESEND_AFTER };
            }
            Phase::Freeing { sends, next_at } if now >= next_at => self.send_free(now, sends, out),
            _ => {}
        }
    }

    /// A holder answered.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        from: InstanceId,
        verdict: OnceVerdict,
        out: &mut Vec<ClaimsOut>,
    ) {
        if !matches!(self.phase, Phase::Asking { .. }) {
            return;
        }
        let Some(holder) = self.holders.iter_mut().find(|it| it.instance == from) else { return };
        match verdict {
            OnceVerdict::New => holder.is_new = true,
            OnceVerdict::Seen => self.refuse(now, Reason::Duplicate, out),
            OnceVerdict::Unsure => self.refuse(now, Reason::MaybeDuplicate, out),
        }
        if matches!(self.phase, Phase::Asking { .. }) && self.is_claimed() {
            self.phase = Phase::Claimed;
            out.push(ClaimsOut::Ready { no: self.names.no });
        }
    }

    /// The request did not run.
    pub(crate) fn free(&mut self, now: Time, out: &mut Vec<ClaimsOut>) {
        if matches!(self.phase, Phase::Asking { .. } | Phase::Claimed) {
            self.send_free(now, FREE_SENDS, out);
        }
    }

    /// Returns whether enough holders called the key new: a majority, or all for a resend.
    fn is_claimed(&self) -> bool {
        let new = self.holders.iter().filter(|it| it.is_new).count();
        let needed =
            if self.names.resend { self.holders.len() } else { self.holders.len() / 2 + 1 };
        new >= needed
    }

    fn ask(&self, out: &mut Vec<ClaimsOut>) {
        let ClaimNames { ask, key, resend, .. } = self.names;
        let msg = OnceMsg::Claim { ask, key, resend };
        let asked = self.holders.iter().filter(|it| !it.is_new);
        out.extend(asked.map(|it| ClaimsOut::Send { to: it.instance, msg }));
    }

    fn refuse(&mut self, now: Time, reason: Reason, out: &mut Vec<ClaimsOut>) {
        self.send_free(now, FREE_SENDS, out);
        out.push(ClaimsOut::Refuse { no: self.names.no, reason });
    }

    fn send_free(&mut self, now: Time, sends: u32, out: &mut Vec<ClaimsOut>) {
        let ClaimNames { ask, key, .. } = self.names;
        let msg = OnceMsg::Free { ask, key };
        out.extend(self.holders.iter().map(|it| ClaimsOut::Send { to: it.instance, msg }));
        self.phase = match sends {
            0 | 1 => Phase::Ended,
            sends => Phase::Freeing { sends: sends - 1, next_at: now + FREE_EVERY },
        };
    }
}
