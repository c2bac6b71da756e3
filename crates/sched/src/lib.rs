//! Scheduling of one cell: which waiting request gets which backend server.
//!
//! A cell is the backend servers of one pool in one availability zone. One instance owns it at a
//! time and decides for the requests of all instances, so that tiers and fairness between client
//! accounts hold across the fleet. Nothing here uses sockets or clocks.
//!
//! * [`Cell`]: takes messages and load reports, returns messages. It is made of:
//! * `queue`: the waiting requests by tier, client account and class, over `fair`,
//! * `starvation`: the share of dispatches that no class falls below,
//! * `server` and `servers`: cold start, ejection, load, and the choice of a backend server,
//! * `reach`: which backend servers are down,
//! * `grants`: which instance holds the right to which attempt,
//! * `forecast`: learned service times and output lengths, and expected waits,
//! * `prefix` and `recent`: bounded memories.

mod cell;
mod dump;
mod fair;
mod forecast;
mod grants;
mod prefix;
mod queue;
mod reach;
mod recent;
mod server;
mod servers;
mod start;
mod starvation;

pub use cell::{Cell, HELD_GRACE, HOLDER_SILENCE, QUEUE_LIMIT, RECLAIM_WAIT, START_WITHIN};
pub use dump::{CellDump, ServerDump, TierDump};
pub use server::EVIDENCE_WINDOW;
pub use start::{CellStart, ServerConfig};
pub use starvation::{MIN_SHARE, STARVATION_WINDOW};

/// Messages that a cell sends.
pub type Replies = Vec<model::msg::Reply<model::msg::CellMsg>>;
