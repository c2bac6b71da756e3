//! Plays one case of the review against real processes of `clementine-edge`.
//!
//! `cases NAME FOLDER` plays the case and writes `record.txt` into the folder. The status is 0 if the rule
//! held, 1 if it was broken and 2 if the case could not be played. `TROUBLE=0` leaves out the disruption.

mod cases;
mod client;
mod edge;
mod http;
mod load;
mod record;
mod runner;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

use record::Record;

/// What a case shows, or why it could not be played.
type Outcome = Result<Verdict, String>;

/// Whether the rule held, with a sentence on what was seen.
enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let [name, folder] = args.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("cannot write the record: {err}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {name}, disruption: {has_trouble}"));
    let (code, line) = match cases::play(name, &record, has_trouble) {
        Ok(Verdict::Held(seen)) => (0, format!("rule held: {seen}")),
        Ok(Verdict::Broken(seen)) => (1, format!("rule broken: {seen}")),
        Err(err) => (2, format!("not played: {err}")),
    };
    record.note(&line);
    println!("{name}: {line}");
    ExitCode::from(code)
}
