//! Rate-limited log lines about decisions.

use std::time::Duration;

use dispatch::{AttemptEnd, Note};
use model::prelude::*;

/// Lines per [`WINDOW`] about attempts and responses without a failure; further ones are only
/// counted. At about 200 bytes each this stays below 20 KB/s.
const MAX_ROUTINE_LINES: u32 = 80;
/// Lines per [`WINDOW`] about failures, rejections and callers that left; further ones are only
/// counted.
const MAX_FAILURE_LINES: u32 = 120;
/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Logs decisions, at a bounded rate.
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

    /// Logs a decision, unless the limit for its kind is reached in this window. Rare decisions,
    /// such as those about servers and members, have no limit.
    pub(crate) fn write(&mut self, now: Time, note: &Note) {
        if now.since(self.window_start) >= WINDOW {
            self.report_omitted();
            *self = Self::new(now);
        }
        let (count, max) = match note {
            Note::Attempt { .. } | Note::Answered { .. } => (&mut self.routine, MAX_ROUTINE_LINES),
            Note::AttemptFailed { .. }
            | Note::Refused { .. }
            | Note::TurnedAway { .. }
            | Note::CallerLeft { .. } => (&mut self.failures, MAX_FAILURE_LINES),
            _ => return write(note),
        };
        *count += 1;
        if *count <= max {
            write(note);
        }
    }

    /// Logs how many lines were left out in this window, if any were.
    fn report_omitted(&self) {
        let routine = self.routine.saturating_sub(MAX_ROUTINE_LINES);
        let failures = self.failures.saturating_sub(MAX_FAILURE_LINES);
        if routine + failures > 0 {
            log::info!(routine, failures; "omitted log lines beyond the rate limit");
        }
    }
}

fn write(note: &Note) {
    match note {
        Note::Config { version, routes } => {
            log::info!(version:%, routes; "configuration applied");
        }
        Note::ServerFound { server, cold } => {
            log::info!(server:%, cold_ms = cold.as_millis() as u64; "server available");
        }
        Note::ServerLost { server, why } => log::info!(server:%, why; "server no longer used"),
        Note::Withdrawn { zones } => log::info!(zones; "evacuated zones changed"),
        Note::MemberFound { address, alive } => log::info!(address:%, alive; "instance joined"),
        Note::MemberLost { address, alive } => log::warn!(address:%, alive; "instance lost"),
        Note::Ready { ready, why } => log::info!(ready, why; "readiness changed"),
        Note::ShuttingDown { requests } => log::info!(requests; "shutdown started"),
        _ => write_request(note),
    }
}

fn write_request(note: &Note) {
    match note {
        Note::Attempt { id, number, server, version, expected, own, others, waited } => {
            let (expected_ms, waited_ms) = (millis(*expected), millis(*waited));
            log::info!(
                request:% = id, number, server:%, config:% = version, expected_ms, own, others,
                waited_ms;
                "attempt started"
            );
        }
        Note::AttemptFailed { id, server, end, next } => {
            let end = end_name(*end);
            log::info!(request:% = id, server:%, end, next; "attempt failed");
        }
        Note::Answered { id, route, first_byte, total, in_target } => {
            let (first_byte_ms, total_ms) = (millis(*first_byte), millis(*total));
            log::info!(request:% = id, route:%, first_byte_ms, total_ms, in_target; "response completed");
        }
        Note::Refused { id, route, refusal, after, view_age } => {
            log::info!(
                request:% = id, route:%, reason:? = refusal.reason, execution:? = refusal.execution,
                retry_after_ms:? = refusal.retry_after.map(millis), after_ms = millis(*after),
                view_age_ms:? = view_age.map(millis);
                "request refused"
            );
        }
        Note::TurnedAway { id, host, path, refusal, version, view_age } => {
            log::info!(
                request:% = id, host, path, reason:? = refusal.reason,
                config:? = version.map(|version| version.0), view_age_ms:? = view_age.map(millis);
                "request rejected"
            );
        }
        Note::CallerLeft { id, after } => {
            log::info!(request:% = id, after_ms = millis(*after); "caller left");
        }
        _ => {}
    }
}

/// Returns a duration in whole milliseconds.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the name of an attempt's end in log lines and in the metric label `end`.
pub(crate) fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed { is_success: true } => "completed",
        AttemptEnd::Completed { is_success: false } => "server error",
        AttemptEnd::Unused => "unused",
        AttemptEnd::NotConnected => "not connected",
        AttemptEnd::Rejected { is_misdirected: false } => "rejected",
        AttemptEnd::Rejected { is_misdirected: true } => "another server answers there",
        AttemptEnd::Held => "server error held back",
        AttemptEnd::Broken { began: false } => "broken",
        AttemptEnd::Broken { began: true } => "broken midway",
        AttemptEnd::TimedOut { began: false } => "no answer in time",
        AttemptEnd::TimedOut { began: true } => "not whole in time",
        AttemptEnd::CallerLeft => "caller left",
    }
}
