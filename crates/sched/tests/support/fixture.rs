//! A cell with a clock and a shorthand for each message.

use config::Policy;
use model::{
    load::LoadReport,
    msg::{Acquire, CellMsg, HeldGrant},
    prelude::*,
};
use sched::{Cell, CellStart, Replies, ServerConfig};

pub const CELL: CellId = CellId { pool: PoolId(1), zone: ZoneId(1) };
pub const WAIT: Duration = Duration::from_secs(10);

pub struct Bench {
    pub cell: Cell,
    pub now: Time,
    pub tickets: u64,
}

/// What a request asked for and, if it has one, its grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Granted {
    pub ticket: TicketId,
    pub grant: GrantId,
    pub server: ServerId,
}

pub fn peer(n: u64) -> Peer {
    Peer { instance: InstanceId(n), incarnation: Incarnation(1) }
}

pub fn plan(id: u64, limit: u32, cold_limit: u32) -> ServerConfig {
    ServerConfig { id: ServerId(id), limit, cold_limit, open: true }
}

pub fn report(incarnation: u64, cold: bool) -> LoadReport {
    LoadReport { incarnation, running: 0, queued: 0, cold }
}

pub fn completed(millis: u64) -> AttemptEnd {
    let total = Duration::from_millis(millis);
    AttemptEnd::Completed { first_byte: total, total, tokens: 1 }
}

/// A request of an account in the class that has the number of its tier.
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

pub fn grants(replies: &Replies) -> Vec<Granted> {
    let grant = |msg: &CellMsg| match *msg {
        CellMsg::Grant { ticket, grant, server, .. } => Some(Granted { ticket, grant, server }),
        _ => None,
    };
    replies.iter().filter_map(|it| grant(&it.msg)).collect()
}

pub fn refused(replies: &Replies) -> Vec<(TicketId, Reason)> {
    let refusal = |msg: &CellMsg| match *msg {
        CellMsg::Refuse { ticket, reason, .. } => Some((ticket, reason)),
        _ => None,
    };
    replies.iter().filter_map(|it| refusal(&it.msg)).collect()
}

pub fn preempted(replies: &Replies) -> Vec<GrantId> {
    let preemption = |msg: &CellMsg| match *msg {
        CellMsg::Preempt { grant, .. } => Some(grant),
        _ => None,
    };
    replies.iter().filter_map(|it| preemption(&it.msg)).collect()
}

impl Bench {
    /// A cell whose reclaim is over, with cold servers.
    pub fn new(policy: Policy, plans: &[ServerConfig]) -> Self {
        let now = Time::from_millis(1_000);
        let mut cell = Cell::new(now, CELL, policy, CellStart::Fresh).queue_limit(20);
        cell.reclaim_from(now, []);
        cell.set_servers(now, plans.iter().copied());
        Self { cell, now, tickets: 0 }
    }

    /// As [`Self::new`], with one server that is warm and may run `limit` attempts.
    pub fn warm(policy: Policy, limit: u32) -> Self {
        let mut bench = Self::new(policy, &[plan(1, limit, limit)]);
        bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
        bench
    }

    pub fn pass(&mut self, millis: u64) -> Replies {
        self.now = self.now + Duration::from_millis(millis);
        self.cell.tick(self.now)
    }

    pub fn acquire(&mut self, req: Acquire) -> (TicketId, Replies) {
        self.tickets += 1;
        let ticket = TicketId(self.tickets);
        let msg = CellMsg::Acquire(Acquire { ticket, ..req });
        (ticket, self.cell.handle(self.now, peer(1), &msg))
    }

    /// Asks for a server that must be free.
    pub fn run(&mut self, req: Acquire) -> Granted {
        let (ticket, replies) = self.acquire(req);
        let granted = grants(&replies);
        assert_eq!(granted.len(), 1, "{replies:?}");
        assert_eq!(granted[0].ticket, ticket);
        granted[0]
    }

    pub fn release(&mut self, it: Granted, end: AttemptEnd, cold: bool) -> Replies {
        let (grant, server) = (it.grant, it.server);
        let msg = CellMsg::Release { cell: CELL, grant, server, end, cold };
        self.cell.handle(self.now, peer(1), &msg)
    }

    /// Runs requests one after the other to their end.
    pub fn complete(&mut self, count: u32, req: &Acquire, millis: u64) {
        for _ in 0..count {
            let granted = self.run(req.clone());
            self.release(granted, completed(millis), false);
        }
    }

    pub fn held(&mut self, from: Peer, grants: Vec<HeldGrant>) -> Replies {
        self.cell.handle(self.now, from, &CellMsg::Held { cell: CELL, grants })
    }

    /// Asks until no server is free; returns how many were granted.
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
