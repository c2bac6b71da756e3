//! Fleets, loads and judgements that the proofs share.

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
    Call, Client, End, Entry, Fleet, FleetBuilder, Reply,
    rt::{block_on, sleep, spawn},
};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use serde_json::Value;

/// The seed of all loads.
pub(crate) const SEED: u64 = 0x0c1e_3e47;
/// Within which a fleet or a daemon must be ready.
pub(crate) const READY_LIMIT: Duration = Duration::from_secs(20);
/// Selects a baseline policy.
const POLICY_VARIABLE: &str = "PROOF_POLICY";

/// Returns the policy that the proofs run with.
fn policy() -> Policy {
    let Ok(name) = env::var(POLICY_VARIABLE) else { return Policy::default() };
    serde_json::from_value(Value::String(name)).unwrap()
}

/// Held by each proof: those that judge times and rates have the machine to themselves.
static MACHINE: RwLock<()> = RwLock::new(());

/// A place on the machine.
enum Place {
    Alone { _guard: RwLockWriteGuard<'static, ()> },
    Shared { _guard: RwLockReadGuard<'static, ()> },
}

/// A fleet that has its place on the machine until it is dropped.
pub(crate) struct Bench {
    fleet: Fleet,
    _place: Place,
}

impl Deref for Bench {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl DerefMut for Bench {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

/// Starts a fleet when no other proof runs.
pub(crate) fn start_alone(builder: FleetBuilder) -> Bench {
    let guard = MACHINE.write().unwrap_or_else(PoisonError::into_inner);
    Bench { fleet: start(builder), _place: Place::Alone { _guard: guard } }
}

/// Starts a fleet beside those of other proofs.
pub(crate) fn start_beside(builder: FleetBuilder) -> Bench {
    let guard = MACHINE.read().unwrap_or_else(PoisonError::into_inner);
    Bench { fleet: start(builder), _place: Place::Shared { _guard: guard } }
}

/// Starts a fleet and waits until it is ready and its cells and shares have owners.
fn start(builder: FleetBuilder) -> Fleet {
    let fleet = builder.policy(policy()).start().unwrap();
    fleet.wait_all_ready(READY_LIMIT).unwrap();
    wait_owned(&fleet);
    fleet
}

/// Waits until every share and every cell has an owner.
fn wait_owned(fleet: &Fleet) {
    let zones = fleet.config().zones.len();
    let shares = zones * fleet.config().accounts.len();
    fleet
        .wait("owners of all shards", READY_LIMIT, || {
            let dumps: Vec<Value> = fleet.names().iter().map(|it| fleet.dump(it)).collect();
            let count = |field: &str| -> usize {
                dumps.iter().map(|it| it[field].as_array().map_or(0, Vec::len)).sum()
            };
            let (found, cells) = (count("shares"), count("cells"));
            if found >= shares && cells > 0 { Ok(()) } else { Err(format!("{found} {cells}")) }
        })
        .unwrap();
}

/// A call that is to be made.
#[derive(Clone)]
pub(crate) struct Planned {
    /// When, from the start of the load.
    pub(crate) at: Duration,
    /// Where; the next one is called if the connection fails or the daemon is not ready.
    pub(crate) targets: Vec<SocketAddr>,
    /// The request.
    pub(crate) call: Call,
    /// Its mark.
    pub(crate) nonce: String,
}

/// A call that was made.
pub(crate) struct Sample {
    /// The request's mark.
    pub(crate) nonce: String,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When its answer ended.
    pub(crate) done: Instant,
    /// What came back.
    pub(crate) reply: Reply,
}

/// Returns calls spread evenly over a span, each moved by chance within its period.
///
/// Call number `i` comes from `make(i)`.
pub(crate) fn steady(
    seed: u64,
    per_s: f64,
    span: Duration,
    mut make: impl FnMut(usize) -> Planned,
) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED ^ seed);
    let count = (per_s * span.as_secs_f64()) as usize;
    let at = |i: usize, part: f64| Duration::from_secs_f64((i as f64 + part) / per_s);
    (0..count).map(|i| Planned { at: at(i, rng.random_range(0.0..1.0)), ..make(i) }).collect()
}

/// Starts to make calls at their times, whatever becomes of earlier ones.
pub(crate) fn launch(mut plan: Vec<Planned>) -> Task<Vec<Sample>> {
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

async fn make(planned: Planned) -> Sample {
    let sent = Instant::now();
    let mut reply = None;
    for target in planned.targets {
        let next = Client::new(target).send(&planned.call).await;
        // The balancer takes a daemon that is not ready for dead soon; calls that reach it until
        // then are sent again, which is safe if they did not run.
        let not_ready = next.is_not_run() && next.reason == "not-ready";
        let moves_on = not_ready || matches!(next.end, End::NoAnswer(_));
        reply = Some(next);
        if !moves_on {
            break;
        }
    }
    Sample { nonce: planned.nonce, sent, done: Instant::now(), reply: reply.unwrap() }
}

/// Makes all calls at once and waits for their ends.
pub(crate) fn all_at_once(calls: Vec<Planned>) -> Vec<Sample> {
    block_on(launch(calls))
}

/// Waits without doing anything, for rules that are about time.
pub(crate) fn pass(span: Duration) {
    thread::sleep(span);
}

/// Counts how often each marked request ran at backend servers.
pub(crate) fn runs(record: &[Entry]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for entry in record.iter().filter(|it| it.ran()) {
        *runs.entry(entry.nonce()).or_default() += 1;
    }
    runs
}

/// Returns the marks of requests that were refused as not run although a server received them.
pub(crate) fn false_not_run(samples: &[Sample], record: &[Entry]) -> Vec<String> {
    let ran: HashSet<String> = record.iter().filter(|it| it.ran()).map(Entry::nonce).collect();
    let refused = samples.iter().filter(|it| it.reply.is_not_run());
    refused.map(|it| it.nonce.clone()).filter(|it| ran.contains(it)).collect()
}

/// Describes how calls ended, for the output of a test.
pub(crate) fn ends(samples: &[Sample]) -> String {
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
