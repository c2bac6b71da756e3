//! Limits that shrink at once and grow later.

use std::collections::VecDeque;

use model::prelude::*;

use crate::ShareSpec;

/// The limits of a share over time.
///
/// Another instance may still use limits of an older configuration. Limits that shrink at once,
/// and grow only after every instance has heard of the change, never sum up to more than one of
/// the two configurations allows.
#[derive(Clone, Debug)]
pub(crate) struct Growth {
    now: ShareSpec,
    later: VecDeque<Later>,
}

#[derive(Clone, Copy, Debug)]
struct Later {
    at: Time,
    spec: ShareSpec,
}

impl Growth {
    pub(crate) fn new(spec: ShareSpec) -> Self {
        Self { now: spec, later: VecDeque::new() }
    }

    pub(crate) fn spec(&self) -> ShareSpec {
        self.now
    }

    /// Sets new limits; what grows does so at `grow_at`, which must not lie before earlier ones.
    pub(crate) fn set(&mut self, spec: ShareSpec, grow_at: Time) {
        let latest = self.later.back().map_or(self.now, |it| it.spec);
        if latest == spec {
            return;
        }
        self.now = self.now.min(spec);
        for later in &mut self.later {
            later.spec = later.spec.min(spec);
        }
        self.later.push_back(Later { at: grow_at, spec });
    }

    /// Returns when the limits grow next.
    pub(crate) fn next_change(&self) -> Option<Time> {
        self.later.front().map(|it| it.at)
    }

    /// Lets grow what is due.
    pub(crate) fn advance(&mut self, now: Time) {
        while let Some(later) = self.later.pop_front_if(|it| it.at <= now) {
            self.now = later.spec;
        }
    }
}
