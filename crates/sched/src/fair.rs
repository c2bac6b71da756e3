//! Weighted fair queuing between flows.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// How far a request of average cost advances the virtual time of a flow with weight 1.
pub(crate) const UNIT_COST: u64 = 1 << 20;

/// Idle flows are removed once there are more flows than twice the active ones plus this.
const IDLE_SLACK: usize = 64;

/// The order in which flows are served: deficit round robin expressed as virtual time, so that the
/// flow that received least for its weight is next. An idle flow earns no credit. A flow that
/// received more than its part stays behind by that much when it returns. Each operation takes
/// O(log flows), regardless of the costs.
#[derive(Debug)]
pub(crate) struct FairOrder<K> {
    /// The virtual time that the service has reached.
    virtual_time: u64,
    /// The virtual time of each flow: it grows by the cost of a request divided by the weight, and
    /// a flow that was idle starts from that of the service.
    tags: HashMap<K, u64>,
    /// The flows that have work, by virtual time.
    active: BTreeSet<(u64, K)>,
}

impl<K> Default for FairOrder<K> {
    fn default() -> Self {
        Self { virtual_time: 0, tags: HashMap::new(), active: BTreeSet::new() }
    }
}

impl<K: Copy + Ord + Hash> FairOrder<K> {
    /// Marks a flow as having work; without effect if it had work already.
    pub(crate) fn activate(&mut self, flow: K) {
        let charged = self.tags.get(&flow).copied().unwrap_or(0);
        if self.active.contains(&(charged, flow)) {
            return;
        }
        let tag = charged.max(self.virtual_time);
        self.tags.insert(flow, tag);
        self.active.insert((tag, flow));
    }

    /// Returns the flow that is next.
    pub(crate) fn next(&self) -> Option<K> {
        self.active.first().map(|&(_, flow)| flow)
    }

    /// Charges a flow for one request of `cost`, in parts of [`UNIT_COST`]. Without effect on a
    /// flow that has no work.
    pub(crate) fn charge(&mut self, flow: K, cost: u64, weight: u32) {
        let Some(tag) = self.tags.get_mut(&flow) else { return };
        if !self.active.remove(&(*tag, flow)) {
            return;
        }
        let first = self.active.first().map_or(*tag, |&(first, _)| first.min(*tag));
        self.virtual_time = self.virtual_time.max(first);
        *tag += (cost / u64::from(weight.max(1))).max(1);
        self.active.insert((*tag, flow));
    }

    /// Marks a flow as having no more work.
    pub(crate) fn deactivate(&mut self, flow: K) {
        let Some(&tag) = self.tags.get(&flow) else { return };
        self.active.remove(&(tag, flow));
        if tag <= self.virtual_time {
            self.tags.remove(&flow);
        }
        self.remove_idle();
    }

    /// Returns the number of flows that have work.
    pub(crate) fn len(&self) -> usize {
        self.active.len()
    }

    fn remove_idle(&mut self) {
        if self.tags.len() <= 2 * self.active.len() + IDLE_SLACK {
            return;
        }
        let (virtual_time, active) = (self.virtual_time, &self.active);
        self.tags.retain(|&flow, &mut tag| tag > virtual_time || active.contains(&(tag, flow)));
    }
}
