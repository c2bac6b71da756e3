//! The retry budget of a pool.

use std::collections::VecDeque;

use model::prelude::*;

use crate::{Bounds, Share};

/// Steps into which a window is cut.
const STEPS: u32 = 20;

/// The retry budget of a pool: this instance's own requests times a ratio, and its part of the
/// fleet's slack. Over every window the retries of all instances together keep to the sum.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    steps: VecDeque<Step>,
    /// Retries that were reserved and not sent yet; they count in every window.
    reserved: u32,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    start: Time,
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
        // Steps that began within the window lie in it whole. Retries count for longer: they arrive
        // later than they are sent, which may be in a later window.
        let inside = self.steps.iter().filter(|it| now.since(it.start) < bounds.retry_window);
        let requests: u32 = inside.map(|it| it.requests).sum();
        let retries: u32 = self.steps.iter().map(|it| it.retries).sum();
        let allowed = f64::from(requests) * bounds.retry_ratio + share.of(bounds.retry_slack);
        if f64::from(retries + self.reserved + 1) > allowed {
            return false;
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
        let width = bounds.retry_window / STEPS;
        while self.steps.front().is_some_and(|it| now.since(it.start) > bounds.retry_window + width)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|it| now.since(it.start) >= width) {
            self.steps.push_back(Step { start: now, requests: 0, retries: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
