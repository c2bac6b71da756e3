//! A request that this instance serves.

use std::collections::BTreeMap;

use model::{msg::HeldGrant, prelude::*};

use crate::RequestHead;

/// A request that this instance serves.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) account: Option<AccountId>,
    pub(crate) tier: Tier,
    /// The first byte of the answer is due.
    pub(crate) target_by: Time,
    /// The request waits no longer than this.
    pub(crate) wait_by: Time,
    /// The answer must have ended.
    pub(crate) end_by: Time,
    pub(crate) stage: Stage,
    /// Attempts that were started.
    pub(crate) attempt: u32,
    /// Backend servers that failed this request.
    pub(crate) avoid: Vec<ServerId>,
    /// Places in the queues of cells.
    pub(crate) tickets: Vec<Ticket>,
    /// The backend server that is granted or in use.
    pub(crate) grant: Option<Granted>,
    /// The token that the request holds.
    pub(crate) token: TokenHold,
    /// Whether an attempt may have run at a backend server without a whole answer.
    pub(crate) maybe_ran: bool,
    /// Whether an idempotency key was claimed.
    pub(crate) claimed: bool,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The idempotency key is being claimed.
    Claim,
    /// It waits for a token.
    Token,
    /// It has a token and waits for a backend server, or has one and waits for a newer token.
    Queue,
    /// An attempt runs.
    Run {
        /// When the attempt was ordered.
        started: Time,
    },
}

/// How long a granted backend server waits for a token.
pub(crate) const BOUNCE_TIME: Duration = Duration::from_millis(100);

/// A request's hold on a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenHold {
    /// None yet.
    None,
    /// Since this time; it goes back if no backend server comes soon.
    Lent(Time),
    /// It went back; another one is needed once there is a backend server.
    Returned,
    /// A backend server is granted, and a token is asked for until this time.
    Asked(Time),
    /// It stays with the request until an attempt is made.
    Kept,
}

/// A place in the queue of a cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ticket {
    pub(crate) id: TicketId,
    pub(crate) cell: CellId,
    /// The owner that was asked.
    pub(crate) owner: Option<InstanceId>,
    pub(crate) state: TicketState,
    /// When the owner is asked again.
    pub(crate) again_at: Time,
}

/// What the owner of a cell answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TicketState {
    Asked,
    Queued,
    Refused { reason: Reason, retry_after: Duration },
}

impl Ticket {
    /// Returns whether the cell may still give a backend server.
    pub(crate) fn is_open(&self) -> bool {
        match self.state {
            TicketState::Asked | TicketState::Queued => true,
            TicketState::Refused { reason, .. } => reason == Reason::NoOwner,
        }
    }
}

/// A backend server for one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Granted {
    pub(crate) cell: CellId,
    pub(crate) grant: GrantId,
    pub(crate) server: ServerId,
    /// The attempt must start by then.
    pub(crate) start_by: Time,
    /// It goes back if the request has no valid token by then.
    pub(crate) token_by: Time,
}

impl Request {
    /// Returns what the owner of the cell is told of a grant in use.
    pub(crate) fn held(&self, granted: &Granted) -> HeldGrant {
        HeldGrant {
            grant: granted.grant,
            server: granted.server,
            account: self.account.unwrap_or(OPEN),
            class: self.head.class,
            tier: self.tier,
            idempotent: self.head.idempotent,
        }
    }

    /// Returns why the request gets no backend server, and when to try again.
    pub(crate) fn verdict(&self) -> Refusal {
        let mut reason = Reason::NoOwner;
        let mut retry_after = None;
        for ticket in &self.tickets {
            let seen = match ticket.state {
                TicketState::Asked => Reason::NoOwner,
                TicketState::Queued => Reason::Capacity,
                TicketState::Refused { reason, retry_after: span } => {
                    retry_after = Some(retry_after.map_or(span, |it: Duration| it.min(span)));
                    reason
                }
            };
            if rank(seen) > rank(reason) {
                reason = seen;
            }
        }
        Refusal { reason, execution: self.execution(), retry_after }
    }

    /// Returns whether the request may have run.
    pub(crate) fn execution(&self) -> Execution {
        if self.maybe_ran { Execution::Unknown } else { Execution::NotRun }
    }
}

/// The account that requests on open routes count for in the cells' queues.
pub(crate) const OPEN: AccountId = AccountId(0);

/// How much a cell's refusal tells: that of a cell which has servers goes before others.
fn rank(reason: Reason) -> u8 {
    match reason {
        Reason::Capacity => 2,
        Reason::NoServer => 1,
        _ => 0,
    }
}

/// All grants that this instance holds, by cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holding {
    pub(crate) cells: BTreeMap<CellId, CellHolding>,
    pub(crate) next_report: Time,
}

/// The grants of one cell that this instance holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellHolding {
    pub(crate) grants: BTreeMap<GrantId, HeldGrant>,
    /// When the last grant was given back.
    pub(crate) empty_since: Time,
}

impl Holding {
    pub(crate) fn add(&mut self, cell: CellId, held: HeldGrant) {
        self.cells.entry(cell).or_default().grants.insert(held.grant, held);
    }

    pub(crate) fn remove(&mut self, now: Time, cell: CellId, grant: GrantId) {
        if let Some(holding) = self.cells.get_mut(&cell) {
            holding.grants.remove(&grant);
            holding.empty_since = now;
        }
    }

    pub(crate) fn list(&self, cell: CellId) -> Vec<HeldGrant> {
        let holding = self.cells.get(&cell);
        holding.map(|it| it.grants.values().copied().collect()).unwrap_or_default()
    }
}
