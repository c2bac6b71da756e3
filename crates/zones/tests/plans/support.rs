//! Three zones whose plans get loads and demand as old as a fleet tells them.

use std::collections::VecDeque;

use model::prelude::*;
use zones::{PlanContext, RoundTrips, ZoneDemand, ZoneLoad, ZonePlan};

/// The zones of the tests.
pub(crate) const ZONES: [ZoneId; 3] = [ZoneId(1), ZoneId(2), ZoneId(3)];
/// Time between two updates.
pub(crate) const STEP: Duration = Duration::from_millis(200);
/// Updates in a second.
pub(crate) const STEPS_PER_SECOND: usize = 5;
/// Steps after which the loads of a step are told.
const TOLD_AFTER: usize = 3;
/// Slots of a zone whose engines are all there.
const SLOTS: f64 = 1_000.0;
/// What they read in a millisecond.
const TOKENS_PER_MS: f64 = 1_000.0;
/// Unread tokens of a request.
const UNREAD_TOKENS: f64 = 200.0;
/// The wait that callers tolerate.
pub(crate) const TOLERATED_WAIT: Duration = Duration::from_millis(300);

/// Returns what is told of a zone whose engines have `room` and carry `carried`, as parts of a zone
/// whose engines are all there.
pub(crate) fn load(zone: ZoneId, room: f64, carried: f64) -> ZoneLoad {
    ZoneLoad {
        zone,
        engines: (room * 20.0).ceil() as u32,
        tokens_per_ms: room * TOKENS_PER_MS,
        unread_tokens: carried * SLOTS * UNREAD_TOKENS,
        attempts: (carried * SLOTS) as u32,
        slots: (room * SLOTS) as u32,
    }
}

/// Returns what is told of the demand of a zone, as part of a zone whose engines are all there.
pub(crate) fn demand(zone: ZoneId, amount: f64) -> ZoneDemand {
    ZoneDemand {
        zone,
        attempts: (amount * SLOTS) as u32,
        unread_tokens: amount * SLOTS * UNREAD_TOKENS,
    }
}

/// Updates a plan without known round trips.
pub(crate) fn update(plan: &mut ZonePlan, now: Time, loads: &[ZoneLoad], demand: &[ZoneDemand]) {
    let round_trips = RoundTrips::default();
    let cx = PlanContext { tolerated_wait: TOLERATED_WAIT, round_trips: &round_trips };
    plan.update(now, loads, demand, &cx);
}

/// Three zones, each with one plan.
pub(crate) struct Fleet {
    pub(crate) plans: [ZonePlan; 3],
    /// What the engines of each zone can bear.
    pub(crate) room: [f64; 3],
    /// The factor by which the demand of each zone is told wrong.
    pub(crate) told_factor: [f64; 3],
    /// What the engines of each zone had to carry in the last step.
    pub(crate) carried: [f64; 3],
    pub(crate) now: Time,
    told: VecDeque<(Vec<ZoneLoad>, Vec<ZoneDemand>)>,
}

impl Fleet {
    pub(crate) fn new(room: [f64; 3]) -> Self {
        Self {
            plans: ZONES.map(ZonePlan::new),
            room,
            told_factor: [1.0; 3],
            carried: [0.0; 3],
            now: Time::from_millis(1_000),
            told: VecDeque::new(),
        }
    }

    /// Plays one step with this demand of each zone.
    pub(crate) fn step(&mut self, amounts: [f64; 3]) {
        self.now = self.now + STEP;
        self.carried =
            [0, 1, 2].map(|to| (0..3).map(|from| amounts[from] * self.sent(from, to)).sum());
        // Engines reject what is far beyond their slots; it waits at the instances.
        let loads =
            |no: usize| load(ZONES[no], self.room[no], self.carried[no].min(1.5 * self.room[no]));
        let demand = |no: usize| demand(ZONES[no], amounts[no] * self.told_factor[no]);
        self.told.push_back(([0, 1, 2].map(loads).into(), [0, 1, 2].map(demand).into()));
        if self.told.len() > TOLD_AFTER {
            let (loads, demand) = self.told.pop_front().unwrap();
            self.plans.iter_mut().for_each(|plan| update(plan, self.now, &loads, &demand));
        }
    }

    /// Plays this many seconds with the same demand.
    pub(crate) fn run(&mut self, secs: usize, amounts: [f64; 3]) {
        (0..secs * STEPS_PER_SECOND).for_each(|_| self.step(amounts));
    }

    /// Returns the share of the requests of one zone that another one, or the same, gets.
    pub(crate) fn sent(&self, from: usize, to: usize) -> f64 {
        let plan = &self.plans[from];
        if from == to { 1.0 - plan.leaving_share() } else { share(plan, to) }
    }

    /// Returns the share of requests that leave each zone.
    pub(crate) fn leaving_shares(&self) -> [f64; 3] {
        self.plans.each_ref().map(ZonePlan::leaving_share)
    }

    /// Returns the work that engines can do, of what came in the last step.
    pub(crate) fn served(&self) -> f64 {
        served(self.carried, self.room)
    }
}

/// Returns the share for a zone; nothing for one that is not known, as before anything is told.
fn share(plan: &ZonePlan, to: usize) -> f64 {
    if plan.leaving_share() > 0.0 { plan.share(ZONES[to]) } else { 0.0 }
}

/// Returns the work that engines can do, of what they have to carry.
pub(crate) fn served(carried: [f64; 3], room: [f64; 3]) -> f64 {
    (0..3).map(|no| carried[no].min(room[no])).sum()
}

/// Returns the work that leaves its zone under the plain policy: with a constant cost the homes of
/// prompts, and once all zones have waits all requests, are divided by the size of the zones.
pub(crate) fn plainly_left(amounts: [f64; 3], room: [f64; 3]) -> f64 {
    let total: f64 = room.iter().sum();
    (0..3).map(|no| amounts[no] * (1.0 - room[no] / total)).sum()
}

/// Returns what each zone carries under the plain policy.
pub(crate) fn plainly_carried(amounts: [f64; 3], room: [f64; 3]) -> [f64; 3] {
    let total: f64 = room.iter().sum();
    room.map(|it| it / total * amounts.iter().sum::<f64>())
}
