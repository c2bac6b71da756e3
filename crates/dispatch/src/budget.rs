//! The retry budget of a pool.

use std::collections::VecDeque;

use model::prelude::*;

use crate::{Bounds, Share};

/// Steps into which a window is cut. What lies in the steps at both ends of a window counts as a
/// retry, but not as a request: a fortieth of the budget is left unused.
const STEPS: usize = 40;
/// Steps that are kept: the window before the oldest one that still gets retries.
const KEPT_STEPS: usize = 2 * STEPS + 1;

/// The retry budget of a pool: this instance's own requests times a ratio, and its part of the
/// fleet's slack. Over every window the retries of all instances together keep to the sum, where
/// the requests are those of that window, the one before it or the one half a window before it.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// The latest last; each follows the one before it without a gap.
    steps: VecDeque<Step>,
    /// The number of the last step since the clock's zero.
    last: u64,
    /// Retries that were reserved and not sent yet; they count in every window.
    reserved: u32,
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

    /// Reserves a retry; `false` if there is none left.
    pub fn reserve(&mut self, now: Time, bounds: &Bounds, share: &Share) -> bool {
        self.step(now, bounds);
        let slack = share.of(bounds.retry_slack);
        // The requests before each step.
        let mut before = [0; KEPT_STEPS + 1];
        for (no, step) in self.steps.iter().enumerate() {
            before[no + 1] = before[no] + step.requests;
        }
        let mut retries = self.reserved + 1;
        // For each window that the retry may lie in, by the step in which the window begins.
        for first in (KEPT_STEPS - 1 - STEPS..KEPT_STEPS).rev() {
            retries += self.steps[first].retries;
            let (start, end) = (first + 1, first + STEPS);
            let requests = [0, STEPS / 2, STEPS]
                .map(|it| before[(end - it).min(KEPT_STEPS)] - before[start - it]);
            let most = requests.into_iter().max().unwrap_or_default();
            if f64::from(retries) > f64::from(most) * bounds.retry_ratio + slack {
                return false;
            }
        }
        self.reserved += 1;
        true
    }

    /// Counts a reserved retry that is sent now.
    pub fn spend(&mut self, now: Time, bounds: &Bounds) {
        self.release();
        self.step(now, bounds).retries += 1;
    }

    /// Gives a reserved retry back that is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns the step that `now` is in.
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
