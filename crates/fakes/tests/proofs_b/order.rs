//! Tiers hold across daemons, and no class starves.

use std::time::{Duration, Instant};

use fakes::{Call, End, Entry, Finish, Fleet, FleetBuilder, Knobs, key_of, rt::block_on};

use crate::support::{self, Bench, Planned, Sample};

const HIGH: &str = "high";
const LOW: &str = "low";
const ACCOUNT: &str = "one";
const SERVER_LIMIT: u32 = 4;
const SERVERS: usize = 3;
const TOKENS: u32 = 20;
const TOKENS_PER_S: f64 = 200.0;
/// The requests a second that all servers bear: each takes 100 ms and the prefill.
const CAPACITY_PER_S: f64 = SERVERS as f64 * SERVER_LIMIT as f64 / 0.12;
/// Within which a request that waits is known to all owners of its pool's cells: two messages
/// each way and the delay before the other zones are asked, on a busy machine.
const KNOWN_WITHIN: Duration = Duration::from_millis(250);
/// From a grant to the arrival at the server, on a busy machine.
const ARRIVES_WITHIN: Duration = Duration::from_millis(100);
/// The stated window in which each class with waiting work completes some: the cells' window of
/// 5 s, a tenth of the dispatches, and the time of a request.
const WINDOW: Duration = Duration::from_millis(5_000 + 1_000);

fn fleet(low_target_ms: u64) -> Bench {
    let mut builder = FleetBuilder::new()
        .class(HIGH, 0, 2_000)
        .class(LOW, 1, low_target_ms)
        .class("bulk", 2, low_target_ms)
        .completions("/v1/completions", &[HIGH, LOW, "bulk"])
        .account(ACCOUNT, 2_000.0, 2_000)
        .account("two", 2_000.0, 2_000);
    for zone in ["a", "b", "c"] {
        let knobs = Knobs::default().tokens_per_s(TOKENS_PER_S).slots(SERVER_LIMIT as usize);
        builder = builder.zone(zone, 1).engine("m", zone, SERVER_LIMIT, knobs);
    }
    let fleet = support::start_alone(builder);
    // The shares start empty: their tokens come with time.
    support::pass(Duration::from_millis(1_500));
    fleet
}

/// Calls of a class at some daemons.
fn calls(fleet: &Fleet, class: &str, daemons: &[&str], load: f64, span: Duration) -> Vec<Planned> {
    let account = if class == HIGH { ACCOUNT } else { "two" };
    let seed = class.len() as u64;
    support::steady(seed, CAPACITY_PER_S * load, span, |i| {
        let nonce = format!("{class}-{i}");
        let call = Call::completion("/v1/completions", "m", TOKENS).key(&key_of(account));
        let call = call.class(class).nonce(&nonce).mark("class", class);
        let targets = vec![fleet.address(daemons[i % daemons.len()])];
        let call = call.timeout(Duration::from_secs(15));
        Planned { at: Duration::ZERO, targets, call, nonce }
    })
}

fn of_class<'a>(samples: &'a [Sample], class: &str) -> Vec<&'a Sample> {
    samples.iter().filter(|it| it.nonce.starts_with(class)).collect()
}

fn starts<'a>(record: &'a [Entry], class: &str) -> Vec<&'a Entry> {
    record.iter().filter(|it| it.request.mark("class") == class).collect()
}

/// When a higher request waited: from when all cells knew of it to its start or its refusal.
struct Wait {
    nonce: String,
    from: Instant,
    until: Instant,
}

fn waits(samples: &[&Sample], record: &[Entry]) -> Vec<Wait> {
    let wait = |sample: &&Sample| {
        let started = record.iter().find(|it| it.nonce() == sample.nonce).map(|it| it.at);
        let nonce = sample.nonce.clone();
        Wait { nonce, from: sample.sent + KNOWN_WITHIN, until: started.unwrap_or(sample.done) }
    };
    samples.iter().map(wait).filter(|it| it.from < it.until).collect()
}

/// Returns the marks of lower requests that were started while a higher one waited.
fn overtakers(waits: &[Wait], lower: &[&Entry]) -> Vec<String> {
    let overtakes = |entry: &&&Entry| {
        let granted = entry.at - ARRIVES_WITHIN;
        waits.iter().any(|it| it.from < granted && entry.at < it.until)
    };
    lower.iter().filter(overtakes).map(|it| it.nonce()).collect()
}

#[test]
fn no_higher_request_is_refused_while_lower_ones_take_the_capacity() {
    const LOAD: Duration = Duration::from_secs(5);
    let fleet = fleet(3_000);
    // The high tier comes through one daemon, the low tier through the others, three times what
    // the servers bear; both tiers together want 3.7 times the capacity.
    let mut plan = calls(&fleet, LOW, &["b-1", "c-1"], 3.0, LOAD);
    plan.extend(calls(&fleet, HIGH, &["a-1"], 0.7, LOAD));

    let samples = block_on(support::launch(plan));

    let (high, low) = (of_class(&samples, HIGH), of_class(&samples, LOW));
    let refused = high.iter().filter(|it| it.reply.end == End::Refused).count();
    let record = fleet.record();
    let preempted =
        |entry: &&&Entry| entry.finish == Finish::Cancelled && entry.at > Instant::now() - LOAD * 9;
    let cancelled = starts(&record, HIGH).iter().filter(preempted).count();
    let late = high.iter().filter(|it| it.done - it.sent > Duration::from_secs(2)).count();
    println!("tiers: {} high: {refused} refused, {cancelled} preempted, {late} late", high.len());
    println!(
        "tiers: low: {} of {}",
        low.iter().filter(|it| it.reply.is_whole()).count(),
        low.len()
    );
    println!("tiers: {}", support::ends(&samples));
    assert_eq!((refused, cancelled), (0, 0));
    assert!(high.iter().all(|it| it.reply.is_whole()));
}

#[test]
fn no_lower_request_starts_while_a_higher_one_waits() {
    // Shorter than the window in which a class may get nothing.
    const LOAD: Duration = Duration::from_millis(4_000);
    let fleet = fleet(3_000);
    let mut plan = calls(&fleet, LOW, &["b-1", "c-1"], 2.0, LOAD);
    plan.extend(calls(&fleet, HIGH, &["a-1"], 2.0, LOAD));
    let begun = Instant::now();

    let samples = block_on(support::launch(plan));

    let record = fleet.record();
    let high = of_class(&samples, HIGH);
    let waits = waits(&high, &record);
    let low: Vec<_> = starts(&record, LOW).into_iter().filter(|it| it.at < begun + LOAD).collect();
    let overtakers = overtakers(&waits, &low);
    let refused = high.iter().filter(|it| it.reply.end == End::Refused).count();
    println!(
        "tiers: {} high waited, {refused} refused, {} low started, {} of them overtook",
        waits.len(),
        low.len(),
        overtakers.len()
    );
    println!("tiers: {}", support::ends(&samples));
    let example = waits.first().map(|it| it.nonce.as_str());
    assert!(!waits.is_empty(), "the load is not over the capacity");
    assert!(overtakers.is_empty(), "{overtakers:?} overtook, for example {example:?}");
}

#[test]
fn each_class_completes_some_in_every_window_under_total_overload() {
    const LOAD: Duration = Duration::from_secs(13);
    let fleet = fleet(10_000);
    let mut plan = calls(&fleet, HIGH, &["a-1", "b-1", "c-1"], 2.0, LOAD);
    for class in [LOW, "bulk"] {
        plan.extend(calls(&fleet, class, &["b-1"], 0.1, LOAD));
    }
    let begun = Instant::now();

    let samples = block_on(support::launch(plan));

    println!("starvation: {}", support::ends(&samples));
    for class in [HIGH, LOW, "bulk"] {
        let mut done: Vec<Instant> = of_class(&samples, class)
            .iter()
            .filter(|it| it.reply.is_whole() && it.done < begun + LOAD)
            .map(|it| it.done)
            .collect();
        done.push(begun);
        done.push(begun + LOAD);
        done.sort();
        let gap = done.windows(2).map(|it| it[1] - it[0]).max().unwrap();
        println!("starvation: {class}: {} whole, longest gap {gap:?}", done.len() - 2);
        assert!(gap <= WINDOW, "{class}: nothing completed for {gap:?}");
    }
}
