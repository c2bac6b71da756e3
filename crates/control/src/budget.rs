//! The retry budget.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// The most retries that the budget holds; it starts with as many.
const MAX_RETRIES: f64 = 20.0;

/// Limits retries to a fraction of the requests, so that a fault of many backend servers does not
/// multiply the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    /// Retries that are left, with fractions.
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { level: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// Adds what an admitted request contributes.
    pub(crate) fn deposit(&mut self) {
        self.level = (self.level + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
