//! Whether a request leaves a server that has not begun to respond, for another one.

use model::prelude::*;

use crate::{
    Pool, RequestKey, Room,
    request::{Request, RunningAttempt, Stage},
    state::State,
};

/// Time between two decisions on a request that stays.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// A request leaves only if another server is expected to begin in this share of the time for which
/// it has waited: as long as it has waited already, it may have to wait again.
const MIN_GAIN: f64 = 0.5;

impl State {
    /// Returns when the attempt of a request ends unless its response has begun by then: at its
    /// deadline if it is not retried. After [`crate::Event::FirstByteDue`] the time may be later.
    pub fn leave_by(&self, key: RequestKey) -> Option<Time> {
        match self.requests.get(key)?.stage {
            Stage::Running(running) => running.leave_by,
            _ => None,
        }
    }

    /// Decides whether a request leaves its server, from which no first byte has come. It stays if no
    /// retry is allowed, or none is expected to begin earlier than the wait is worth: the
    /// position in the queue of an engine is lost by leaving, and what it has read is read again.
    pub(crate) fn first_byte_due(&mut self, now: Time, key: RequestKey) {
        let is_known = self.knows_fleet_loads();
        let stays = is_known && !(self.gains_by_leaving(now, key) && self.reserve_retry(now, key));
        let Some(req) = self.requests.get_mut(key) else { return };
        let end_by = req.end_by;
        let Stage::Running(running) = &mut req.stage else { return };
        if stays {
            let next = now + RECHECK_INTERVAL;
            running.leave_by = Some(next).filter(|time| *time < end_by);
        }
    }

    fn gains_by_leaving(&self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        let Stage::Running(running) = req.stage else { return false };
        if !req.may_run_again(now, req.possible_runs + 1) {
            return false;
        }
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&req.pool));
        let Some(pool) = pool else { return false };
        let Some(best) = self.least_expected_elsewhere(now, req, running, pool) else {
            return false;
        };
        let waited = now.since(running.started_at);
        best.mul_f64(self.reading_factor(req.pool)) < waited.mul_f64(MIN_GAIN)
    }

    /// Returns the least time to first byte that is expected at a server that has not been tried and
    /// has room.
    fn least_expected_elsewhere(
        &self,
        now: Time,
        req: &Request,
        running: RunningAttempt,
        pool: &Pool,
    ) -> Option<Duration> {
        let target = req.routed.route.target;
        let others = self.servers.in_pool(req.pool).iter();
        let others = others.filter(|it| **it != running.server && !req.tried.contains(it));
        let others = others.filter_map(|it| self.servers.get(*it));
        let usable = others.filter(|server| self.may_send(now, server, pool));
        let estimates = usable.map(|server| {
            self.candidate(now, req, server).estimate(now, pool, &req.prompt, target)
        });
        estimates.filter(|it| it.room == Room::Free).map(|it| it.first_byte).min()
    }
}
