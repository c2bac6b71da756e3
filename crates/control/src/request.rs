//! The state of the requests that this instance serves, and of the grants that it holds.

use std::collections::BTreeMap;

use model::{msg::HeldGrant, prelude::*};

use crate::RequestHead;

/// A request that this instance serves.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    /// The client account; `None` on an open route.
    pub(crate) account: Option<AccountId>,
    pub(crate) tier: Tier,
    /// When the first byte of the response must have come to meet the target of the class.
    pub(crate) target_by: Time,
    /// Until when the request waits for a token and a backend server.
    pub(crate) wait_until: Time,
    /// When the response must have ended.
    pub(crate) end_by: Time,
    pub(crate) stage: Stage,
    /// The number of started attempts, which is also the number of the last one.
    pub(crate) attempt: u32,
    /// Backend servers that failed this request.
    pub(crate) avoid: Vec<ServerId>,
    /// Places in the queues of cells, one for each cell that was asked.
    pub(crate) tickets: Vec<Ticket>,
    /// The backend server that is granted or in use.
    pub(crate) grant: Option<Granted>,
    /// Whether the request has a token.
    pub(crate) token: TokenState,
    /// Whether an attempt may have run at a backend server.
    pub(crate) may_have_run: bool,
    /// Whether an idempotency key was claimed.
    pub(crate) has_claim: bool,
}

/// What a request waits for or does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits until its idempotency key is claimed.
    Claim,
    /// It waits for a token.
    Token,
    /// It waits for a backend server, or has one and waits for a token again.
    Queue,
    /// An attempt was started and has not ended.
    Run {
        /// When the attempt was started.
        started: Time,
    },
}

/// How long a granted backend server is kept for a request without a valid token.
pub(crate) const GRANT_TOKEN_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether a request has a token, and what it does with it or to get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenState {
    /// The request has not had one yet.
    None,
    /// The request has one since this time, and returns it if it does not get a backend server
    /// soon.
    Provisional(Time),
    /// The request has returned it, and asks for another one once it has a backend server.
    Returned,
    /// The request has a backend server, and asks for a token until this time.
    Asked(Time),
    /// The request waits for one or has one, and keeps it until it makes an attempt.
    Kept,
}

/// A place in the queue of a cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ticket {
    pub(crate) id: TicketId,
    pub(crate) cell: CellId,
    /// The owner that was asked; `None` if the cell had none.
    pub(crate) owner: Option<InstanceId>,
    pub(crate) state: TicketState,
    /// When the owner is asked again.
    pub(crate) resend_at: Time,
}

/// The last reply of a cell's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TicketState {
    /// There was no reply yet.
    Asked,
    Queued,
    /// Refused by the owner, or for now, as the cell has no owner.
    Refused {
        reason: Reason,
        retry_after: Duration,
    },
}

impl Ticket {
    /// Returns whether the cell may still grant a backend server.
    pub(crate) fn is_open(&self) -> bool {
        match self.state {
            TicketState::Asked | TicketState::Queued => true,
            TicketState::Refused { reason, .. } => reason == Reason::NoOwner,
        }
    }
}

/// A grant: a backend server for one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Granted {
    pub(crate) cell: CellId,
    pub(crate) grant: GrantId,
    pub(crate) server: ServerId,
    /// When the attempt must have started.
    pub(crate) start_by: Time,
    /// When the grant is released if the request has no valid token.
    pub(crate) token_by: Time,
}

impl Request {
    /// Returns a grant of this request in the form that its cell's owner needs.
    pub(crate) fn held(&self, granted: &Granted) -> HeldGrant {
        HeldGrant {
            grant: granted.grant,
            server: granted.server,
            account: self.account.unwrap_or(OPEN_ROUTE_ACCOUNT),
            class: self.head.class,
            tier: self.tier,
            idempotent: self.head.idempotent,
        }
    }

    /// Returns the refusal for a request that gets no backend server: with the reason of highest
    /// precedence, and the shortest retry time, of all cells.
    pub(crate) fn refusal(&self) -> Refusal {
        let mut reason = Reason::NoOwner;
        let mut retry_after = None;
        for ticket in &self.tickets {
            let seen = match ticket.state {
                TicketState::Asked => Reason::NoOwner,
                TicketState::Queued => Reason::Capacity,
                TicketState::Refused { reason, retry_after: span } => {
                    retry_after = Some(retry_after.map_or(span, |least: Duration| least.min(span)));
                    reason
                }
            };
            if precedence(seen) > precedence(reason) {
                reason = seen;
            }
        }
        Refusal { reason, execution: self.execution(), retry_after }
    }

    /// Returns whether the request may have run, as a refusal says it.
    pub(crate) fn execution(&self) -> Execution {
        if self.may_have_run { Execution::Unknown } else { Execution::NotRun }
    }
}

/// The account of all requests on open routes in the queues of cells.
pub(crate) const OPEN_ROUTE_ACCOUNT: AccountId = AccountId(0);

/// Returns the precedence of a cell's reason: that of a cell with servers comes first, then that of
/// a cell without servers, then that of one without an owner.
fn precedence(reason: Reason) -> u8 {
    match reason {
        Reason::Capacity => 2,
        Reason::NoServer => 1,
        _ => 0,
    }
}

/// The grants that this instance holds, by cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldGrants {
    pub(crate) cells: BTreeMap<CellId, CellGrants>,
    /// When the grants are next reported to the cells' owners.
    pub(crate) next_report: Time,
}

/// The grants of one cell that this instance holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellGrants {
    pub(crate) grants: BTreeMap<GrantId, HeldGrant>,
    /// When a grant was last released; without grants, since when there are none.
    pub(crate) empty_since: Time,
}

impl HeldGrants {
    pub(crate) fn add(&mut self, cell: CellId, held: HeldGrant) {
        self.cells.entry(cell).or_default().grants.insert(held.grant, held);
    }

    pub(crate) fn remove(&mut self, now: Time, cell: CellId, grant: GrantId) {
        if let Some(held) = self.cells.get_mut(&cell) {
            held.grants.remove(&grant);
            held.empty_since = now;
        }
    }

    /// Returns the held grants of a cell, in the order of their ids.
    pub(crate) fn of_cell(&self, cell: CellId) -> Vec<HeldGrant> {
        let held = self.cells.get(&cell);
        held.map(|held| held.grants.values().copied().collect()).unwrap_or_default()
    }
}
