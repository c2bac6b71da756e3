//! Retry budgets.

use std::collections::VecDeque;

use model::prelude::*;

use crate::{Bounds, RetryUse, Share};

/// The number of steps into which a window is divided. A window can begin within a step. The steps
/// at both its ends then count in full for the retries and not at all for the requests, which
/// leaves a fortieth of the budget unused.
const STEPS: usize = 40;
/// The number of steps that are kept: those of the windows that a retry can lie in, and those of
/// the window before.
const KEPT_STEPS: usize = 2 * STEPS + 1;

/// The retry budget of a pool: a ratio of this instance's own requests, and its share of the
/// fleet's slack.
///
/// The fleet may retry in each window as many requests as the ratio allows for those of that window,
/// of the one that begins half a window earlier, or of the one before it, whichever has the most. An
/// instance takes half of the ratio for its requests in that window, and half for those in the one before
/// it. So the parts of all instances add up to no more than the budget, however requests move between
/// instances, and an instance that gets all requests may use half of it at any time. If each took
/// the window in which it had the most requests, they would add up to more.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// The latest steps in order of time, without gaps.
    steps: VecDeque<Step>,
    /// The number of the last step, counted from the clock's zero.
    last: u64,
    /// Retries that are reserved and not sent yet. They count in every window, as it is unknown
    /// when they will be sent.
    reserved: u32,
    /// What was done since [`RetryBudget::take_use`].
    used: RetryUse,
}

#[derive(Clone, Copy, Default, Debug)]
struct Step {
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn request(&mut self, now: Time, bounds: &Bounds) {
        self.step(now, bounds).requests += 1;
    }

    /// Reserves a retry. Returns `false` if the budget has none left. Each reserved retry must be
    /// spent or released.
    pub fn reserve(&mut self, now: Time, bounds: &Bounds, share: &Share) -> bool {
        let slack = share.fraction(now, bounds.retry_slack, bounds.retry_window);
        let needed = self.slack_needed(now, bounds);
        if needed > slack {
            self.used.denied += 1;
            return false;
        }
        self.used.from_slack += u32::from(needed > 0.0);
        self.reserved += 1;
        true
    }
    /// Returns how much of the slack one more retry takes in the window that has the least left, 0
    /// if the requests pay for all of its retries.
    fn slack_needed(&mut self, now: Time, bounds: &Bounds) -> f64 {
        self.step(now, bounds);
        // For each step, the number of requests in all steps before it.
        let mut before = [0; KEPT_STEPS + 1];
        for (no, step) in self.steps.iter().enumerate() {
            before[no + 1] = before[no] + step.requests;
        }
        let mut retries = self.reserved + 1;
        let mut needed: f64 = 0.0;
        // Check each window in which the retry may lie, by the step in which it begins.
        for first in (KEPT_STEPS - 1 - STEPS..KEPT_STEPS).rev() {
            retries += self.steps[first].retries;
            let (start, end) = (first + 1, first + STEPS);
            let requests =
                [0, STEPS].map(|back| before[(end - back).min(KEPT_STEPS)] - before[start - back]);
            let paid = f64::from(requests[0] + requests[1]) / 2.0 * bounds.retry_ratio;
            needed = needed.max(f64::from(retries) - paid);
        }
        needed
    }

    /// Counts a reserved retry as sent now.
    pub fn spend(&mut self, now: Time, bounds: &Bounds) {
        self.release();
        self.used.sent += 1;
        self.step(now, bounds).retries += 1;
    }

    /// Returns what was done since the last call.
    pub fn take_use(&mut self) -> RetryUse {
        std::mem::take(&mut self.used)
    }

    /// Returns a reserved retry to the budget, as it is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns the step of `now`, after dropping steps that are too old.
    fn step(&mut self, now: Time, bounds: &Bounds) -> &mut Step {
        let width = (bounds.retry_window.as_nanos() / STEPS as u128).max(1);
        let number =
            u64::try_from(now.since(Time::from_millis(0)).as_nanos() / width).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.last);
        self.last = number.max(self.last);
        self.steps.resize(KEPT_STEPS, Step::default());
        for _ in 0..passed.min(KEPT_STEPS as u64) {
            self.steps.pop_front();
            self.steps.push_back(Step::default());
        }
        &mut self.steps[KEPT_STEPS - 1]
    }
}
