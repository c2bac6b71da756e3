//! Requests that must not run twice: kills of the daemon, a peer and the backend server at every
//! step, and resends with the idempotency key.

use std::{collections::HashMap, time::Duration};

use async_executor::Task;
use fakes::{Call, Entry, Fault, Finish, Fleet, FleetBuilder, Knobs, key_of, rt::block_on};

use crate::support::{self, Bench, Planned, READY_LIMIT, Sample};

const ACCOUNT: &str = "one";
const TARGET_MS: u64 = 1_000;
/// How long the plain service takes for a write.
const SERVICE: Duration = Duration::from_millis(40);
/// Writes that are under way when something dies.
const WRITES: usize = 12;
/// When something dies: before, at and after each step of a write's way.
const STEPS: [Step; 7] = [
    Step::After(0),
    Step::After(5),
    Step::After(15),
    Step::Arrived(1),
    Step::Arrived(WRITES / 2),
    Step::Arrived(WRITES),
    Step::Answered(1),
];

/// A step of the way of some writes.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// This many milliseconds after the first one was sent.
    After(u64),
    /// So many have arrived at backend servers.
    Arrived(usize),
    /// So many have run to their ends.
    Answered(usize),
}

/// The daemon that gets the first try, a peer, and the daemon that gets the resend.
const FIRST: &str = "a-1";
const PEER: &str = "b-1";
const SECOND: &str = "c-1";

/// Two daemons in zone `a`, two in `b`, one in `c`, one server of a plain service in each.
fn fleet() -> Bench {
    let mut builder = FleetBuilder::new()
        .class("plain", 0, TARGET_MS)
        .route("POST", "/s/write", Some("s"), &["plain"], false)
        .account(ACCOUNT, 400.0, 400)
        .proxied();
    for (zone, daemons) in [("a", 2), ("b", 2), ("c", 1)] {
        let knobs = Knobs::service(SERVICE).slots(32);
        builder = builder.zone(zone, daemons).service("s", zone, 32, knobs);
    }
    let fleet = support::start_beside(builder);
    // The shares start empty: their tokens come with time.
    support::pass(Duration::from_millis(1_500));
    fleet
}

/// The writes of one round, one millisecond after the other.
fn writes(fleet: &Fleet, daemon: &str, round: &str) -> Vec<Planned> {
    let one = |i: usize| {
        let write = format!("{round}-{i}");
        let call = unkeyed(&write).nonce(&write).idempotency(&write);
        let at = Duration::from_millis(i as u64);
        Planned { at, targets: vec![fleet.address(daemon)], call, nonce: write }
    };
    (0..WRITES).map(one).collect()
}

/// A write without idempotency key and nonce; the mark `write` counts what belongs together.
fn unkeyed(write: &str) -> Call {
    let call = Call::post("/s/write").key(&key_of(ACCOUNT)).mark("account", ACCOUNT);
    call.mark("write", write).timeout(Duration::from_secs(4))
}

/// The same writes again, each with its own nonce; `no` counts the resends.
fn resends(plan: &[Planned], fleet: &Fleet, daemon: &str, no: usize) -> Vec<Planned> {
    let again = |it: &Planned| {
        let nonce = format!("{}-again-{no}", it.nonce);
        let call = unkeyed(&it.nonce).nonce(&nonce).idempotency(&it.nonce).resend();
        Planned { at: Duration::ZERO, targets: vec![fleet.address(daemon)], call, nonce }
    };
    plan.iter().map(again).collect()
}

/// Checks that nothing ran twice and that what callers were told is true.
fn judge(name: &str, fleet: &Fleet, firsts: &[Sample], seconds: &[Sample]) {
    let record = fleet.record();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for entry in record.iter().filter(|it| it.ran()) {
        *runs.entry(entry.request.mark("write")).or_default() += 1;
    }
    println!("{name}: first tries: {}", support::ends(firsts));
    println!("{name}: resends: {}", support::ends(seconds));
    println!("{name}: {} of {} writes ran", runs.len(), firsts.len());
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "{name}: ran more than once: {twice:?}");
    let received = support::runs(&record);
    for samples in [firsts, seconds] {
        let lies = support::false_not_run(samples, &record);
        assert!(lies.is_empty(), "{name}: refused as not run, but ran: {lies:?}");
        for sample in samples.iter().filter(|it| it.reply.is_whole()) {
            assert_eq!(received.get(&sample.nonce), Some(&1), "{name}: {}", sample.nonce);
        }
    }
    assert!(!runs.is_empty(), "{name}: nothing ran");
}

/// Starts writes and waits until the step.
fn begin(fleet: &Fleet, plan: &[Planned], step: Step) -> Task<Vec<Sample>> {
    let nonces: Vec<String> = plan.iter().map(|it| it.nonce.clone()).collect();
    let load = support::launch(plan.to_vec());
    let reached = |needed: usize, counts: fn(&Entry) -> bool| {
        let seen = || {
            let record = fleet.record();
            let own = record.iter().filter(|it| nonces.contains(&it.nonce()));
            let count = own.filter(|it| counts(it)).count();
            // On a busy machine, some are refused before they arrive.
            let is_reached = count >= needed || load.is_finished();
            if is_reached { Ok(()) } else { Err(count.to_string()) }
        };
        fleet.wait(&format!("{step:?}"), READY_LIMIT, seen).unwrap();
    };
    match step {
        Step::After(millis) => support::pass(Duration::from_millis(millis)),
        Step::Arrived(count) => reached(count, |_| true),
        Step::Answered(count) => reached(count, |it| it.finish == Finish::Whole),
    }
    load
}

#[test]
fn writes_run_once_when_their_daemon_dies_and_they_are_resent_to_another() {
    let mut fleet = fleet();
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());

    for (no, step) in STEPS.into_iter().enumerate() {
        let plan = writes(&fleet, FIRST, &format!("dead-{no}"));
        let load = begin(&fleet, &plan, step);
        fleet.kill(FIRST).unwrap();
        firsts.extend(block_on(load));
        let again = support::launch(resends(&plan, &fleet, SECOND, 1));
        fleet.restart(FIRST).unwrap();
        seconds.extend(block_on(again));
        fleet.wait_ready(FIRST, READY_LIMIT).unwrap();
    }

    judge("daemon killed", &fleet, &firsts, &seconds);
}

#[test]
fn writes_run_once_when_their_daemon_dies_and_is_taken_off_the_list() {
    let mut fleet = fleet();
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());

    for (no, dead) in [FIRST, PEER].into_iter().enumerate() {
        let plan = writes(&fleet, dead, &format!("gone-{no}"));
        let load = begin(&fleet, &plan, Step::Arrived(WRITES / 2));
        fleet.kill(dead).unwrap();
        fleet.delist(dead);
        firsts.extend(block_on(load));
        seconds.extend(support::all_at_once(resends(&plan, &fleet, SECOND, 1)));
        // Once more, when the list and the holders have surely changed.
        support::pass(Duration::from_secs(1));
        seconds.extend(support::all_at_once(resends(&plan, &fleet, SECOND, 2)));
    }

    judge("daemon gone", &fleet, &firsts, &seconds);
}

#[test]
fn writes_run_once_when_a_peer_dies() {
    let mut fleet = fleet();
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());

    for (no, step) in STEPS.into_iter().enumerate() {
        let plan = writes(&fleet, FIRST, &format!("peer-{no}"));
        let load = begin(&fleet, &plan, step);
        fleet.restart(PEER).unwrap();
        seconds.extend(support::all_at_once(resends(&plan, &fleet, SECOND, 1)));
        firsts.extend(block_on(load));
        fleet.wait_ready(PEER, READY_LIMIT).unwrap();
    }

    judge("peer killed", &fleet, &firsts, &seconds);
}

#[test]
fn writes_run_once_when_a_backend_server_dies() {
    let fleet = fleet();
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());
    let servers: Vec<String> = fleet.engines().keys().cloned().collect();

    for (no, step) in STEPS.into_iter().enumerate() {
        let plan = writes(&fleet, FIRST, &format!("server-{no}"));
        let load = begin(&fleet, &plan, step);
        servers.iter().for_each(|it| fleet.engine(it).stop());
        support::pass(SERVICE);
        servers.iter().for_each(|it| fleet.engine(it).restart().unwrap());
        firsts.extend(block_on(load));
        seconds.extend(support::all_at_once(resends(&plan, &fleet, SECOND, 1)));
    }

    judge("backend servers killed", &fleet, &firsts, &seconds);
}

#[test]
fn writes_without_a_key_run_once_whatever_backend_servers_do() {
    let fleet = fleet();
    let faults = [
        Fault::ResetAfterRun,
        Fault::Cut,
        Fault::Foreign,
        Fault::Late(Duration::from_millis(200)),
        Fault::NotRun,
    ];
    let mut samples = Vec::new();

    for (no, fault) in faults.into_iter().enumerate() {
        fleet.engines().values().for_each(|it| it.fault(fault, WRITES / 3));
        let mut plan = writes(&fleet, FIRST, &format!("fault-{no}"));
        for planned in &mut plan {
            planned.call = unkeyed(&planned.nonce).nonce(&planned.nonce);
        }
        samples.extend(support::all_at_once(plan));
    }

    judge("backend servers at fault", &fleet, &samples, &[]);
}

#[test]
fn writes_run_once_when_daemons_are_cut_off_from_each_other() {
    let fleet = fleet();
    let net = fleet.net.as_ref().unwrap();
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());

    let steps = [Step::After(0), Step::After(5), Step::Arrived(WRITES / 2)];
    for (no, step) in steps.into_iter().enumerate() {
        let plan = writes(&fleet, FIRST, &format!("cut-{no}"));
        let load = begin(&fleet, &plan, step);
        net.isolate(FIRST);
        seconds.extend(support::all_at_once(resends(&plan, &fleet, SECOND, 1)));
        net.heal().unwrap();
        firsts.extend(block_on(load));
        seconds.extend(support::all_at_once(resends(&plan, &fleet, SECOND, 2)));
    }

    judge("daemon cut off", &fleet, &firsts, &seconds);
}
