//! Typed ids, units and messages that the other crates share.
//!
//! This crate does no I/O and has no global state. Its modules are:
//!
//! * [`ids`]: `Copy` ids of what the configuration names and of what processes create,
//! * [`units`]: time, tiers and document versions,
//! * [`load`]: the load that backend servers report,
//! * [`msg`]: the messages between instances,
//! * [`id_sequence`]: generates ids that differ between instances and between their incarnations,
//! * [`outcome`]: how requests and attempts end,
//! * [`timers`]: the time at which each of many keys is due.
//!
//! [`prelude`] exports the types that nearly every module needs.

pub mod id_sequence;
pub mod ids;
pub mod load;
pub mod msg;
pub mod outcome;
pub mod timers;
pub mod units;

/// The types that nearly every module needs.
pub mod prelude {
    pub use std::time::Duration;

    pub use crate::{
        ids::{
            AccountId, AskId, CellId, ClassId, GrantId, IdempotencyId, Incarnation, InstanceId,
            KeyHash, LeaseId, Nonce, Peer, PoolId, PrefixHash, RequestId, RequestNo, RouteId,
            ServerId, ShareId, TicketId, ZoneId,
        },
        load::{LoadError, LoadReport},
        msg::{Msg, OutgoingMsg},
        outcome::{AttemptEnd, Execution, Reason, Refusal},
        units::{Tier, Time, Version},
    };
}
