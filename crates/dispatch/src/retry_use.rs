//! What was done with a retry budget.

/// What was done with a retry budget in some time.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct RetryUse {
    /// Retries that were sent.
    pub sent: u32,
    /// Reserved retries for which this instance's requests alone would not have sufficed.
    pub from_slack: u32,
    /// Retries for which nothing was left.
    pub denied: u32,
}

impl RetryUse {
    /// Returns whether no retry was asked for or sent.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
