//! How a request of this instance gets a backend server: its places in the queues of cells.

use std::collections::BTreeSet;

use model::{
    msg::{Acquire, CellMsg},
    prelude::*,
};
use own::Shard;

use crate::{
    Effect, RequestCommand,
    request::{BOUNCE_TIME, Granted, OPEN, Stage, Ticket, TicketState, TokenHold},
    state::State,
};

/// If the own availability zone's cell gave no server by then, the other cells are asked as well.
const SPREAD_DELAY: Duration = Duration::from_millis(30);

/// An unanswered question is asked again after this time.
const ASK_AGAIN: Duration = Duration::from_millis(150);

/// A place in a queue is confirmed after this time, in case the owner lost it.
const CONFIRM: Duration = Duration::from_secs(1);

/// Time between two looks at all waiting requests.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two lists of held grants.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long an empty list of held grants is still sent.
const REPORT_EMPTY: Duration = Duration::from_secs(10);

impl State {
    /// Asks for a backend server: the own availability zone first, the others if that one has none
    /// at once or an attempt failed already. A request waits in several queues, so that none of
    /// them serves a lower tier while it waits; the first grant wins.
    pub(crate) fn join_queue(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        req.stage = Stage::Queue;
        let is_retry = req.attempt > 0;
        let cells = self.cells_for(no);
        let own = cells.iter().find(|it| it.zone == self.setup.zone).copied();
        let Some(home) = own.or_else(|| self.least_loaded(&cells)) else {
            return self.refuse(now, no, Refusal::not_run(Reason::NoServer));
        };
        let is_urgent = is_retry || self.loads.get(&home).is_some_and(|it| it.free == 0);
        self.ask_cell(now, no, home);
        if is_urgent {
            return self.spread(now, no);
        }
        self.spreads.set(no, Some(now + SPREAD_DELAY));
    }

    /// Returns the cells in which a request may wait. A cell whose servers have all failed the
    /// request is left out while there are others: it might give out the same server again at
    /// once, until the request's attempts are used up.
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
            let load = self.loads.get(cell);
            load.map_or((0, 0), |it| (it.waiting, u32::MAX - it.free))
        };
        cells.iter().copied().min_by_key(|cell| (load(cell), *cell))
    }

    /// Asks the cells that were not asked yet.
    fn spread(&mut self, now: Time, no: RequestNo) {
        self.spreads.clear(no);
        let Some(req) = self.requests.get(&no) else { return };
        let asked: Vec<_> = req.tickets.iter().map(|it| it.cell).collect();
        let cells = self.cells_for(no);
        for cell in cells.into_iter().filter(|it| !asked.contains(it)) {
            self.ask_cell(now, no, cell);
        }
    }

    fn ask_cell(&mut self, now: Time, no: RequestNo, cell: CellId) {
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let Some(req) = self.requests.get_mut(&no) else { return };
        let (owner, state) = (None, TicketState::Asked);
        req.tickets.push(Ticket { id, cell, owner, state, again_at: now });
        self.tickets.insert(id, no);
        self.send_acquire(now, no, id);
    }

    /// Sends a ticket to the owner of its cell, or notes that there is none.
    fn send_acquire(&mut self, now: Time, no: RequestNo, id: TicketId) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(ticket) = req.tickets.iter_mut().find(|it| it.id == id) else { return };
        let owner = self.members.owner(Shard::Cell(ticket.cell));
        ticket.owner = owner;
        ticket.again_at = now + ASK_AGAIN;
        let Some(owner) = owner else {
            let (reason, retry_after) = (Reason::NoOwner, ASK_AGAIN);
            ticket.state = TicketState::Refused { reason, retry_after };
            return;
        };
        let acquire = Acquire {
            ticket: id,
            cell: ticket.cell,
            account: req.account.unwrap_or(OPEN),
            class: req.head.class,
            tier: req.tier,
            wait: now.until(req.wait_by),
            prefix: req.head.prefix,
            idempotent: req.head.idempotent,
            avoid: req.avoid.clone(),
        };
        self.send(owner, Msg::Cell(CellMsg::Acquire(acquire)));
    }

    /// Takes a message about a cell: for its owner, or from it.
    pub(crate) fn cell(&mut self, now: Time, from: Peer, msg: &CellMsg) {
        match *msg {
            CellMsg::Acquire(ref it) => self.cell_owned(now, from, it.cell, msg),
            CellMsg::Cancel { cell, .. }
            | CellMsg::Release { cell, .. }
            | CellMsg::Held { cell, .. } => self.cell_owned(now, from, cell, msg),
            CellMsg::Queued { ticket, .. } => self.queued(now, ticket),
            CellMsg::Refuse { ticket, reason, retry_after, .. } => {
                self.refused(now, ticket, reason, retry_after);
            }
            CellMsg::Grant { ticket, cell, grant, server, start_within } => {
                let start_by = now + start_within.saturating_sub(self.setup.times.margin);
                let token_by = now + BOUNCE_TIME;
                let granted = Granted { cell, grant, server, start_by, token_by };
                self.granted(now, from, ticket, granted);
            }
            CellMsg::Preempt { grant, .. } => self.preempt(now, grant),
            CellMsg::Reclaim { cell } => {
                let grants = self.holding.list(cell);
                self.send(from.instance, Msg::Cell(CellMsg::Held { cell, grants }));
            }
        }
    }

    fn queued(&mut self, now: Time, id: TicketId) {
        let Some(no) = self.set_ticket(id, TicketState::Queued, now + CONFIRM) else { return };
        if self.spreads.contains(no) {
            self.spread(now, no);
        }
    }

    fn refused(&mut self, now: Time, id: TicketId, reason: Reason, retry_after: Duration) {
        let state = TicketState::Refused { reason, retry_after };
        let Some(no) = self.set_ticket(id, state, now + ASK_AGAIN) else { return };
        if self.spreads.contains(no) {
            self.spread(now, no);
        }
        self.conclude(now, no);
    }

    fn set_ticket(
        &mut self,
        id: TicketId,
        state: TicketState,
        again_at: Time,
    ) -> Option<RequestNo> {
        let no = *self.tickets.get(&id)?;
        let ticket = self.requests.get_mut(&no)?.tickets.iter_mut().find(|it| it.id == id)?;
        ticket.state = state;
        ticket.again_at = again_at;
        Some(no)
    }

    /// Refuses a request once no cell can give it a backend server.
    fn conclude(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        if req.stage != Stage::Queue || req.grant.is_some() {
            return;
        }
        let (is_late, is_refused) = (now >= req.wait_by, !req.tickets.iter().any(Ticket::is_open));
        if !is_late && is_refused && !req.avoid.is_empty() {
            // All cells refused; a server that failed the request is better than none.
            req.avoid.clear();
            self.cancel_tickets(no, None);
            return self.join_queue(now, no);
        }
        if is_late || is_refused {
            let refusal = req.verdict();
            self.refuse(now, no, refusal);
        }
    }

    fn granted(&mut self, now: Time, from: Peer, id: TicketId, granted: Granted) {
        // A question that was asked again is answered twice; to give the copy back would free the
        // place of the attempt that runs.
        if self.held.contains_key(&granted.grant) {
            return;
        }
        let waits = |state: &Self, no: &RequestNo| {
            let req = state.requests.get(no);
            req.is_some_and(|it| it.stage == Stage::Queue && it.grant.is_none())
        };
        let no = self.tickets.get(&id).copied().filter(|no| waits(self, no));
        // A grant by this instance itself was made in this very step.
        let is_late = from.instance != self.setup.me.instance && now < self.suspect_until;
        let (Some(no), false) = (no, is_late) else {
            self.return_grant(from.instance, &granted);
            if is_late && let Some(no) = no {
                self.renew_ticket(no, id);
            }
            return;
        };
        let Some(req) = self.requests.get_mut(&no) else { return };
        let held = req.held(&granted);
        req.grant = Some(granted);
        self.spreads.clear(no);
        self.held.insert(granted.grant, no);
        self.holding.add(granted.cell, held);
        self.cancel_tickets(no, Some(id));
        self.try_run(now, no);
    }

    /// Gives back a grant that was not used.
    fn return_grant(&mut self, owner: InstanceId, granted: &Granted) {
        let Granted { cell, grant, server, .. } = *granted;
        let end = AttemptEnd::Unused;
        let msg = CellMsg::Release { cell, grant, server, end, cold: false };
        self.send(owner, Msg::Cell(msg));
    }

    /// Asks a cell again under a new name, since the old one has had its answer, once grants can
    /// be trusted again.
    fn renew_ticket(&mut self, no: RequestNo, old: TicketId) {
        self.tickets.remove(&old);
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(ticket) = req.tickets.iter_mut().find(|it| it.id == old) else { return };
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        let (reason, retry_after) = (Reason::NoOwner, ASK_AGAIN);
        let state = TicketState::Refused { reason, retry_after };
        *ticket = Ticket { id, state, again_at: self.suspect_until, ..*ticket };
        self.tickets.insert(id, no);
    }

    fn preempt(&mut self, now: Time, grant: GrantId) {
        let Some(no) = self.held.get(&grant).copied() else { return };
        let Some(req) = self.requests.get(&no) else { return };
        if !req.head.idempotent {
            return;
        }
        match req.stage {
            Stage::Run { .. } => {
                let command = RequestCommand::Preempt { attempt: req.attempt };
                self.out.effects.push(Effect::Request { no, command });
            }
            _ => self.lose_grant(now, no, AttemptEnd::Preempted),
        }
    }

    /// Gives a grant back before its attempt began, and waits again.
    pub(crate) fn lose_grant(&mut self, now: Time, no: RequestNo, end: AttemptEnd) {
        self.release(now, no, end, false);
        self.join_queue(now, no);
    }

    /// Gives a grant back for which the token has lapsed, and waits for the next token first: a
    /// request that holds the one while it waits for the other keeps everybody waiting.
    fn await_token(&mut self, now: Time, no: RequestNo) {
        self.release(now, no, AttemptEnd::Unused, false);
        if let Some(req) = self.requests.get_mut(&no) {
            req.stage = Stage::Token;
            req.token = TokenHold::Kept;
        }
    }

    /// Gives the grant of a request back.
    pub(crate) fn release(&mut self, now: Time, no: RequestNo, end: AttemptEnd, cold: bool) {
        let granted = self.requests.get_mut(&no).and_then(|it| it.grant.take());
        let Some(Granted { cell, grant, server, .. }) = granted else { return };
        self.held.remove(&grant);
        self.holding.remove(now, cell, grant);
        if let Some(owner) = self.members.owner(Shard::Cell(cell)) {
            let msg = CellMsg::Release { cell, grant, server, end, cold };
            self.send(owner, Msg::Cell(msg));
        }
        self.cancel_tickets(no, None);
    }

    /// Gives up a request's places in queues, and its grant if it did not start.
    pub(crate) fn leave_queue(&mut self, now: Time, no: RequestNo) {
        self.release(now, no, AttemptEnd::Unused, false);
        self.cancel_tickets(no, None);
    }

    fn cancel_tickets(&mut self, no: RequestNo, granted: Option<TicketId>) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        for ticket in std::mem::take(&mut req.tickets) {
            self.tickets.remove(&ticket.id);
            let is_open = granted != Some(ticket.id) && ticket.is_open();
            if let Some(owner) = ticket.owner.filter(|_| is_open) {
                let msg = CellMsg::Cancel { ticket: ticket.id, cell: ticket.cell };
                self.send(owner, Msg::Cell(msg));
            }
        }
    }

    pub(crate) fn tick_queue(&mut self, now: Time) {
        while let Some(no) = self.spreads.pop_due(now) {
            self.spread(now, no);
            self.conclude(now, no);
        }
        self.scan_waiting(now);
        self.report_held(now);
    }

    /// Looks at all waiting requests, in an interval or when owners
    /// changed, not at each wake: it takes time proportional to their number.
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
        let waiting = self.requests.iter().filter(|(_, it)| it.stage == Stage::Queue);
        let mut waiting: Vec<_> = waiting.map(|(no, _)| *no).collect();
        waiting.sort_unstable();
        for no in waiting {
            self.tick_waiting(now, no, owners_changed);
        }
    }

    fn tick_waiting(&mut self, now: Time, no: RequestNo, owners_changed: bool) {
        self.lend_back(now, no);
        let Some(req) = self.requests.get(&no) else { return };
        if let Some(granted) = req.grant {
            // The wallet looks for no other token after the wait, so that the request would take
            // one grant after the other.
            if now >= req.wait_by && !self.wallet.has_usable(now, no) {
                let (reason, execution) = (Reason::Capacity, req.execution());
                return self.refuse(now, no, Refusal { reason, execution, retry_after: None });
            }
            if now >= granted.token_by && !self.wallet.has_usable(now, no) {
                self.await_token(now, no);
            } else if now >= granted.start_by {
                self.lose_grant(now, no, AttemptEnd::Unused);
            }
            return;
        }
        let due = req.tickets.iter().filter(|it| {
            let moved = owners_changed && it.owner != self.members.owner(Shard::Cell(it.cell));
            it.is_open() && now >= self.suspect_until && (moved || now >= it.again_at)
        });
        let due: Vec<_> = due.map(|it| it.id).collect();
        for id in due {
            self.send_acquire(now, no, id);
        }
        self.conclude(now, no);
    }

    /// Tells the owners of cells which grants are held, in case a release was lost.
    fn report_held(&mut self, now: Time) {
        if now < self.holding.next_report {
            return;
        }
        self.holding.next_report = now + REPORT_INTERVAL;
        self.holding
            .cells
            .retain(|_, it| !it.grants.is_empty() || now < it.empty_since + REPORT_EMPTY);
        let cells: Vec<_> = self.holding.cells.keys().copied().collect();
        for cell in cells {
            let grants = self.holding.list(cell);
            if let Some(owner) = self.members.owner(Shard::Cell(cell)) {
                self.send(owner, Msg::Cell(CellMsg::Held { cell, grants }));
            }
        }
    }
}
