//! Zones whose demand exceeds their engines.

use crate::support::{Fleet, plainly_carried, plainly_left, served};

/// The use of its engines up to which a zone has room for others.
const ROOMY: f64 = 0.75;

#[test]
fn an_idle_zone_keeps_its_requests() {
    let amounts = [0.3, 0.3, 0.3];
    let mut fleet = Fleet::new([1.0; 3]);

    fleet.run(5, amounts);

    assert_eq!(fleet.leaving_shares(), [0.0; 3]);
    assert!(plainly_left(amounts, fleet.room) > 0.0);
}

/// Load pattern: one zone at three times its usual while half of its engines are cold.
#[test]
fn a_zone_at_three_times_its_usual_with_cold_engines_is_served_by_spare_engines_of_others() {
    let amounts = [3.0 * 0.35, 0.35, 0.35];
    let mut fleet = Fleet::new([1.0; 3]);
    fleet.run(5, [0.35; 3]);
    fleet.room[0] = 0.5;

    fleet.run(5, amounts);

    let plain = served(plainly_carried(amounts, fleet.room), fleet.room);
    assert!(fleet.served() >= 0.99 * plain, "{} of {plain}", fleet.served());
    assert!(fleet.carried[0] <= 0.9 * fleet.room[0], "{:?}", fleet.carried);
    for no in [1, 2] {
        assert!(fleet.carried[no] <= ROOMY, "{:?}", fleet.carried);
        assert_eq!(fleet.plans[no].leaving_share(), 0.0, "its own callers keep their zone");
    }
    let left = amounts[0] * fleet.plans[0].leaving_share();
    assert!(left < plainly_left(amounts, fleet.room), "{left}");
}

#[test]
fn the_requests_of_a_zone_return_step_by_step_after_a_burst() {
    let mut fleet = Fleet::new([1.0; 3]);
    fleet.run(10, [1.2, 0.3, 0.3]);
    let mut before = fleet.plans[0].leaving_share();
    assert!(before > 0.2, "{before}");

    for _ in 0..60 {
        fleet.step([0.3; 3]);
        let after = fleet.plans[0].leaving_share();
        assert!((before - 0.05..=before).contains(&after), "from {before} to {after}");
        before = after;
    }

    assert_eq!(before, 0.0);
}

/// Load pattern: demand near the limit of a zone's engines, which crosses it neither way for long.
#[test]
fn leaving_neither_begins_nor_ends_by_a_small_change_of_demand() {
    let near = [0.85, 0.3, 0.3];
    let mut fleet = Fleet::new([1.0; 3]);

    fleet.run(10, near);
    let before = fleet.plans[0].leaving_share();
    fleet.run(10, [0.95, 0.3, 0.3]);
    fleet.run(10, near);
    let after = fleet.plans[0].leaving_share();

    assert_eq!(before, 0.0);
    assert!(after > 0.0, "the engines would be filled again");
}

/// Load pattern: two zones are short at the same time and the third has nothing to spare.
#[test]
fn zones_that_are_all_short_send_nothing() {
    let amounts = [1.3, 1.2, 0.75];
    let mut fleet = Fleet::new([1.0; 3]);

    for _ in 0..100 {
        fleet.step(amounts);
        assert_eq!(fleet.leaving_shares(), [0.0; 3]);
    }

    assert!(plainly_carried(amounts, fleet.room)[2] > 1.0, "it suffers under the plain policy");
}

#[test]
fn two_short_zones_divide_what_the_third_has_to_spare() {
    let amounts = [1.3, 1.1, 0.4];
    let mut fleet = Fleet::new([1.0; 3]);

    fleet.run(10, amounts);

    let taken = [0, 1].map(|no| amounts[no] * fleet.sent(no, 2));
    assert!(taken[0] > taken[1] && taken[1] > 0.0, "{taken:?}");
    assert!((0.25..=0.31).contains(&(taken[0] + taken[1])), "{taken:?}");
    assert!(fleet.carried[2] <= ROOMY, "{:?}", fleet.carried);
    assert_eq!(fleet.sent(0, 1) + fleet.sent(1, 0), 0.0, "none of them has anything to spare");
}
