//! Homes of shared parts of prompts.

use model::prelude::*;
use zones::{Homes, zone_home_pays};

const ZONES: [ZoneId; 3] = [ZoneId(1), ZoneId(2), ZoneId(3)];

/// Returns engines of three zones as hash, zone and number.
fn engines() -> [(u64, ZoneId, u32); 6] {
    [(50, 0, 0), (20, 0, 1), (90, 1, 2), (10, 1, 3), (60, 2, 4), (70, 2, 5)]
        .map(|(hash, zone, no)| (hash, ZONES[zone], no))
}

#[test]
fn each_zone_has_a_home_and_all_have_the_same_source() {
    let homes = ZONES.map(|zone| Homes::choose(zone, engines()));

    assert_eq!(homes.map(|it| it.zone), [Some(0), Some(2), Some(5)]);
    assert_eq!(homes.map(|it| it.fleet), [Some(2); 3]);
}

#[test]
fn a_home_that_is_lost_moves_and_the_others_stay() {
    let left = || engines().into_iter().filter(|engine| engine.2 != 2);

    let homes = ZONES.map(|zone| Homes::choose(zone, left()));

    assert_eq!(homes.map(|it| it.zone), [Some(0), Some(3), Some(5)]);
    assert_eq!(homes.map(|it| it.fleet), [Some(5); 3]);
}

#[test]
fn a_zone_without_engines_uses_the_home_of_the_fleet() {
    let left = engines().into_iter().filter(|engine| engine.1 != ZONES[0]);

    let homes = Homes::choose(ZONES[0], left);

    assert_eq!(homes, Homes { zone: None, fleet: Some(2) });
}

#[test]
fn a_home_in_the_zone_pays_only_for_parts_that_are_used_often_there() {
    let (crossing, copy) = (Duration::from_millis(10), Duration::from_millis(60));

    assert!(!zone_home_pays(1.0, crossing, copy));
    assert!(zone_home_pays(20.0, crossing, copy));
}
