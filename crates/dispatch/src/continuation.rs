//! Responses that broke off midway and go on at another server, once the run before has ended.

use std::sync::Arc;

use model::prelude::*;

use crate::{
    Attempt, AttemptEnd, Command, Delivered, Effect, KvCopy, LeftRun, LogEntry, RequestKey, Room,
    RunEnd, ServerKey,
    request::{MIN_REMAINING, RunningAttempt, Stage},
    selection::Choice,
    state::State,
};

/// The longest time until a run that was left must be known to have ended. Callers wait twice as long for
/// the next event at least.
const MAX_END_TIME: Duration = Duration::from_secs(1);

/// Time between two connections to a server that refuses them, while its other responses may show that it
/// runs: about that between two events of a stream that a caller follows.
const REFUSED_INTERVAL: Duration = Duration::from_millis(40);

/// A request whose last run has to end before it goes on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndingRun {
    /// The attempt whose response broke off.
    pub(crate) attempt: RunningAttempt,
    /// When it broke off.
    pub(crate) since: Time,
    /// When its server first refused a connection; `None` if it has not.
    pub(crate) refused_at: Option<Time>,
    /// The engine where the request goes on.
    pub(crate) next: ServerKey,
}

/// Whether a run has ended, as far as its server shows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Verdict {
    Ended,
    MayGoOn,
    /// More will show soon.
    Undecided,
}

impl State {
    /// Returns the engine at which a generation that broke off midway can resume from the copy of
    /// its KV cache. This reserves a retry from the budget.
    pub(crate) fn backup_to_resume(
        &mut self,
        now: Time,
        key: RequestKey,
        running: RunningAttempt,
        end: AttemptEnd,
    ) -> Option<ServerKey> {
        let is_midway = end == AttemptEnd::Broken { delivered: Delivered::Events };
        let backup = running.backup.filter(|_| is_midway)?;
        let may_resume =
            self.may_resume_at(now, key, running, backup) && self.reserve_retry(now, key);
        may_resume.then_some(backup)
    }

    /// Returns whether the generation of an attempt that broke off may resume at an engine now.
    fn may_resume_at(
        &self,
        now: Time,
        key: RequestKey,
        running: RunningAttempt,
        engine: ServerKey,
    ) -> bool {
        let Some(req) = self.requests.get(key) else { return false };
        let Some(engine) = self.servers.get(engine) else { return false };
        // The engine may have been started again with another version since it was chosen.
        if engine.entry.software != running.software || req.is_origin_in_doubt {
            return false;
        }
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&req.pool));
        let is_late = now + MIN_REMAINING >= req.end_by;
        // Its prompt may have ended the engine, and would end the next one.
        let is_doubtful = self.quarantine.is_doubtful(&req.prompt);
        !is_late && !is_doubtful && pool.is_some_and(|pool| self.may_send(now, engine, pool))
    }

    /// Ends the run of an attempt that broke off, and then goes on at `next`.
    pub(crate) fn end_run(
        &mut self,
        now: Time,
        key: RequestKey,
        attempt: RunningAttempt,
        next: ServerKey,
    ) {
        self.ask_to_end(now, key, EndingRun { attempt, since: now, refused_at: None, next });
    }

    /// Asks the server of a run to end it, no sooner than `from`.
    fn ask_to_end(&mut self, from: Time, key: RequestKey, ending: EndingRun) {
        let next = self.servers.get(ending.next).map(|server| server.entry.address);
        let Some(req) = self.requests.get_mut(key) else { return };
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&req.pool));
        let can_end = pool.and_then(|pool| pool.engine).is_some_and(|engine| engine.can_end_runs);
        req.stage = Stage::Ending(ending);
        let by = (ending.since + MAX_END_TIME).min(req.end_by);
        let left = LeftRun { move_to: next.filter(|_| can_end), from, by };
        self.emit(Effect::Command { key, command: Command::EndRun(left) });
    }

    /// Goes on with a request whose last run has ended, or breaks its response off if the run may go on.
    pub(crate) fn run_ended(&mut self, now: Time, key: RequestKey, end: RunEnd) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Ending(mut ending) = req.stage else { return };
        req.stage = Stage::Idle;
        let (id, end_by) = (Arc::clone(&req.id), req.end_by);
        if end == RunEnd::Refused {
            ending.refused_at.get_or_insert(now);
        }
        let verdict = self.verdict(&ending, &end);
        let retry_at = now + REFUSED_INTERVAL;
        if verdict == Verdict::Undecided && retry_at < (ending.since + MAX_END_TIME).min(end_by) {
            return self.ask_to_end(retry_at, key, ending);
        }
        let has_ended = verdict == Verdict::Ended;
        let goes_on = has_ended && self.may_resume_at(now, key, ending.attempt, ending.next);
        let server = self.servers.get(ending.attempt.server);
        let server = server.map(|server| Arc::clone(&server.entry.name)).unwrap_or_default();
        let (evidence, took) = (end.name(), now.since(ending.since));
        self.log(LogEntry::RunLeft { id, server, evidence, has_ended, goes_on, took });
        if !goes_on {
            return self.refuse(now, key, Refusal::unknown(Reason::ServerFailed));
        }
        let choice = self.resume_choice(ending);
        let kept = self.kept_copy(key, ending.next);
        let copy = match end {
            RunEnd::Moved(copy) => Some(copy),
            _ => kept,
        };
        self.start(now, key, choice, copy);
    }

    /// Returns what a server shows of a run, by the way in which it responds and by its other responses.
    fn verdict(&self, ending: &EndingRun, end: &RunEnd) -> Verdict {
        match end {
            RunEnd::Moved(_) | RunEnd::Ended | RunEnd::Replaced => Verdict::Ended,
            RunEnd::Unreachable | RunEnd::Unknown(_) => Verdict::MayGoOn,
            // A server that is about to stop may refuse connections and finish its runs.
            RunEnd::Refused if !ending.attempt.has_closed => Verdict::MayGoOn,
            RunEnd::Refused if self.has_sent_since(ending) => Verdict::MayGoOn,
            RunEnd::Refused if self.has_other_response(ending) => Verdict::Undecided,
            RunEnd::Refused => Verdict::Ended,
        }
    }

    /// Returns whether a server has sent something since it first refused a connection.
    fn has_sent_since(&self, ending: &EndingRun) -> bool {
        let server = self.servers.get(ending.attempt.server);
        let last_bytes_at = server.map(|server| server.health.last_bytes_at());
        ending.refused_at.is_some_and(|refused_at| last_bytes_at > Some(refused_at))
    }

    /// Returns whether a response of the same server that began before the run was left has not ended.
    fn has_other_response(&self, ending: &EndingRun) -> bool {
        self.requests.values().any(|req| match req.stage {
            Stage::Running(running) => {
                running.server == ending.attempt.server
                    && running.begun_at.is_some_and(|begun_at| begun_at <= ending.since)
            }
            _ => false,
        })
    }

    /// Returns the copy of a generation's KV cache that an engine kept while it ran elsewhere.
    fn kept_copy(&self, key: RequestKey, engine: ServerKey) -> Option<KvCopy> {
        let server = self.servers.get(engine)?;
        let req = self.requests.get(key)?;
        Some(KvCopy { named_by: server.entry.address, name: Arc::clone(&req.id) })
    }

    /// Returns the choice of the engine where a generation resumes.
    fn resume_choice(&self, ending: EndingRun) -> Choice {
        let server = self.servers.get(ending.next);
        let others = server.and_then(|server| self.others_load(server));
        Choice {
            server: ending.next,
            room: Room::Free,
            is_acceptable: true,
            is_mixed: false,
            cost: Duration::ZERO,
            expected: ending.attempt.expected,
            others: others.map_or(0, |load| load.total().attempts),
            backup: None,
            fetch_source: None,
            prefill_tokens: 0,
            tokens_ahead: 0.0,
        }
    }

    /// Logs that a response goes on with an attempt, and after which server's.
    pub(crate) fn log_continued(&mut self, key: RequestKey, attempt: &Attempt) {
        let Some(req) = self.requests.get(key) else { return };
        let before = req.tried.last().and_then(|before| self.servers.get(*before));
        let before = before.map(|before| Arc::clone(&before.entry.name)).unwrap_or_default();
        let (id, server) = (Arc::clone(&req.id), Arc::clone(&attempt.name));
        self.log(LogEntry::Continued { id, before, server });
    }
}
