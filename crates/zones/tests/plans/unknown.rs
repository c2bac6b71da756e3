//! Loads that are not known, and what leaving costs.

use model::prelude::*;
use zones::{PlanContext, RoundTrips, ZoneDemand, ZonePlan};

use crate::support::{TOLERATED_WAIT, ZONES, demand, load, update};

const NOW: Time = Time::from_millis(1_000);
/// What leaving costs while nothing is known.
const CONSTANT_COST: Duration = Duration::from_millis(10);

/// Returns a plan of the first zone, with known loads.
fn known_plan(amounts: [f64; 3]) -> ZonePlan {
    let mut plan = ZonePlan::new(ZONES[0]);
    update_known(&mut plan, NOW, amounts);
    plan
}

fn update_known(plan: &mut ZonePlan, now: Time, amounts: [f64; 3]) {
    let each = [0, 1, 2];
    let loads = each.map(|no| load(ZONES[no], 1.0, amounts[no].min(1.0)));
    update(plan, now, &loads, &each.map(|no| demand(ZONES[no], amounts[no])));
}

#[track_caller]
fn assert_is_as_before(plan: &ZonePlan, zone: ZoneId) {
    assert_eq!(plan.share(zone), 1.0);
    assert!(plan.may_go(zone, u64::MAX));
    assert_eq!(plan.cost(zone, 0), CONSTANT_COST);
    assert_eq!(plan.cost(zone, 1 << 20), CONSTANT_COST);
}

#[test]
fn without_loads_leaving_has_the_constant_cost_and_no_limit() {
    let plan = ZonePlan::new(ZONES[0]);

    assert_is_as_before(&plan, ZONES[1]);
}

#[test]
fn loads_that_are_not_known_any_more_end_the_limits() {
    let mut plan = known_plan([0.3; 3]);
    assert_eq!(plan.share(ZONES[1]), 0.0);

    update(&mut plan, NOW + Duration::from_millis(200), &[], &[]);

    assert_is_as_before(&plan, ZONES[1]);
}

#[test]
fn a_zone_whose_demand_is_not_known_has_no_limit() {
    let mut plan = ZonePlan::new(ZONES[0]);
    let loads = ZONES.map(|zone| load(zone, 1.0, 0.3));

    update(&mut plan, NOW, &loads, &[demand(ZONES[0], 0.3), demand(ZONES[1], 0.3)]);

    assert_eq!(plan.share(ZONES[1]), 0.0);
    assert_is_as_before(&plan, ZONES[2]);
}

#[test]
fn numbers_that_are_not_finite_count_as_not_known() {
    for unread_tokens in [f64::NAN, f64::INFINITY] {
        let mut plan = ZonePlan::new(ZONES[0]);
        let loads = ZONES.map(|zone| load(zone, 1.0, 0.3));
        let wrong = ZoneDemand { unread_tokens, ..demand(ZONES[1], 0.3) };

        update(&mut plan, NOW, &loads, &[demand(ZONES[0], 1.5), wrong, demand(ZONES[2], 0.3)]);

        assert_is_as_before(&plan, ZONES[1]);
        assert!((0.0..=1.0).contains(&plan.share(ZONES[2])));
    }
}

#[test]
fn a_restarted_instance_has_the_plan_of_the_others_at_its_first_update() {
    let amounts = [1.3, 0.3, 0.3];
    let mut plan = known_plan(amounts);
    for step in 1..50 {
        update_known(&mut plan, NOW + step * Duration::from_millis(200), amounts);
    }

    let restarted = known_plan(amounts);

    for zone in ZONES {
        assert!((plan.share(zone) - restarted.share(zone)).abs() < 1e-9);
    }
}

#[test]
fn leaving_costs_more_with_more_bytes_and_a_longer_round_trip() {
    let mut round_trips = RoundTrips::default();
    round_trips.record(NOW, ZONES[2], Duration::from_millis(40));
    let cx = PlanContext { tolerated_wait: TOLERATED_WAIT, round_trips: &round_trips };
    let mut plan = ZonePlan::new(ZONES[0]);
    let loads = ZONES.map(|zone| load(zone, 1.0, 0.3));

    plan.update(NOW, &loads, &ZONES.map(|zone| demand(zone, 0.3)), &cx);

    assert!(plan.cost(ZONES[1], 1 << 18) > plan.cost(ZONES[1], 1 << 10));
    assert!(plan.cost(ZONES[2], 0) >= plan.cost(ZONES[1], 0) + Duration::from_millis(40));
    assert_eq!(plan.cost(ZONES[0], 1 << 18), Duration::ZERO);
}

#[test]
fn nothing_leaves_for_a_zone_whose_round_trip_callers_do_not_tolerate() {
    let mut round_trips = RoundTrips::default();
    round_trips.record(NOW, ZONES[1], Duration::from_millis(200));
    let cx = PlanContext { tolerated_wait: Duration::from_millis(150), round_trips: &round_trips };
    let mut plan = ZonePlan::new(ZONES[0]);
    let loads = [load(ZONES[0], 1.0, 1.0), load(ZONES[1], 1.0, 0.1), load(ZONES[2], 1.0, 0.1)];
    let amounts = [demand(ZONES[0], 1.5), demand(ZONES[1], 0.1), demand(ZONES[2], 0.1)];

    plan.update(NOW, &loads, &amounts, &cx);

    assert_eq!(plan.share(ZONES[1]), 0.0);
    assert!(plan.share(ZONES[2]) > 0.0);
}
