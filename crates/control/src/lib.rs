//! The control state of an instance: one reducer over all events, with effects as data.
//!
//! [`Event`] says what happened, [`Effect`] what is to be done. Neither sockets nor clocks are
//! used here: the daemon turns input into events and effects into output.

mod budget;
mod dump;
mod duties;
mod effect;
mod entry;
mod event;
mod fleet;
mod orders;
mod request;
mod setup;
mod state;
mod waiting;

pub use effect::{Effect, LogEntry, Metric, RequestCommand, RunCommand};
pub use event::{Event, Idempotency, LoadError, LoadReport, RequestHead};
pub use setup::Setup;
pub use state::State;
