//! Tests of the load generator without daemons.
#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use config::{Account, Class, Config};
use fakes::{
    Balancer, Engine, EngineBehavior,
    load::{Arrival, Mix, Plan, Report, run},
    rt::block_on,
};

const LENGTH: Duration = Duration::from_secs(20);

fn mix() -> Mix {
    let class =
        |name: &str| Class { name: name.to_owned(), tier: 0, target_ms: 1_000, max_wait_ms: None };
    let account = |name: &str, rate| Account {
        name: name.to_owned(),
        key_hashes: vec![],
        rate,
        burst: 10,
        weight: 1,
    };
    let config = Config {
        classes: ["live-replies", "ledger", "summaries", "drafts"].map(class).to_vec(),
        accounts: vec![account("large", 60.0), account("small", 15.0)],
        ..Config::default()
    };
    Mix::alfombras(&config, 4_800.0)
}

#[test]
fn the_same_seed_gives_the_same_load() {
    let arrivals = |seed| format!("{:?}", Plan::new(&mix(), seed, LENGTH, 50.0).arrivals);

    assert_eq!(arrivals(1), arrivals(1));
    assert_ne!(arrivals(1), arrivals(2));
}

#[test]
fn the_load_has_the_stated_rate_and_shares() {
    // Below the accounts' rates, also during bursts.
    let plan = Plan::new(&mix(), 3, LENGTH, 20.0);

    let large = plan.arrivals.iter().filter(|it| it.account == 0).count() as f64;
    let all = plan.arrivals.len() as f64;

    assert!((320.0..480.0).contains(&all), "{all}");
    assert!((0.7..0.9).contains(&(large / all)), "{large} of {all}");
    assert!(plan.arrivals.iter().all(|it| it.within_rate));
}

#[test]
fn a_flood_exceeds_only_the_rate_of_its_account() {
    let plan = Plan::new(&mix(), 3, LENGTH, 20.0).flood(&mix(), 3, 1, 10.0);

    let counts = |account| {
        let arrivals = plan.arrivals.iter().filter(move |it| it.account == account);
        let (within, over): (Vec<&Arrival>, Vec<&Arrival>) =
            arrivals.partition(|it| it.within_rate);
        (within.len() as f64, over.len())
    };

    assert_eq!(counts(0).1, 0);
    // 20 s at 15 requests per second plus the burst of 10.
    assert!((290.0..=310.0).contains(&counts(1).0), "{:?}", counts(1));
    assert!(counts(1).1 > 2_000);
}

#[test]
fn a_report_counts_every_request_once() {
    let engine =
        Engine::start_warm(EngineBehavior::default().tokens_per_s(2_000.0).slots(64)).unwrap();
    let plan = Plan::new(&mix(), 5, Duration::from_secs(2), 30.0);
    let balancer = Arc::new(Balancer::start([(engine.address(), engine.address())]));

    let samples = block_on(run(&mix(), &plan, &balancer));
    let report = Report::new(&mix(), &plan, &samples, &engine.record());

    println!("{report}");
    let all = &report.all;
    assert_eq!(all.offered, plan.arrivals.len());
    assert_eq!(all.in_target + all.late + all.broken(), all.offered);
    assert_eq!(all.broken(), 0, "{:?}", all.broken);
    assert_eq!(report.classes.iter().map(|it| it.offered).sum::<usize>(), all.offered);
    assert_eq!(report.accounts.iter().map(|it| it.offered).sum::<usize>(), all.offered);
    assert_eq!(report.foreign, 0);
}
