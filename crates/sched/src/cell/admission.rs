//! Arrival, cancellation, expiry and refusal of requests.

use model::{
    msg::{Acquire, CellMsg, OutgoingMsg},
    prelude::*,
};

use super::{Cell, Closed, DEFAULT_RETRY_AFTER, PREEMPT_WAIT_DIVISOR, Ticket, TicketState};
use crate::{
    OutgoingMsgs,
    queue::{Position, Waiter, WaiterKey},
};

impl Cell {
    pub(super) fn acquire(&mut self, now: Time, from: Peer, req: &Acquire, out: &mut OutgoingMsgs) {
        let ticket = (from, req.ticket);
        if let Some(state) = self.tickets.get(&ticket).copied() {
            self.repeat_reply(now, ticket, state, out);
            return;
        }
        match self.closed_tickets.get(&ticket) {
            Some(Closed::Done) => return,
            Some(Closed::Refused(reason)) => {
                let msg = self.refusal(now, req.ticket, *reason);
                out.push(OutgoingMsg { to: from.instance, msg });
                return;
            }
            None => {}
        }
        // Expired requests must not count against the queue limit. Free servers are granted only
        // after this request is in the queue, because it may be the one to serve next.
        self.expire(now, out);
        let waiter = self.new_waiter(now, from, req);
        match self.admit(now, &waiter, out) {
            Ok(()) => self.enqueue(now, waiter, out),
            Err(reason) => self.refuse_ticket(now, ticket, reason, out),
        }
    }

    /// Returns the queue entry for a request. The baseline policies ignore tiers, accounts and
    /// classes, and serve in the order of arrival.
    pub(super) fn new_waiter(&self, now: Time, from: Peer, req: &Acquire) -> Waiter {
        let deadline = now + req.wait;
        let position = if self.is_tiered() {
            Position { tier: req.tier, account: req.account, class: req.class, order: deadline }
        } else {
            Position { tier: Tier(0), account: AccountId(0), class: ClassId(0), order: now }
        };
        Waiter { from, req: req.clone(), position, deadline, preempted: None }
    }

    /// Decides whether a request may wait; a full queue may shed another request for it.
    pub(super) fn admit(
        &mut self,
        now: Time,
        waiter: &Waiter,
        out: &mut OutgoingMsgs,
    ) -> Result<(), Reason> {
        let class = waiter.position.tier_class();
        let waiting = self.queue.class_len(class) > 0;
        if self.is_tiered() {
            self.starvation.record_demand(now, class, waiting);
        }
        if !self.servers.any_usable(now, &waiter.req.avoid) {
            return Err(Reason::NoServer);
        }
        if !waiting {
            return Ok(());
        }
        if self.cannot_start_in_time(now, waiter) {
            return Err(Reason::Capacity);
        }
        if self.queue.surplus() < self.queue_limit {
            return Ok(());
        }
        let Some(victim) = self.victim_for(waiter) else { return Err(Reason::Capacity) };
        self.refuse(now, victim, Reason::Capacity, out);
        Ok(())
    }

    /// Returns the request to shed for an arrival: one of a lower tier, or one of the same tier
    /// whose account has more waiting requests than the arrival's. None if there is none.
    pub(super) fn victim_for(&self, arrival: &Waiter) -> Option<WaiterKey> {
        let key = self.queue.victim()?;
        let victim = self.queue.get(key)?.position;
        let position = arrival.position;
        if position.tier.is_above(victim.tier) {
            return Some(key);
        }
        let own = self.queue.account_len(position.tier, position.account) + 1;
        let has_more = self.queue.account_len(victim.tier, victim.account) > own;
        (victim.tier == position.tier && has_more).then_some(key)
    }

    /// Adds a request to the queue and dispatches; replies if the request has to wait.
    pub(super) fn enqueue(&mut self, now: Time, waiter: Waiter, out: &mut OutgoingMsgs) {
        let ticket = (waiter.from, waiter.req.ticket);
        let preempt_at = now + waiter.req.wait / PREEMPT_WAIT_DIVISOR;
        let wait = self.expected_wait(now, &waiter, false);
        let key = self.queue.push(waiter);
        self.tickets.insert(ticket, TicketState::Waiting(key));
        self.dispatch(now, out);
        let Some(waiter) = self.queue.get(key) else { return };
        let eta = wait.unwrap_or(DEFAULT_RETRY_AFTER).min(waiter.req.wait);
        let msg = CellMsg::Queued { ticket: ticket.1, cell: self.id, eta };
        out.push(OutgoingMsg { to: ticket.0.instance, msg });
        let starts_soon = wait.is_some_and(|wait| now + wait <= preempt_at);
        self.preempt_checks.insert((if starts_soon { preempt_at } else { now }, key));
    }

    /// Replies to a request that arrives again while it waits or holds a grant.
    pub(super) fn repeat_reply(
        &self,
        now: Time,
        ticket: Ticket,
        state: TicketState,
        out: &mut OutgoingMsgs,
    ) {
        let msg = match state {
            TicketState::Waiting(key) => {
                let wait =
                    self.queue.get(key).and_then(|waiter| self.expected_wait(now, waiter, false));
                let eta = wait.unwrap_or(DEFAULT_RETRY_AFTER);
                CellMsg::Queued { ticket: ticket.1, cell: self.id, eta }
            }
            TicketState::Granted(id) => {
                let Some(grant) = self.grants.get(id) else { return };
                self.grant_msg(ticket.1, id, grant.held.server)
            }
        };
        out.push(OutgoingMsg { to: ticket.0.instance, msg });
    }

    pub(super) fn cancel(&mut self, now: Time, ticket: Ticket) {
        match self.tickets.get(&ticket).copied() {
            Some(TicketState::Waiting(key)) => self.cancel_waiting(now, key),
            Some(TicketState::Granted(id)) => {
                self.released_grants.insert(now, id, ());
                self.free_grant(now, id);
            }
            // The cancellation may arrive before its request.
            None => self.closed_tickets.insert(now, ticket, Closed::Done),
        }
    }

    /// Removes a request that its instance no longer wants.
    pub(super) fn cancel_waiting(&mut self, now: Time, key: WaiterKey) {
        let Some(waiter) = self.queue.remove(key) else { return };
        let class = waiter.position.tier_class();
        if self.queue.class_len(class) == 0 {
            self.starvation.clear_demand(class);
        }
        self.close(now, (waiter.from, waiter.req.ticket), Closed::Done);
    }

    pub(super) fn expire(&mut self, now: Time, out: &mut OutgoingMsgs) {
        while let Some(key) = self.queue.expired(now) {
            self.refuse(now, key, Reason::Capacity, out);
        }
    }

    pub(super) fn refuse_all(&mut self, now: Time, out: &mut OutgoingMsgs) {
        let keys: Vec<WaiterKey> = self.queue.keys().collect();
        for key in keys {
            self.refuse(now, key, Reason::NoServer, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        now: Time,
        key: WaiterKey,
        reason: Reason,
        out: &mut OutgoingMsgs,
    ) {
        let Some(waiter) = self.queue.remove(key) else { return };
        self.refuse_ticket(now, (waiter.from, waiter.req.ticket), reason, out);
    }

    pub(super) fn refuse_ticket(
        &mut self,
        now: Time,
        ticket: Ticket,
        reason: Reason,
        out: &mut OutgoingMsgs,
    ) {
        self.close(now, ticket, Closed::Refused(reason));
        let msg = self.refusal(now, ticket.1, reason);
        out.push(OutgoingMsg { to: ticket.0.instance, msg });
    }

    pub(super) fn refusal(&self, now: Time, ticket: TicketId, reason: Reason) -> CellMsg {
        let retry_after = self.drain_time(now).unwrap_or(DEFAULT_RETRY_AFTER);
        CellMsg::Refuse { ticket, cell: self.id, reason, retry_after }
    }

    pub(super) fn close(&mut self, now: Time, ticket: Ticket, closed: Closed) {
        self.tickets.remove(&ticket);
        self.closed_tickets.insert(now, ticket, closed);
    }
}
