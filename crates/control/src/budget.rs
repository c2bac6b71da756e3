//! The retry budget.

/// Retries that each request adds to the budget.
const SHARE: f64 = 0.2;

/// The most retries that the budget holds.
const MAX: f64 = 20.0;

/// Bounds retries to a part of the requests, so that a fault of many backend servers does not
/// multiply the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: MAX }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub(crate) fn deposit(&mut self) {
        self.level = (self.level + SHARE).min(MAX);
    }

    /// Takes a retry from the budget, if there is one.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
