//! Expected queueing delays.

use model::prelude::*;

use super::{Cell, QUEUE_CHECK_INTERVAL};
use crate::queue::{Position, Waiter};

/// A request is refused on arrival if this part of its expected queueing delay already exceeds its
/// longest allowed one. The margin allows for an estimate that is too high.
const REFUSE_MARGIN: f64 = 0.5;

impl Cell {
    /// Returns whether a request would almost certainly expire in the queue. False while a lower
    /// tier has a waiting request or a grant, which could be shed or preempted for it.
    pub(super) fn cannot_start_in_time(&self, now: Time, waiter: &Waiter) -> bool {
        if !self.is_tiered() || self.reclaim.is_some() {
            return false;
        }
        let tier = waiter.position.tier;
        if self.queue.lowest_tier().is_some_and(|lowest| tier.is_above(lowest)) {
            return false;
        }
        if self.grants.lowest_tier().is_some_and(|lowest| tier.is_above(lowest)) {
            return false;
        }
        let wait = self.expected_wait(now, waiter, true);
        wait.is_some_and(|wait| wait.mul_f64(REFUSE_MARGIN) > waiter.req.wait)
    }

    /// Returns how long a request will wait for those of its own and higher tiers; none while a
    /// service time is unknown. With `low`, the estimate assumes that the others are short.
    pub(super) fn expected_wait(&self, now: Time, waiter: &Waiter, low: bool) -> Option<Duration> {
        let position = waiter.position;
        let service = |class| match low {
            true => self.forecast.short_service_time(class),
            false => self.forecast.service_time(class),
        };
        let mut work = if low { Duration::ZERO } else { self.forecast.overall_service_time()? };
        let mut own_tier = (Duration::ZERO, 0);
        for class in
            self.queue.waiting_classes().filter(|class| !position.tier.is_above(class.tier))
        {
            let count = u32::try_from(self.queue.class_len(class)).unwrap_or(u32::MAX);
            let span = service(class.class)?.saturating_mul(count);
            if class.tier == position.tier {
                own_tier = (own_tier.0 + span, own_tier.1 + count);
            } else {
                work += span;
            }
        }
        let slots = self.servers.slots(now).max(1);
        Some((work + self.own_tier_work(position, own_tier)) / slots)
    }

    /// Returns the part of a tier's work that is served before the next request of an account;
    /// `span` and `count` are the service time and the number of the tier's waiting requests.
    /// Accounts take turns, so that one with few requests does not wait for one with many.
    pub(super) fn own_tier_work(
        &self,
        position: Position,
        (span, count): (Duration, u32),
    ) -> Duration {
        let own = self.queue.account_len(position.tier, position.account) + 1;
        let turns = own * self.queue.accounts(position.tier);
        if turns >= count as usize {
            return span;
        }
        span.mul_f64(turns as f64 / f64::from(count.max(1)))
    }

    /// Returns the time in which all waiting requests will be served, at least
    /// [`QUEUE_CHECK_INTERVAL`]; none while a service time is unknown.
    pub(super) fn drain_time(&self, now: Time) -> Option<Duration> {
        let mut work = Duration::ZERO;
        for class in self.queue.waiting_classes() {
            let count = u32::try_from(self.queue.class_len(class)).unwrap_or(u32::MAX);
            work += self.forecast.service_time(class.class)?.saturating_mul(count);
        }
        Some((work / self.servers.slots(now).max(1)).max(QUEUE_CHECK_INTERVAL))
    }
}
