//! Scheduling of one cell: which waiting request gets which backend server.
//!
//! A cell is the backend servers of one pool in one availability zone. One instance owns it at a
//! time and decides for the requests of all instances, so that tiers and fairness between client
//! accounts hold across the fleet. Nothing here uses sockets or reads a clock: callers pass the
//! time.
//!
//! [`Cell`] handles messages and load reports, and returns messages. Its modules:
//!
//! * `queue`: the waiting requests by tier, client account and class, with weighted fair queuing
//!   from `fair`,
//! * `starvation`: the minimum rate of dispatches to each class,
//! * `server` and `servers`: cold start, ejection, load, and the choice of a backend server,
//! * `reachability`: which backend servers are down,
//! * `grants`: which instance holds the right to which attempt,
//! * `forecast`: service times and output lengths learned from completed attempts,
//! * `prefix`: which server ran a prompt prefix last,
//! * `recent`: a bounded map whose entries expire.

mod cell;
mod dump;
mod fair;
mod forecast;
mod grants;
mod prefix;
mod queue;
mod reachability;
mod recent;
mod server;
mod servers;
mod start;
mod starvation;

pub use cell::{
    Cell, HOLDER_TIMEOUT, QUEUE_LIMIT, RECLAIM_TIMEOUT, START_WITHIN, UNLISTED_GRANT_GRACE,
};
pub use dump::{CellDump, ServerDump, TierDump};
pub use server::EVIDENCE_MAX_AGE;
pub use start::{CellStart, ServerConfig};
pub use starvation::{STARVATION_WINDOW, STARVING_DISPATCH_INTERVAL};

/// Messages that a cell sends.
pub type OutgoingMsgs = Vec<model::msg::OutgoingMsg<model::msg::CellMsg>>;
