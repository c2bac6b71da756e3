//! Fixtures of the proofs: callers in the background and questions about a fleet.

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
    Call, Client, Entry, Finish, Fleet, FleetBuilder, Reply, key_of,
    rt::{block_on, sleep, spawn},
};
use model::prelude::{PoolId, ZoneId};

/// Within which the fleet must come to a state that has no stated bound of its own.
pub(crate) const LIMIT: Duration = Duration::from_secs(15);

/// Within which a change of the configuration is in force everywhere.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(3);

/// A caller that got no whole answer waits this long before its next call.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// What came back to a caller in the background.
pub(crate) struct Sample {
    /// When the call was sent.
    pub(crate) sent: Instant,
    /// What came back.
    pub(crate) reply: Reply,
}

/// Callers in the background; each sends its next call once the last one is answered.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<Task<Vec<Sample>>>,
}

impl Load {
    /// Starts callers. `pick` chooses where a caller connects when it has no connection, and
    /// `call` makes what it sends.
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
                    let pause = !reply.is_whole();
                    samples.push(Sample { sent, reply });
                    if pause {
                        sleep(REFUSED_PAUSE).await;
                    }
                }
                samples
            })
        };
        let tasks = (0..callers).map(start).collect();
        Self { stop, tasks }
    }

    /// Lets the callers finish their calls and returns what came back.
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

/// Returns the samples that are not whole answers, in a readable form.
pub(crate) fn failures(samples: &[Sample]) -> Vec<String> {
    let failed = samples.iter().filter(|it| !it.reply.is_whole());
    let text = |it: &Sample| {
        let reply = &it.reply;
        format!("{:?} {} {} {}", reply.end, reply.status, reply.outcome, reply.reason)
    };
    failed.map(text).collect()
}

/// Returns a function that spreads callers evenly over all daemons.
pub(crate) fn everywhere(fleet: &Fleet) -> impl Fn(usize) -> SocketAddr + Send + Sync + 'static {
    let addresses: Vec<_> = fleet.names().iter().map(|it| fleet.address(it)).collect();
    move |no| addresses[no % addresses.len()]
}

/// A completion by the pool `m` for an account.
pub(crate) fn completion(account: &str, tokens: u32) -> Call {
    Call::completion("/v1/completions", "m", tokens)
        .key(&key_of(account))
        .mark("account", account)
        .timeout(LIMIT)
}

/// Raises the rates so far that no account is ever over them.
pub(crate) fn unlimited(cfg: &mut Config) {
    for account in &mut cfg.accounts {
        account.rate = 10_000.0;
        account.burst = 10_000;
    }
}

/// Starts a fleet and waits until it serves and each cell of the pool has an owner.
pub(crate) fn start(builder: FleetBuilder, cells: &[Cell]) -> Fleet {
    let fleet = builder.start().unwrap();
    fleet.wait_all_ready(LIMIT).unwrap();
    for cell in cells {
        wait_owner(&fleet, *cell, |_| true);
    }
    for daemon in fleet.names() {
        let has_taken = |dump: &serde_json::Value| dump["shards_waiting"] == 0;
        fleet.wait_dump(&daemon, "all its shards", LIMIT, has_taken).unwrap();
    }
    fleet
}

/// A cell by its names.
#[derive(Clone, Copy)]
pub(crate) struct Cell {
    pub(crate) pool: &'static str,
    pub(crate) zone: &'static str,
}

/// Returns the daemon that decides for a cell and says that it may.
pub(crate) fn owner(fleet: &Fleet, cell: Cell) -> Option<String> {
    let shard = format!("cell {}/{}", PoolId::of(cell.pool), ZoneId::of(cell.zone));
    let running = fleet.names().into_iter().filter(|it| fleet.process(it).id().is_some());
    running.into_iter().find(|name| {
        let dump = fleet.dump(name);
        let shards = dump["shards"].as_array().cloned().unwrap_or_default();
        dump["permit"] == true && shards.iter().any(|it| *it == *shard)
    })
}

/// Waits for a daemon that decides for a cell and is wanted, and returns it.
pub(crate) fn wait_owner(fleet: &Fleet, cell: Cell, wanted: impl Fn(&str) -> bool) -> String {
    let look = || {
        let owner = owner(fleet, cell);
        owner.clone().filter(|it| wanted(it)).ok_or_else(|| format!("owner is {owner:?}"))
    };
    fleet.wait(&format!("owner of {}/{}", cell.pool, cell.zone), LIMIT, look).unwrap()
}

/// Returns the version in force at a daemon; 0 if it tells none.
pub(crate) fn version(fleet: &Fleet, daemon: &str) -> u64 {
    fleet.dump(daemon)["config_version"].as_u64().unwrap_or(0)
}

/// Waits until a version is in force at all of these daemons.
pub(crate) fn wait_version(fleet: &Fleet, daemons: &[String], wanted: u64, limit: Duration) {
    let end = Instant::now() + limit;
    for daemon in daemons {
        let left = end.saturating_duration_since(Instant::now());
        let has = |dump: &serde_json::Value| dump["config_version"].as_u64() >= Some(wanted);
        fleet.wait_dump(daemon, &format!("version {wanted}"), left, has).unwrap();
    }
}

/// Lets time pass in which the fleet must do, or must not do, something.
pub(crate) fn pass(span: Duration) {
    block_on(sleep(span));
}

/// Returns what an engine received after some time.
pub(crate) fn since(fleet: &Fleet, engine: &str, from: Instant) -> Vec<Entry> {
    let mut entries = fleet.engine(engine).record();
    entries.retain(|it| it.at > from);
    entries
}

/// Returns the most requests by which an engine that starts cold at `from` was ahead of its ramp:
/// its cold limit and one more for each whole answer.
pub(crate) fn ahead_of_ramp(entries: &[Entry], cold_limit: usize) -> usize {
    let over = entries.iter().map(|entry| {
        let is_before = |it: &&Entry| it.ended.is_some_and(|at| at <= entry.at);
        let whole = entries.iter().filter(is_before).filter(|it| it.finish == Finish::Whole);
        entry.running.saturating_sub(cold_limit + whole.count())
    });
    over.max().unwrap_or(0)
}

/// Waits until every daemon gives a whole answer to a call: an account's tokens have come.
pub(crate) fn wait_serving(fleet: &Fleet, call: &Call) {
    for daemon in fleet.names() {
        let look = || {
            let reply = block_on(Client::new(fleet.address(&daemon)).send(call));
            if reply.is_whole() { Ok(()) } else { Err(format!("{reply:?}")) }
        };
        fleet.wait(&format!("service at {daemon}"), LIMIT, look).unwrap();
    }
}
