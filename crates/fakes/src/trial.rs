//! One run of a fleet under load and faults.

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
    Deployment, Entry, Fleet, FleetError, excess, key_of,
    load::{self, Plan, Report},
    rt::{block_on, spawn},
};

const START_LIMIT: Duration = Duration::from_secs(20);
/// Load below the capacity, as a part of it.
const USUAL_LOAD: f64 = 0.6;
const OVERLOAD: f64 = 3.0;
/// The account that floods, a small one, and how many times its rate it sends.
const FLOODER: usize = 5;
const FLOOD: f64 = 10.0;
const SLOW: f64 = 4.0;

/// What happens during a trial; faults begin after a third of it and end after two thirds.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Load below the capacity, no fault.
    Calm,
    /// Load as high as the capacity.
    Capacity,
    /// Load several times the capacity.
    Overload,
    /// One small account sends ten times its rate on top.
    Flood,
    /// Operators take an availability zone out and back in.
    Zone,
    /// A daemon is killed and comes back.
    Kill,
    /// A daemon is replaced: it shuts down gracefully and comes back.
    Replace,
    /// An engine restarts cold without a word.
    Cold,
    /// An engine crashes and comes back.
    Crash,
    /// An engine is slow.
    Slow,
    /// Operators take a backend server out and back in.
    Leaving,
    /// The platform's services are down.
    Platform,
    /// An availability zone's daemons are cut off from the others.
    Partition,
}

/// One run of a fleet under load and faults.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// The deployment.
    pub deployment: Deployment,
    /// What happens.
    pub scenario: Scenario,
    /// How requests are scheduled.
    pub policy: Policy,
    /// The seed of the load.
    pub seed: u64,
    /// How long the load lasts.
    pub length: Duration,
}

/// What a trial showed.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// What became of the load.
    pub report: Report,
    /// Times that an engine got more than it bears while cold.
    pub falls: u32,
    /// Requests in which a backend server saw a key.
    pub keys_seen: usize,
    /// Non-idempotent requests that ran more than once.
    pub doubled: usize,
    /// By how much the account that passed its rate furthest did so, in attempts; counted at the
    /// backend servers over windows of every length.
    pub excess: f64,
    /// Requests that ran although the caller was told that they did not.
    pub false_not_run: usize,
}

impl Outcome {
    /// Returns the rules that did not hold.
    pub fn violations(&self) -> Vec<String> {
        let counts = [
            ("falls of a cold engine", self.falls as usize),
            ("keys seen by backend servers", self.keys_seen),
            ("doubled non-idempotent requests", self.doubled),
            ("false refusals as not run", self.false_not_run),
            ("foreign answers", self.report.foreign),
            ("attempts over an account's rate", self.excess.max(0.0).ceil() as usize),
        ];
        let broken = counts.iter().filter(|(_, count)| *count > 0);
        broken.map(|(what, count)| format!("{what}: {count}")).collect()
    }
}

impl Trial {
    /// Starts a fleet, runs the trial and stops the fleet.
    pub fn run(self) -> Result<Outcome, FleetError> {
        let mut builder = self.deployment.fleet()?.policy(self.policy);
        if self.scenario == Scenario::Partition {
            builder = builder.proxied();
        }
        let mut fleet = builder.start()?;
        fleet.wait_all_ready(START_LIMIT)?;
        wait_full(&fleet)?;
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
        self.begin(fleet)?;
        sleep_until(start + self.length * 2 / 3);
        self.end(fleet)?;
        let samples = block_on(load);
        let record = fleet.record();
        let non_idempotent = |it: &&Entry| is_non_idempotent(fleet, it);
        Ok(Outcome {
            report: Report::new(&mix, &plan, &samples, &record),
            falls: fleet.engines().values().map(crate::Engine::falls).sum(),
            keys_seen: record.iter().filter(|it| has_key(fleet, it)).count(),
            doubled: repeated(record.iter().filter(non_idempotent)),
            excess: worst_excess(fleet, &record),
            false_not_run: false_not_run(&samples, &record),
        })
    }

    fn plan(self, mix: &load::Mix) -> Plan {
        let factor = match self.scenario {
            Scenario::Overload => OVERLOAD,
            Scenario::Capacity => 1.0,
            _ => USUAL_LOAD,
        };
        let plan = Plan::new(mix, self.seed, self.length, mix.capacity() * factor);
        if self.scenario == Scenario::Flood {
            return plan.flood(mix, self.seed, FLOODER, FLOOD);
        }
        plan
    }

    fn begin(self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let daemon = fleet.names().swap_remove(0);
        let zone = fleet.config().zones[0].name.clone();
        let server = fleet.config().servers[0].name.clone();
        match self.scenario {
            Scenario::Calm | Scenario::Capacity | Scenario::Overload | Scenario::Flood => {}
            Scenario::Zone => set_zone(fleet, ZoneState::Out)?,
            Scenario::Kill => fleet.kill(&daemon)?,
            Scenario::Replace => fleet.terminate(&daemon)?,
            Scenario::Cold => fleet.engine(&server).turn_cold(),
            Scenario::Crash => fleet.engine(&server).stop(),
            Scenario::Slow => fleet.engine(&server).tune(|it| it.slow = SLOW),
            Scenario::Leaving => set_server(fleet, ServerState::Leaving)?,
            Scenario::Platform => fleet.platform.down(),
            Scenario::Partition => fleet.net.iter().for_each(|it| it.cut_zone(&zone)),
        }
        Ok(())
    }

    fn end(self, fleet: &mut Fleet) -> Result<(), FleetError> {
        let daemon = fleet.names().swap_remove(0);
        let server = fleet.config().servers[0].name.clone();
        match self.scenario {
            Scenario::Calm | Scenario::Capacity | Scenario::Overload | Scenario::Flood => {}
            Scenario::Zone => set_zone(fleet, ZoneState::In)?,
            Scenario::Kill => fleet.restart(&daemon)?,
            Scenario::Replace => {
                fleet.wait_exit(&daemon, START_LIMIT)?;
                fleet.restart(&daemon)?;
            }
            Scenario::Cold => {}
            Scenario::Crash => fleet.engine(&server).restart()?,
            Scenario::Slow => fleet.engine(&server).tune(|it| it.slow = 1.0),
            Scenario::Leaving => set_server(fleet, ServerState::In)?,
            Scenario::Platform => fleet.platform.up()?,
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

fn has_key(fleet: &Fleet, entry: &Entry) -> bool {
    fleet.config().accounts.iter().any(|it| entry.request.contains(&key_of(&it.name)))
}

fn is_non_idempotent(fleet: &Fleet, entry: &Entry) -> bool {
    let request = &entry.request;
    let mut routes = fleet.config().routes.iter();
    routes.any(|it| !it.idempotent && it.path == request.path && it.method == request.method)
}

/// Returns by how much the account that passed its rate furthest did so.
fn worst_excess(fleet: &Fleet, record: &[Entry]) -> f64 {
    let mut by_account: HashMap<String, Vec<&Entry>> = HashMap::new();
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

/// Returns how many requests ran more than once.
fn repeated<'a>(entries: impl Iterator<Item = &'a Entry>) -> usize {
    let mut nonces: Vec<String> = entries.filter(|it| it.ran()).map(Entry::nonce).collect();
    let all = nonces.len();
    nonces.sort();
    nonces.dedup();
    all - nonces.len()
}

fn false_not_run(samples: &[load::Sample], record: &[Entry]) -> usize {
    let ran: HashSet<String> = record.iter().filter(|it| it.ran()).map(Entry::nonce).collect();
    let refused = samples.iter().filter(|it| it.reply.is_not_run());
    refused.filter(|it| ran.contains(&format!("n{}", it.arrival.no))).count()
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Waits until the accounts have their whole burst, as in a fleet that has run for a while.
fn wait_full(fleet: &Fleet) -> Result<(), FleetError> {
    let is_full = |share: &Value| share["level"].as_f64() >= share["spec"]["burst"].as_f64();
    for daemon in fleet.names() {
        fleet.wait_dump(&daemon, "full shares", START_LIMIT, |dump| {
            dump["shares"].as_array().is_some_and(|it| it.iter().all(is_full))
        })?;
    }
    Ok(())
}
