//! Divides what zones have to spare among those that need it.

use std::collections::BTreeMap;

use model::prelude::*;

use crate::{PlanContext, ZoneDemand, ZoneLoad, work::Work};

/// The use of its engines by its own demand up to which a zone keeps its requests.
pub(crate) const KEPT_USE: f64 = 0.8;
/// The use up to which a zone takes requests of others. The rest absorbs growth of its own demand
/// until the others are told.
const OFFERED_USE: f64 = 0.7;
/// The uses by all requests between which a zone offers less, down to nothing. Only wrong or late
/// demand leads there.
const CROWDED_USE: (f64, f64) = (0.75, 0.95);

/// A zone whose demand and load are known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Zone {
    /// The requests that came to the zone, and what zones without engines put there.
    demand: Work,
    /// What its engines can bear.
    room: Work,
    /// What its engines carry.
    carried: Work,
}

/// The zones whose demand and load are known.
#[derive(Clone, Default, Debug)]
pub(crate) struct Zones {
    all: BTreeMap<ZoneId, Zone>,
}

impl Zones {
    /// Joins loads and demand. A zone with demand but no load has no engines; one with load but no
    /// demand, or with numbers that are not finite, is left out.
    pub(crate) fn new(loads: &[ZoneLoad], demand: &[ZoneDemand], cx: &PlanContext<'_>) -> Self {
        let zones = demand.iter().filter_map(|demand| {
            let load = loads.iter().find(|load| load.zone == demand.zone);
            Zone::new(demand, load, cx.tolerated_wait).map(|zone| (demand.zone, zone))
        });
        Self { all: zones.collect() }
    }

    /// Gives the demand and load of an earlier time this weight. What engines can bear counts as it is
    /// now.
    pub(crate) fn smooth(&mut self, earlier: &Self, weight: f64) {
        for (id, zone) in &mut self.all {
            let Some(earlier) = earlier.get(*id) else { continue };
            let mean = |old: Work, new: Work| old * weight + new * (1.0 - weight);
            zone.demand = mean(earlier.demand, zone.demand);
            zone.carried = mean(earlier.carried, zone.carried);
        }
    }

    /// Returns a zone, if its demand and load are known.
    pub(crate) fn get(&self, zone: ZoneId) -> Option<&Zone> {
        self.all.get(&zone)
    }

    /// Returns the zones whose demand and load are known.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ZoneId> {
        self.all.keys().copied()
    }

    /// Divides the demand of a zone without engines among those with engines: by what they have to
    /// spare, and what exceeds that by their size.
    pub(crate) fn divide_whole(&self, own: ZoneId) -> BTreeMap<ZoneId, Portion> {
        let Some(zone) = self.get(own) else { return BTreeMap::new() };
        let spare = self.total(Zone::spare);
        let room = self.total(|zone| zone.room);
        let by_spare = spare.holds(zone.demand).min(1.0);
        let part = |zone: &Zone| {
            zone.spare().part_of(spare) * by_spare + zone.room.part_of(room) * (1.0 - by_spare)
        };
        let parts = self.receivers(own).map(|it| (it.0, part(it.1))).collect();
        let portion = |part| Portion { target: part, limit: part };
        scaled_to(1.0, parts).into_iter().map(|it| (it.0, portion(it.1))).collect()
    }

    /// Returns the zones with engines other than this one.
    fn receivers(&self, own: ZoneId) -> impl Iterator<Item = (ZoneId, &Zone)> {
        let usable = self.all.iter().filter(move |it| *it.0 != own && it.1.is_usable());
        usable.map(|(id, zone)| (*id, zone))
    }

    /// Adds the demand of zones without engines to the others, as it goes before what zones with
    /// engines might send.
    pub(crate) fn place_lost_demand(&mut self) {
        let lost: Vec<_> =
            self.all.iter().filter(|it| !it.1.is_usable()).map(|it| (*it.0, it.1.demand)).collect();
        for (from, demand) in lost {
            for (to, portion) in self.divide_whole(from) {
                if let Some(zone) = self.all.get_mut(&to) {
                    zone.demand = zone.demand + demand * portion.target;
                }
            }
        }
    }

    /// Divides the share `target` of the requests of a zone among the others with engines, by what they
    /// have to spare. `wanted` is the share with which the zone competes for that with other zones.
    pub(crate) fn divide(
        &self,
        own: ZoneId,
        target: f64,
        wanted: f64,
    ) -> BTreeMap<ZoneId, Portion> {
        let Some(zone) = self.get(own) else { return BTreeMap::new() };
        let spare = self.total(Zone::spare);
        let others = self.receivers(own).map(|it| it.1.demand * it.1.excess());
        let all_wanted = others.fold(zone.demand * wanted, |sum, it| sum + it);
        let parts = self.receivers(own).map(|it| (it.0, it.1.spare().part_of(spare))).collect();
        let targets = scaled_to(target, parts);
        let portion = |(id, receiver): (ZoneId, &Zone)| {
            let limit = wanted * receiver.spare().holds(all_wanted).min(1.0);
            (id, Portion { target: targets.get(&id).copied().unwrap_or_default(), limit })
        };
        self.receivers(own).map(portion).collect()
    }

    fn total(&self, part: impl Fn(&Zone) -> Work) -> Work {
        self.all.values().fold(Work::default(), |sum, zone| sum + part(zone))
    }
}

/// Scales parts to this sum, unless all are zero.
fn scaled_to(sum: f64, mut parts: BTreeMap<ZoneId, f64>) -> BTreeMap<ZoneId, f64> {
    let present: f64 = parts.values().sum();
    if present > 0.0 {
        parts.values_mut().for_each(|part| *part *= sum / present);
    }
    parts
}

/// What a zone may send to another one, as shares of its requests.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Portion {
    /// What it would send there.
    pub(crate) target: f64,
    /// Its part of what the other zone has to spare.
    pub(crate) limit: f64,
}

impl Zone {
    fn new(demand: &ZoneDemand, load: Option<&ZoneLoad>, tolerated: Duration) -> Option<Self> {
        let tolerated_ms = tolerated.as_secs_f64() * 1e3;
        let usable = load.filter(|load| load.engines > 0 && load.slots > 0);
        let room = usable.map(|load| Work::new(load.slots, load.tokens_per_ms * tolerated_ms));
        let carried = usable.map(|load| Work::new(load.attempts, load.unread_tokens));
        Some(Self {
            demand: Work::new(demand.attempts, demand.unread_tokens)?,
            room: room.unwrap_or(Some(Work::default()))?,
            carried: carried.unwrap_or(Some(Work::default()))?,
        })
    }

    /// Returns whether the zone has engines that may get requests.
    pub(crate) fn is_usable(&self) -> bool {
        self.room.attempts > 0.0
    }

    /// Returns how much of its engines the zone's own demand would use.
    pub(crate) fn demanded_use(&self) -> f64 {
        self.demand.use_of(self.room)
    }

    /// Returns how much of its engines all requests there use.
    pub(crate) fn carried_use(&self) -> f64 {
        self.carried.use_of(self.room)
    }

    /// Returns the share of the zone's requests that its engines do not bear.
    pub(crate) fn excess(&self) -> f64 {
        (1.0 - KEPT_USE / self.demanded_use()).max(0.0)
    }

    /// Returns what the zone has to spare beyond its own demand.
    fn spare(&self) -> Work {
        let (crowded, full) = CROWDED_USE;
        let open = ((full - self.carried_use()) / (full - crowded)).clamp(0.0, 1.0);
        (self.room * OFFERED_USE).minus(self.demand) * open
    }
}
