//! Typed ids, units and messages that every other crate shares.
//!
//! This crate does no input or output and holds no state. Its parts are:
//!
//! * [`ids`]: `Copy` ids of everything that the configuration names or a process creates,
//! * [`units`]: time and sizes with their units,
//! * [`load`]: what backend servers report of their load,
//! * [`msg`]: the messages that instances send each other,
//! * [`id_sequence`]: numbers for ids that differ between instances and between runs of an instance,
//! * [`outcome`]: how requests and attempts end,
//! * [`timers`]: an index of when things need attention.
//!
//! Import [`prelude`] to get the types that nearly every module needs.

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
