//! How attempts end, and what follows.

use std::sync::Arc;

use model::prelude::*;

use crate::{
    AttemptEnd, Command, Effect, LogEntry, RequestKey, ServerKey,
    placement::Choice,
    request::{MIN_REMAINING, Request, Run, Stage},
    route::Repeat,
    state::State,
};

/// Time for which a retry waits for another server: it has been admitted.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// Servers that may reject a request before the caller is told to come back.
const MAX_REJECTIONS: u32 = 3;

impl State {
    pub(crate) fn sent(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Running(run) = &mut req.stage else { return };
        run.sent_at = Some(now);
        if std::mem::take(&mut req.has_retry) {
            self.budgets.entry(req.pool).or_default().spend(now, &self.setup.bounds);
        }
    }

    pub(crate) fn began(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        req.began_at.get_or_insert(now);
        let pool = req.pool;
        let Stage::Running(run) = &mut req.stage else { return };
        let prefill = std::mem::take(&mut run.prefill);
        let Run { server: key, sent_at, expected, .. } = *run;
        let Some(server) = self.servers.get_mut(key) else { return };
        server.prefill = server.prefill.saturating_sub(u64::from(prefill));
        if let Some(sent_at) = sent_at {
            server.health.first_byte(now.since(sent_at), expected);
        }
        self.heard_from(now, key);
        self.dispatch(now, pool);
    }

    pub(crate) fn heard_from(&mut self, now: Time, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.health.heard(now);
        if std::mem::take(&mut server.health.was_down) {
            // Whether the server was cut off or restarted cannot be told.
            self.chill(now, key);
        }
    }

    pub(crate) fn ended(
        &mut self,
        now: Time,
        key: RequestKey,
        end: AttemptEnd,
        cold: Option<Duration>,
    ) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Running(run) = req.stage else { return };
        req.stage = Stage::Idle;
        if end.may_have_run() {
            req.runs += 1;
        }
        let pool = req.pool;
        self.settle(now, run, end, cold);
        match end {
            AttemptEnd::Completed { .. } => self.answered(now, key),
            AttemptEnd::CallerLeft => self.caller_left(now, key),
            _ => self.failed(now, key, run, end),
        }
        self.dispatch(now, pool);
    }

    /// Accounts for the end of an attempt at its server.
    pub(crate) fn settle(&mut self, now: Time, run: Run, end: AttemptEnd, cold: Option<Duration>) {
        if let Some(pool) = run.live_in {
            self.live.entry(pool).or_default().ended(now);
        }
        let Some(server) = self.servers.get_mut(run.server) else { return };
        server.attempts = server.attempts.saturating_sub(1);
        server.prefill = server.prefill.saturating_sub(u64::from(run.prefill));
        server.health.busy(now, server.attempts);
        if let Some(cold) = cold {
            server.chill(now, cold);
        }
        match end {
            AttemptEnd::Completed { is_success } => server.health.outcome(now, !is_success),
            AttemptEnd::NotConnected => server.health.not_connected(now),
            AttemptEnd::Rejected { is_misdirected } => server.health.rejected(now, is_misdirected),
            AttemptEnd::HeldBack | AttemptEnd::Broken { .. } | AttemptEnd::TimedOut { .. } => {
                server.health.outcome(now, true);
            }
            AttemptEnd::Unused | AttemptEnd::CallerLeft => {}
        }
    }

    fn answered(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.forget(key) else { return };
        let first_byte = req.began_at.unwrap_or(now).since(req.arrived);
        self.note(LogEntry::Answered {
            id: req.id,
            route: req.routed.route.name.clone(),
            first_byte,
            total: now.since(req.arrived),
            in_target: first_byte <= req.routed.route.target,
        });
    }

    /// Decides what follows an attempt that gave no whole answer.
    fn failed(&mut self, now: Time, key: RequestKey, run: Run, end: AttemptEnd) {
        let next = match self.copy_of(now, key, run, end) {
            Some(choice) => Next::Continue(choice),
            None => self.next(now, key, end),
        };
        let Some(req) = self.requests.get_mut(key) else { return };
        let name = self.servers.get(run.server).map(|it| Arc::clone(&it.entry.name));
        let note = LogEntry::AttemptFailed {
            id: Arc::clone(&req.id),
            server: name.unwrap_or_default(),
            end,
            next: next.name(),
        };
        req.tried.push(run.server);
        req.holds_failure |= end == AttemptEnd::HeldBack;
        self.note(note);
        match next {
            Next::Retry => self.enqueue(now, key, RETRY_WAIT),
            Next::Continue(choice) => self.start(now, key, choice),
            Next::Deliver => self.deliver(now, key),
            Next::Refuse(refusal) => self.refuse(now, key, refusal),
        }
    }

    /// Returns the server at which a run can go on that broke off midway.
    fn copy_of(&mut self, now: Time, key: RequestKey, run: Run, end: AttemptEnd) -> Option<Choice> {
        let req = self.requests.get(key)?;
        let server = self.servers.get(run.backup?)?;
        let pool = self.catalog.as_ref()?.pools.get(&req.pool)?;
        let is_late = now + MIN_REMAINING >= req.end_by;
        let broke_midway = end == AttemptEnd::Broken { is_partial: true };
        if !broke_midway || is_late || !self.may_send(now, server, pool) {
            return None;
        }
        let others = self.loads.total(server.id.into()).attempts;
        let choice = Choice {
            server: run.backup?,
            cost: Duration::ZERO,
            expected: run.expected,
            others,
            backup: None,
            fetch_source: None,
            unread: 0,
        };
        self.reserve_retry(now, key).then_some(choice)
    }

    fn next(&mut self, now: Time, key: RequestKey, end: AttemptEnd) -> Next {
        let gone = Next::Refuse(Refusal::unknown(Reason::ServerFailed));
        let Some(req) = self.requests.get_mut(key) else { return gone };
        let can_retry = req.may_run_again(now, req.runs);
        let is_late = now + MIN_REMAINING >= req.end_by;
        let may_start = req.runs == 0 || req.is_repeatable();
        let may_go_on = match end {
            _ if !may_start => false,
            AttemptEnd::Unused => return Next::Refuse(req.refusal(Reason::NotReady)),
            // Nothing arrived, so nothing is repeated.
            AttemptEnd::NotConnected => !is_late,
            AttemptEnd::Rejected { .. } => {
                req.rejections += 1;
                let is_over = req.rejections >= MAX_REJECTIONS || is_late;
                !is_over && self.reserve_retry(now, key)
            }
            _ => {
                let resumes = req.routed.route.repeat == Repeat::Resume;
                can_retry && (!end.is_partial() || resumes) && self.reserve_retry(now, key)
            }
        };
        if may_go_on {
            return Next::Retry;
        }
        let Some(req) = self.requests.get(key) else { return gone };
        let reason = match end {
            _ if req.holds_failure || end == AttemptEnd::HeldBack => return Next::Deliver,
            AttemptEnd::Rejected { .. } => Reason::Capacity,
            AttemptEnd::NotConnected => Reason::NoServer,
            AttemptEnd::TimedOut { .. } => Reason::ServerTimeout,
            _ => Reason::ServerFailed,
        };
        Next::Refuse(req.refusal(reason))
    }

    fn reserve_retry(&mut self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get_mut(key) else { return false };
        let budget = self.budgets.entry(req.pool).or_default();
        req.has_retry = req.has_retry || budget.reserve(now, &self.setup.bounds, &self.share);
        req.has_retry
    }

    /// Removes a request, with its place in the queue and what it has reserved.
    pub(crate) fn forget(&mut self, key: RequestKey) -> Option<Request> {
        let req = self.requests.remove(key)?;
        if let Stage::Waiting(place) = req.stage {
            self.queue.remove(req.pool, place);
        }
        if req.has_retry {
            self.budgets.entry(req.pool).or_default().release();
        }
        Some(req)
    }

    pub(crate) fn deliver(&mut self, now: Time, key: RequestKey) {
        self.emit(Effect::Command { key, command: Command::Deliver });
        self.answered(now, key);
    }
}

/// What follows an attempt that gave no whole answer.
#[derive(Clone, Copy, Debug)]
enum Next {
    Retry,
    /// The run goes on where a copy of its memory is.
    Continue(Choice),
    Deliver,
    Refuse(Refusal),
}

impl Next {
    fn name(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::Continue(_) => "continue from the copy",
            Self::Deliver => "deliver the failure",
            Self::Refuse(_) => "refuse",
        }
    }
}
