//! Tiers are respected across daemons, and no class starves.

use std::time::{Duration, Instant};

use fakes::{
    Call, End, EngineBehavior, Finish, Fleet, FleetBuilder, RecordedRequest, key_of, rt::block_on,
};

use crate::support::{self, GuardedFleet, PlannedCall, Sample};

const HIGH: &str = "high";
const LOW: &str = "low";
const ACCOUNT: &str = "one";
const SERVER_LIMIT: u32 = 4;
const SERVERS: usize = 3;
const TOKENS: u32 = 20;
const TOKENS_PER_S: f64 = 200.0;
/// Requests per second that all servers sustain: each takes 100 ms plus 20 ms of prefill.
const CAPACITY_PER_S: f64 = SERVERS as f64 * SERVER_LIMIT as f64 / 0.12;
/// Time after which all owners of a pool's cells know of a queued request: two messages each way
/// and the delay before other zones are asked, on a busy machine.
const MAX_PROPAGATION: Duration = Duration::from_millis(250);
/// Time from a grant to the arrival at the server, on a busy machine.
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(100);
/// Specified window in which each class with queued requests must complete at least one: the cells'
/// window of 5 s, and 1 s for a class that gets a tenth of the dispatches and for the time of a
/// request.
const STARVATION_WINDOW: Duration = Duration::from_millis(5_000 + 1_000);

fn fleet(low_target_ms: u64) -> GuardedFleet {
    let mut builder = FleetBuilder::new()
        .class(HIGH, 0, 2_000)
        .class(LOW, 1, low_target_ms)
        .class("bulk", 2, low_target_ms)
        .completion_route("/v1/completions", &[HIGH, LOW, "bulk"])
        .account(ACCOUNT, 2_000.0, 2_000)
        .account("two", 2_000.0, 2_000);
    for zone in ["a", "b", "c"] {
        let behavior =
            EngineBehavior::default().tokens_per_s(TOKENS_PER_S).slots(SERVER_LIMIT as usize);
        builder = builder.zone(zone, 1).engine("m", zone, SERVER_LIMIT, behavior);
    }
    let fleet = support::start_exclusive(builder);
    // The shares start empty and fill at the accounts' rates.
    support::sleep_for(Duration::from_millis(1_500));
    fleet
}

/// Returns calls of a class to these daemons; `load` is relative to the capacity.
fn calls(
    fleet: &Fleet,
    class: &str,
    daemons: &[&str],
    load: f64,
    span: Duration,
) -> Vec<PlannedCall> {
    let account = if class == HIGH { ACCOUNT } else { "two" };
    let seed = class.len() as u64;
    support::evenly_spread(seed, CAPACITY_PER_S * load, span, |i| {
        let nonce = format!("{class}-{i}");
        let call = Call::completion("/v1/completions", "m", TOKENS).key(&key_of(account));
        let call = call.class(class).nonce(&nonce).mark("class", class);
        let targets = vec![fleet.address(daemons[i % daemons.len()])];
        let call = call.timeout(Duration::from_secs(15));
        PlannedCall { at: Duration::ZERO, targets, call, nonce }
    })
}

fn of_class<'a>(samples: &'a [Sample], class: &str) -> Vec<&'a Sample> {
    samples.iter().filter(|it| it.nonce.starts_with(class)).collect()
}

fn requests_of<'a>(record: &'a [RecordedRequest], class: &str) -> Vec<&'a RecordedRequest> {
    record.iter().filter(|it| it.request.mark("class") == class).collect()
}

/// The time that a request was queued: from when all cells knew of it to its start or refusal.
struct Wait {
    nonce: String,
    from: Instant,
    until: Instant,
}

fn waits(samples: &[&Sample], record: &[RecordedRequest]) -> Vec<Wait> {
    let wait = |sample: &&Sample| {
        let started = record.iter().find(|it| it.nonce() == sample.nonce).map(|it| it.at);
        let nonce = sample.nonce.clone();
        Wait { nonce, from: sample.sent + MAX_PROPAGATION, until: started.unwrap_or(sample.done) }
    };
    samples.iter().map(wait).filter(|it| it.from < it.until).collect()
}

/// Returns the nonces of lower-tier requests that were started while a higher-tier one was queued.
fn overtakers(waits: &[Wait], lower: &[&RecordedRequest]) -> Vec<String> {
    let overtakes = |entry: &&&RecordedRequest| {
        let granted = entry.at - MAX_DISPATCH_DELAY;
        waits.iter().any(|it| it.from < granted && entry.at < it.until)
    };
    lower.iter().filter(overtakes).map(|it| it.nonce()).collect()
}

/// The lower tier alone exceeds the capacity, through other daemons than the higher one. No request
/// of the higher tier may be refused or preempted because of it.
#[test]
fn no_higher_tier_request_is_refused_while_lower_tiers_use_the_capacity() {
    const LOAD_DURATION: Duration = Duration::from_secs(5);
    let fleet = fleet(3_000);
    // The high tier is sent to one daemon at 0.7 times the capacity, the low tier to the others at
    // three times the capacity, 3.7 times the capacity in total.
    let mut plan = calls(&fleet, LOW, &["b-1", "c-1"], 3.0, LOAD_DURATION);
    plan.extend(calls(&fleet, HIGH, &["a-1"], 0.7, LOAD_DURATION));

    let samples = block_on(support::start_calls(plan));

    let (high, low) = (of_class(&samples, HIGH), of_class(&samples, LOW));
    let refused = high.iter().filter(|it| it.reply.end == End::Refused).count();
    let record = fleet.record();
    let preempted = |entry: &&&RecordedRequest| {
        entry.finish == Finish::Cancelled && entry.at > Instant::now() - LOAD_DURATION * 9
    };
    let cancelled = requests_of(&record, HIGH).iter().filter(preempted).count();
    let late = high.iter().filter(|it| it.done - it.sent > Duration::from_secs(2)).count();
    println!("tiers: {} high: {refused} refused, {cancelled} preempted, {late} late", high.len());
    println!(
        "tiers: low: {} of {}",
        low.iter().filter(|it| it.reply.is_complete()).count(),
        low.len()
    );
    println!("tiers: {}", support::summary(&samples));
    assert_eq!((refused, cancelled), (0, 0));
    assert!(high.iter().all(|it| it.reply.is_complete()));
}

/// The tiers arrive at different daemons. If each daemon considered only its own queue, lower-tier
/// requests would overtake higher-tier ones queued elsewhere.
#[test]
fn no_lower_tier_request_starts_while_a_higher_tier_waits() {
    // Shorter than the window in which a class may complete no request.
    const LOAD_DURATION: Duration = Duration::from_millis(4_000);
    let fleet = fleet(3_000);
    let mut plan = calls(&fleet, LOW, &["b-1", "c-1"], 2.0, LOAD_DURATION);
    plan.extend(calls(&fleet, HIGH, &["a-1"], 2.0, LOAD_DURATION));
    let begun = Instant::now();

    let samples = block_on(support::start_calls(plan));

    let record = fleet.record();
    let high = of_class(&samples, HIGH);
    let waits = waits(&high, &record);
    let low: Vec<_> =
        requests_of(&record, LOW).into_iter().filter(|it| it.at < begun + LOAD_DURATION).collect();
    let overtakers = overtakers(&waits, &low);
    let refused = high.iter().filter(|it| it.reply.end == End::Refused).count();
    println!(
        "tiers: {} high queued, {refused} refused, {} low started, {} of them overtook",
        waits.len(),
        low.len(),
        overtakers.len()
    );
    println!("tiers: {}", support::summary(&samples));
    let example = waits.first().map(|it| it.nonce.as_str());
    assert!(!waits.is_empty(), "no request was queued: the load is below the capacity");
    assert!(
        overtakers.is_empty(),
        "{overtakers:?} overtook higher-tier requests such as {example:?}"
    );
}

/// The highest tier alone sends twice the capacity. With strict priorities, the lower classes would
/// complete no request.
#[test]
fn each_class_completes_requests_in_every_window_under_overload() {
    const LOAD_DURATION: Duration = Duration::from_secs(13);
    let fleet = fleet(10_000);
    let mut plan = calls(&fleet, HIGH, &["a-1", "b-1", "c-1"], 2.0, LOAD_DURATION);
    for class in [LOW, "bulk"] {
        plan.extend(calls(&fleet, class, &["b-1"], 0.1, LOAD_DURATION));
    }
    let begun = Instant::now();

    let samples = block_on(support::start_calls(plan));

    println!("starvation: {}", support::summary(&samples));
    for class in [HIGH, LOW, "bulk"] {
        let mut done: Vec<Instant> = of_class(&samples, class)
            .iter()
            .filter(|it| it.reply.is_complete() && it.done < begun + LOAD_DURATION)
            .map(|it| it.done)
            .collect();
        done.push(begun);
        done.push(begun + LOAD_DURATION);
        done.sort();
        let gap = done.windows(2).map(|it| it[1] - it[0]).max().unwrap();
        println!("starvation: {class}: {} complete, longest gap {gap:?}", done.len() - 2);
        assert!(gap <= STARVATION_WINDOW, "{class}: no request completed for {gap:?}");
    }
}
