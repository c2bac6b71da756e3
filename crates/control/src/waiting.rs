//! How a request of this instance gets a backend server: its places in the queues of cells, and
//! the grants that come from them.

use std::collections::BTreeSet;

use model::{
    msg::{Acquire, CellMsg},
    prelude::*,
};
use own::Shard;

use crate::{
    Effect, RequestCommand,
    request::{
        GRANT_TOKEN_TIMEOUT, Granted, OPEN_ROUTE_ACCOUNT, Stage, Ticket, TicketState, TokenState,
    },
    state::State,
};

/// How long the cell of this instance's zone has to give a backend server before the cells of the
/// other zones are asked as well.
const OTHER_CELLS_DELAY: Duration = Duration::from_millis(30);

/// How long the owner of a cell has to reply before it is asked again.
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// How long after its owner queued a request a ticket is sent again, in case the owner lost it.
const CONFIRM_DELAY: Duration = Duration::from_secs(1);

/// Time between two scans of all waiting requests.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reports of the held grants to the owners of their cells.
const HELD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a cell's owner still gets empty reports after the last grant of the cell was released:
/// reports may be lost.
const EMPTY_REPORT_TIME: Duration = Duration::from_secs(10);

impl State {
    /// Asks for a backend server: the cell of this instance's zone first, and the others as well if
    /// that one does not give one at once or an attempt has failed already. The request may wait in
    /// several queues, so that no cell serves a lower tier while it waits; it uses the first grant.
    pub(crate) fn join_queue(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        req.stage = Stage::Queue;
        let is_retry = req.attempt > 0;
        let cells = self.cells_for(no);
        let own = cells.iter().find(|cell| cell.zone == self.setup.zone).copied();
        let Some(first) = own.or_else(|| self.least_loaded(&cells)) else {
            return self.refuse(now, no, Refusal::not_run(Reason::NoServer));
        };
        let asks_all = is_retry || self.cell_loads.get(&first).is_some_and(|load| load.free == 0);
        self.ask_cell(now, no, first);
        if asks_all {
            return self.ask_other_cells(now, no);
        }
        self.other_cells_due.set(no, Some(now + OTHER_CELLS_DELAY));
    }

    /// Returns the cells in which a request may wait. A cell whose servers have all failed the
    /// request is left out while there are others: it could give out the same servers again at
    /// once until the request's attempts are used up.
    fn cells_for(&self, no: RequestNo) -> Vec<CellId> {
        let Some(req) = self.requests.get(&no) else { return Vec::new() };
        let open = self.catalog.open_cells(req.head.pool);
        if req.avoid.is_empty() {
            return open.to_vec();
        }
        let untried = |(id, spec): &(&ServerId, &config::ServerSpec)| {
            spec.open && spec.cell.pool == req.head.pool && !req.avoid.contains(id)
        };
        let untried = self.catalog.servers.iter().filter(untried).map(|(_, spec)| spec.cell);
        let untried: BTreeSet<CellId> = untried.collect();
        if untried.is_empty() { open.to_vec() } else { untried.into_iter().collect() }
    }

    fn least_loaded(&self, cells: &[CellId]) -> Option<CellId> {
        let load = |cell: &CellId| {
            let load = self.cell_loads.get(cell);
            load.map_or((0, 0), |load| (load.waiting, u32::MAX - load.free))
        };
        cells.iter().copied().min_by_key(|cell| (load(cell), *cell))
    }

    /// Asks the cells that were not asked yet.
    fn ask_other_cells(&mut self, now: Time, no: RequestNo) {
        self.other_cells_due.clear(no);
        let Some(req) = self.requests.get(&no) else { return };
        let asked: Vec<_> = req.tickets.iter().map(|ticket| ticket.cell).collect();
        let cells = self.cells_for(no);
        for cell in cells.into_iter().filter(|cell| !asked.contains(cell)) {
            self.ask_cell(now, no, cell);
        }
    }

    fn ask_cell(&mut self, now: Time, no: RequestNo, cell: CellId) {
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let Some(req) = self.requests.get_mut(&no) else { return };
        let (owner, state) = (None, TicketState::Asked);
        req.tickets.push(Ticket { id, cell, owner, state, resend_at: now });
        self.by_ticket.insert(id, no);
        self.send_acquire(now, no, id);
    }

    /// Sends a ticket to the owner of its cell. Without an owner, the ticket counts as refused for
    /// now and is sent again later.
    fn send_acquire(&mut self, now: Time, no: RequestNo, id: TicketId) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(ticket) = req.tickets.iter_mut().find(|ticket| ticket.id == id) else { return };
        let owner = self.members.owner(Shard::Cell(ticket.cell));
        ticket.owner = owner;
        ticket.resend_at = now + RESEND_DELAY;
        let Some(owner) = owner else {
            let (reason, retry_after) = (Reason::NoOwner, RESEND_DELAY);
            ticket.state = TicketState::Refused { reason, retry_after };
            return;
        };
        let acquire = Acquire {
            ticket: id,
            cell: ticket.cell,
            account: req.account.unwrap_or(OPEN_ROUTE_ACCOUNT),
            class: req.head.class,
            tier: req.tier,
            wait: now.until(req.wait_until),
            prefix: req.head.prefix,
            idempotent: req.head.idempotent,
            avoid: req.avoid.clone(),
        };
        self.send(owner, Msg::Cell(CellMsg::Acquire(acquire)));
    }

    /// Handles a message about a cell, which is for its owner or from it.
    pub(crate) fn cell_message(&mut self, now: Time, from: Peer, msg: &CellMsg) {
        match *msg {
            CellMsg::Acquire(ref acquire) => self.cell_owner_message(now, from, acquire.cell, msg),
            CellMsg::Cancel { cell, .. }
            | CellMsg::Release { cell, .. }
            | CellMsg::Held { cell, .. } => self.cell_owner_message(now, from, cell, msg),
            CellMsg::Queued { ticket, .. } => self.queued(now, ticket),
            CellMsg::Refuse { ticket, reason, retry_after, .. } => {
                self.refused(now, ticket, reason, retry_after);
            }
            CellMsg::Grant { ticket, cell, grant, server, start_within } => {
                let start_by = now + start_within.saturating_sub(self.setup.times.margin);
                let token_by = now + GRANT_TOKEN_TIMEOUT;
                let granted = Granted { cell, grant, server, start_by, token_by };
                self.granted(now, from, ticket, granted);
            }
            CellMsg::Preempt { grant, .. } => self.preempt(now, grant),
            CellMsg::Reclaim { cell } => {
                let grants = self.held_grants.of_cell(cell);
                self.send(from.instance, Msg::Cell(CellMsg::Held { cell, grants }));
            }
        }
    }

    fn queued(&mut self, now: Time, id: TicketId) {
        let Some(no) = self.set_ticket(id, TicketState::Queued, now + CONFIRM_DELAY) else {
            return;
        };
        if self.other_cells_due.contains(no) {
            self.ask_other_cells(now, no);
        }
    }

    fn refused(&mut self, now: Time, id: TicketId, reason: Reason, retry_after: Duration) {
        let state = TicketState::Refused { reason, retry_after };
        let Some(no) = self.set_ticket(id, state, now + RESEND_DELAY) else { return };
        if self.other_cells_due.contains(no) {
            self.ask_other_cells(now, no);
        }
        self.refuse_if_unservable(now, no);
    }

    fn set_ticket(
        &mut self,
        id: TicketId,
        state: TicketState,
        resend_at: Time,
    ) -> Option<RequestNo> {
        let no = *self.by_ticket.get(&id)?;
        let ticket =
            self.requests.get_mut(&no)?.tickets.iter_mut().find(|ticket| ticket.id == id)?;
        ticket.state = state;
        ticket.resend_at = resend_at;
        Some(no)
    }

    /// Refuses a request whose wait is over, or that no cell can give a backend server.
    fn refuse_if_unservable(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        if req.stage != Stage::Queue || req.grant.is_some() {
            return;
        }
        let (is_late, is_refused) =
            (now >= req.wait_until, !req.tickets.iter().any(Ticket::is_open));
        if !is_late && is_refused && !req.avoid.is_empty() {
            // All cells refused: a server that has failed the request is better than none.
            req.avoid.clear();
            self.cancel_tickets(no, None);
            return self.join_queue(now, no);
        }
        if is_late || is_refused {
            let refusal = req.refusal();
            self.refuse(now, no, refusal);
        }
    }

    fn granted(&mut self, now: Time, from: Peer, id: TicketId, granted: Granted) {
        // The reply to a ticket that was sent again. Returning this copy would release the grant of
        // the attempt that runs.
        if self.by_grant.contains_key(&granted.grant) {
            return;
        }
        let is_waiting = |state: &Self, no: &RequestNo| {
            let req = state.requests.get(no);
            req.is_some_and(|req| req.stage == Stage::Queue && req.grant.is_none())
        };
        let no = self.by_ticket.get(&id).copied().filter(|no| is_waiting(self, no));
        // A grant from this instance itself was made in this step, so it cannot be old.
        let is_suspect = from.instance != self.setup.me.instance && now < self.suspect_until;
        let (Some(no), false) = (no, is_suspect) else {
            self.return_grant(from.instance, &granted);
            if is_suspect && let Some(no) = no {
                self.renew_ticket(no, id);
            }
            return;
        };
        let Some(req) = self.requests.get_mut(&no) else { return };
        let held = req.held(&granted);
        req.grant = Some(granted);
        self.other_cells_due.clear(no);
        self.by_grant.insert(granted.grant, no);
        self.held_grants.add(granted.cell, held);
        self.cancel_tickets(no, Some(id));
        self.try_run(now, no);
    }

    /// Releases a grant that no request uses.
    fn return_grant(&mut self, owner: InstanceId, granted: &Granted) {
        let Granted { cell, grant, server, .. } = *granted;
        let end = AttemptEnd::Unused;
        let msg = CellMsg::Release { cell, grant, server, end, cold: false };
        self.send(owner, Msg::Cell(msg));
    }

    /// Replaces a ticket whose grant was not used because it arrived shortly after a pause. The new
    /// one is sent once grants are not suspect any more; the old one cannot be used again, as it
    /// has got its reply.
    fn renew_ticket(&mut self, no: RequestNo, old: TicketId) {
        self.by_ticket.remove(&old);
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(ticket) = req.tickets.iter_mut().find(|ticket| ticket.id == old) else { return };
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let (reason, retry_after) = (Reason::NoOwner, RESEND_DELAY);
        let state = TicketState::Refused { reason, retry_after };
        *ticket = Ticket { id, state, resend_at: self.suspect_until, ..*ticket };
        self.by_ticket.insert(id, no);
    }

    /// Gives up a grant that its owner preempts. That of a request that must not run twice is kept.
    fn preempt(&mut self, now: Time, grant: GrantId) {
        let Some(no) = self.by_grant.get(&grant).copied() else { return };
        let Some(req) = self.requests.get(&no) else { return };
        if !req.head.idempotent {
            return;
        }
        match req.stage {
            Stage::Run { .. } => {
                let command = RequestCommand::Preempt { attempt: req.attempt };
                self.out.effects.push(Effect::Request { no, command });
            }
            _ => self.drop_grant(now, no, AttemptEnd::Preempted),
        }
    }

    /// Releases a grant before its attempt has started, and joins the queues again.
    pub(crate) fn drop_grant(&mut self, now: Time, no: RequestNo, end: AttemptEnd) {
        self.release(now, no, end, false);
        self.join_queue(now, no);
    }

    /// Releases a grant whose request has no valid token any more, and waits for the next token
    /// first: a request that holds a backend server while it waits for a token would block others.
    fn wait_for_token(&mut self, now: Time, no: RequestNo) {
        self.release(now, no, AttemptEnd::Unused, false);
        if let Some(req) = self.requests.get_mut(&no) {
            req.stage = Stage::Token;
            req.token = TokenState::Kept;
        }
    }

    /// If a request has a grant, releases it and cancels the request's tickets. `end` says how the
    /// attempt ended, `cold` whether the server reported to be in its cold start.
    pub(crate) fn release(&mut self, now: Time, no: RequestNo, end: AttemptEnd, cold: bool) {
        let granted = self.requests.get_mut(&no).and_then(|req| req.grant.take());
        let Some(Granted { cell, grant, server, .. }) = granted else { return };
        self.by_grant.remove(&grant);
        self.held_grants.remove(now, cell, grant);
        if let Some(owner) = self.members.owner(Shard::Cell(cell)) {
            let msg = CellMsg::Release { cell, grant, server, end, cold };
            self.send(owner, Msg::Cell(msg));
        }
        self.cancel_tickets(no, None);
    }

    /// Gives up a request's places in queues, and a grant that it has not used.
    pub(crate) fn leave_queue(&mut self, now: Time, no: RequestNo) {
        self.release(now, no, AttemptEnd::Unused, false);
        self.cancel_tickets(no, None);
    }

    /// Removes the tickets of a request, and cancels them at their owners unless they were granted
    /// or refused.
    fn cancel_tickets(&mut self, no: RequestNo, granted: Option<TicketId>) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        for ticket in std::mem::take(&mut req.tickets) {
            self.by_ticket.remove(&ticket.id);
            let is_open = granted != Some(ticket.id) && ticket.is_open();
            if let Some(owner) = ticket.owner.filter(|_| is_open) {
                let msg = CellMsg::Cancel { ticket: ticket.id, cell: ticket.cell };
                self.send(owner, Msg::Cell(msg));
            }
        }
    }

    pub(crate) fn tick_queue(&mut self, now: Time) {
        while let Some(no) = self.other_cells_due.pop_due(now) {
            self.ask_other_cells(now, no);
            self.refuse_if_unservable(now, no);
        }
        self.scan_waiting(now);
        self.report_held(now);
    }

    /// Examines all waiting requests at intervals and when owners have changed. It does not do so
    /// at each tick, as this takes time proportional to their number.
    fn scan_waiting(&mut self, now: Time) {
        let epoch = self.members.owners_epoch();
        let owners_changed = self.tickets_epoch != epoch;
        if now >= self.suspect_until {
            self.tickets_epoch = epoch;
        }
        if now < self.next_scan && !owners_changed {
            return;
        }
        self.next_scan = now + SCAN_INTERVAL;
        let waiting = self.requests.iter().filter(|(_, req)| req.stage == Stage::Queue);
        let mut waiting: Vec<_> = waiting.map(|(no, _)| *no).collect();
        waiting.sort_unstable();
        for no in waiting {
            self.tick_waiting(now, no, owners_changed);
        }
    }

    fn tick_waiting(&mut self, now: Time, no: RequestNo, owners_changed: bool) {
        self.return_queued_token(now, no);
        let Some(req) = self.requests.get(&no) else { return };
        if let Some(granted) = req.grant {
            // The token client asks for no further token after the wait. Without this, the request
            // would take one grant after another without using any.
            if now >= req.wait_until && !self.token_client.has_usable(now, no) {
                let (reason, execution) = (Reason::Capacity, req.execution());
                return self.refuse(now, no, Refusal { reason, execution, retry_after: None });
            }
            if now >= granted.token_by && !self.token_client.has_usable(now, no) {
                self.wait_for_token(now, no);
            } else if now >= granted.start_by {
                self.drop_grant(now, no, AttemptEnd::Unused);
            }
            return;
        }
        let due = req.tickets.iter().filter(|ticket| {
            let moved =
                owners_changed && ticket.owner != self.members.owner(Shard::Cell(ticket.cell));
            ticket.is_open() && now >= self.suspect_until && (moved || now >= ticket.resend_at)
        });
        let due: Vec<_> = due.map(|ticket| ticket.id).collect();
        for id in due {
            self.send_acquire(now, no, id);
        }
        self.refuse_if_unservable(now, no);
    }

    /// Reports the held grants to the owners of their cells, in case a release was lost.
    fn report_held(&mut self, now: Time) {
        if now < self.held_grants.next_report {
            return;
        }
        self.held_grants.next_report = now + HELD_REPORT_INTERVAL;
        self.held_grants.cells.retain(|_, held| {
            !held.grants.is_empty() || now < held.empty_since + EMPTY_REPORT_TIME
        });
        let cells: Vec<_> = self.held_grants.cells.keys().copied().collect();
        for cell in cells {
            let grants = self.held_grants.of_cell(cell);
            if let Some(owner) = self.members.owner(Shard::Cell(cell)) {
                self.send(owner, Msg::Cell(CellMsg::Held { cell, grants }));
            }
        }
    }
}
