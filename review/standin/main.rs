//! Cases of the review: `cases NAME RECORD` plays one and exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod client;
mod cold_again;
mod config;
mod deadly_part;
mod head_refused;
mod http;
mod large_bodies;
mod machine;
mod record;
mod runner;
mod smuggled;
mod stale_keys;
mod store;
mod tenant_priority;

use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Duration,
};

use machine::{Fleet, Plan};
use record::Record;
use runner::{Run, RunnerSetup};
use store::Store;

/// A case that takes longer is given up: it may take 120 s at most.
const MAX_TIME: Duration = Duration::from_secs(110);

/// `coldStartS` of the engines: they are cold for this time after a start during traffic.
const COLD_START: Duration = Duration::from_secs(3);

/// Requests that wait at a runner, as in the site file.
const MODELS_QUEUE: u32 = 384;
const LEDGER_QUEUE: u32 = 24;

/// What each case is made of.
pub struct Stage {
    pub record: Arc<Record>,
    pub store: Store,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub crashes: Arc<Mutex<Vec<Duration>>>,
    /// Whether the disruption strikes.
    pub has_trouble: bool,
    folder: PathBuf,
}

impl Stage {
    pub fn runner<'a>(&'a self, service: &'a str, zone: &'a str, slots: u32) -> RunnerSetup<'a> {
        RunnerSetup {
            service,
            zone,
            slots,
            queue: if service == "models" { MODELS_QUEUE } else { LEDGER_QUEUE },
            cold: Duration::ZERO,
            restart_cold: if service == "models" { COLD_START } else { Duration::ZERO },
            store: &self.store,
            record: &self.record,
            runs: &self.runs,
            crashes: &self.crashes,
        }
    }

    pub fn fleet(&self, plan: Plan) -> Result<Fleet, String> {
        Fleet::start(plan, &self.store, &self.record)
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn keep_logs(&self, fleet: &Fleet) {
        if env::var_os("KEEP_LOGS").is_some() {
            fleet.keep_logs(&self.folder);
        }
    }
}

/// Whether the rule held, and why.
pub struct Verdict {
    pub is_broken: bool,
    pub why: String,
}

fn main() -> ExitCode {
    let args: Vec<_> = env::args().collect();
    let [_, name, path] = &args[..] else {
        eprintln!("usage: cases NAME RECORD");
        return ExitCode::from(2);
    };
    let path = Path::new(path);
    let stage = Stage {
        record: Arc::new(Record::new()),
        store: Store::start(),
        runs: Arc::default(),
        crashes: Arc::default(),
        has_trouble: env::var("TROUBLE").map_or(true, |it| it != "0"),
        folder: path.parent().unwrap_or(Path::new(".")).to_owned(),
    };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        eprintln!("could not run: it takes too long");
        machine::kill_all();
        std::process::exit(2);
    });
    stage.record.say(format!("case {name}, disruption: {}", stage.has_trouble));
    let play = || match name.as_str() {
        "stale-keys" => stale_keys::play(&stage),
        "deadly-part" => deadly_part::play(&stage),
        "head-refused" => head_refused::play(&stage),
        "large-bodies" => large_bodies::play(&stage),
        "tenant-priority" => tenant_priority::play(&stage),
        "cold-again" => cold_again::play(&stage),
        "smuggled" => smuggled::play(&stage),
        _ => Err(format!("unknown case {name}")),
    };
    let result = catch_unwind(AssertUnwindSafe(play));
    let (line, code) = match result {
        Ok(Ok(Verdict { is_broken: true, why })) => (format!("BROKEN: {why}"), 1),
        Ok(Ok(Verdict { is_broken: false, why })) => (format!("held: {why}"), 0),
        Ok(Err(why)) => (format!("could not run: {why}"), 2),
        Err(_) => ("could not run: a stand-in failed".to_owned(), 2),
    };
    // Answers that were under way when the processes ended.
    std::thread::sleep(Duration::from_millis(50));
    stage.record.say(line);
    if let Err(err) = stage.record.write(path) {
        eprintln!("{}: {err}", path.display());
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
