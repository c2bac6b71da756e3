//! The command line of the daemon.

use std::{fs, path::PathBuf, process::ExitCode};

use clap::Parser;
use config::Settings;

/// The exit status if the settings cannot be read or are not valid.
const BAD_SETTINGS: u8 = 2;

/// Routes language-model traffic to backend servers.
#[derive(Parser, Debug)]
#[command(name = "clementined", version)]
struct Args {
    /// The settings of this process, a JSON file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let Some(settings) = read_settings(&args) else { return ExitCode::from(BAD_SETTINGS) };
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(err) = logs::to_stderr(&settings.instance) {
        eprintln!("cannot log: {err}");
        return ExitCode::FAILURE;
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("{err}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks the settings, and prints all findings. Returns `None` if they cannot be used.
fn read_settings(args: &Args) -> Option<Settings> {
    let path = args.settings.display();
    let text = match fs::read_to_string(&args.settings) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("{path}: cannot read the settings: {err}");
            return None;
        }
    };
    let checked = Settings::check(&text);
    for finding in &checked.findings {
        eprintln!("{path}: {finding}");
    }
    checked.document
}
