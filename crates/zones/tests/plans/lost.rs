//! Zones without engines that may get requests.

use model::prelude::*;
use zones::ZonePlan;

use crate::support::{Fleet, STEP, ZONES, demand, load, update};

const HASHES: [u64; 4] = [0, u64::MAX / 3, u64::MAX / 3 * 2, u64::MAX];

/// Returns a plan of the first zone after one update with these rooms, in which nothing leaves.
fn calm_plan() -> ZonePlan {
    let mut plan = ZonePlan::new(ZONES[0]);
    let loads = ZONES.map(|zone| load(zone, 1.0, 0.4));
    update(&mut plan, Time::from_millis(1_000), &loads, &ZONES.map(|zone| demand(zone, 0.4)));
    assert_eq!(plan.leaving_share(), 0.0);
    plan
}

/// Load pattern: a zone is evacuated, so none of its engines may get requests.
#[test]
fn an_evacuated_zone_is_left_at_once_by_all_requests() {
    let mut plan = calm_plan();
    let loads = [load(ZONES[0], 0.0, 0.4), load(ZONES[1], 1.0, 0.4), load(ZONES[2], 1.0, 0.4)];

    update(&mut plan, Time::from_millis(1_200), &loads, &ZONES.map(|zone| demand(zone, 0.4)));

    assert!((plan.leaving_share() - 1.0).abs() < 1e-9);
    for hash in HASHES {
        assert!(plan.may_go(ZONES[1], hash) && plan.may_go(ZONES[2], hash));
    }
}

/// Load pattern: the engines of a zone are gone from the list while its instances still get requests.
#[test]
fn a_lost_zone_is_left_at_once_also_when_the_others_are_full() {
    let mut plan = calm_plan();
    let loads = [load(ZONES[1], 1.0, 1.0), load(ZONES[2], 1.0, 1.0)];

    update(&mut plan, Time::from_millis(1_200), &loads, &ZONES.map(|zone| demand(zone, 1.0)));

    assert!((plan.leaving_share() - 1.0).abs() < 1e-9);
}

#[test]
fn requests_leave_for_a_lost_zone_no_more() {
    let mut plan = ZonePlan::new(ZONES[0]);
    let amounts = [demand(ZONES[0], 1.5), demand(ZONES[1], 0.2), demand(ZONES[2], 0.2)];
    let loads = [load(ZONES[0], 1.0, 1.0), load(ZONES[1], 1.0, 0.2), load(ZONES[2], 1.0, 0.2)];
    update(&mut plan, Time::from_millis(1_000), &loads, &amounts);
    assert!(plan.share(ZONES[1]) > 0.0);

    update(&mut plan, Time::from_millis(1_200), &[loads[0], loads[2]], &amounts);

    assert_eq!(plan.share(ZONES[1]), 0.0);
    assert!(HASHES.iter().all(|hash| !plan.may_go(ZONES[1], *hash)));
    assert!(plan.share(ZONES[2]) > 0.0);
}

#[test]
fn the_demand_of_a_lost_zone_goes_before_what_a_short_zone_sends() {
    let amounts = [0.35, 1.3, 0.3];
    let mut fleet = Fleet::new([0.0, 1.0, 1.0]);

    fleet.run(5, amounts);

    assert_eq!(fleet.sent(0, 2), 1.0, "the short zone has nothing to spare");
    assert!(fleet.carried[2] <= 0.75, "{:?}", fleet.carried);
}

#[test]
fn requests_return_step_by_step_to_a_zone_that_is_back() {
    let amounts = [0.3; 3];
    let mut fleet = Fleet::new([0.0, 1.0, 1.0]);
    fleet.run(5, amounts);
    let mut before = fleet.plans[0].leaving_share();
    assert!((before - 1.0).abs() < 1e-9);
    fleet.room[0] = 1.0;

    for _ in 0..60 {
        fleet.step(amounts);
        let after = fleet.plans[0].leaving_share();
        let largest_step = 0.2 * STEP.as_secs_f64() + 1e-9;
        assert!((before - largest_step..=before).contains(&after), "from {before} to {after}");
        before = after;
    }

    assert_eq!(before, 0.0);
    assert_eq!(fleet.carried, amounts);
}
