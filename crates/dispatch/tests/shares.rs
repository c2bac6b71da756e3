//! Properties of divided limits: the shares of all instances add up to no more than the limit.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddrV4;

use dispatch::{Bounds, FleetKnowledge, RequestWindow, RetryBudget, Share};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ZONES: u32 = 3;
/// The window of the limits.
const WINDOW: Duration = Duration::from_secs(10);
/// When all instances have run for more than a window.
const NOW: Time = Time::from_millis(10_000);

fn address(no: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 2, (no >> 8) as u8, no as u8].into(), 7_000)
}

/// Returns the shares of a fleet whose members all know each other.
fn fleet(size: u16) -> Vec<Share> {
    let share = |no| {
        let mut share = Share::new(Time::default(), address(no), ZONES);
        share.update(NOW, (0..size).map(address), FleetKnowledge::Settled);
        share
    };
    (0..size).map(share).collect()
}

/// Returns the share of an instance that knows no other.
fn lone_share() -> Share {
    fleet(1).remove(0)
}

#[test]
fn whole_units_of_all_instances_add_up_to_no_more_than_the_limit() {
    for size in [1, 2, 7, 10, 34, 35, 36, 100, 340] {
        let fleet = fleet(size);
        for server in 0..50 {
            let server = ServerId::of(&format!("i-{server}"));
            let sum: u32 = fleet.iter().map(|share| share.whole_units(35, server)).sum();
            assert!(sum <= 35, "{sum} units in a fleet of {size}, the limit is 35");
            assert!(sum >= 1, "no instance in a fleet of {size} has a unit");
        }
    }
}

#[test]
fn instances_agree_which_of_them_get_a_unit_when_there_are_fewer_units_than_instances() {
    let fleet = fleet(340);
    let server = ServerId::of("i-1");

    let holders = fleet.iter().filter(|share| share.whole_units(35, server) > 0).count();

    // Unknown spares may have the rest.
    assert_eq!(holders, 35 - ZONES as usize);
}

#[test]
fn spares_unknown_to_the_other_instances_do_not_exceed_the_limit() {
    let mut all = fleet(7);
    // Each spare has just started, and knows only itself and three seeds.
    for no in 7..7 + ZONES as u16 {
        let mut spare = Share::new(NOW, address(no), ZONES);
        spare.update(NOW, (0..3).map(address).chain([address(no)]), FleetKnowledge::Unsettled);
        all.push(spare);
    }

    let sum: f64 = all.iter().map(|share| share.fraction(NOW, 54.0, WINDOW)).sum();

    assert!(sum <= 54.0, "the shares add up to {sum}, the limit is 54");
}

#[test]
fn retries_of_a_fleet_stay_within_the_budget_in_every_window() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = rng.random_range(1..12_u16);
        let shares = fleet(size);
        let bounds = Bounds { retry_slack: 54.0, ..Bounds::default() };
        let mut budgets = vec![RetryBudget::default(); usize::from(size)];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = Time::from_millis(10_000);
        for _ in 0..8_000 {
            now = now + Duration::from_micros(rng.random_range(0..12_000));
            let no = rng.random_range(0..usize::from(size));
            if rng.random_bool(0.5) {
                budgets[no].request(now, &bounds);
                requests.push(now);
            } else if budgets[no].reserve(now, &bounds, &shares[no]) {
                budgets[no].spend(now, &bounds);
                retries.push(now);
            }
        }

        let in_window = |times: &[Time], end: Time| {
            times.iter().filter(|at| **at <= end && end.since(**at) < bounds.retry_window).count()
        };
        for end in &retries {
            let retried = in_window(&retries, *end) as f64;
            // The requests that count are those of this window, or of one that began earlier.
            let requested =
                [0, 5, 10].map(|back| in_window(&requests, *end - Duration::from_secs(back)));
            let allowed = 0.2 * *requested.iter().max().unwrap() as f64 + 54.0;
            assert!(retried <= allowed, "seed {seed}: {retried} retries, {allowed} allowed");
        }
    }
}

#[test]
fn retries_that_are_all_reserved_at_once_use_half_of_the_budget_and_no_more_than_all() {
    let (share, bounds) = (lone_share(), Bounds { retry_slack: 54.0, ..Bounds::default() });
    let mut budget = RetryBudget::default();
    let start = Time::from_millis(10_000);
    let requests: Vec<_> = (0..10_000).map(|no| start + Duration::from_millis(2) * no).collect();

    for at in &requests {
        budget.request(*at, &bounds);
    }
    let end = *requests.last().unwrap();
    let retries = (0..10_000).filter(|_| budget.reserve(end, &bounds, &share)).count();

    let requested = requests.iter().filter(|at| end.since(**at) < bounds.retry_window).count();
    let allowed = bounds.retry_ratio * requested as f64 + bounds.retry_slack;
    assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
    assert!(retries as f64 > allowed * 0.45, "only {retries} retries of {allowed} allowed");
}

/// The servers fail at the end of a burst of requests. The retries must not use a budget that comes
/// from requests outside the windows that count.
#[test]
fn retries_after_a_burst_of_requests_stay_within_the_budget_in_every_window() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (share, bounds) = (lone_share(), Bounds { retry_slack: 4.0, ..Bounds::default() });
        let (mut budget, start) = (RetryBudget::default(), Time::from_millis(10_000));
        let (begin, end) = (rng.random_range(0..20_000), rng.random_range(20_000..40_000));
        let failing = end - rng.random_range(0..5_000)..end + rng.random_range(0..5_000);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());

        for millis in 0..60_000_u64 {
            let now = start + Duration::from_millis(millis);
            if (begin..end).contains(&millis) && millis % 5 == 0 || millis % 50 == 0 {
                budget.request(now, &bounds);
                requests.push(now);
            }
            if failing.contains(&millis) && budget.reserve(now, &bounds, &share) {
                budget.spend(now, &bounds);
                retries.push(now);
            }
        }

        for millis in 10_000..60_000 {
            let from = start + Duration::from_millis(millis);
            let within = |times: &[Time], from: Time| {
                let until = from + bounds.retry_window;
                times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
            };
            let retried = within(&retries, from) as f64;
            // The requests that count are those of this window, or of one that began earlier.
            let requested =
                [0, 5, 10].map(|back| within(&requests, from - Duration::from_secs(back)));
            let most = requested.into_iter().max().unwrap_or_default();
            let allowed = bounds.retry_ratio * most as f64 + bounds.retry_slack;
            assert!(retried <= allowed, "seed {seed}: {retried} retries, {allowed} allowed");
        }
    }
}

/// Retries are reserved while all servers are full, and sent much later, all at once. They must
/// count in the window in which they are sent.
#[test]
fn retries_sent_long_after_their_reservation_stay_within_the_budget() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (share, bounds) = (lone_share(), Bounds { retry_slack: 4.0, ..Bounds::default() });
        let (mut budget, start) = (RetryBudget::default(), Time::from_millis(10_000));
        let (mut waiting, mut retries) = (0, Vec::new());

        for millis in 0..60_000 {
            let now = start + Duration::from_millis(millis);
            if millis % 5 == 0 {
                budget.request(now, &bounds);
            }
            if budget.reserve(now, &bounds, &share) {
                waiting += 1;
            }
            // At random times the servers have room for all waiting retries.
            if rng.random_bool(0.000_5) {
                for _ in 0..std::mem::take(&mut waiting) {
                    budget.spend(now, &bounds);
                    retries.push(now);
                }
            }
        }

        let requested = bounds.retry_window.as_millis() as f64 / 5.0;
        let allowed = bounds.retry_ratio * requested + bounds.retry_slack;
        for end in &retries {
            let is_inside = |at: &&Time| **at <= *end && end.since(**at) < bounds.retry_window;
            let retried = retries.iter().filter(is_inside).count() as f64;
            assert!(retried <= allowed, "seed {seed}: {retried} retries, {allowed} allowed");
        }
    }
}

#[test]
fn a_cold_server_gets_no_more_requests_than_its_limit_in_any_second() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = rng.random_range(1..60_u16);
        let shares = fleet(size);
        let server = ServerId::of("i-cold");
        let mut sent = vec![RequestWindow::default(); usize::from(size)];
        let mut arrivals = Vec::new();
        let mut now = Time::from_millis(10_000);
        for _ in 0..5_000 {
            now = now + Duration::from_micros(rng.random_range(0..2_000));
            let no = rng.random_range(0..usize::from(size));
            if sent[no].count(now) < shares[no].whole_units(35, server) {
                sent[no].record(now);
                // Requests are under way for up to 50 ms, so they may arrive closer together.
                arrivals.push(now + Duration::from_millis(rng.random_range(0..50)));
            }
        }

        for end in &arrivals {
            let second = Duration::from_secs(1);
            let within = arrivals.iter().filter(|at| **at <= *end && end.since(**at) < second);
            assert!(within.count() <= 35, "seed {seed}: more than 35 from {size} instances");
        }
    }
}
