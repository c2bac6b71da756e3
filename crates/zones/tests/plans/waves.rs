//! Waves of demand that reach the zones one after the other.

use std::f64::consts::TAU;

use crate::support::{Fleet, STEPS_PER_SECOND, plainly_left};

/// Length of a wave, in steps.
const PERIOD: usize = 90 * STEPS_PER_SECOND;
const PERIODS: usize = 6;

/// Returns the demand of each zone at a step: waves a third of a period apart, with noise.
fn wave(step: usize) -> [f64; 3] {
    let noise = |no: usize| 0.03 * ((step * 7 + no * 3) % 5) as f64 - 0.06;
    let phase = |no: usize| step as f64 / PERIOD as f64 + no as f64 / 3.0;
    [0, 1, 2].map(|no| 0.65 + 0.5 * (phase(no) * TAU).sin() + noise(no))
}

/// Counts how often a value turns from growth to decline or back, by more than this.
fn turns(values: &[f64], by: f64) -> usize {
    let (mut turns, mut extreme, mut is_growing) = (0, values[0], true);
    for &value in values {
        let ahead = if is_growing { value - extreme } else { extreme - value };
        if ahead > 0.0 {
            extreme = value;
        } else if -ahead > by {
            (turns, extreme, is_growing) = (turns + 1, value, !is_growing);
        }
    }
    turns
}

/// Load pattern: waves out of phase in three zones.
#[test]
fn leaving_follows_waves_out_of_phase_without_turning_back_and_forth() {
    let mut fleet = Fleet::new([1.0; 3]);
    let mut shares = [const { Vec::new() }; 3];

    for step in 0..PERIODS * PERIOD {
        fleet.step(wave(step));
        shares.iter_mut().zip(fleet.leaving_shares()).for_each(|(all, share)| all.push(share));
    }

    for shares in shares {
        // Twice in each wave, and as often because of the noise.
        let turns = turns(&shares, 0.05);
        assert!((PERIODS..=4 * PERIODS).contains(&turns), "{turns} in {PERIODS} waves");
    }
}

#[test]
fn zones_do_not_swap_their_requests_in_waves() {
    let mut fleet = Fleet::new([1.0; 3]);

    for step in 0..PERIODS * PERIOD {
        fleet.step(wave(step));
        for (one, other) in [(0, 1), (1, 2), (2, 0)] {
            let swapped = fleet.sent(one, other).min(fleet.sent(other, one));
            assert!(swapped <= 0.02, "{swapped} between {one} and {other} at step {step}");
        }
    }
}

#[test]
fn waves_are_served_with_less_leaving_than_under_the_plain_policy() {
    let mut fleet = Fleet::new([1.0; 3]);
    let [mut came, mut served, mut left, mut plainly] = [0.0; 4];

    for step in 0..PERIODS * PERIOD {
        let amounts = wave(step);
        fleet.step(amounts);
        came += amounts.iter().sum::<f64>();
        served += fleet.served();
        left += (0..3).map(|no| amounts[no] * (1.0 - fleet.sent(no, no))).sum::<f64>();
        plainly += plainly_left(amounts, fleet.room);
    }

    assert!(served >= 0.98 * came, "{served} of {came}");
    assert!(left <= 0.25 * plainly, "{left} instead of {plainly}");
}
