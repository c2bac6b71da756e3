//! Classes of requests.

use std::time::Duration;

use crate::millis;

/// A class of requests.
#[derive(Clone, Debug)]
#[must_use]
pub struct Class(config::Class);

impl Class {
    /// Declares a class of tier 0. [`Self::target`] must be set.
    pub fn new(name: impl Into<String>) -> Self {
        Self(config::Class { name: name.into(), tier: 0, target_ms: 0, max_wait_ms: None })
    }

    /// Sets the tier: requests of tier 0 are served first.
    pub fn tier(mut self, tier: u8) -> Self {
        self.0.tier = tier;
        self
    }

    /// Sets the target for the time from a request's arrival to the first byte of its response.
    pub fn target(mut self, target: Duration) -> Self {
        self.0.target_ms = millis(target);
        self
    }

    /// Sets how long a request may wait for its account's rate and for a backend server. The
    /// default is the target.
    pub fn max_wait(mut self, span: Duration) -> Self {
        self.0.max_wait_ms = Some(millis(span));
        self
    }

    pub(crate) fn into_config(self) -> config::Class {
        self.0
    }
}
