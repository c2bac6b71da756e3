//! Runs a fleet with fake backend servers and a fake platform under load and prints a report.

use std::{process::ExitCode, time::Duration};

use clap::Parser;
use config::Policy;
use fakes::{Deployment, FleetError, Outcome, Scenario, Trial};

/// Fraction of a class's requests within the rate that must be in target.
const MIN_ATTAINMENT: f64 = 0.95;

/// Starts a fleet with fake backend servers and a fake platform on this machine, sends it traffic
/// and prints a report by class and account.
#[derive(Parser)]
struct Args {
    /// The deployment that the fleet and the load are modeled on.
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
        Ok(outcome) => print_outcome(&outcome),
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
    println!("starting the fleet, then sending {} s of traffic", args.seconds);
    trial.run()
}

/// Prints the outcome; the exit status is 0 only if every check passed.
fn print_outcome(outcome: &Outcome) -> ExitCode {
    println!("{}", outcome.report);
    let mut failures = outcome.violations();
    let report = &outcome.report;
    if report.all.broken() > 0 {
        failures.push(format!("lost responses: {:?}", report.all.broken));
    }
    if report.all.wrongful > 0 {
        failures.push(format!("wrongful refusals: {}", report.all.wrongful));
    }
    let slow = report.classes.iter().filter(|it| it.attainment() < MIN_ATTAINMENT);
    failures.extend(slow.map(|it| format!("class {} missed its target", it.name)));
    if failures.is_empty() {
        println!("all checks passed");
        return ExitCode::SUCCESS;
    }
    for failure in failures {
        eprintln!("{failure}");
    }
    ExitCode::FAILURE
}
