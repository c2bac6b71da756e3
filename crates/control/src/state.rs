//! The reducer.

use model::prelude::*;
use serde_json::Value;

use crate::{Effect, Event, Setup};

/// The control state of an instance.
#[derive(Debug)]
pub struct State {
    setup: Setup,
}

impl State {
    /// Starts with nothing known.
    pub fn new(_now: Time, setup: Setup) -> Self {
        Self { setup }
    }

    /// Takes an event and returns what is to be done.
    pub fn step(&mut self, _now: Time, _event: Event) -> Vec<Effect> {
        Vec::new()
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn next_wake(&self, now: Time) -> Time {
        now + Duration::from_millis(20)
    }

    /// Returns the state in a readable form, without keys.
    pub fn dump(&self, _now: Time) -> Value {
        serde_json::json!({ "instance": self.setup.name })
    }
}
