//! Limits that shrink at once and grow later.

use std::collections::VecDeque;

use model::prelude::*;

use crate::ShareSpec;

/// The current limits of a share, and the ones that replace them later.
///
/// Other instances may still apply the limits of an older configuration. If every instance lowers
/// limits at once and raises them only after all instances have the new configuration, the sum
/// over all instances is within one of the two configurations at any time.
#[derive(Clone, Debug)]
pub(crate) struct StagedLimits {
    current: ShareSpec,
    /// In the order in which they take effect.
    pending: VecDeque<Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    at: Time,
    spec: ShareSpec,
}

impl StagedLimits {
    pub(crate) fn new(spec: ShareSpec) -> Self {
        Self { current: spec, pending: VecDeque::new() }
    }

    pub(crate) fn spec(&self) -> ShareSpec {
        self.current
    }

    /// Sets new limits. Those that are lower apply at once, the others from `grow_at` on, which
    /// must not be earlier than in previous calls.
    pub(crate) fn set(&mut self, spec: ShareSpec, grow_at: Time) {
        let latest = self.pending.back().map_or(self.current, |pending| pending.spec);
        if latest == spec {
            return;
        }
        self.current = self.current.min(spec);
        for pending in &mut self.pending {
            pending.spec = pending.spec.min(spec);
        }
        self.pending.push_back(Pending { at: grow_at, spec });
    }

    /// Returns when limits are next raised.
    pub(crate) fn next_change(&self) -> Option<Time> {
        self.pending.front().map(|pending| pending.at)
    }

    /// Applies the limits that are due.
    pub(crate) fn advance(&mut self, now: Time) {
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.at <= now) {
            self.current = pending.spec;
        }
    }
}
