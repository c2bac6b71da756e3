//! A cell with a simulated clock, and helpers that build, send and read its messages.

use config::Policy;
use model::{
    load::LoadReport,
    msg::{Acquire, CellMsg, HeldGrant},
    prelude::*,
};
use sched::{Cell, CellStart, OutgoingMsgs, ServerConfig};

pub const CELL: CellId = CellId { pool: PoolId(1), zone: ZoneId(1) };
pub const WAIT: Duration = Duration::from_secs(10);

pub struct Bench {
    pub cell: Cell,
    pub now: Time,
    pub tickets: u64,
}

/// A grant that a request received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Granted {
    pub ticket: TicketId,
    pub grant: GrantId,
    pub server: ServerId,
}

pub fn peer(n: u64) -> Peer {
    Peer { instance: InstanceId(n), incarnation: Incarnation(1) }
}

pub fn server(id: u64, limit: u32, cold_limit: u32) -> ServerConfig {
    ServerConfig { id: ServerId(id), limit, cold_limit, open: true }
}

pub fn report(incarnation: u64, cold: bool) -> LoadReport {
    LoadReport { incarnation, running: 0, queued: 0, cold }
}

pub fn completed(millis: u64) -> AttemptEnd {
    let total = Duration::from_millis(millis);
    AttemptEnd::Completed { first_byte: total, total, tokens: 1 }
}

/// An idempotent request of an account, in the class whose id is the number of the tier.
pub fn request(tier: u8, account: u64) -> Acquire {
    Acquire {
        ticket: TicketId(0),
        cell: CELL,
        account: AccountId(account),
        class: ClassId(u64::from(tier)),
        tier: Tier(tier),
        wait: WAIT,
        prefix: PrefixHash(0),
        idempotent: true,
        avoid: Vec::new(),
    }
}

pub fn held(grant: u64, server: u64) -> HeldGrant {
    HeldGrant {
        grant: GrantId(grant),
        server: ServerId(server),
        account: AccountId(1),
        class: ClassId(1),
        tier: Tier(1),
        idempotent: true,
    }
}

pub fn grants(replies: &OutgoingMsgs) -> Vec<Granted> {
    let grant = |msg: &CellMsg| match *msg {
        CellMsg::Grant { ticket, grant, server, .. } => Some(Granted { ticket, grant, server }),
        _ => None,
    };
    replies.iter().filter_map(|reply| grant(&reply.msg)).collect()
}

pub fn refused(replies: &OutgoingMsgs) -> Vec<(TicketId, Reason)> {
    let refusal = |msg: &CellMsg| match *msg {
        CellMsg::Refuse { ticket, reason, .. } => Some((ticket, reason)),
        _ => None,
    };
    replies.iter().filter_map(|reply| refusal(&reply.msg)).collect()
}

pub fn preempted(replies: &OutgoingMsgs) -> Vec<GrantId> {
    let preemption = |msg: &CellMsg| match *msg {
        CellMsg::Preempt { grant, .. } => Some(grant),
        _ => None,
    };
    replies.iter().filter_map(|reply| preemption(&reply.msg)).collect()
}

impl Bench {
    /// A cell with cold servers that may give grants, and a short queue.
    pub fn new(policy: Policy, configs: &[ServerConfig]) -> Self {
        let now = Time::from_millis(1_000);
        let mut cell = Cell::new(now, CELL, policy, CellStart::Fresh).queue_limit(20);
        cell.reclaim_from(now, []);
        cell.set_servers(now, configs.iter().copied());
        Self { cell, now, tickets: 0 }
    }

    /// Like [`Self::new`], with one warm server that may run `limit` attempts.
    pub fn warm(policy: Policy, limit: u32) -> Self {
        let mut bench = Self::new(policy, &[server(1, limit, limit)]);
        bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
        bench
    }

    pub fn advance(&mut self, millis: u64) -> OutgoingMsgs {
        self.now = self.now + Duration::from_millis(millis);
        self.cell.tick(self.now)
    }

    pub fn acquire(&mut self, req: Acquire) -> (TicketId, OutgoingMsgs) {
        self.tickets += 1;
        let ticket = TicketId(self.tickets);
        let msg = CellMsg::Acquire(Acquire { ticket, ..req });
        (ticket, self.cell.handle(self.now, peer(1), &msg))
    }

    /// Sends a request and asserts that it is granted at once.
    pub fn acquire_granted(&mut self, req: Acquire) -> Granted {
        let (ticket, replies) = self.acquire(req);
        let granted = grants(&replies);
        assert_eq!(granted.len(), 1, "{replies:?}");
        assert_eq!(granted[0].ticket, ticket);
        granted[0]
    }

    pub fn release(&mut self, granted: Granted, end: AttemptEnd, cold: bool) -> OutgoingMsgs {
        let (grant, server) = (granted.grant, granted.server);
        let msg = CellMsg::Release { cell: CELL, grant, server, end, cold };
        self.cell.handle(self.now, peer(1), &msg)
    }

    /// Completes `count` requests one after the other, each in `millis`.
    pub fn complete(&mut self, count: u32, req: &Acquire, millis: u64) {
        for _ in 0..count {
            let granted = self.acquire_granted(req.clone());
            self.release(granted, completed(millis), false);
        }
    }

    pub fn held(&mut self, from: Peer, grants: Vec<HeldGrant>) -> OutgoingMsgs {
        self.cell.handle(self.now, from, &CellMsg::Held { cell: CELL, grants })
    }

    /// Sends requests until one is not granted; returns how many were granted.
    pub fn fill(&mut self, req: &Acquire) -> usize {
        let mut count = 0;
        loop {
            let (ticket, replies) = self.acquire(req.clone());
            if grants(&replies).is_empty() {
                let msg = CellMsg::Cancel { ticket, cell: CELL };
                self.cell.handle(self.now, peer(1), &msg);
                return count;
            }
            count += 1;
        }
    }
}
