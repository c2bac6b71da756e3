//! Parts of what a whole fleet may do add up to no more than the whole.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddrV4;

use dispatch::{Bounds, ColdGate, RetryBudget, Share};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ZONES: u32 = 3;

fn address(no: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 2, (no >> 8) as u8, no as u8].into(), 7_000)
}

/// The shares of a fleet whose members all know each other.
fn fleet(size: u16) -> Vec<Share> {
    let share = |no| {
        let mut share = Share::new(address(no), ZONES);
        share.update((0..size).map(address), true);
        share
    };
    (0..size).map(share).collect()
}

/// The share of an instance that knows no other.
fn lone_share() -> Share {
    fleet(1).remove(0)
}

#[test]
fn units_about_a_server_add_up_to_no_more_than_the_whole() {
    for size in [1, 2, 7, 10, 34, 35, 36, 100, 340] {
        let fleet = fleet(size);
        for server in 0..50 {
            let server = ServerId::of(&format!("i-{server}"));
            let sum: u32 = fleet.iter().map(|it| it.units(35, server)).sum();
            assert!(sum <= 35, "{sum} of 35 in a fleet of {size}");
            assert!(sum >= 1, "a fleet of {size} never sends to a cold server");
        }
    }
}

#[test]
fn units_of_a_large_fleet_are_with_instances_that_all_agree_on() {
    let fleet = fleet(340);
    let server = ServerId::of("i-1");

    let holders = fleet.iter().filter(|it| it.units(35, server) > 0).count();

    // Spares that are not in sight may hold the rest.
    assert_eq!(holders, 35 - ZONES as usize);
}

#[test]
fn spares_that_nobody_has_seen_keep_to_the_whole_as_well() {
    let mut all = fleet(7);
    // Each spare knows only itself and the seeds, and has settled.
    for no in 7..7 + ZONES as u16 {
        let mut spare = Share::new(address(no), ZONES);
        spare.update((0..3).map(address).chain([address(no)]), false);
        all.push(spare);
    }

    let sum: f64 = all.iter().map(|it| it.of(54.0)).sum();

    assert!(sum <= 54.0, "{sum}");
}

#[test]
fn retries_of_a_fleet_keep_to_the_budget_in_every_window() {
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
            times.iter().filter(|it| **it <= end && end.since(**it) < bounds.retry_window).count()
        };
        for end in &retries {
            let retried = in_window(&retries, *end) as f64;
            // The users count the requests of this window, or of one that began earlier.
            let asked = [0, 5, 10].map(|it| in_window(&requests, *end - Duration::from_secs(it)));
            let allowed = 0.2 * *asked.iter().max().unwrap() as f64 + 54.0;
            assert!(retried <= allowed, "seed {seed}: {retried} retries, {allowed} allowed");
        }
    }
}

#[test]
fn retries_that_all_come_at_once_after_a_calm_time_keep_to_the_budget() {
    let (share, bounds) = (lone_share(), Bounds { retry_slack: 54.0, ..Bounds::default() });
    let mut budget = RetryBudget::default();
    let start = Time::from_millis(10_000);
    let requests: Vec<_> = (0..10_000).map(|it| start + Duration::from_millis(2) * it).collect();

    for at in &requests {
        budget.request(*at, &bounds);
    }
    let end = *requests.last().unwrap();
    let retries = (0..10_000).filter(|_| budget.reserve(end, &bounds, &share)).count();

    let asked = requests.iter().filter(|it| end.since(**it) < bounds.retry_window).count();
    let allowed = bounds.retry_ratio * asked as f64 + bounds.retry_slack;
    assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
    assert!(retries as f64 > allowed * 0.9, "only {retries} retries of {allowed} allowed");
}

/// Pattern: a burst of requests ends, and the servers fail at its end.
#[test]
fn retries_after_a_burst_keep_to_the_budget_in_every_window() {
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
                times.partition_point(|it| *it < until) - times.partition_point(|it| *it < from)
            };
            let retried = within(&retries, from) as f64;
            // The users count the requests of this window, or of one that began earlier.
            let asked = [0, 5, 10].map(|it| within(&requests, from - Duration::from_secs(it)));
            let most = asked.into_iter().max().unwrap_or_default();
            let allowed = bounds.retry_ratio * most as f64 + bounds.retry_slack;
            assert!(retried <= allowed, "seed {seed}: {retried} retries, {allowed} allowed");
        }
    }
}

/// Pattern: every server is full, and requests that may be tried again wait for one.
#[test]
fn retries_that_wait_before_they_are_sent_keep_to_the_budget() {
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
            // Servers that come back take all that waits.
            if rng.random_bool(0.000_5) {
                for _ in 0..std::mem::take(&mut waiting) {
                    budget.spend(now, &bounds);
                    retries.push(now);
                }
            }
        }

        let asked = bounds.retry_window.as_millis() as f64 / 5.0;
        let allowed = bounds.retry_ratio * asked + bounds.retry_slack;
        for end in &retries {
            let is_inside = |it: &&Time| **it <= *end && end.since(**it) < bounds.retry_window;
            let retried = retries.iter().filter(is_inside).count() as f64;
            assert!(retried <= allowed, "seed {seed}: {retried} retries, {allowed} allowed");
        }
    }
}

#[test]
fn a_cold_server_gets_no_more_than_its_limit_in_any_second() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = rng.random_range(1..60_u16);
        let shares = fleet(size);
        let server = ServerId::of("i-cold");
        let mut gates = vec![ColdGate::default(); usize::from(size)];
        let mut arrivals = Vec::new();
        let mut now = Time::from_millis(10_000);
        for _ in 0..5_000 {
            now = now + Duration::from_micros(rng.random_range(0..2_000));
            let no = rng.random_range(0..usize::from(size));
            if gates[no].recent(now) < shares[no].units(35, server) {
                gates[no].sent(now);
                // Requests come closer together on their way by up to 50 ms.
                arrivals.push(now + Duration::from_millis(rng.random_range(0..50)));
            }
        }

        for end in &arrivals {
            let second = Duration::from_secs(1);
            let busy = arrivals.iter().filter(|it| **it <= *end && end.since(**it) < second);
            assert!(busy.count() <= 35, "seed {seed}, {size} instances");
        }
    }
}
