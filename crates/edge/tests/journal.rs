//! Rates of log lines.

use std::sync::Mutex;

use dispatch::{AttemptEnd, LogEntry, ResponseTrace};
use edge::Journal;
use log::{LevelFilter, Log, Metadata, Record};
use model::prelude::*;

const NOW: Time = Time::from_millis(10_000_000);

/// Keeps the messages of all lines.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if let Ok(mut lines) = self.0.lock() {
            lines.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// Returns how many lines with this message were written.
fn count(message: &str) -> usize {
    LINES.0.lock().map_or(0, |lines| lines.iter().filter(|it| *it == message).count())
}

fn excess(no: u32) -> LogEntry {
    LogEntry::AccountExcess {
        account: format!("account-{no}").into(),
        is_above: true,
        tokens_per_s: 1_000,
        share: Some(100),
        accounts: 1,
    }
}

fn failure() -> LogEntry {
    LogEntry::AttemptFailed {
        id: "request-1".into(),
        server: "e1".into(),
        end: AttemptEnd::NotConnected,
        next: "retried",
        trace: ResponseTrace::default(),
    }
}

/// Guards against excesses of many accounts that hide the failures of the same second.
#[test]
fn failures_are_logged_after_a_thousand_changes_of_shares_in_a_second() {
    assert!(log::set_logger(&LINES).is_ok());
    log::set_max_level(LevelFilter::Trace);
    let mut journal = Journal::new(NOW);

    for no in 0..1_000 {
        journal.write(NOW, &excess(no));
    }
    for _ in 0..100 {
        journal.write(NOW, &failure());
    }
    journal.write(NOW + Duration::from_secs(1), &failure());

    assert_eq!(count("attempt failed"), 101);
    let excesses = count("share of an account in the engines");
    assert!((1..100).contains(&excesses), "{excesses} lines about shares");
    assert_eq!(count("omitted log lines beyond the rate limit"), 1);
}
