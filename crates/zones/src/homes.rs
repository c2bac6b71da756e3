//! The engines that keep a shared part of prompts.

use model::prelude::*;

/// The engines that rendezvous hashing chooses to keep a shared part of prompts. `K` identifies an
/// engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Homes<K> {
    /// The home in the zone that asks; `None` if that zone has no engines.
    pub zone: Option<K>,
    /// The home of the whole fleet, from which the homes of zones fetch the part. It is also the home
    /// of its own zone.
    pub fleet: Option<K>,
}

impl<K: Copy> Homes<K> {
    /// Chooses the homes among engines, each with its zone and the hash of the part for it. All
    /// instances that know the same engines choose the same.
    pub fn choose(own: ZoneId, engines: impl IntoIterator<Item = (u64, ZoneId, K)>) -> Self {
        let mut fleet: Option<(u64, K)> = None;
        let mut zone: Option<(u64, K)> = None;
        for (hash, engine_zone, key) in engines {
            let is_higher = |best: &Option<(u64, K)>| best.is_none_or(|best| hash > best.0);
            if is_higher(&fleet) {
                fleet = Some((hash, key));
            }
            if engine_zone == own && is_higher(&zone) {
                zone = Some((hash, key));
            }
        }
        Self { zone: zone.map(|it| it.1), fleet: fleet.map(|it| it.1) }
    }
}

/// Returns whether a home in a zone pays for a part that is used there this many times while an engine
/// keeps it. Without it each use costs `crossing`; with it the part is fetched once, which costs
/// `copy`.
pub fn zone_home_pays(uses: f64, crossing: Duration, copy: Duration) -> bool {
    crossing.as_secs_f64() * uses > copy.as_secs_f64()
}
