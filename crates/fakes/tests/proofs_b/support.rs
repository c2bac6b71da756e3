//! Fixtures: fleets, loads and checks shared by the tests.

use std::{
    collections::{HashMap, HashSet},
    env,
    net::SocketAddr,
    ops::{Deref, DerefMut},
    sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
    thread,
    time::{Duration, Instant},
};

use async_executor::Task;
use config::Policy;
use fakes::{
    Call, Client, End, Fleet, FleetBuilder, RecordedRequest, Reply,
    rt::{block_on, sleep, spawn},
};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use serde_json::Value;

/// The seed of all loads.
pub(crate) const SEED: u64 = 0x0c1e_3e47;
/// Timeout for the readiness of a fleet or a daemon.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Environment variable that selects a scheduling policy by its name in the settings.
const POLICY_VARIABLE: &str = "PROOF_POLICY";

/// Returns the scheduling policy for the daemons of all tests.
fn policy() -> Policy {
    let Ok(name) = env::var(POLICY_VARIABLE) else { return Policy::default() };
    serde_json::from_value(Value::String(name)).unwrap()
}

/// Lock on the machine, held by each test: tests that check times and rates hold it exclusively,
/// the others share it.
static MACHINE: RwLock<()> = RwLock::new(());

/// A held lock on the machine.
enum MachineGuard {
    Exclusive { _guard: RwLockWriteGuard<'static, ()> },
    Shared { _guard: RwLockReadGuard<'static, ()> },
}

/// A fleet that holds the lock on the machine until it is dropped.
pub(crate) struct GuardedFleet {
    fleet: Fleet,
    _machine: MachineGuard,
}

impl Deref for GuardedFleet {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl DerefMut for GuardedFleet {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

/// Starts a fleet while no other test runs.
pub(crate) fn start_exclusive(builder: FleetBuilder) -> GuardedFleet {
    let guard = MACHINE.write().unwrap_or_else(PoisonError::into_inner);
    GuardedFleet { fleet: start(builder), _machine: MachineGuard::Exclusive { _guard: guard } }
}

/// Starts a fleet that shares the machine with those of other tests.
pub(crate) fn start_shared(builder: FleetBuilder) -> GuardedFleet {
    let guard = MACHINE.read().unwrap_or_else(PoisonError::into_inner);
    GuardedFleet { fleet: start(builder), _machine: MachineGuard::Shared { _guard: guard } }
}

/// Starts a fleet and waits until it is ready and its cells and shares have owners.
fn start(builder: FleetBuilder) -> Fleet {
    let fleet = builder.policy(policy()).start().unwrap();
    fleet.wait_all_ready(READY_TIMEOUT).unwrap();
    wait_owned(&fleet);
    fleet
}

/// Waits until every share and at least one cell has an owner.
fn wait_owned(fleet: &Fleet) {
    let zones = fleet.config().zones.len();
    let shares = zones * fleet.config().accounts.len();
    fleet
        .wait("owners of all shards", READY_TIMEOUT, || {
            let dumps: Vec<Value> = fleet.daemon_names().iter().map(|it| fleet.dump(it)).collect();
            let count = |field: &str| -> usize {
                dumps.iter().map(|it| it[field].as_array().map_or(0, Vec::len)).sum()
            };
            let (found, cells) = (count("shares"), count("cells"));
            if found >= shares && cells > 0 {
                Ok(())
            } else {
                Err(format!("{found} shares, {cells} cells"))
            }
        })
        .unwrap();
}

/// A call to make.
#[derive(Clone)]
pub(crate) struct PlannedCall {
    /// When to send it, from the start of the load.
    pub(crate) at: Duration,
    /// The daemons' addresses; the next one is tried if the connection fails or a daemon is not
    /// ready.
    pub(crate) targets: Vec<SocketAddr>,
    /// Sent unchanged to each target that is tried.
    pub(crate) call: Call,
    /// The nonce of the request.
    pub(crate) nonce: String,
}

/// A call that was made.
pub(crate) struct Sample {
    /// The nonce of the request.
    pub(crate) nonce: String,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When its response ended.
    pub(crate) done: Instant,
    /// The result of the call.
    pub(crate) reply: Reply,
}

/// Returns `per_s` calls per second, each at a random time within its period of `1 / per_s`.
///
/// Call number `i` is `make(i)` with its time set.
pub(crate) fn evenly_spread(
    seed: u64,
    per_s: f64,
    span: Duration,
    mut make: impl FnMut(usize) -> PlannedCall,
) -> Vec<PlannedCall> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED ^ seed);
    let count = (per_s * span.as_secs_f64()) as usize;
    let at = |i: usize, part: f64| Duration::from_secs_f64((i as f64 + part) / per_s);
    (0..count).map(|i| PlannedCall { at: at(i, rng.random_range(0.0..1.0)), ..make(i) }).collect()
}

/// Starts to make calls at their times, without waiting for earlier ones (open loop).
pub(crate) fn start_calls(mut plan: Vec<PlannedCall>) -> Task<Vec<Sample>> {
    plan.sort_by_key(|it| it.at);
    spawn(async move {
        let start = Instant::now();
        let mut calls = Vec::new();
        for planned in plan {
            sleep((start + planned.at).saturating_duration_since(Instant::now())).await;
            calls.push(spawn(make(planned)));
        }
        let mut samples = Vec::new();
        for call in calls {
            samples.push(call.await);
        }
        samples
    })
}

async fn make(planned: PlannedCall) -> Sample {
    let sent = Instant::now();
    let mut reply = None;
    for target in planned.targets {
        let next = Client::new(target).send(&planned.call).await;
        // A real balancer soon stops sending calls to a daemon that is not ready. Calls that reach
        // one until then are sent again, which is safe because they did not run.
        let not_ready = next.is_not_run() && next.reason == "not-ready";
        let tries_next = not_ready || matches!(next.end, End::NoAnswer(_));
        reply = Some(next);
        if !tries_next {
            break;
        }
    }
    Sample { nonce: planned.nonce, sent, done: Instant::now(), reply: reply.unwrap() }
}

/// Makes calls at their times and waits for the results.
pub(crate) fn run_calls(calls: Vec<PlannedCall>) -> Vec<Sample> {
    block_on(start_calls(calls))
}

/// Blocks the test while the fleet and the load go on.
pub(crate) fn sleep_for(span: Duration) {
    thread::sleep(span);
}

/// Counts by nonce how often each request ran at backend servers.
pub(crate) fn run_counts(record: &[RecordedRequest]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for entry in record.iter().filter(|it| it.ran()) {
        *runs.entry(entry.nonce()).or_default() += 1;
    }
    runs
}

/// Returns the nonces of requests that were refused as not run although a backend server ran them.
pub(crate) fn false_not_run(samples: &[Sample], record: &[RecordedRequest]) -> Vec<String> {
    let ran: HashSet<String> =
        record.iter().filter(|it| it.ran()).map(RecordedRequest::nonce).collect();
    let refused = samples.iter().filter(|it| it.reply.is_not_run());
    refused.map(|it| it.nonce.clone()).filter(|it| ran.contains(it)).collect()
}

/// Describes how many calls ended in which way, for the output of a test.
pub(crate) fn summary(samples: &[Sample]) -> String {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for sample in samples {
        let reply = &sample.reply;
        let end = match &reply.end {
            End::Refused => format!("{} {}", reply.outcome, reply.reason),
            End::NoAnswer(_) => "no answer".to_owned(),
            end => format!("{end:?}").to_lowercase(),
        };
        *counts.entry(end).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    counts.iter().map(|(end, count)| format!("{end}: {count}")).collect::<Vec<_>>().join(", ")
}
