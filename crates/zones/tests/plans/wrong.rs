//! Zones whose demand is told wrong by a factor.

use crate::support::{Fleet, STEPS_PER_SECOND, plainly_carried};

/// Returns the mean of what each zone carries in a minute, after the first ten seconds.
fn mean_carried(fleet: &mut Fleet, amounts: [f64; 3]) -> [f64; 3] {
    fleet.run(10, amounts);
    let steps = 60 * STEPS_PER_SECOND;
    let mut sums = [0.0; 3];
    for _ in 0..steps {
        fleet.step(amounts);
        (0..3).for_each(|no| sums[no] += fleet.carried[no] / steps as f64);
    }
    sums
}

#[test]
fn a_zone_that_tells_a_third_of_its_demand_is_not_filled_by_others() {
    let amounts = [1.5, 0.85, 1.0];
    let mut fleet = Fleet::new([1.0; 3]);
    fleet.told_factor[1] = 1.0 / 3.0;

    let carried = mean_carried(&mut fleet, amounts);

    assert!(carried[1] <= 1.0, "{carried:?}");
    assert!(plainly_carried(amounts, fleet.room)[1] > 1.0);
}

#[test]
fn a_zone_that_tells_three_times_its_demand_only_gets_less_of_others() {
    let amounts = [1.2, 0.3, 0.3];
    let mut fleet = Fleet::new([1.0; 3]);
    fleet.told_factor[1] = 3.0;

    let carried = mean_carried(&mut fleet, amounts);

    assert!((carried[1] - amounts[1]).abs() < 0.01, "{carried:?}");
    assert!(carried[0] <= 0.9 && carried[2] <= 0.75, "{carried:?}");
}

#[test]
fn a_zone_whose_own_demand_is_told_three_times_keeps_its_engines_in_use() {
    let amounts = [1.1, 0.2, 0.2];
    let mut fleet = Fleet::new([1.0; 3]);
    fleet.told_factor[0] = 3.0;

    let carried = mean_carried(&mut fleet, amounts);

    assert!(carried[0] >= 0.5, "{carried:?}");
    assert!(carried[1] <= 0.75 && carried[2] <= 0.75, "{carried:?}");
}

#[test]
fn a_calm_zone_whose_own_demand_is_told_three_times_keeps_its_requests() {
    let amounts = [0.4; 3];
    let mut fleet = Fleet::new([1.0; 3]);
    fleet.told_factor[0] = 3.0;

    let carried = mean_carried(&mut fleet, amounts);

    assert!((carried[0] - amounts[0]).abs() < 0.01, "{carried:?}");
}
