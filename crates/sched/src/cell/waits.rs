//! Expected waits.

use model::prelude::*;

use super::{CHECK_INTERVAL, Cell};
use crate::queue::{Place, Waiter};

/// A request is refused early only if even this part of its expected wait is too long.
const REFUSE_MARGIN: f64 = 0.5;

impl Cell {
    /// Returns whether a request would surely wait for longer than it may. Nothing is concluded
    /// where lower tiers have something that could be shed or preempted for it instead.
    pub(super) fn is_hopeless(&self, now: Time, waiter: &Waiter) -> bool {
        if !self.is_tiered() || self.reclaim.is_some() {
            return false;
        }
        let tier = waiter.place.tier;
        if self.queue.lowest_tier().is_some_and(|it| tier.is_above(it)) {
            return false;
        }
        if self.grants.lowest_tier().is_some_and(|it| tier.is_above(it)) {
            return false;
        }
        let wait = self.expected_wait(now, waiter, true);
        wait.is_some_and(|it| it.mul_f64(REFUSE_MARGIN) > waiter.req.wait)
    }

    /// Returns how long a request will wait behind those of its own and higher tiers; none where
    /// too little is known. The low estimate takes the others to be short.
    pub(super) fn expected_wait(&self, now: Time, waiter: &Waiter, low: bool) -> Option<Duration> {
        let place = waiter.place;
        let service = |class| match low {
            true => self.forecast.low_service(class),
            false => self.forecast.service(class),
        };
        let mut work = if low { Duration::ZERO } else { self.forecast.mean_service()? };
        let mut own_tier = (Duration::ZERO, 0);
        for class in self.queue.waiting_classes().filter(|it| !place.tier.is_above(it.tier)) {
            let count = u32::try_from(self.queue.class_len(class)).unwrap_or(u32::MAX);
            let span = service(class.class)?.saturating_mul(count);
            if class.tier == place.tier {
                own_tier = (own_tier.0 + span, own_tier.1 + count);
            } else {
                work += span;
            }
        }
        let slots = self.servers.slots(now).max(1);
        Some((work + self.own_tier_work(place, own_tier)) / slots)
    }

    /// Returns the part of its tier's work that is served before an account's next request: the
    /// accounts take turns, so that a short line does not wait for a long one.
    pub(super) fn own_tier_work(&self, place: Place, (span, count): (Duration, u32)) -> Duration {
        let own = self.queue.account_len(place.tier, place.account) + 1;
        let turns = own * self.queue.accounts(place.tier);
        if turns >= count as usize {
            return span;
        }
        span.mul_f64(turns as f64 / f64::from(count.max(1)))
    }

    pub(super) fn drain_time(&self, now: Time) -> Option<Duration> {
        let mut work = Duration::ZERO;
        for class in self.queue.waiting_classes() {
            let count = u32::try_from(self.queue.class_len(class)).unwrap_or(u32::MAX);
            work += self.forecast.service(class.class)?.saturating_mul(count);
        }
        Some((work / self.servers.slots(now).max(1)).max(CHECK_INTERVAL))
    }
}
