//! Fixtures: callers in the background and queries of a fleet's state.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_executor::Task;
use config::Config;
use fakes::{
    Call, Client, Finish, Fleet, FleetBuilder, RecordedRequest, Reply, key_of,
    rt::{block_on, sleep, spawn},
};
use model::prelude::{PoolId, ZoneId};

/// Timeout for states of the fleet that have no specified bound.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(15);

/// Specified bound within which a change of the configuration is in force at all daemons.
pub(crate) const CONFIG_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause of a caller before its next call, unless it got a complete response.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A call of a background caller.
pub(crate) struct Sample {
    /// When the call was sent.
    pub(crate) sent: Instant,
    /// The result of the call.
    pub(crate) reply: Reply,
}

/// Callers in the background; each sends its next call when the previous one has ended.
pub(crate) struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    tasks: Vec<Task<Vec<Sample>>>,
}

impl BackgroundLoad {
    /// Starts callers. `pick` returns the address for a caller without an open connection, `call`
    /// the next call; both get the caller's number.
    pub(crate) fn start(
        callers: usize,
        pick: impl Fn(usize) -> SocketAddr + Send + Sync + 'static,
        call: impl Fn(usize) -> Call + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (pick, make) = (Arc::new(pick), Arc::new(call));
        let start = |no| {
            let (stop, pick, make) = (Arc::clone(&stop), Arc::clone(&pick), Arc::clone(&make));
            spawn(async move {
                let mut samples = Vec::new();
                let mut client = Client::new(pick(no));
                while !stop.load(Ordering::Relaxed) {
                    if !client.is_connected() {
                        client = Client::new(pick(no));
                    }
                    let sent = Instant::now();
                    let reply = client.send(&make(no)).await;
                    let is_incomplete = !reply.is_complete();
                    samples.push(Sample { sent, reply });
                    if is_incomplete {
                        sleep(RETRY_PAUSE).await;
                    }
                }
                samples
            })
        };
        let tasks = (0..callers).map(start).collect();
        Self { stop, tasks }
    }

    /// Waits until the callers finish their current calls, and returns all calls.
    pub(crate) fn stop(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        block_on(async {
            let mut samples = Vec::new();
            for task in self.tasks {
                samples.extend(task.await);
            }
            samples
        })
    }
}

/// Describes the samples without a complete response.
pub(crate) fn failures(samples: &[Sample]) -> Vec<String> {
    let failed = samples.iter().filter(|it| !it.reply.is_complete());
    let text = |it: &Sample| {
        let reply = &it.reply;
        format!("{:?} {} {} {}", reply.end, reply.status, reply.outcome, reply.reason)
    };
    failed.map(text).collect()
}

/// Returns a function that distributes callers evenly over all daemons.
pub(crate) fn spread_evenly(fleet: &Fleet) -> impl Fn(usize) -> SocketAddr + Send + Sync + 'static {
    let addresses: Vec<_> = fleet.daemon_names().iter().map(|it| fleet.address(it)).collect();
    move |no| addresses[no % addresses.len()]
}

/// A completion by pool `m` for an account.
pub(crate) fn completion(account: &str, tokens: u32) -> Call {
    Call::completion("/v1/completions", "m", tokens)
        .key(&key_of(account))
        .mark("account", account)
        .timeout(TIMEOUT)
}

/// Sets rates that no account of these tests exceeds.
pub(crate) fn unlimited_rates(cfg: &mut Config) {
    for account in &mut cfg.accounts {
        account.rate = 10_000.0;
        account.burst = 10_000;
    }
}

/// Starts a fleet and waits until it is ready, these cells have owners and no shard waits to be
/// taken over.
pub(crate) fn start(builder: FleetBuilder, cells: &[Cell]) -> Fleet {
    let fleet = builder.start().unwrap();
    fleet.wait_all_ready(TIMEOUT).unwrap();
    for cell in cells {
        wait_owner(&fleet, *cell, |_| true);
    }
    for daemon in fleet.daemon_names() {
        let has_all_shards = |dump: &serde_json::Value| dump["shards_waiting"] == 0;
        fleet.wait_dump(&daemon, "all its shards", TIMEOUT, has_all_shards).unwrap();
    }
    fleet
}

/// A cell, given by the names of its pool and zone.
#[derive(Clone, Copy)]
pub(crate) struct Cell {
    pub(crate) pool: &'static str,
    pub(crate) zone: &'static str,
}

/// Returns the daemon that owns a cell and holds a permit, according to its dump.
pub(crate) fn owner(fleet: &Fleet, cell: Cell) -> Option<String> {
    let shard = format!("cell {}/{}", PoolId::of(cell.pool), ZoneId::of(cell.zone));
    let running = fleet.daemon_names().into_iter().filter(|it| fleet.process(it).id().is_some());
    running.into_iter().find(|name| {
        let dump = fleet.dump(name);
        let shards = dump["shards"].as_array().cloned().unwrap_or_default();
        dump["permit"] == true && shards.iter().any(|it| *it == *shard)
    })
}

/// Waits until a cell has an owner accepted by `wanted`, and returns it.
pub(crate) fn wait_owner(fleet: &Fleet, cell: Cell, wanted: impl Fn(&str) -> bool) -> String {
    let check = || {
        let owner = owner(fleet, cell);
        owner.clone().filter(|it| wanted(it)).ok_or_else(|| format!("owner is {owner:?}"))
    };
    fleet.wait(&format!("owner of {}/{}", cell.pool, cell.zone), TIMEOUT, check).unwrap()
}

/// Returns the configuration version in force at a daemon; 0 if its dump has none.
pub(crate) fn config_version(fleet: &Fleet, daemon: &str) -> u64 {
    fleet.dump(daemon)["config_version"].as_u64().unwrap_or(0)
}

/// Waits until a configuration version, or a later one, is in force at all of these daemons, within
/// `limit` in total.
pub(crate) fn wait_version(fleet: &Fleet, daemons: &[String], wanted: u64, limit: Duration) {
    let end = Instant::now() + limit;
    for daemon in daemons {
        let left = end.saturating_duration_since(Instant::now());
        let has = |dump: &serde_json::Value| dump["config_version"].as_u64() >= Some(wanted);
        fleet.wait_dump(daemon, &format!("configuration version {wanted}"), left, has).unwrap();
    }
}

/// Blocks the test while the fleet and the callers go on.
pub(crate) fn sleep_for(span: Duration) {
    block_on(sleep(span));
}

/// Returns the requests that an engine received after `from`.
pub(crate) fn received_since(fleet: &Fleet, engine: &str, from: Instant) -> Vec<RecordedRequest> {
    let mut entries = fleet.engine(engine).record();
    entries.retain(|it| it.at > from);
    entries
}

/// Returns the highest number of requests by which an engine exceeded its ramp, which allows its
/// cold limit plus one for each completed request. The entries begin with its cold start.
pub(crate) fn ahead_of_ramp(entries: &[RecordedRequest], cold_limit: usize) -> usize {
    let excesses = entries.iter().map(|entry| {
        let is_before = |it: &&RecordedRequest| it.ended.is_some_and(|at| at <= entry.at);
        let complete = entries.iter().filter(is_before).filter(|it| it.finish == Finish::Complete);
        entry.running.saturating_sub(cold_limit + complete.count())
    });
    excesses.max().unwrap_or(0)
}

/// Waits until every daemon gives a complete response to a call, which needs tokens of the account.
pub(crate) fn wait_serving(fleet: &Fleet, call: &Call) {
    for daemon in fleet.daemon_names() {
        let check = || {
            let reply = block_on(Client::new(fleet.address(&daemon)).send(call));
            if reply.is_complete() { Ok(()) } else { Err(format!("{reply:?}")) }
        };
        fleet.wait(&format!("a complete response from {daemon}"), TIMEOUT, check).unwrap();
    }
}
