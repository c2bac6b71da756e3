//! What holds for any loads and demand.

use bolero::generator::produce;
use model::prelude::*;
use zones::{ZoneDemand, ZoneLoad, ZonePlan};

use crate::support::{ZONES, demand, load, update};

/// The use of its engines that others fill up to at most, with some tolerance for whole requests.
const OFFERED: f64 = 0.705;

/// Demand, room and carried load of three zones, in percent.
type Percents = [(u8, u8, u8); 3];

/// Returns the plans of all zones after one update.
fn plans(zones: &Percents) -> [ZonePlan; 3] {
    let part = |percent: u8| f64::from(percent) / 100.0;
    let each = [0, 1, 2];
    let loads = each.map(|no| load(ZONES[no], part(zones[no].1), part(zones[no].2)));
    let amounts = each.map(|no| demand(ZONES[no], part(zones[no].0)));
    each.map(|no| {
        let mut plan = ZonePlan::new(ZONES[no]);
        update(&mut plan, Time::from_millis(1_000), &loads, &amounts);
        plan
    })
}

#[test]
fn shares_are_parts_of_the_requests_and_single_requests_follow_them() {
    seeded::check(produce::<(Percents, u64)>(), 2_000, |(zones, hash)| {
        for (own, plan) in ZONES.into_iter().zip(plans(zones)) {
            let others = ZONES.into_iter().filter(|zone| *zone != own);
            let sum: f64 = others.clone().map(|zone| plan.share(zone)).sum();
            assert!((0.0..=1.0 + 1e-9).contains(&sum), "{sum}");
            let usable = others.filter(|zone| plan.may_go(*zone, *hash)).count();
            assert!(usable <= 1 || zones[own.0 as usize - 1].1 == 0);
        }
    });
}

#[test]
fn zones_with_engines_get_no_more_than_they_have_to_spare_of_all_others_together() {
    seeded::check(produce::<Percents>(), 2_000, |zones| {
        if zones.iter().any(|zone| zone.1 == 0) {
            return;
        }
        let plans = plans(zones);
        for to in 0..3 {
            let from = (0..3).filter(|from| *from != to);
            let taken: f64 =
                from.map(|from| f64::from(zones[from].0) * plans[from].share(ZONES[to])).sum();
            let (demand, room, _) = zones[to];
            let spare = (OFFERED * f64::from(room) - f64::from(demand)).max(0.0);
            assert!(taken <= spare + 0.5, "{taken} of {spare}");
        }
    });
}

#[test]
fn no_two_zones_with_engines_send_to_each_other() {
    seeded::check(produce::<Percents>(), 2_000, |zones| {
        let plans = plans(zones);
        for (one, other) in [(0, 1), (1, 2), (2, 0)] {
            let swapped = plans[one].share(ZONES[other]).min(plans[other].share(ZONES[one]));
            assert_eq!(swapped, 0.0);
        }
    });
}

#[test]
fn shares_add_up_to_no_more_than_all_requests_while_they_move_to_another_zone() {
    let mut plan = ZonePlan::new(ZONES[0]);
    let amounts =
        |second, third| [demand(ZONES[0], 0.2), demand(ZONES[1], second), demand(ZONES[2], third)];
    let loads =
        |own| [load(ZONES[0], own, own), load(ZONES[1], 1.0, 0.3), load(ZONES[2], 1.0, 0.3)];
    let mut now = Time::from_millis(1_000);
    update(&mut plan, now, &loads(0.0), &amounts(0.1, 0.65));

    for _ in 0..5 {
        now = now + Duration::from_secs(1);
        update(&mut plan, now, &loads(0.01), &amounts(0.45, 0.1));

        let sum = plan.share(ZONES[1]) + plan.share(ZONES[2]);
        assert!(sum <= 1.0 + 1e-9, "{sum}");
    }
}

#[test]
fn the_largest_numbers_that_can_be_told_leave_shares_within_bounds() {
    let most_load = |zone| ZoneLoad {
        tokens_per_ms: f64::MAX / 1e6,
        unread_tokens: f64::MAX,
        attempts: u32::MAX,
        ..load(zone, 1.0, 1.0)
    };
    let most_demand = |zone| ZoneDemand { zone, attempts: u32::MAX, unread_tokens: f64::MAX };
    let mut plan = ZonePlan::new(ZONES[0]);

    for step in 0..5 {
        let now = Time::from_millis(1_000 + step * 200);
        // The third zone has no engines, so its demand adds to that of the others.
        update(&mut plan, now, &[ZONES[0], ZONES[1]].map(most_load), &ZONES.map(most_demand));

        assert!((0.0..=1.0).contains(&plan.share(ZONES[1])));
    }
}
