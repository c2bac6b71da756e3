//! Overload: bounded queues, early refusals, and a goodput close to that at capacity.

use std::time::Duration;

use async_executor::Task;
use fakes::{
    Call, Client, End, EngineBehavior, Fleet, FleetBuilder, Reply, key_of,
    rt::{block_on, sleep, spawn},
};

use crate::support::{self, GuardedFleet, PlannedCall, Sample};

const ACCOUNTS: [&str; 3] = ["one", "two", "three"];
/// An account with a small rate, which one test exceeds tenfold.
const SMALL: &str = "small";
const SMALL_RATE: f64 = 10.0;
const SERVER_LIMIT: u32 = 4;
const SERVERS: usize = 3;
const TOKENS: u32 = 20;
const TOKENS_PER_S: f64 = 200.0;
/// Requests per second that all servers sustain: each takes 100 ms plus 20 ms of prefill.
const CAPACITY_PER_S: f64 = SERVERS as f64 * SERVER_LIMIT as f64 / 0.12;
const TARGET: Duration = Duration::from_millis(1_500);
/// Lowest allowed goodput under overload, relative to that at capacity.
const MIN_GOODPUT_RATIO: f64 = 0.9;
const LOAD_DURATION: Duration = Duration::from_secs(5);

fn fleet() -> GuardedFleet {
    let target_ms = u64::try_from(TARGET.as_millis()).unwrap();
    let mut builder = FleetBuilder::new()
        .class("high", 0, target_ms)
        .class("low", 1, target_ms)
        .completion_route("/v1/completions", &["high", "low"])
        .account(SMALL, SMALL_RATE, 10);
    for account in ACCOUNTS {
        builder = builder.account(account, 2_000.0, 2_000);
    }
    for zone in ["a", "b", "c"] {
        let behavior =
            EngineBehavior::default().tokens_per_s(TOKENS_PER_S).slots(SERVER_LIMIT as usize);
        builder = builder.zone(zone, 1).engine("m", zone, SERVER_LIMIT, behavior);
    }
    let fleet = support::start_exclusive(builder);
    // The shares start empty and fill at the accounts' rates.
    support::sleep_for(Duration::from_millis(2_500));
    fleet
}

fn call(account: &str, class: &str, nonce: &str) -> Call {
    let call = Call::completion("/v1/completions", "m", TOKENS).key(&key_of(account));
    call.class(class).nonce(nonce).mark("account", account).timeout(Duration::from_secs(10))
}

/// Returns calls at `factor` times the capacity, of both tiers and all accounts but the small one,
/// to all daemons.
fn load(fleet: &Fleet, name: &str, factor: f64) -> Vec<PlannedCall> {
    let names = fleet.daemon_names();
    support::evenly_spread(12, CAPACITY_PER_S * factor, LOAD_DURATION, |i| {
        let nonce = format!("{name}-{i}");
        let class = if i % 3 == 0 { "high" } else { "low" };
        let call = call(ACCOUNTS[i % ACCOUNTS.len()], class, &nonce);
        let targets = vec![fleet.address(&names[i / 3 % names.len()])];
        PlannedCall { at: Duration::ZERO, targets, call, nonce }
    })
}

fn in_target(sample: &Sample) -> bool {
    sample.reply.is_complete() && sample.reply.first_byte.is_some_and(|it| it <= TARGET)
}

fn goodput(samples: &[Sample]) -> usize {
    samples.iter().filter(|it| in_target(it)).count()
}

/// Polls the dumps of all daemons for the length of a load; returns the highest number of requests
/// at one daemon.
fn watch_queues(fleet: &Fleet) -> Task<u64> {
    let admins: Vec<_> = fleet.daemon_names().iter().map(|it| fleet.admin(it)).collect();
    spawn(async move {
        let mut most = 0;
        let end = std::time::Instant::now() + LOAD_DURATION;
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

/// Prints how the calls ended, and after which time they were refused.
fn describe(name: &str, samples: &[Sample]) {
    println!("{name}: {} in target of {}", goodput(samples), samples.len());
    println!("{name}: {}", support::summary(samples));
    let refused = samples.iter().filter(|it| it.reply.end == End::Refused);
    let mut times: Vec<Duration> = refused.map(|it| it.reply.total).collect();
    times.sort();
    if let Some(median) = times.get(times.len() / 2) {
        println!("{name}: refused after {median:?} (median), {:?} (maximum)", times.last());
    }
}

/// Requests that wait too long miss their target and still use capacity, so queues must be bounded
/// and excess requests refused early.
#[test]
fn goodput_stays_near_capacity_in_a_burst_of_three_times_the_capacity() {
    let fleet = fleet();

    let usual = block_on(support::start_calls(load(&fleet, "usual", 1.0)));
    let queues = watch_queues(&fleet);
    let burst = block_on(support::start_calls(load(&fleet, "burst", 3.0)));
    let most = block_on(queues);

    describe("capacity", &usual);
    describe("burst", &burst);
    println!("burst: at most {most} requests at one daemon");
    let ratio = goodput(&burst) as f64 / goodput(&usual) as f64;
    println!("burst: goodput {ratio:.3} of that at capacity");
    assert!(ratio >= MIN_GOODPUT_RATIO, "{ratio}");
    // Admitted requests are served within their target, so no more wait than are served in that
    // time; twice as many are allowed.
    let bound = (CAPACITY_PER_S * TARGET.as_secs_f64()).ceil() as u64 * 2;
    assert!(most <= bound, "{most} requests at one daemon, bound {bound}");
    let is_late = |it: &&Sample| it.reply.end == End::Refused && it.reply.total > TARGET * 2;
    assert_eq!(burst.iter().filter(is_late).count(), 0, "late refusals");
}

/// No request of an account within its rate may be refused because of the flood, and 98 % of them
/// must be served within their target.
#[test]
fn an_account_at_ten_times_its_rate_does_not_affect_the_others() {
    let fleet = fleet();
    let names = fleet.daemon_names();
    let flood = |fleet: &Fleet| {
        support::evenly_spread(13, SMALL_RATE * 10.0, LOAD_DURATION, |i| {
            let nonce = format!("flood-{i}");
            let targets = vec![fleet.address(&names[i % names.len()])];
            PlannedCall { at: Duration::ZERO, targets, call: call(SMALL, "high", &nonce), nonce }
        })
    };
    let alone = block_on(support::start_calls(load(&fleet, "alone", 0.7)));
    let mut plan = load(&fleet, "beside", 0.7);
    plan.extend(flood(&fleet));

    let samples = block_on(support::start_calls(plan));

    let (beside, flood): (Vec<_>, Vec<_>) =
        samples.into_iter().partition(|it| it.nonce.starts_with("beside"));
    describe("without the flood", &alone);
    describe("with the flood", &beside);
    describe("flood", &flood);
    let refused =
        |samples: &[Sample]| samples.iter().filter(|it| it.reply.end == End::Refused).count();
    assert_eq!(refused(&beside), 0, "refusals of accounts within their rates");
    assert!(goodput(&beside) as f64 >= 0.98 * beside.len() as f64);
    assert!(refused(&flood) > 0, "no request of the flood was refused");
}

/// Sends a request and retries after each refusal with a short pause, ignoring `retry-after`.
async fn send_with_retries(target: std::net::SocketAddr, call: Call) -> Reply {
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

/// Each refused request is sent again up to five times after 50 ms. These extra requests must not
/// lower the goodput.
#[test]
fn goodput_stays_near_capacity_in_a_retry_storm() {
    let fleet = fleet();
    let usual = block_on(support::start_calls(load(&fleet, "usual", 1.0)));
    let received = || fleet.record().len();
    let before = received();
    let plan = load(&fleet, "storm", 2.0);

    let samples: Vec<Reply> = block_on(async {
        let start = std::time::Instant::now();
        let mut tasks = Vec::new();
        for planned in plan {
            let at = start + planned.at;
            sleep(at.saturating_duration_since(std::time::Instant::now())).await;
            tasks.push(spawn(send_with_retries(planned.targets[0], planned.call)));
        }
        let mut replies = Vec::new();
        for task in tasks {
            replies.push(task.await);
        }
        replies
    });

    let good = |it: &&Reply| it.is_complete() && it.first_byte.is_some_and(|it| it <= TARGET);
    let good = samples.iter().filter(good).count();
    let ratio = good as f64 / goodput(&usual) as f64;
    let attempts = received() - before;
    describe("capacity", &usual);
    println!("storm: {good} in target, {ratio:.3} of that at capacity, {attempts} attempts");
    assert!(ratio >= MIN_GOODPUT_RATIO, "{ratio}");
}
