//! Availability zones.

use config::ZoneState;

/// An availability zone, which can be evacuated as a whole.
#[derive(Clone, Debug)]
#[must_use]
pub struct Zone(config::Zone);

impl Zone {
    /// Declares a zone in the state [`ZoneState::In`].
    pub fn new(name: impl Into<String>) -> Self {
        Self(config::Zone { name: name.into(), state: ZoneState::In })
    }

    /// Sets whether the zone is in use.
    pub fn state(mut self, state: ZoneState) -> Self {
        self.0.state = state;
        self
    }

    pub(crate) fn into_config(self) -> config::Zone {
        self.0
    }
}
