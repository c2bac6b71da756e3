//! One run of a fleet under load with a fault.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use clap::ValueEnum;
use config::{Policy, ServerState, ZoneState};
use serde::Serialize;
use serde_json::Value;

use crate::{
    Deployment, Fleet, FleetError, RecordedRequest, excess, key_of,
    load::{self, Plan, Report},
    rt::{block_on, spawn},
};

const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Load of most scenarios, relative to the capacity.
const NORMAL_LOAD: f64 = 0.6;
/// Load of the overload scenario, relative to the capacity.
const OVERLOAD_FACTOR: f64 = 3.0;
/// Index of the account that floods the fleet, one with a small rate.
const FLOODING_ACCOUNT: usize = 5;
/// Rate of the flood, relative to the account's rate.
const FLOOD_FACTOR: f64 = 10.0;
/// [`crate::EngineBehavior::slow`] of the slow engine.
const SLOW_FACTOR: f64 = 4.0;

/// The load and the fault of a trial. A fault starts after a third of the load's length and ends
/// after two thirds.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Load below the capacity, no fault.
    Calm,
    /// Load as high as the capacity.
    Capacity,
    /// Load several times the capacity.
    Overload,
    /// One account with a small rate sends ten times its rate on top of its usual load.
    Flood,
    /// Operators evacuate an availability zone and put it back into service.
    Zone,
    /// A daemon is killed and started again.
    Kill,
    /// A daemon shuts down gracefully and is started again.
    Replace,
    /// An engine restarts and is cold; only its connections are reset.
    Cold,
    /// An engine crashes and is started again.
    Crash,
    /// An engine is slow.
    Slow,
    /// Operators mark a backend server as leaving and put it back into service.
    Leaving,
    /// The platform's services are down.
    Platform,
    /// An availability zone's daemons are cut off from the others.
    Partition,
}

/// One run of a fleet under load with a fault.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Determines the fleet and the mix of requests.
    pub deployment: Deployment,
    /// The load and the fault.
    pub scenario: Scenario,
    /// The scheduling policy of the daemons.
    pub policy: Policy,
    /// The seed of the load.
    pub seed: u64,
    /// How long the load lasts.
    pub length: Duration,
}

/// The results of a trial.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The results of the load.
    pub report: Report,
    /// Crashes of engines that got more than their cold limit.
    pub falls: u32,
    /// Requests with an API key that reached a backend server.
    pub keys_seen: usize,
    /// Runs of non-idempotent requests beyond the first run of each.
    pub doubled: usize,
    /// By how many attempts the worst account exceeded its rate and burst, counted at the backend
    /// servers over windows of every length.
    pub excess: f64,
    /// Requests that ran although their refusal stated that they did not.
    pub false_not_run: usize,
}

impl Outcome {
    /// Returns a text for each rule that was broken, with the count.
    pub fn violations(&self) -> Vec<String> {
        let counts = [
            ("crashes of a cold engine", self.falls as usize),
            ("requests with an API key at backend servers", self.keys_seen),
            ("non-idempotent requests run more than once", self.doubled),
            ("requests run but refused as not run", self.false_not_run),
            ("responses with the content of another request", self.report.foreign),
            ("attempts over an account's rate", self.excess.max(0.0).ceil() as usize),
        ];
        let broken = counts.iter().filter(|(_, count)| *count > 0);
        broken.map(|(what, count)| format!("{what}: {count}")).collect()
    }
}

impl Trial {
    /// Starts a fleet, waits until it is ready and its shares are full, runs the trial and stops
    /// the fleet.
    pub fn run(self) -> Result<Outcome, FleetError> {
        let mut builder = self.deployment.fleet()?.policy(self.policy);
        if self.scenario == Scenario::Partition {
            builder = builder.proxied();
        }
        let mut fleet = builder.start()?;
        fleet.wait_all_ready(START_TIMEOUT)?;
        wait_full_shares(&fleet)?;
        self.run_on(&mut fleet)
    }

    /// Runs the trial on a fleet that is ready.
    pub fn run_on(self, fleet: &mut Fleet) -> Result<Outcome, FleetError> {
        let mix = Arc::new(self.deployment.mix(fleet.config()));
        let plan = Arc::new(self.plan(&mix));
        let balancer = Arc::new(fleet.balancer());
        let load = {
            let (mix, plan) = (Arc::clone(&mix), Arc::clone(&plan));
            spawn(async move { load::run(&mix, &plan, &balancer).await })
        };
        let start = Instant::now();
        sleep_until(start + self.length / 3);
        self.start_fault(fleet)?;
        sleep_until(start + self.length * 2 / 3);
        self.end_fault(fleet)?;
        let samples = block_on(load);
        let record = fleet.record();
        let non_idempotent = |it: &&RecordedRequest| is_non_idempotent(fleet, it);
        Ok(Outcome {
            report: Report::new(&mix, &plan, &samples, &record),
            falls: fleet.engines().values().map(crate::Engine::cold_crashes).sum(),
            keys_seen: record.iter().filter(|it| has_key(fleet, it)).count(),
            doubled: count_repeated(record.iter().filter(non_idempotent)),
            excess: worst_excess(fleet, &record),
            false_not_run: count_false_not_run(&samples, &record),
        })
    }

    fn plan(self, mix: &load::Mix) -> Plan {
        let factor = match self.scenario {
            Scenario::Overload => OVERLOAD_FACTOR,
            Scenario::Capacity => 1.0,
            _ => NORMAL_LOAD,
        };
        let plan = Plan::new(mix, self.seed, self.length, mix.capacity() * factor);
        if self.scenario == Scenario::Flood {
            return plan.flood(mix, self.seed, FLOODING_ACCOUNT, FLOOD_FACTOR);
        }
        plan
    }

    fn start_fault(self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let daemon = fleet.daemon_names().swap_remove(0);
        let zone = fleet.config().zones[0].name.clone();
        let server = fleet.config().servers[0].name.clone();
        match self.scenario {
            Scenario::Calm | Scenario::Capacity | Scenario::Overload | Scenario::Flood => {}
            Scenario::Zone => set_zone(fleet, ZoneState::Out)?,
            Scenario::Kill => fleet.kill(&daemon)?,
            Scenario::Replace => fleet.terminate(&daemon)?,
            Scenario::Cold => fleet.engine(&server).restart_unannounced(),
            Scenario::Crash => fleet.engine(&server).crash(),
            Scenario::Slow => fleet.engine(&server).tune(|it| it.slow = SLOW_FACTOR),
            Scenario::Leaving => set_server(fleet, ServerState::Leaving)?,
            Scenario::Platform => fleet.platform.down(),
            Scenario::Partition => fleet.net.iter().for_each(|it| it.cut_zone(&zone)),
        }
        Ok(())
    }

    fn end_fault(self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let daemon = fleet.daemon_names().swap_remove(0);
        let server = fleet.config().servers[0].name.clone();
        match self.scenario {
            Scenario::Calm | Scenario::Capacity | Scenario::Overload | Scenario::Flood => {}
            Scenario::Zone => set_zone(fleet, ZoneState::In)?,
            Scenario::Kill => fleet.restart(&daemon)?,
            Scenario::Replace => {
                fleet.wait_exit(&daemon, START_TIMEOUT)?;
                fleet.restart(&daemon)?;
            }
            Scenario::Cold => {}
            Scenario::Crash => fleet.engine(&server).restart()?,
            Scenario::Slow => fleet.engine(&server).tune(|it| it.slow = 1.0),
            Scenario::Leaving => set_server(fleet, ServerState::In)?,
            Scenario::Platform => fleet.platform.heal()?,
            Scenario::Partition => {
                if let Some(net) = &fleet.net {
                    net.heal()?;
                }
            }
        }
        Ok(())
    }
}

fn set_zone(fleet: &mut Fleet, state: ZoneState) -> Result<(), FleetError> {
    fleet.publish(|config| config.zones[0].state = state).map(drop)
}

fn set_server(fleet: &mut Fleet, state: ServerState) -> Result<(), FleetError> {
    fleet.publish(|config| config.servers[0].state = state).map(drop)
}

fn has_key(fleet: &Fleet, entry: &RecordedRequest) -> bool {
    fleet.config().accounts.iter().any(|it| entry.request.contains(&key_of(&it.name)))
}

fn is_non_idempotent(fleet: &Fleet, entry: &RecordedRequest) -> bool {
    let request = &entry.request;
    let mut routes = fleet.config().routes.iter();
    routes.any(|it| !it.idempotent && it.path == request.path && it.method == request.method)
}

/// Returns the highest [`excess`] of all accounts.
fn worst_excess(fleet: &Fleet, record: &[RecordedRequest]) -> f64 {
    let mut by_account: HashMap<String, Vec<&RecordedRequest>> = HashMap::new();
    for entry in record {
        by_account.entry(entry.account()).or_default().push(entry);
    }
    let accounts = fleet.config().accounts.iter();
    let excesses = accounts.filter_map(|account| {
        let entries = by_account.get(&account.name)?;
        Some(excess(entries.iter().copied(), account.rate, account.burst))
    });
    excesses.fold(f64::NEG_INFINITY, f64::max)
}

/// Returns how many of the runs were repetitions.
fn count_repeated<'a>(entries: impl Iterator<Item = &'a RecordedRequest>) -> usize {
    let mut nonces: Vec<String> =
        entries.filter(|it| it.ran()).map(RecordedRequest::nonce).collect();
    let all = nonces.len();
    nonces.sort();
    nonces.dedup();
    all - nonces.len()
}

fn count_false_not_run(samples: &[load::Sample], record: &[RecordedRequest]) -> usize {
    let ran: HashSet<String> =
        record.iter().filter(|it| it.ran()).map(RecordedRequest::nonce).collect();
    let refused = samples.iter().filter(|it| it.reply.is_not_run());
    refused.filter(|it| ran.contains(&format!("n{}", it.arrival.no))).count()
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Waits until the shares of all accounts hold their full burst, as in a fleet that has been
/// running for a while.
fn wait_full_shares(fleet: &Fleet) -> Result<(), FleetError> {
    let is_full = |share: &Value| share["level"].as_f64() >= share["spec"]["burst"].as_f64();
    for daemon in fleet.daemon_names() {
        fleet.wait_dump(&daemon, "full shares", START_TIMEOUT, |dump| {
            dump["shares"].as_array().is_some_and(|it| it.iter().all(is_full))
        })?;
    }
    Ok(())
}
