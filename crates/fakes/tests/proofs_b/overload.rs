//! Overload: bounded queues, early shedding, goodput near capacity.

use std::time::Duration;

use async_executor::Task;
use fakes::{
    Call, Client, End, Fleet, FleetBuilder, Knobs, Reply, key_of,
    rt::{block_on, sleep, spawn},
};

use crate::support::{self, Bench, Planned, Sample};

const ACCOUNTS: [&str; 3] = ["one", "two", "three"];
/// The account with a small rate that one test floods.
const SMALL: &str = "small";
const SMALL_RATE: f64 = 10.0;
const SERVER_LIMIT: u32 = 4;
const SERVERS: usize = 3;
const TOKENS: u32 = 20;
const TOKENS_PER_S: f64 = 200.0;
/// The requests a second that all servers bear: each takes 100 ms and the prefill.
const CAPACITY_PER_S: f64 = SERVERS as f64 * SERVER_LIMIT as f64 / 0.12;
const TARGET: Duration = Duration::from_millis(1_500);
/// Least goodput under overload, as a part of that at capacity.
const LEAST_GOODPUT: f64 = 0.9;
const LOAD: Duration = Duration::from_secs(5);

fn fleet() -> Bench {
    let target_ms = u64::try_from(TARGET.as_millis()).unwrap();
    let mut builder = FleetBuilder::new()
        .class("high", 0, target_ms)
        .class("low", 1, target_ms)
        .completions("/v1/completions", &["high", "low"])
        .account(SMALL, SMALL_RATE, 10);
    for account in ACCOUNTS {
        builder = builder.account(account, 2_000.0, 2_000);
    }
    for zone in ["a", "b", "c"] {
        let knobs = Knobs::default().tokens_per_s(TOKENS_PER_S).slots(SERVER_LIMIT as usize);
        builder = builder.zone(zone, 1).engine("m", zone, SERVER_LIMIT, knobs);
    }
    let fleet = support::start_alone(builder);
    // The shares start empty: their tokens come with time.
    support::pass(Duration::from_millis(2_500));
    fleet
}

fn call(account: &str, class: &str, nonce: &str) -> Call {
    let call = Call::completion("/v1/completions", "m", TOKENS).key(&key_of(account));
    call.class(class).nonce(nonce).mark("account", account).timeout(Duration::from_secs(10))
}

/// A load of some times the capacity, both tiers, all accounts but the small one, all daemons.
fn load(fleet: &Fleet, name: &str, factor: f64) -> Vec<Planned> {
    let names = fleet.names();
    support::steady(12, CAPACITY_PER_S * factor, LOAD, |i| {
        let nonce = format!("{name}-{i}");
        let class = if i % 3 == 0 { "high" } else { "low" };
        let call = call(ACCOUNTS[i % ACCOUNTS.len()], class, &nonce);
        let targets = vec![fleet.address(&names[i / 3 % names.len()])];
        Planned { at: Duration::ZERO, targets, call, nonce }
    })
}

fn in_target(sample: &Sample) -> bool {
    sample.reply.is_whole() && sample.reply.first_byte.is_some_and(|it| it <= TARGET)
}

fn goodput(samples: &[Sample]) -> usize {
    samples.iter().filter(|it| in_target(it)).count()
}

/// Watches how many requests wait anywhere, until it is dropped.
fn watch_queues(fleet: &Fleet) -> Task<u64> {
    let admins: Vec<_> = fleet.names().iter().map(|it| fleet.admin(it)).collect();
    spawn(async move {
        let mut most = 0;
        let end = std::time::Instant::now() + LOAD;
        while std::time::Instant::now() < end {
            for admin in &admins {
                let reply = Client::new(*admin).send(&Call::get("/dump")).await;
                let dump: serde_json::Value =
                    serde_json::from_slice(&reply.body).unwrap_or_default();
                most = most.max(dump["requests"]["total"].as_u64().unwrap_or(0));
            }
            sleep(Duration::from_millis(100)).await;
        }
        most
    })
}

/// Prints the ends, and how soon refusals came.
fn describe(name: &str, samples: &[Sample]) {
    println!("{name}: {} in target of {}", goodput(samples), samples.len());
    println!("{name}: {}", support::ends(samples));
    let refused = samples.iter().filter(|it| it.reply.end == End::Refused);
    let mut waits: Vec<Duration> = refused.map(|it| it.reply.total).collect();
    waits.sort();
    if let Some(median) = waits.get(waits.len() / 2) {
        println!("{name}: refusals after {median:?} at the median, {:?} at most", waits.last());
    }
}

#[test]
fn goodput_stays_near_capacity_in_a_burst_of_three_times_the_capacity() {
    let fleet = fleet();

    let usual = block_on(support::launch(load(&fleet, "usual", 1.0)));
    let queues = watch_queues(&fleet);
    let burst = block_on(support::launch(load(&fleet, "burst", 3.0)));
    let most = block_on(queues);

    describe("capacity", &usual);
    describe("burst", &burst);
    println!("burst: at most {most} requests at a daemon");
    let ratio = goodput(&burst) as f64 / goodput(&usual) as f64;
    println!("burst: goodput {ratio:.3} of that at capacity");
    assert!(ratio >= LEAST_GOODPUT, "{ratio}");
    // What is admitted is served within its target, so no more than that waits.
    let bound = (CAPACITY_PER_S * TARGET.as_secs_f64()).ceil() as u64 * 2;
    assert!(most <= bound, "{most} requests at a daemon, bound {bound}");
    let high = |it: &&Sample| it.reply.end == End::Refused && it.reply.total > TARGET * 2;
    assert_eq!(burst.iter().filter(high).count(), 0, "refusals that came late");
}

#[test]
fn a_tenant_at_ten_times_its_rate_does_not_hurt_the_others() {
    let fleet = fleet();
    let names = fleet.names();
    let flood = |fleet: &Fleet| {
        support::steady(13, SMALL_RATE * 10.0, LOAD, |i| {
            let nonce = format!("flood-{i}");
            let targets = vec![fleet.address(&names[i % names.len()])];
            Planned { at: Duration::ZERO, targets, call: call(SMALL, "high", &nonce), nonce }
        })
    };
    let alone = block_on(support::launch(load(&fleet, "alone", 0.7)));
    let mut plan = load(&fleet, "beside", 0.7);
    plan.extend(flood(&fleet));

    let samples = block_on(support::launch(plan));

    let (beside, flood): (Vec<_>, Vec<_>) =
        samples.into_iter().partition(|it| it.nonce.starts_with("beside"));
    describe("without the flood", &alone);
    describe("beside the flood", &beside);
    describe("flood", &flood);
    let refused =
        |samples: &[Sample]| samples.iter().filter(|it| it.reply.end == End::Refused).count();
    assert_eq!(refused(&beside), 0, "refusals of accounts within their rates");
    assert!(goodput(&beside) as f64 >= 0.98 * beside.len() as f64);
    assert!(refused(&flood) > 0, "the flood passes");
}

/// Sends a request and again after each refusal, as an impatient caller does.
async fn impatient(target: std::net::SocketAddr, call: Call) -> Reply {
    const TRIES: usize = 6;
    let mut client = Client::new(target);
    let mut reply = client.send(&call).await;
    for _ in 1..TRIES {
        if reply.end != End::Refused {
            break;
        }
        sleep(Duration::from_millis(50)).await;
        reply = client.send(&call).await;
    }
    reply
}

#[test]
fn goodput_stays_near_capacity_in_a_retry_storm() {
    let fleet = fleet();
    let usual = block_on(support::launch(load(&fleet, "usual", 1.0)));
    let served = || fleet.record().len();
    let before = served();
    let plan = load(&fleet, "storm", 2.0);

    let samples: Vec<Reply> = block_on(async {
        let start = std::time::Instant::now();
        let mut tasks = Vec::new();
        for planned in plan {
            let at = start + planned.at;
            sleep(at.saturating_duration_since(std::time::Instant::now())).await;
            tasks.push(spawn(impatient(planned.targets[0], planned.call)));
        }
        let mut replies = Vec::new();
        for task in tasks {
            replies.push(task.await);
        }
        replies
    });

    let good = |it: &&Reply| it.is_whole() && it.first_byte.is_some_and(|it| it <= TARGET);
    let good = samples.iter().filter(good).count();
    let ratio = good as f64 / goodput(&usual) as f64;
    let attempts = served() - before;
    describe("capacity", &usual);
    println!("storm: {good} in target, {ratio:.3} of that at capacity, {attempts} attempts");
    assert!(ratio >= LEAST_GOODPUT, "{ratio}");
}
