//! Log lines of decisions, bounded in volume.

use std::time::Duration;

use dispatch::{AttemptEnd, LogEntry};
use model::prelude::*;

/// Lines in a second about requests that went well; further ones are counted. At some 200 bytes
/// each this stays below 20 KB/s.
const MAX_ROUTINE_LINES: u32 = 80;
/// Lines in a second about requests that did not go well.
const MAX_FAILURE_LINES: u32 = 120;
/// The span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Writes log lines of decisions.
#[derive(Debug)]
pub(crate) struct Journal {
    window_start: Time,
    routine: u32,
    failures: u32,
}

impl Journal {
    pub(crate) fn new(now: Time) -> Self {
        Self { window_start: now, routine: 0, failures: 0 }
    }

    /// Writes a line, unless too many were written lately.
    pub(crate) fn write(&mut self, now: Time, note: &LogEntry) {
        if now.since(self.window_start) >= WINDOW {
            self.report();
            *self = Self::new(now);
        }
        let (count, max) = match note {
            LogEntry::Attempt { .. } | LogEntry::Answered { .. } => {
                (&mut self.routine, MAX_ROUTINE_LINES)
            }
            LogEntry::AttemptFailed { .. }
            | LogEntry::Refused { .. }
            | LogEntry::Rejected { .. }
            | LogEntry::CallerLeft { .. } => (&mut self.failures, MAX_FAILURE_LINES),
            _ => return write(note),
        };
        *count += 1;
        if *count <= max {
            write(note);
        }
    }

    fn report(&self) {
        let routine = self.routine.saturating_sub(MAX_ROUTINE_LINES);
        let failures = self.failures.saturating_sub(MAX_FAILURE_LINES);
        if routine + failures > 0 {
            log::info!(routine, failures; "lines left out");
        }
    }
}

fn write(note: &LogEntry) {
    match note {
        LogEntry::Config { version, routes } => {
            log::info!(version:%, routes; "configuration in force");
        }
        LogEntry::ServerFound { server, cold } => {
            log::info!(server:%, cold_ms = cold.as_millis() as u64; "server found");
        }
        LogEntry::ServerLost { server, why } => {
            log::info!(server:%, why; "server not used any more");
        }
        LogEntry::ZonesEvacuated { zones } => log::info!(zones; "zones taken out"),
        LogEntry::MemberFound { address, alive } => log::info!(address:%, alive; "instance found"),
        LogEntry::MemberLost { address, alive } => log::warn!(address:%, alive; "instance lost"),
        LogEntry::Ready { ready, why } => log::info!(ready, why; "readiness changed"),
        LogEntry::ShuttingDown { requests } => log::info!(requests; "shutting down"),
        _ => write_request(note),
    }
}

fn write_request(note: &LogEntry) {
    match note {
        LogEntry::Attempt { id, number, server, version, expected, own, others, waited } => {
            let (expected_ms, waited_ms) = (millis(*expected), millis(*waited));
            log::info!(
                request:% = id, number, server:%, config:% = version, expected_ms, own, others,
                waited_ms;
                "attempt"
            );
        }
        LogEntry::AttemptFailed { id, server, end, next } => {
            let end = end_name(*end);
            log::info!(request:% = id, server:%, end, next; "attempt failed");
        }
        LogEntry::Answered { id, route, first_byte, total, in_target } => {
            let (first_byte_ms, total_ms) = (millis(*first_byte), millis(*total));
            log::info!(request:% = id, route:%, first_byte_ms, total_ms, in_target; "answered");
        }
        LogEntry::Refused { id, route, refusal, after, view_age } => {
            log::info!(
                request:% = id, route:%, reason:? = refusal.reason, execution:? = refusal.execution,
                retry_after_ms:? = refusal.retry_after.map(millis), after_ms = millis(*after),
                view_age_ms:? = view_age.map(millis);
                "refused"
            );
        }
        LogEntry::Rejected { id, host, path, refusal, version, view_age } => {
            log::info!(
                request:% = id, host, path, reason:? = refusal.reason,
                config:? = version.map(|it| it.0), view_age_ms:? = view_age.map(millis);
                "turned away"
            );
        }
        LogEntry::CallerLeft { id, after } => {
            log::info!(request:% = id, after_ms = millis(*after); "caller left");
        }
        _ => {}
    }
}

/// Returns a span in milliseconds.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the name of how an attempt ended.
pub(crate) fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed { is_success: true } => "completed",
        AttemptEnd::Completed { is_success: false } => "server error",
        AttemptEnd::Unused => "unused",
        AttemptEnd::NotConnected => "not connected",
        AttemptEnd::Rejected { is_misdirected: false } => "rejected",
        AttemptEnd::Rejected { is_misdirected: true } => "another server answers there",
        AttemptEnd::HeldBack => "server error held back",
        AttemptEnd::Broken { is_partial: false } => "broken",
        AttemptEnd::Broken { is_partial: true } => "broken midway",
        AttemptEnd::TimedOut { is_partial: false } => "no answer in time",
        AttemptEnd::TimedOut { is_partial: true } => "not whole in time",
        AttemptEnd::CallerLeft => "caller left",
    }
}
