//! Every decision of an instance of the edge program: which request waits, goes where, is retried
//! or refused.
//!
//! [`State::step`] takes an event at a time and returns effects; it has no sockets and no clock.
//! Nothing is asked of other instances. What counts across the fleet is divided into parts that
//! add up whatever the others do: see [`Share`], [`RetryBudget`] and [`ColdGate`].

mod admission;
mod attempt;
mod budget;
mod catalog;
mod choice;
mod cold;
mod demand;
mod effect;
mod event;
mod fleet;
mod freshness;
mod health;
mod outcome;
mod placement;
mod prefix;
mod prompt;
mod queue;
mod rank;
mod request;
mod route;
mod server;
mod servers;
mod settings;
mod share;
mod state;

pub use attempt::{Attempt, AttemptEnd};
pub use budget::RetryBudget;
pub use catalog::{Account, Accounts, CallerLimits, Catalog, Engine, Pool};
pub use choice::{Candidate, Estimate, Home};
pub use cold::ColdGate;
pub use demand::LiveDemand;
pub use effect::{Command, Effect, LogEntry};
pub use event::{Event, NewRequest, ServerChange};
pub use freshness::Freshness;
pub use prefix::Prefixes;
pub use prompt::{Part, Prompt};
pub use rank::Rank;
pub use request::RequestKey;
pub use route::{Repeat, Route, Routed, Target};
pub use server::{Server, ServerEntry, ServerKey};
pub use settings::{Bounds, Setup};
pub use share::Share;
pub use state::State;
