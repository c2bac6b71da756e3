//! Requests that come and go.

use model::{
    msg::{Acquire, CellMsg, Reply},
    prelude::*,
};

use super::{Cell, Closed, DEFAULT_RETRY_AFTER, PREEMPT_PART, Ticket, TicketState};
use crate::{
    Replies,
    queue::{Place, Waiter, WaiterKey},
};

impl Cell {
    pub(super) fn acquire(&mut self, now: Time, from: Peer, req: &Acquire, out: &mut Replies) {
        let ticket = (from, req.ticket);
        if let Some(state) = self.tickets.get(&ticket).copied() {
            self.repeat(now, ticket, state, out);
            return;
        }
        match self.closed.get(&ticket) {
            Some(Closed::Done) => return,
            Some(Closed::Refused(reason)) => {
                let msg = self.refusal(now, req.ticket, *reason);
                out.push(Reply { to: from.instance, msg });
                return;
            }
            None => {}
        }
        // A request whose time is over must not take the place of this one; a free server is not
        // given away before this one stands in the queue.
        self.expire(now, out);
        let waiter = self.waiter(now, from, req);
        match self.admit(now, &waiter, out) {
            Ok(()) => self.enqueue(now, waiter, out),
            Err(reason) => self.turn_away(now, ticket, reason, out),
        }
    }

    pub(super) fn waiter(&self, now: Time, from: Peer, req: &Acquire) -> Waiter {
        let deadline = now + req.wait;
        let place = if self.is_tiered() {
            Place { tier: req.tier, account: req.account, class: req.class, order: deadline }
        } else {
            Place { tier: Tier(0), account: AccountId(0), class: ClassId(0), order: now }
        };
        Waiter { from, req: req.clone(), place, deadline, preempted: None }
    }

    pub(super) fn admit(
        &mut self,
        now: Time,
        waiter: &Waiter,
        out: &mut Replies,
    ) -> Result<(), Reason> {
        let class = waiter.place.tier_class();
        let waiting = self.queue.class_len(class) > 0;
        if self.is_tiered() {
            self.starvation.demand(now, class, waiting);
        }
        if !self.servers.any_usable(now, &waiter.req.avoid) {
            return Err(Reason::NoServer);
        }
        if !waiting {
            return Ok(());
        }
        if self.is_hopeless(now, waiter) {
            return Err(Reason::Capacity);
        }
        if self.queue.surplus() < self.queue_limit {
            return Ok(());
        }
        let Some(victim) = self.victim_for(waiter) else { return Err(Reason::Capacity) };
        self.refuse(now, victim, Reason::Capacity, out);
        Ok(())
    }

    /// Returns the request to shed for an arrival: of a lower tier, or of an account that has more
    /// waiting in the same tier.
    pub(super) fn victim_for(&self, arrival: &Waiter) -> Option<WaiterKey> {
        let key = self.queue.victim()?;
        let victim = self.queue.get(key)?.place;
        let place = arrival.place;
        if place.tier.is_above(victim.tier) {
            return Some(key);
        }
        let own = self.queue.account_len(place.tier, place.account) + 1;
        let has_more = self.queue.account_len(victim.tier, victim.account) > own;
        (victim.tier == place.tier && has_more).then_some(key)
    }

    pub(super) fn enqueue(&mut self, now: Time, waiter: Waiter, out: &mut Replies) {
        let ticket = (waiter.from, waiter.req.ticket);
        let preempt_at = now + waiter.req.wait / PREEMPT_PART;
        let wait = self.expected_wait(now, &waiter, false);
        let key = self.queue.push(waiter);
        self.tickets.insert(ticket, TicketState::Waiting(key));
        self.dispatch(now, out);
        let Some(waiter) = self.queue.get(key) else { return };
        let eta = wait.unwrap_or(DEFAULT_RETRY_AFTER).min(waiter.req.wait);
        let msg = CellMsg::Queued { ticket: ticket.1, cell: self.id, eta };
        out.push(Reply { to: ticket.0.instance, msg });
        let is_patient = wait.is_some_and(|it| now + it <= preempt_at);
        self.preempt_checks.insert((if is_patient { preempt_at } else { now }, key));
    }

    pub(super) fn repeat(&self, now: Time, ticket: Ticket, state: TicketState, out: &mut Replies) {
        let msg = match state {
            TicketState::Waiting(key) => {
                let wait = self.queue.get(key).and_then(|it| self.expected_wait(now, it, false));
                let eta = wait.unwrap_or(DEFAULT_RETRY_AFTER);
                CellMsg::Queued { ticket: ticket.1, cell: self.id, eta }
            }
            TicketState::Granted(id) => {
                let Some(grant) = self.grants.get(id) else { return };
                self.grant_msg(ticket.1, id, grant.held.server)
            }
        };
        out.push(Reply { to: ticket.0.instance, msg });
    }

    pub(super) fn cancel(&mut self, now: Time, ticket: Ticket) {
        match self.tickets.get(&ticket).copied() {
            Some(TicketState::Waiting(key)) => self.withdraw(now, key),
            Some(TicketState::Granted(id)) => {
                self.released.insert(now, id, ());
                self.free(now, id);
            }
            // The cancellation may have overtaken its request.
            None => self.closed.insert(now, ticket, Closed::Done),
        }
    }

    pub(super) fn withdraw(&mut self, now: Time, key: WaiterKey) {
        let Some(waiter) = self.queue.remove(key) else { return };
        let class = waiter.place.tier_class();
        if self.queue.class_len(class) == 0 {
            self.starvation.withdrawn(class);
        }
        self.close(now, (waiter.from, waiter.req.ticket), Closed::Done);
    }

    pub(super) fn expire(&mut self, now: Time, out: &mut Replies) {
        while let Some(key) = self.queue.expired(now) {
            self.refuse(now, key, Reason::Capacity, out);
        }
    }

    pub(super) fn refuse_all(&mut self, now: Time, out: &mut Replies) {
        let keys: Vec<WaiterKey> = self.queue.keys().collect();
        for key in keys {
            self.refuse(now, key, Reason::NoServer, out);
        }
    }

    pub(super) fn refuse(&mut self, now: Time, key: WaiterKey, reason: Reason, out: &mut Replies) {
        let Some(waiter) = self.queue.remove(key) else { return };
        self.turn_away(now, (waiter.from, waiter.req.ticket), reason, out);
    }

    pub(super) fn turn_away(
        &mut self,
        now: Time,
        ticket: Ticket,
        reason: Reason,
        out: &mut Replies,
    ) {
        self.close(now, ticket, Closed::Refused(reason));
        let msg = self.refusal(now, ticket.1, reason);
        out.push(Reply { to: ticket.0.instance, msg });
    }

    pub(super) fn refusal(&self, now: Time, ticket: TicketId, reason: Reason) -> CellMsg {
        let retry_after = self.drain_time(now).unwrap_or(DEFAULT_RETRY_AFTER);
        CellMsg::Refuse { ticket, cell: self.id, reason, retry_after }
    }

    pub(super) fn close(&mut self, now: Time, ticket: Ticket, closed: Closed) {
        self.tickets.remove(&ticket);
        self.closed.insert(now, ticket, closed);
    }
}
