//! The control state of an instance: one reducer over all events, with effects as data.
//!
//! An [`Event`] says what happened, an [`Effect`] what is to be done. This crate uses neither
//! sockets nor clocks: the daemon turns input into events and carries out the effects.

mod budget;
mod dump;
mod effect;
mod event;
mod fleet;
mod lifecycle;
mod orders;
mod request;
mod setup;
mod shards;
mod state;
mod waiting;

pub use effect::{Effect, LogEntry, Metric, RequestCommand, RunCommand};
pub use event::{Event, Idempotency, LoadError, LoadReport, RequestHead};
pub use setup::Setup;
pub use state::State;
