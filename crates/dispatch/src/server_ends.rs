//! Servers that end while they begin to answer requests, and the requests that are held back for it.

use std::{collections::BTreeSet, sync::Arc};

use gossip::EndTag;
use model::prelude::*;

use crate::{
    AttemptEnd, Effect, LogEntry, Prompt, QuarantineChange, RequestKey, ServerKey, Verdict,
    end_tag,
    request::{RunningAttempt, Stage},
    state::State,
    suspect::SURVIVAL_TIME,
};

/// The least retry-after time of a request that is held back: its trial is due at another instance.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A server at which the connection of an attempt ended, and that may have ended itself.
#[derive(Debug)]
pub(crate) struct PossibleEnd {
    tag: EndTag,
    server: Arc<str>,
    ended_at: Time,
    attempts: Vec<EndedAttempt>,
}

/// An attempt that ended with its connection, before its server was known to survive the response.
#[derive(Debug)]
struct EndedAttempt {
    prompt: Prompt,
    sent_at: Time,
    /// Whether its caller got a complete response.
    is_answered: bool,
}

impl RunningAttempt {
    /// Returns whether the server still ran [`SURVIVAL_TIME`] after its response began.
    fn has_survived(&self, now: Time) -> bool {
        self.begun_at.is_some_and(|begun_at| now.since(begun_at) >= SURVIVAL_TIME)
    }
}

impl State {
    /// Records that an attempt ended. If its connection ended before the server was known to survive
    /// the response, the server may have ended, which is checked at once. A response that ends with
    /// its connection may be complete or not: the check tells.
    pub(crate) fn record_possible_end(
        &mut self,
        now: Time,
        key: RequestKey,
        running: RunningAttempt,
        end: AttemptEnd,
    ) {
        let Some(req) = self.requests.get(key) else { return };
        let Some(sent_at) = running.sent_at else { return };
        let is_answered = end == (AttemptEnd::Completed { is_success: true });
        // A server that asks for a pause has answered.
        let is_paused = self.servers.get(running.server).is_some_and(|it| it.is_paused(now));
        let is_broken = matches!(end, AttemptEnd::Broken { .. }) && !is_paused;
        let is_in_doubt = is_broken || is_answered && running.has_closed;
        if is_answered && (!is_in_doubt || running.has_survived(now)) {
            return self.quarantine.answered(&req.prompt, sent_at);
        }
        if !is_in_doubt || running.has_survived(now) || req.prompt.shared_parts().is_empty() {
            return;
        }
        let attempt = EndedAttempt { prompt: req.prompt.clone(), sent_at, is_answered };
        if let Some(possible) = self.possible_ends.get_mut(running.server) {
            return possible.attempts.push(attempt);
        }
        let Some(server) = self.servers.get(running.server) else { return };
        let address = server.entry.address;
        let possible = PossibleEnd {
            tag: end_tag(server.id, running.incarnation),
            server: Arc::clone(&server.entry.name),
            ended_at: now,
            attempts: vec![attempt],
        };
        self.possible_ends.insert(running.server, possible);
        self.emit(Effect::CheckServer { server: running.server, address });
    }

    pub(crate) fn server_checked(&mut self, now: Time, server: ServerKey, is_down: bool) {
        let Some(possible) = self.possible_ends.remove(server) else { return };
        if !is_down {
            for attempt in possible.attempts.iter().filter(|it| it.is_answered) {
                self.quarantine.answered(&attempt.prompt, attempt.sent_at);
            }
            return;
        }
        for EndedAttempt { prompt, sent_at, .. } in &possible.attempts {
            self.quarantine.server_ended(possible.tag, prompt, *sent_at, possible.ended_at);
        }
        let unanswered = possible.attempts.len();
        let prompts = possible.attempts.iter().map(|it| &it.prompt);
        let parts: BTreeSet<_> =
            prompts.flat_map(Prompt::shared_parts).map(|part| part.id).collect();
        let parts = parts.into_iter().collect();
        self.log(LogEntry::ServerEnded { server: possible.server, unanswered, parts });
        self.update_quarantine(now);
    }

    /// Records which servers survived the answers that they have begun.
    pub(crate) fn record_survivals(&mut self, now: Time) {
        if !self.quarantine.has_suspects() {
            return;
        }
        for req in self.requests.values() {
            let Stage::Running(running) = req.stage else { continue };
            let Some(sent_at) = running.sent_at else { continue };
            if running.has_survived(now) {
                self.quarantine.answered(&req.prompt, sent_at);
            }
        }
        self.update_quarantine(now);
    }

    /// Decides again which parts are held back, and refuses the requests with these parts that wait.
    pub(crate) fn update_quarantine(&mut self, now: Time) {
        let changes = self.quarantine.update(now);
        if changes.is_empty() {
            return;
        }
        let held = self.quarantine.held().len();
        let mut is_stricter = false;
        for change in changes {
            is_stricter |= matches!(change, QuarantineChange::Held(_));
            self.log(LogEntry::Quarantine { change, held });
        }
        if is_stricter {
            for key in self.queue.keys() {
                self.refuse_if_quarantined(now, key);
            }
        }
    }

    /// Refuses a request if one of its parts is held back, unless it is the trial that is due.
    /// Returns whether it was refused.
    pub(crate) fn refuse_if_quarantined(&mut self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get_mut(key) else { return false };
        let rank = u32::try_from(self.members.rank()).ok();
        match self.quarantine.verdict(now, &req.prompt, rank) {
            _ if req.is_trial => false,
            Verdict::Free => false,
            Verdict::Trial => {
                req.is_trial = true;
                self.quarantine.tried(now, &req.prompt);
                let id = Arc::clone(&req.id);
                self.log(LogEntry::QuarantineTrial { id });
                false
            }
            Verdict::Held { trial_due } => {
                let mut refusal = req.refusal(Reason::Quarantined);
                if refusal.execution == Execution::NotRun {
                    refusal = refusal.retry_after(now.until(trial_due).max(MIN_RETRY_AFTER));
                }
                self.refuse(now, key, refusal);
                true
            }
        }
    }
}
