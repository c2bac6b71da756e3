//! Compares scheduling policies under load and faults.

use std::{fs, path::PathBuf, process::ExitCode, time::Duration};

use clap::{Parser, ValueEnum};
use config::Policy;
use fakes::{Deployment, FleetError, Outcome, Scenario, Trial};
use serde::Serialize;

/// Runs every scenario with every policy and seed, and prints one line of results for each.
#[derive(Parser)]
struct Args {
    /// The deployment that the fleet and the load are modeled on.
    #[arg(long, value_enum, default_value = "alfombras")]
    deployment: Deployment,
    /// The scenarios, all by default; may be given several times.
    #[arg(long, value_enum)]
    scenario: Vec<Scenario>,
    /// The policies, all by default; may be given several times.
    #[arg(long, value_parser = parse_policy)]
    policy: Vec<Policy>,
    /// The seeds of the load; may be given several times.
    #[arg(long, default_values_t = [1])]
    seed: Vec<u64>,
    /// How long the load of one trial lasts, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Also prints each trial's report by class and account.
    #[arg(long)]
    full: bool,
    /// Writes all results to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// A trial and its outcome.
#[derive(Serialize)]
struct Line {
    scenario: Scenario,
    policy: Policy,
    seed: u64,
    outcome: Outcome,
}

fn main() -> ExitCode {
    env_logger::init();
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn parse_policy(text: &str) -> Result<Policy, serde_json::Error> {
    serde_json::from_value(text.into())
}

fn run(args: &Args) -> Result<(), FleetError> {
    let scenarios = or_all(&args.scenario, Scenario::value_variants());
    let all = [Policy::Tiered, Policy::RoundRobin, Policy::Fifo, Policy::StaticLimits];
    let policies = or_all(&args.policy, &all);
    let mut lines = Vec::new();
    print_head();
    for scenario in scenarios {
        for &seed in &args.seed {
            for policy in &policies {
                let line = run_trial(args, scenario, *policy, seed)?;
                print_line(&line);
                if args.full {
                    println!("{}", line.outcome.report);
                }
                lines.push(line);
            }
        }
    }
    if let Some(path) = &args.json {
        fs::write(path, serde_json::to_vec_pretty(&lines)?)?;
    }
    Ok(())
}

fn or_all<T: Copy>(chosen: &[T], all: &[T]) -> Vec<T> {
    if chosen.is_empty() { all.to_vec() } else { chosen.to_vec() }
}

fn run_trial(
    args: &Args,
    scenario: Scenario,
    policy: Policy,
    seed: u64,
) -> Result<Line, FleetError> {
    let length = Duration::from_secs(args.seconds);
    let trial = Trial { deployment: args.deployment, scenario, policy, seed, length };
    Ok(Line { scenario, policy, seed, outcome: trial.run()? })
}

fn print_head() {
    println!(
        "{:<10}{:<14}{:>5}{:>9}{:>9}{:>10}{:>8}{:>8}{:>9}{:>7}{:>6}  attainment by class; broken rules",
        "scenario",
        "policy",
        "seed",
        "offered",
        "attained",
        "goodput",
        "wasted",
        "worst",
        "wrongful",
        "shed",
        "lost"
    );
}

fn print_line(line: &Line) {
    let report = &line.outcome.report;
    let classes = report.classes.iter();
    let classes = classes.map(|it| format!("{} {:.1}%", it.name, 100.0 * it.attainment()));
    println!(
        "{:<10}{:<14}{:>5}{:>9}{:>8.1}%{:>10.0}{:>7.1}%{:>7.1}%{:>9}{:>7}{:>6}  {}; {}",
        name(&line.scenario),
        name(&line.policy),
        line.seed,
        report.all.offered,
        100.0 * report.all.attainment(),
        report.goodput_tokens_per_s,
        100.0 * report.wasted,
        100.0 * report.worst_attainment,
        report.all.wrongful,
        report.all.shed,
        report.all.broken(),
        classes.collect::<Vec<_>>().join(", "),
        line.outcome.violations().join(", ")
    );
}

/// Returns the name under which a value is serialized.
fn name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
