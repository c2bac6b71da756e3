//! How many requests leave their zone, and what that costs them.

use std::collections::BTreeMap;

use model::prelude::*;

use crate::{
    RoundTrips, ZoneDemand, ZoneLoad,
    division::{KEPT_USE, Portion, Zone, Zones},
    may_leave::position,
};

/// The use of its engines by its own demand from which requests begin to leave a zone. They stop at
/// a lower use, so that a small change of demand does not start and stop them in turn.
const LEAVING_USE: f64 = 0.9;
/// Requests leave only while the engines here are used at least this much: otherwise the demand that
/// was told is wrong.
const LEAST_CARRIED_USE: f64 = 0.7;
/// The growth of a share in a second.
const GROWTH_PER_SECOND: f64 = 0.3;
/// The decline in a second of a share that is not needed any more.
const DECLINE_PER_SECOND: f64 = 0.1;
/// The decline in a second of a share that exceeds what the other zone has to spare.
const CROWDED_DECLINE_PER_SECOND: f64 = 0.5;
/// The time in which the mean demand and load approach new ones but for 1/e of the difference.
const SMOOTHING: Duration = Duration::from_secs(1);
/// The longest time between two updates that counts for these steps.
const MAX_STEP: Duration = Duration::from_secs(1);

/// What a request pays for another zone while nothing is known of the zones.
const UNKNOWN_COST: Duration = Duration::from_millis(10);
/// What each request pays beside the round trips and its bytes.
const BASE_COST: Duration = Duration::from_millis(5);
/// What each kibibyte adds, in milliseconds.
const COST_PER_KIB_MS: f64 = 0.15;
/// What the bytes add at most.
const MAX_BYTES_COST: Duration = Duration::from_millis(100);
/// Round trips of a request on a new connection.
const ROUND_TRIPS_PER_REQUEST: u32 = 2;

/// What a plan depends on beside loads and demand.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// The wait for engines that callers tolerate: a part of the least target of the pool's routes. No
    /// request leaves for a zone whose round trip is longer.
    pub tolerated_wait: Duration,
    /// The round trips that this instance learned.
    pub round_trips: &'a RoundTrips,
}

/// How many requests of this zone may go to each other zone, for one pool.
///
/// A zone whose own demand fills its engines sends what they do not bear to zones that have room beyond
/// their own demand, at most up to its part of that room. Instances that are told the same loads and
/// demand have the same plan.
#[derive(Clone, Debug)]
pub struct ZonePlan {
    own: ZoneId,
    /// The mean demand and load of all zones.
    zones: Zones,
    /// What is known of the other zones; empty if the load or demand of this zone is not known.
    others: BTreeMap<ZoneId, Neighbour>,
    /// When the plan was updated last, if the loads were known then.
    updated_at: Option<Time>,
    /// Whether the demand of this zone fills its engines.
    is_leaving: bool,
    /// Whether this zone has no engines that may get requests.
    is_lost: bool,
}

/// Another zone whose load and demand are known.
#[derive(Clone, Copy, Default, Debug)]
struct Neighbour {
    /// The share of this zone's requests that may go there.
    share: f64,
    round_trip: Option<Duration>,
}

impl ZonePlan {
    /// Creates the plan of an instance in this zone, which knows of no zone yet.
    pub fn new(own: ZoneId) -> Self {
        let (zones, others) = (Zones::default(), BTreeMap::new());
        Self { own, zones, others, updated_at: None, is_leaving: false, is_lost: false }
    }

    /// Updates the plan by what the fleet knows of the load and demand of all zones, this one
    /// included.
    ///
    /// A zone with demand but no load has no engines. One with load but no demand is not known, and
    /// there is no limit on requests to it. Without any load, or without the demand of this zone, no
    /// zone is known. The first update after that takes effect at once, later ones in steps.
    pub fn update(
        &mut self,
        now: Time,
        loads: &[ZoneLoad],
        demand: &[ZoneDemand],
        cx: &PlanContext<'_>,
    ) {
        let mut zones = Zones::new(loads, demand, cx);
        if zones.get(self.own).is_none() || loads.is_empty() {
            *self = Self::new(self.own);
            return;
        }
        let weight = (-self.elapsed(now).as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        zones.smooth(&self.zones, weight);
        self.zones = zones.clone();
        let lost_portions = zones.divide_whole(self.own);
        zones.place_lost_demand();
        let Some(zone) = zones.get(self.own) else { return };
        self.is_lost = !zone.is_usable();
        let portions = if self.is_lost {
            self.is_leaving = true;
            lost_portions
        } else {
            let excess = self.excess(zone);
            zones.divide(self.own, excess, self.leaving_share().max(excess))
        };
        self.set_shares(now, &zones, &portions, cx);
    }

    /// Returns the time since the last update.
    fn elapsed(&self, now: Time) -> Duration {
        self.updated_at.map_or(Duration::ZERO, |at| now.since(at)).min(MAX_STEP)
    }

    /// Returns the share of its requests that this zone would send to others.
    fn excess(&mut self, zone: &Zone) -> f64 {
        let demanded = zone.demanded_use();
        if demanded >= LEAVING_USE {
            self.is_leaving = true;
        } else if demanded <= KEPT_USE {
            self.is_leaving = false;
        }
        let is_full = self.is_leaving && zone.carried_use() >= LEAST_CARRIED_USE;
        if is_full { zone.excess() } else { 0.0 }
    }

    /// Moves the shares one step towards their targets.
    fn set_shares(
        &mut self,
        now: Time,
        zones: &Zones,
        portions: &BTreeMap<ZoneId, Portion>,
        cx: &PlanContext<'_>,
    ) {
        let elapsed = self.elapsed(now);
        let mut others = BTreeMap::new();
        for zone in zones.ids().filter(|zone| *zone != self.own) {
            let round_trip = cx.round_trips.get(now, zone);
            let is_far = round_trip.is_some_and(|it| it > cx.tolerated_wait) && !self.is_lost;
            let portion = portions.get(&zone).filter(|_| !is_far);
            let share = match (portion, self.others.get(&zone)) {
                (None, _) => 0.0,
                (Some(portion), Some(old)) if !self.is_lost => portion.step(old.share, elapsed),
                (Some(portion), _) => portion.target.min(portion.limit),
            };
            others.insert(zone, Neighbour { share, round_trip });
        }
        let sum: f64 = others.values().map(|it| it.share).sum();
        for neighbour in others.values_mut() {
            neighbour.share /= sum.max(1.0);
        }
        self.others = others;
        self.updated_at = Some(now);
    }

    /// Returns what a request of this many bytes pays in the choice of a server for going to a zone, in
    /// expected time; nothing for the own one.
    pub fn cost(&self, zone: ZoneId, bytes: usize) -> Duration {
        if zone == self.own {
            return Duration::ZERO;
        }
        let Some(neighbour) = self.others.get(&zone) else { return UNKNOWN_COST };
        let by_bytes = Duration::from_secs_f64(bytes as f64 / 1_024.0 * COST_PER_KIB_MS / 1e3);
        let round_trips = neighbour.round_trip.unwrap_or_default() * ROUND_TRIPS_PER_REQUEST;
        BASE_COST + by_bytes.min(MAX_BYTES_COST) + round_trips
    }

    /// Returns the share of this zone's requests that may go to another zone now, from 0 to 1; 1 for a
    /// zone that is not known, and for this one.
    pub fn share(&self, zone: ZoneId) -> f64 {
        self.others.get(&zone).map_or(1.0, |it| it.share)
    }

    /// Returns the share of this zone's requests that may leave it for any of the known zones.
    pub fn leaving_share(&self) -> f64 {
        self.others.values().map(|it| it.share).sum::<f64>().min(1.0)
    }

    /// Returns whether the request with this hash of its id may go to another zone. A request may go to
    /// at most one of the known zones, so that as many leave as the shares add up to; while this zone
    /// has no engines, to all of them.
    pub fn may_go(&self, zone: ZoneId, hash: u64) -> bool {
        let Some(neighbour) = self.others.get(&zone) else { return true };
        if self.is_lost {
            return true;
        }
        let before: f64 = self.others.range(..zone).map(|it| it.1.share).sum();
        (before..before + neighbour.share).contains(&position(hash))
    }
}

impl Portion {
    /// Returns the share that follows on `old` after this time.
    fn step(self, old: f64, elapsed: Duration) -> f64 {
        let secs = elapsed.as_secs_f64();
        let wanted =
            self.target.clamp(old - DECLINE_PER_SECOND * secs, old + GROWTH_PER_SECOND * secs);
        let allowed = self.limit.max(old - CROWDED_DECLINE_PER_SECOND * secs);
        wanted.min(allowed).max(0.0)
    }
}
