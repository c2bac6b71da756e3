//! Requests that are not idempotent run at most once when the daemon, a peer or the backend server
//! is killed at any step and the requests are resent with their idempotency key.

use std::{collections::HashMap, time::Duration};

use async_executor::Task;
use fakes::{
    Call, EngineBehavior, Fault, Finish, Fleet, FleetBuilder, RecordedRequest, key_of, rt::block_on,
};

use crate::support::{self, GuardedFleet, PlannedCall, READY_TIMEOUT, Sample};

const ACCOUNT: &str = "one";
const TARGET_MS: u64 = 1_000;
/// Time of a write at the plain service.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Writes that are in progress when a process is killed.
const WRITES: usize = 12;
/// When a process is killed: before, at and after each step of the writes.
const STEPS: [Step; 7] = [
    Step::After(0),
    Step::After(5),
    Step::After(15),
    Step::Arrived(1),
    Step::Arrived(WRITES / 2),
    Step::Arrived(WRITES),
    Step::Completed(1),
];

/// A step of the writes of a round.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// This many milliseconds after the first write was sent.
    After(u64),
    /// This many writes have arrived at backend servers.
    Arrived(usize),
    /// Backend servers have written the complete responses of this many writes.
    Completed(usize),
}

/// The daemon that gets the first try of each write.
const FIRST_DAEMON: &str = "a-1";
/// The peer that is killed.
const PEER_DAEMON: &str = "b-1";
/// The daemon that gets the resends.
const RESEND_DAEMON: &str = "c-1";

/// Two daemons in zone `a`, two in `b`, one in `c`, and one server of a plain service in each zone.
fn fleet() -> GuardedFleet {
    let mut builder = FleetBuilder::new()
        .class("plain", 0, TARGET_MS)
        .route("POST", "/s/write", Some("s"), &["plain"], false)
        .account(ACCOUNT, 400.0, 400)
        .proxied();
    for (zone, daemons) in [("a", 2), ("b", 2), ("c", 1)] {
        let behavior = EngineBehavior::service(SERVICE_TIME).slots(32);
        builder = builder.zone(zone, daemons).service("s", zone, 32, behavior);
    }
    let fleet = support::start_shared(builder);
    // The shares start empty and fill at the accounts' rates.
    support::sleep_for(Duration::from_millis(1_500));
    fleet
}

/// Returns the writes of one round, one per millisecond.
fn writes(fleet: &Fleet, daemon: &str, round: &str) -> Vec<PlannedCall> {
    let one = |i: usize| {
        let write = format!("{round}-{i}");
        let call = write_without_key(&write).nonce(&write).idempotency(&write);
        let at = Duration::from_millis(i as u64);
        PlannedCall { at, targets: vec![fleet.address(daemon)], call, nonce: write }
    };
    (0..WRITES).map(one).collect()
}

/// A write without idempotency key and nonce; the field `write` is the same in all its resends.
fn write_without_key(write: &str) -> Call {
    let call = Call::post("/s/write").key(&key_of(ACCOUNT)).mark("account", ACCOUNT);
    call.mark("write", write).timeout(Duration::from_secs(4))
}

/// Returns resends of the same writes, each with its own nonce; `no` is the number of the resend.
fn resends(plan: &[PlannedCall], fleet: &Fleet, daemon: &str, no: usize) -> Vec<PlannedCall> {
    let again = |it: &PlannedCall| {
        let nonce = format!("{}-again-{no}", it.nonce);
        let call = write_without_key(&it.nonce).nonce(&nonce).idempotency(&it.nonce).resend();
        PlannedCall { at: Duration::ZERO, targets: vec![fleet.address(daemon)], call, nonce }
    };
    plan.iter().map(again).collect()
}

/// Waits until a daemon serves writes, so that a crash finds some in progress. Each try is a write of
/// its own.
fn wait_until_served(fleet: &Fleet, daemon: &str, round: &str) {
    let mut tries = 0;
    let check = || {
        tries += 1;
        let write = format!("{round}-{daemon}-try-{tries}");
        let call = write_without_key(&write).nonce(&write).idempotency(&write);
        let targets = vec![fleet.address(daemon)];
        let planned = PlannedCall { at: Duration::ZERO, targets, call, nonce: write };
        let samples = support::run_calls(vec![planned]);
        let is_served = samples.iter().all(|it| it.reply.is_complete());
        if is_served { Ok(()) } else { Err(support::summary(&samples)) }
    };
    fleet.wait(&format!("{daemon} serves writes"), READY_TIMEOUT, check).unwrap();
}

/// Checks that no write ran twice, that none refused as not run did run, and that each complete
/// response belongs to a write that ran once.
fn check(name: &str, fleet: &Fleet, first_samples: &[Sample], resend_samples: &[Sample]) {
    let record = fleet.record();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for entry in record.iter().filter(|it| it.ran()) {
        *runs.entry(entry.request.mark("write")).or_default() += 1;
    }
    println!("{name}: first tries: {}", support::summary(first_samples));
    println!("{name}: resends: {}", support::summary(resend_samples));
    let compared = first_samples.iter().filter(|it| runs.contains_key(&it.nonce)).count();
    println!("{name}: {compared} of {} writes ran", first_samples.len());
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "{name}: ran more than once: {twice:?}");
    let received = support::run_counts(&record);
    for samples in [first_samples, resend_samples] {
        let false_refusals = support::false_not_run(samples, &record);
        assert!(
            false_refusals.is_empty(),
            "{name}: refused as not run, but ran: {false_refusals:?}"
        );
        for sample in samples.iter().filter(|it| it.reply.is_complete()) {
            assert_eq!(received.get(&sample.nonce), Some(&1), "{name}: {}", sample.nonce);
        }
    }
    assert!(compared > 0, "{name}: no write ran");
}

/// Starts writes and waits until they reach the step.
fn start_until(fleet: &Fleet, plan: &[PlannedCall], step: Step) -> Task<Vec<Sample>> {
    let nonces: Vec<String> = plan.iter().map(|it| it.nonce.clone()).collect();
    let load = support::start_calls(plan.to_vec());
    let reached = |needed: usize, counts: fn(&RecordedRequest) -> bool| {
        let check = || {
            let record = fleet.record();
            let own = record.iter().filter(|it| nonces.contains(&it.nonce()));
            let count = own.filter(|it| counts(it)).count();
            // On a busy machine, some are refused before they reach a backend server.
            let is_reached = count >= needed || load.is_finished();
            if is_reached { Ok(()) } else { Err(count.to_string()) }
        };
        fleet.wait(&format!("{step:?}"), READY_TIMEOUT, check).unwrap();
    };
    match step {
        Step::After(millis) => support::sleep_for(Duration::from_millis(millis)),
        Step::Arrived(count) => reached(count, |_| true),
        Step::Completed(count) => reached(count, |it| it.finish == Finish::Complete),
    }
    load
}

/// When the daemon is killed, a write may be unsent, running or complete at a backend server. The
/// daemon that gets the resend must not run it a second time.
#[test]
fn writes_run_once_when_their_daemon_is_killed_and_they_are_resent_to_another() {
    let mut fleet = fleet();
    let (mut first_samples, mut resend_samples) = (Vec::new(), Vec::new());

    for (no, step) in STEPS.into_iter().enumerate() {
        let plan = writes(&fleet, FIRST_DAEMON, &format!("dead-{no}"));
        let load = start_until(&fleet, &plan, step);
        fleet.kill(FIRST_DAEMON).unwrap();
        first_samples.extend(block_on(load));
        let again = support::start_calls(resends(&plan, &fleet, RESEND_DAEMON, 1));
        fleet.restart(FIRST_DAEMON).unwrap();
        resend_samples.extend(block_on(again));
        fleet.wait_ready(FIRST_DAEMON, READY_TIMEOUT).unwrap();
    }

    check("daemon killed", &fleet, &first_samples, &resend_samples);
}

/// The removal changes which daemons hold the idempotency keys. Resends before and after that must
/// still be recognized.
#[test]
fn writes_run_once_when_their_daemon_is_killed_and_removed_from_the_list() {
    let mut fleet = fleet();
    let (mut first_samples, mut resend_samples) = (Vec::new(), Vec::new());

    for (no, dead) in [FIRST_DAEMON, PEER_DAEMON].into_iter().enumerate() {
        let plan = writes(&fleet, dead, &format!("gone-{no}"));
        let load = start_until(&fleet, &plan, Step::Arrived(WRITES / 2));
        fleet.kill(dead).unwrap();
        fleet.remove_from_list(dead);
        first_samples.extend(block_on(load));
        resend_samples.extend(support::run_calls(resends(&plan, &fleet, RESEND_DAEMON, 1)));
        // Once more, after the instance list and the holders of the idempotency keys have changed.
        support::sleep_for(Duration::from_secs(1));
        resend_samples.extend(support::run_calls(resends(&plan, &fleet, RESEND_DAEMON, 2)));
    }

    check("daemon removed", &fleet, &first_samples, &resend_samples);
}

/// The peer may hold idempotency keys of writes in progress. Resends to a third daemon while the
/// peer restarts must still be recognized.
#[test]
fn writes_run_once_when_a_peer_is_killed() {
    let mut fleet = fleet();
    let (mut first_samples, mut resend_samples) = (Vec::new(), Vec::new());

    for (no, step) in STEPS.into_iter().enumerate() {
        let plan = writes(&fleet, FIRST_DAEMON, &format!("peer-{no}"));
        let load = start_until(&fleet, &plan, step);
        fleet.restart(PEER_DAEMON).unwrap();
        resend_samples.extend(support::run_calls(resends(&plan, &fleet, RESEND_DAEMON, 1)));
        first_samples.extend(block_on(load));
        fleet.wait_ready(PEER_DAEMON, READY_TIMEOUT).unwrap();
    }

    check("peer killed", &fleet, &first_samples, &resend_samples);
}

/// A write whose server crashed may have run, so neither its daemon nor the one that gets the
/// resend may run it again.
#[test]
fn writes_run_once_when_backend_servers_crash() {
    let fleet = fleet();
    let (mut first_samples, mut resend_samples) = (Vec::new(), Vec::new());
    let servers: Vec<String> = fleet.engines().keys().cloned().collect();

    for (no, step) in STEPS.into_iter().enumerate() {
        let round = format!("server-{no}");
        // A daemon uses a server that crashed only once it has polled it again.
        wait_until_served(&fleet, FIRST_DAEMON, &round);
        wait_until_served(&fleet, RESEND_DAEMON, &round);
        let plan = writes(&fleet, FIRST_DAEMON, &round);
        let load = start_until(&fleet, &plan, step);
        servers.iter().for_each(|it| fleet.engine(it).crash());
        support::sleep_for(SERVICE_TIME);
        servers.iter().for_each(|it| fleet.engine(it).restart().unwrap());
        first_samples.extend(block_on(load));
        resend_samples.extend(support::run_calls(resends(&plan, &fleet, RESEND_DAEMON, 1)));
    }

    check("backend servers crashed", &fleet, &first_samples, &resend_samples);
}

/// A write may have run although its response is faulty. A daemon that retried it would run it
/// twice.
#[test]
fn writes_without_an_idempotency_key_run_once_with_faulty_backend_servers() {
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
        fleet.engines().values().for_each(|it| it.inject_fault(fault, WRITES / 3));
        let mut plan = writes(&fleet, FIRST_DAEMON, &format!("fault-{no}"));
        for planned in &mut plan {
            planned.call = write_without_key(&planned.nonce).nonce(&planned.nonce);
        }
        samples.extend(support::run_calls(plan));
    }

    check("faulty backend servers", &fleet, &samples, &[]);
}

/// The resends arrive while the daemon that got the first tries is alive but can't be reached by
/// the others.
#[test]
fn writes_run_once_when_daemons_are_cut_off_from_each_other() {
    let fleet = fleet();
    let net = fleet.net.as_ref().unwrap();
    let (mut first_samples, mut resend_samples) = (Vec::new(), Vec::new());

    let steps = [Step::After(0), Step::After(5), Step::Arrived(WRITES / 2)];
    for (no, step) in steps.into_iter().enumerate() {
        let plan = writes(&fleet, FIRST_DAEMON, &format!("cut-{no}"));
        let load = start_until(&fleet, &plan, step);
        net.isolate(FIRST_DAEMON);
        resend_samples.extend(support::run_calls(resends(&plan, &fleet, RESEND_DAEMON, 1)));
        net.heal().unwrap();
        first_samples.extend(block_on(load));
        resend_samples.extend(support::run_calls(resends(&plan, &fleet, RESEND_DAEMON, 2)));
    }

    check("daemon cut off", &fleet, &first_samples, &resend_samples);
}
