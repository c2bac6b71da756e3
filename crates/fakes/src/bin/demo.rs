//! Starts a small fleet with everything around it, sends it traffic and prints what happened.

use std::{process::ExitCode, time::Duration};

use clap::Parser;
use config::Policy;
use fakes::{Deployment, FleetError, Outcome, Scenario, Trial};

/// The least part of a class's requests that must be answered in target.
const MIN_ATTAINMENT: f64 = 0.95;

/// Starts a small fleet with fake backend servers and a fake platform on this machine, sends it
/// traffic and prints what happened by class.
#[derive(Parser)]
struct Args {
    /// The deployment whose shape the fleet and the load have.
    #[arg(long, value_enum, default_value = "alfombras")]
    deployment: Deployment,
    /// How long the load lasts, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// The seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    env_logger::init();
    match run(&Args::parse()) {
        Ok(outcome) => verdict(&outcome),
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<Outcome, FleetError> {
    let trial = Trial {
        deployment: args.deployment,
        scenario: Scenario::Calm,
        policy: Policy::default(),
        seed: args.seed,
        length: Duration::from_secs(args.seconds),
    };
    println!("starting the fleet, then {} s of traffic", args.seconds);
    trial.run()
}

/// Prints the outcome; the status is 0 only if all went well.
fn verdict(outcome: &Outcome) -> ExitCode {
    println!("{}", outcome.report);
    let mut faults = outcome.violations();
    let report = &outcome.report;
    if report.all.broken() > 0 {
        faults.push(format!("lost answers: {:?}", report.all.broken));
    }
    if report.all.wrongful > 0 {
        faults.push(format!("wrongful refusals: {}", report.all.wrongful));
    }
    let slow = report.classes.iter().filter(|it| it.attainment() < MIN_ATTAINMENT);
    faults.extend(slow.map(|it| format!("class {} misses its target", it.name)));
    if faults.is_empty() {
        println!("all went well");
        return ExitCode::SUCCESS;
    }
    for fault in faults {
        eprintln!("{fault}");
    }
    ExitCode::FAILURE
}
