//! How many requests leave their zone, for the loads that zones may have.

use model::prelude::*;
use zones::{Crossing, PlanContext, ZoneLoad, ZonePlan};

const ZONES: [ZoneId; 3] = [ZoneId(1), ZoneId(2), ZoneId(3)];
/// Time between two updates.
const STEP: Duration = Duration::from_millis(200);
/// What the engines of a zone read in a millisecond if all are there.
const TOKENS_PER_MS: f64 = 1_000.0;
const CX: PlanContext =
    PlanContext { margin: Duration::from_millis(60), crossing: Duration::from_millis(5) };

/// Returns the load of a zone in which this part of the engines may get requests and takes this long
/// to read the prompts there.
fn load(zone: ZoneId, part: f64, pressure_ms: f64) -> ZoneLoad {
    let tokens_per_ms = TOKENS_PER_MS * part;
    let slots = (1_000.0 * part) as u32;
    let unread_tokens = tokens_per_ms * pressure_ms;
    ZoneLoad { zone, tokens_per_ms, unread_tokens, attempts: slots / 2, slots }
}

/// Returns loads of three zones with these pressures, of which the first has this part of its
/// engines.
fn loads(part: f64, pressures_ms: [f64; 3]) -> [ZoneLoad; 3] {
    let [a, b, c] = pressures_ms;
    [load(ZONES[0], part, a), load(ZONES[1], 1.0, b), load(ZONES[2], 1.0, c)]
}

/// Returns a plan of the first zone that has known calm loads of all engines.
fn calm_plan() -> ZonePlan {
    let mut plan = ZonePlan::new(ZONES[0]);
    plan.update(Time::default(), &loads(1.0, [10.0; 3]), &CX);
    plan
}

/// Updates the plan this many times with the same loads, and returns the share that leaves after each.
fn leaving(plan: &mut ZonePlan, from: usize, steps: usize, loads: &[ZoneLoad]) -> Vec<f64> {
    let update = |no: usize| {
        plan.update(Time::default() + STEP * (from + no) as u32, loads, &CX);
        plan.leaving_share()
    };
    (1..=steps).map(update).collect()
}

/// Returns hashes that are spread evenly.
fn hashes() -> impl Iterator<Item = u64> {
    (0..10_000_u64).map(|no| no.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Answers a zone that gets three times its usual while its engines are cold: two of three requests
/// have to leave.
#[test]
fn a_zone_that_is_short_leaves_within_a_second_for_zones_that_are_calm() {
    let mut plan = calm_plan();

    let shares = leaving(&mut plan, 0, 5, &loads(0.5, [300.0, 10.0, 10.0]));

    assert!(shares[0] < 0.5, "{shares:?}");
    assert!(shares.is_sorted(), "{shares:?}");
    assert!(shares[4] >= 2.0 / 3.0, "{shares:?}");
}

/// Answers a shortage of all zones, in which an exchange of requests only costs.
#[test]
fn a_zone_that_is_short_sends_nothing_to_zones_that_are_short_too() {
    let mut plan = calm_plan();

    let shares = leaving(&mut plan, 0, 20, &loads(1.0, [300.0, 100.0, 70.0]));

    assert_eq!(shares, [0.0; 20]);
}

/// Answers live streams that fill the slots of a zone although their prompts are read at once.
#[test]
fn a_zone_whose_slots_are_nearly_full_is_left() {
    let mut plan = calm_plan();
    let mut loads = loads(1.0, [10.0; 3]);
    loads[0].attempts = loads[0].slots * 9 / 10;

    let shares = leaving(&mut plan, 0, 5, &loads);

    assert!(shares[4] > 0.3, "{shares:?}");
}

/// Answers a zone that another short one has filled: its own callers go first.
#[test]
fn requests_stop_going_to_a_zone_whose_pressure_reaches_the_margin() {
    let mut plan = calm_plan();
    leaving(&mut plan, 0, 5, &loads(1.0, [300.0, 10.0, 10.0]));

    let shares = leaving(&mut plan, 5, 5, &loads(1.0, [300.0, 60.0, 60.0]));

    assert_eq!(shares[4], 0.0, "{shares:?}");
}

#[test]
fn zones_that_are_short_divide_the_room_of_a_calm_one() {
    let (mut alone, mut competing) = (calm_plan(), calm_plan());

    let share = |plan: &mut ZonePlan, loads: &[ZoneLoad]| leaving(plan, 0, 10, loads)[9];
    let alone = share(&mut alone, &loads(1.0, [300.0, 70.0, 15.0]));
    let competing = share(&mut competing, &loads(1.0, [300.0, 300.0, 15.0]));

    assert!((alone - 0.75).abs() < 0.01, "{alone}");
    assert!((competing - 0.375).abs() < 0.01, "{competing}");
}

/// Answers waves of load out of phase: at each moment at most one of two zones sends requests to the
/// other.
#[test]
fn zones_with_waves_out_of_phase_do_not_swap_requests() {
    let mut plans = [ZonePlan::new(ZONES[0]), ZonePlan::new(ZONES[1])];
    for no in 0..100_u32 {
        let wave = 100.0 * (f64::from(no) * 0.2 * std::f64::consts::TAU / 10.0).sin();
        let loads = loads(1.0, [110.0 + wave, 110.0 - wave, 200.0]);

        plans.iter_mut().for_each(|plan| plan.update(Time::default() + STEP * no, &loads, &CX));

        let shares = plans.each_ref().map(ZonePlan::leaving_share);
        assert!(shares[0].min(shares[1]) == 0.0, "{shares:?} after {no} steps");
    }
}

/// Guards against shares that start and stop in turn while the pressure is near the margin.
#[test]
fn a_share_stays_between_half_of_the_margin_and_the_margin() {
    let mut plan = calm_plan();
    let grown = leaving(&mut plan, 0, 2, &loads(1.0, [300.0, 10.0, 10.0]))[1];

    let shares = leaving(&mut plan, 2, 10, &loads(1.0, [60.0, 10.0, 10.0]));

    assert_eq!(shares, [grown; 10]);
}

#[test]
fn a_zone_that_is_lost_is_left_at_once_and_returned_to_step_by_step() {
    let mut plan = calm_plan();

    let lost = leaving(&mut plan, 0, 1, &loads(0.0, [0.0, 90.0, 90.0]));
    let back = leaving(&mut plan, 1, 30, &loads(1.0, [0.0, 10.0, 10.0]));

    assert_eq!(lost, [1.0]);
    assert!(back[0] > 0.8, "{back:?}");
    assert!(back.is_sorted_by(|a, b| a >= b), "{back:?}");
    assert_eq!(back[29], 0.0);
}

/// Guards against a zone with few engines left that is left too slowly, although others are busy.
#[test]
fn a_zone_that_is_nearly_lost_is_left_at_once() {
    let mut plan = calm_plan();

    let lost = leaving(&mut plan, 0, 1, &loads(0.1, [200.0, 90.0, 90.0]));
    let back = leaving(&mut plan, 1, 30, &loads(1.0, [10.0; 3]));

    assert!(lost[0] >= 0.89, "{lost:?}");
    assert!(back[0] > 0.5, "{back:?}");
    assert_eq!(back[29], 0.0);
}

#[test]
fn a_calm_zone_that_loses_most_engines_is_not_left() {
    let mut plan = calm_plan();

    let shares = leaving(&mut plan, 0, 10, &loads(0.1, [10.0; 3]));

    assert_eq!(shares, [0.0; 10]);
}

#[test]
fn without_loads_nothing_leaves() {
    let mut plan = calm_plan();
    leaving(&mut plan, 0, 5, &loads(1.0, [300.0, 10.0, 10.0]));

    assert_eq!(leaving(&mut plan, 5, 1, &[]), [0.0]);
    assert!(hashes().all(|hash| !plan.may_go(ZONES[1], hash)));
}

#[test]
fn each_request_may_go_to_at_most_one_other_zone_and_as_many_as_the_share_tells_leave() {
    let mut plan = calm_plan();
    let share = leaving(&mut plan, 0, 2, &loads(1.0, [300.0, 10.0, 10.0]))[1];
    let zones = |hash| ZONES[1..].iter().filter(|zone| plan.may_go(**zone, hash)).count();

    let may_go = hashes().filter(|hash| zones(*hash) > 0).count();

    assert!((may_go as f64 / 10_000.0 - share).abs() < 0.01, "{may_go} for {share}");
    assert!(hashes().all(|hash| zones(hash) <= 1 && plan.may_go(ZONES[0], hash)));
}

#[test]
fn all_requests_of_a_lost_zone_may_go_to_some_zone() {
    let mut plan = calm_plan();
    leaving(&mut plan, 0, 1, &loads(0.0, [0.0, 10.0, 10.0]));

    let may_go = |hash| ZONES.iter().any(|zone| *zone != ZONES[0] && plan.may_go(*zone, hash));

    assert!([0, u64::MAX].into_iter().chain(hashes()).all(may_go));
}

#[test]
fn the_cost_of_crossing_grows_with_the_bytes() {
    let crossing =
        Crossing { round_trip: Duration::from_millis(5), per_kib: Duration::from_micros(500) };

    assert_eq!(crossing.cost(0), Duration::from_millis(5));
    assert_eq!(crossing.cost(10 << 10), Duration::from_millis(10));
}
