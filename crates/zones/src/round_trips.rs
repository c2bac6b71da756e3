//! The time that it takes to connect to each zone.

use std::collections::BTreeMap;

use model::prelude::*;

/// The weight of a new time in the average.
const NEW_WEIGHT: f64 = 0.125;
/// Longer times are counted as this: they come from lost packets or busy servers.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(250);
/// An average without a new time for this long is forgotten.
const MEMORY: Duration = Duration::from_secs(60);
/// Zones that are remembered.
const MAX_ZONES: usize = 64;

/// The time that it takes to connect to servers of each zone, learned from connections: about the time
/// of a round trip.
#[derive(Clone, Default, Debug)]
pub struct RoundTrips {
    zones: BTreeMap<ZoneId, RoundTrip>,
}

#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    mean: Duration,
    recorded_at: Time,
}

impl RoundTrips {
    /// Records that connecting to a server of a zone took this time.
    pub fn record(&mut self, now: Time, zone: ZoneId, took: Duration) {
        let took = took.min(MAX_ROUND_TRIP);
        let mean = match self.get(now, zone) {
            Some(mean) => mean.mul_f64(1.0 - NEW_WEIGHT) + took.mul_f64(NEW_WEIGHT),
            None => took,
        };
        if self.zones.len() >= MAX_ZONES && !self.zones.contains_key(&zone) {
            self.zones.retain(|_, it| it.is_current(now));
        }
        if self.zones.len() < MAX_ZONES || self.zones.contains_key(&zone) {
            self.zones.insert(zone, RoundTrip { mean, recorded_at: now });
        }
    }

    /// Returns the mean time for a zone; `None` if none was recorded lately.
    pub fn get(&self, now: Time, zone: ZoneId) -> Option<Duration> {
        self.zones.get(&zone).filter(|it| it.is_current(now)).map(|it| it.mean)
    }
}

impl RoundTrip {
    fn is_current(&self, now: Time) -> bool {
        now.since(self.recorded_at) <= MEMORY
    }
}
