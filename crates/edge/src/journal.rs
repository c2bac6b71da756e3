//! Rate-limited log lines about decisions.

use std::time::Duration;

use dispatch::{
    AttemptEnd, Delivered, HeldPart, LogEntry, QuarantineChange, ResponseTrace, RetryUse,
};
use model::prelude::*;

use crate::part_id::PartId;

/// Lines per [`WINDOW`] about attempts and responses without a failure; further ones are only
/// counted. At about 200 bytes each this stays below 20 KB/s.
const MAX_ROUTINE_LINES: u32 = 80;
/// Lines per [`WINDOW`] about failures, rejections and callers that left; further ones are only
/// counted.
const MAX_FAILURE_LINES: u32 = 120;
/// Lines per [`WINDOW`] about shares of accounts; further ones are only counted. Many accounts may
/// change at once while engines are short, which is when failures must be seen.
const MAX_EXCESS_LINES: u32 = 20;
/// Prompt parts in a line; further ones are left out.
const MAX_LOGGED_PARTS: usize = 16;
/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Logs decisions, at a bounded rate.
#[derive(Debug)]
pub struct Journal {
    window_start: Time,
    routine: u32,
    failures: u32,
    excesses: u32,
}

impl Journal {
    /// Starts with no line in the present window.
    pub fn new(now: Time) -> Self {
        Self { window_start: now, routine: 0, failures: 0, excesses: 0 }
    }

    /// Logs a decision, unless the limit for its kind is reached in this window. Rare decisions,
    /// such as those about servers and members, have no limit.
    pub fn write(&mut self, now: Time, entry: &LogEntry) {
        if now.since(self.window_start) >= WINDOW {
            self.report_omitted();
            *self = Self::new(now);
        }
        let (count, max) = match entry {
            LogEntry::Attempt { .. } | LogEntry::Answered { .. } => {
                (&mut self.routine, MAX_ROUTINE_LINES)
            }
            LogEntry::AccountExcess { .. } => (&mut self.excesses, MAX_EXCESS_LINES),
            LogEntry::AttemptFailed { .. }
            | LogEntry::Continued { .. }
            | LogEntry::TakenUp { .. }
            | LogEntry::RunLeft { .. }
            | LogEntry::Refused { .. }
            | LogEntry::Malformed { .. }
            | LogEntry::IgnoredField { .. }
            | LogEntry::ServerReportedLeaving { .. }
            | LogEntry::ServerPaused { .. }
            | LogEntry::ServerLimited { .. }
            | LogEntry::ServerUnlimited { .. }
            | LogEntry::Rejected { .. }
            | LogEntry::SentLate { .. }
            | LogEntry::EndedLate { .. }
            | LogEntry::ViewsDiffer { .. }
            | LogEntry::CallerLeft { .. } => (&mut self.failures, MAX_FAILURE_LINES),
            _ => return write(entry),
        };
        *count += 1;
        if *count <= max {
            write(entry);
        }
    }

    /// Logs how many lines were left out in this window, if any were.
    fn report_omitted(&self) {
        let routine = self.routine.saturating_sub(MAX_ROUTINE_LINES);
        let failures = self.failures.saturating_sub(MAX_FAILURE_LINES);
        let excesses = self.excesses.saturating_sub(MAX_EXCESS_LINES);
        if routine + failures + excesses > 0 {
            log::info!(routine, failures, excesses; "omitted log lines beyond the rate limit");
        }
    }
}

fn write(entry: &LogEntry) {
    match entry {
        LogEntry::Config { version, routes, view_age, origin } => {
            let view_age_ms = view_age.map(millis);
            log::info!(
                version:%, routes, view_age_ms:?, revision = origin.revision, source:% = origin.source;
                "configuration applied"
            );
        }
        LogEntry::ViewsDiffer { peer, peer_version, version } => {
            log::warn!(
                peer:%, peer_config = peer_version, config = version;
                "another instance has the same view and another configuration"
            );
        }
        LogEntry::LimitDivisor { divisor, members } => {
            log::info!(divisor, members; "limits are divided by another number of instances");
        }
        LogEntry::Retries { pool, used, divisor } => {
            let RetryUse { sent, from_slack, denied } = *used;
            log::info!(pool:%, sent, from_slack, denied, divisor; "retries");
        }
        LogEntry::ServerFound { server, cold } => {
            log::info!(server:%, cold_ms = cold.as_millis() as u64; "server available");
        }
        LogEntry::ServerLost { server, why, unsent, view_age } => {
            let view_age_ms = view_age.map(millis);
            log::info!(server:%, why, unsent, view_age_ms:?; "server no longer used");
        }
        LogEntry::ServerLeaving { server, incarnation, unsent } => {
            log::info!(server:%, incarnation, unsent; "server says that it leaves");
        }
        LogEntry::ServerReportedLeaving { server, incarnation } => {
            log::info!(server:%, incarnation; "another instance says that a server leaves");
        }
        LogEntry::ServerPaused { server, incarnation, span } => {
            log::info!(server:%, incarnation, span_ms = millis(*span); "server asks for a pause");
        }
        LogEntry::ServerLimited { server, incarnation, rate } => {
            let per_second = rate.per_second();
            log::info!(server:%, incarnation, per_second; "server names a limit");
        }
        LogEntry::ServerUnlimited { server, incarnation } => {
            log::info!(server:%, incarnation; "server names no limit any more");
        }
        LogEntry::IgnoredField { server, error } => {
            log::info!(server:%, error; "ignored a field of a response");
        }
        LogEntry::ServerExpired { server, view_age, failing } => {
            let (view_age_ms, failing_ms) = (view_age.map(millis), failing.map(millis));
            log::info!(
                server:%, view_age_ms:?, failing_ms:?;
                "server entry expired, used until it should be listed again"
            );
        }
        LogEntry::ZonesEvacuated { zones } => log::info!(zones; "evacuated zones changed"),
        LogEntry::ServerEnded { server, unanswered, parts } => {
            let ids = parts.iter().take(MAX_LOGGED_PARTS).map(|part| PartId(*part).to_string());
            let parts = ids.collect::<Vec<_>>().join(",");
            log::warn!(server:%, unanswered, parts; "server ended while requests were unanswered");
        }
        LogEntry::Quarantine { change, .. } => match change {
            QuarantineChange::Held(HeldPart { part, ends, .. }) => {
                log::warn!(part:% = PartId(*part), ends; "prompt part quarantined");
            }
            QuarantineChange::Released { part } => {
                log::warn!(part:% = PartId(*part); "prompt part released");
            }
        },
        LogEntry::QuarantineTrial { id } => {
            log::info!(request:% = id; "request sent as a trial of a quarantined prompt part");
        }
        LogEntry::LiveEngines { pool, count, demand } => {
            let live_streams = demand.live_streams.round() as u64;
            let prompt_tokens_per_s = demand.prompt_tokens_per_s.round() as u64;
            let live_tokens_per_s = demand.live_tokens_per_s.round() as u64;
            let tokens_per_ms = demand.tokens_per_ms.round() as u64;
            log::info!(
                pool:%, count, live_streams, prompt_tokens_per_s, live_tokens_per_s, tokens_per_ms;
                "engines for live streams changed"
            );
        }
        LogEntry::AccountExcess { account, is_above, tokens_per_s, share, accounts } => {
            log::info!(
                account:%, above = is_above, tokens_per_s, share:?, accounts;
                "share of an account in the engines"
            );
        }
        LogEntry::LeavingShare { pool, share } => {
            let percent = (share * 100.0).round() as u64;
            log::info!(pool:%, percent; "share of live streams that may leave the zone");
        }
        LogEntry::MemberFound { address, alive } => log::info!(address:%, alive; "instance joined"),
        LogEntry::MemberLost { address, alive } => log::warn!(address:%, alive; "instance lost"),
        LogEntry::Ready { ready, why } => log::info!(ready, why; "readiness changed"),
        LogEntry::ShuttingDown { requests } => log::info!(requests; "shutdown started"),
        _ => write_request(entry),
    }
}

fn write_request(entry: &LogEntry) {
    match entry {
        LogEntry::Attempt { id, number, server, version, expected, own, others, waited } => {
            let (expected_ms, waited_ms) = (millis(*expected), millis(*waited));
            log::info!(
                request:% = id, number, server:%, config:% = version, expected_ms, own, others,
                waited_ms;
                "attempt started"
            );
        }
        LogEntry::AttemptFailed { id, server, end, next, trace } => {
            let end = end_name(*end);
            let ResponseTrace { framing, events, repeated, unread, fault } = *trace;
            let (framing, fault) = (framing.unwrap_or_default(), fault.unwrap_or_default());
            log::info!(
                request:% = id, server:%, end, next, fault, framing, events, repeated, unread;
                "attempt failed"
            );
        }
        LogEntry::Continued { id, before, server } => {
            log::info!(request:% = id, before:%, server:%; "response continued at another server");
        }
        LogEntry::TakenUp { id, evidence, goes_on, took } => {
            log::info!(
                request:% = id, evidence, goes_on, took_ms = millis(*took);
                "stream taken up by its caller"
            );
        }
        LogEntry::RunLeft { id, server, evidence, has_ended, goes_on, took } => {
            let took_ms = millis(*took);
            log::info!(
                request:% = id, server:%, evidence, ended = has_ended, goes_on, took_ms;
                "run left after its response broke off"
            );
        }
        LogEntry::Answered { id, route, first_byte, total, in_target, attempts, trace } => {
            let (first_byte_ms, total_ms) = (millis(*first_byte), millis(*total));
            let ResponseTrace { framing, events, repeated, unread, .. } = *trace;
            let framing = framing.unwrap_or_default();
            log::info!(
                request:% = id, route:%, first_byte_ms, total_ms, in_target, attempts, framing, events,
                repeated, unread;
                "response completed"
            );
        }
        LogEntry::SentLate { id, server, after, is_eligible } => {
            log::info!(
                request:% = id, server:%, after_ms = millis(*after), eligible = is_eligible;
                "request sent late"
            );
        }
        LogEntry::Refused { id, route, refusal, after, view_age, servers, version, timeout } => {
            let least_expected_ms = servers.least_expected.map(millis);
            log::info!(
                request:% = id, route:%, reason:? = refusal.reason, execution:? = refusal.execution,
                retry_after_ms:? = refusal.retry_after.map(millis), after_ms = millis(*after),
                view_age_ms:? = view_age.map(millis), usable = servers.usable, full = servers.full,
                least_expected_ms:?, config:% = version, timeout_ms = millis(*timeout);
                "request refused"
            );
        }
        LogEntry::Rejected {
            id,
            host,
            path,
            refusal,
            version,
            view_age,
            revision,
            confirmed_by,
        } => {
            let confirmed_by = confirmed_by.map(|it| it.to_string()).unwrap_or_default();
            log::info!(
                request:% = id, host, path, reason:? = refusal.reason,
                config:? = version.map(|version| version.0), view_age_ms:? = view_age.map(millis),
                revision, confirmed_by;
                "request rejected"
            );
        }
        LogEntry::Malformed { id, host, path, error } => {
            let request = id.as_deref().unwrap_or_default();
            log::info!(request, host, path, error; "malformed request rejected");
        }
        LogEntry::EndedLate { id, late, version } => {
            log::warn!(
                request:% = id, late_ms = millis(*late), config:% = version;
                "request ended late"
            );
        }
        LogEntry::CallerLeft { id, after } => {
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
        AttemptEnd::Withdrawn => "withdrawn before it was sent",
        AttemptEnd::NotConnected => "not connected",
        AttemptEnd::Rejected { is_misdirected: false } => "rejected",
        AttemptEnd::Rejected { is_misdirected: true } => "another server answers there",
        AttemptEnd::HeldBack => "server error held back",
        AttemptEnd::Broken { delivered: Delivered::Nothing } => "broken",
        AttemptEnd::Broken { .. } => "broken midway",
        AttemptEnd::TimedOut { delivered: Delivered::Nothing } => "no answer in time",
        AttemptEnd::TimedOut { .. } => "not whole in time",
        AttemptEnd::CallerLeft => "caller left",
    }
}
