//! Weighted fairness between flows.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// What a request of ordinary cost adds to the tag of a flow with weight 1.
pub(crate) const UNIT_COST: u64 = 1 << 20;

/// Idle flows that are remembered beyond twice the active ones before a clean-up.
const IDLE_SLACK: usize = 64;

/// Deficit round robin in the form of virtual time: the flow that got least for its weight is
/// next. A flow that was idle gets no credit for it, and one that got more than its part still
/// owes that when it comes back. Each operation costs O(log flows), also where costs differ.
#[derive(Debug)]
pub(crate) struct Fair<K> {
    clock: u64,
    tags: HashMap<K, u64>,
    active: BTreeSet<(u64, K)>,
}

impl<K> Default for Fair<K> {
    fn default() -> Self {
        Self { clock: 0, tags: HashMap::new(), active: BTreeSet::new() }
    }
}

impl<K: Copy + Ord + Hash> Fair<K> {
    /// Adds a flow that has work; nothing changes if it had work already.
    pub(crate) fn activate(&mut self, flow: K) {
        let owed = self.tags.get(&flow).copied().unwrap_or(0);
        if self.active.contains(&(owed, flow)) {
            return;
        }
        let tag = owed.max(self.clock);
        self.tags.insert(flow, tag);
        self.active.insert((tag, flow));
    }

    /// Returns the flow that is next.
    pub(crate) fn next(&self) -> Option<K> {
        self.active.first().map(|&(_, flow)| flow)
    }

    /// Charges an active flow for one piece of work.
    pub(crate) fn charge(&mut self, flow: K, cost: u64, weight: u32) {
        let Some(tag) = self.tags.get_mut(&flow) else { return };
        if !self.active.remove(&(*tag, flow)) {
            return;
        }
        let first = self.active.first().map_or(*tag, |&(first, _)| first.min(*tag));
        self.clock = self.clock.max(first);
        *tag += (cost / u64::from(weight.max(1))).max(1);
        self.active.insert((*tag, flow));
    }

    /// Removes a flow that has no more work.
    pub(crate) fn deactivate(&mut self, flow: K) {
        let Some(&tag) = self.tags.get(&flow) else { return };
        self.active.remove(&(tag, flow));
        if tag <= self.clock {
            self.tags.remove(&flow);
        }
        self.forget_idle();
    }

    /// Returns the number of flows that have work.
    pub(crate) fn len(&self) -> usize {
        self.active.len()
    }

    fn forget_idle(&mut self) {
        if self.tags.len() <= 2 * self.active.len() + IDLE_SLACK {
            return;
        }
        let (clock, active) = (self.clock, &self.active);
        self.tags.retain(|&flow, &mut tag| tag > clock || active.contains(&(tag, flow)));
    }
}
