//! Handles the course and the end of attempts: updates the load and health of the server, and
//! decides the next step of the request.

use std::sync::Arc;

use gossip::TotalLoad;
use model::prelude::*;

use crate::{
    AttemptEnd, Command, Delivered, Effect, LogEntry, RequestKey, ResponseTrace, ServerKey,
    request::{MIN_REMAINING, Request, RunningAttempt, Stage},
    state::State,
};

/// How long a retry waits in the queue for another server before the request is refused. The time
/// does not depend on the target, since the request has been admitted.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// The number of rejections by servers after which a request is refused and its caller told when to
/// retry.
const MAX_REJECTIONS: u32 = 3;

/// A request that is sent this long after its server was chosen is logged: several times what it
/// takes to connect to a server that accepts at once.
const LATE_SENDING: Duration = Duration::from_millis(100);

impl State {
    pub(crate) fn sent(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Running(running) = &mut req.stage else { return };
        running.sent_at = Some(now);
        if std::mem::take(&mut req.has_reserved_retry) {
            self.budgets.entry(req.pool).or_default().spend(now, &self.setup.bounds);
        }
        let (id, running) = (Arc::clone(&req.id), *running);
        if let Some(server) = self.servers.get_mut(running.server) {
            server.unsent = server.unsent.saturating_sub(1);
            server.recent_requests.record(now);
            let id = server.id;
            self.count_limited(now, id, running.incarnation);
        }
        self.log_late_sending(now, id, running);
    }

    /// Logs that a request is sent long after its server was chosen, or to a server that has begun
    /// to leave since.
    fn log_late_sending(&mut self, now: Time, id: Arc<str>, running: RunningAttempt) {
        let after = now.since(running.started_at);
        let server = self.servers.get(running.server);
        let is_eligible = server.is_some_and(|server| self.servers.is_eligible(server));
        if after >= LATE_SENDING || !is_eligible {
            let server = server.map(|server| Arc::clone(&server.entry.name)).unwrap_or_default();
            self.log(LogEntry::SentLate { id, server, after, is_eligible });
        }
    }

    pub(crate) fn first_byte(&mut self, now: Time, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        req.first_byte_at.get_or_insert(now);
        let pool = req.pool;
        let Stage::Running(running) = &mut req.stage else { return };
        running.begun_at.get_or_insert(now);
        let prefill_tokens = std::mem::take(&mut running.prefill_tokens).into();
        let RunningAttempt { server: key, sent_at, expected, rank, tokens_ahead, .. } = *running;
        if let Some(sent_at) = sent_at {
            self.quarantine.begun(now, &req.prompt, sent_at);
        }
        let Some(server) = self.servers.get_mut(key) else { return };
        server.load.remove(rank.into(), TotalLoad { prefill_tokens, ..TotalLoad::default() });
        if let Some(sent_at) = sent_at {
            let took = now.since(sent_at);
            server.health.record_first_byte(took, expected);
            if tokens_ahead > 0.0 {
                let demand = self.demand.entry(pool).or_default();
                demand.reading.record(now, tokens_ahead, took);
            }
        }
        self.bytes_received(now, key);
        self.dispatch(now, pool);
    }

    pub(crate) fn server_closed(&mut self, key: RequestKey) {
        let Some(req) = self.requests.get_mut(key) else { return };
        if let Stage::Running(running) = &mut req.stage {
            running.has_closed = true;
        }
    }

    pub(crate) fn bytes_received(&mut self, now: Time, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.health.bytes_received(now);
        if std::mem::take(&mut server.health.was_unreachable) {
            // It may have been restarted rather than cut off.
            self.mark_cold(now, key);
        }
    }

    pub(crate) fn attempt_ended(
        &mut self,
        now: Time,
        key: RequestKey,
        end: AttemptEnd,
        cold: Option<Duration>,
        trace: ResponseTrace,
    ) {
        let Some(req) = self.requests.get_mut(key) else { return };
        let Stage::Running(running) = req.stage else { return };
        req.stage = Stage::Idle;
        if end.may_have_run() {
            req.possible_runs += 1;
        }
        req.holds_server_error |= end == AttemptEnd::HeldBack;
        req.has_partial_response |= end.delivered() != Delivered::Nothing;
        let pool = req.pool;
        if let (Some(sent_at), true) = (running.sent_at, req.first_byte_at.is_some()) {
            let tier = req.routed.route.tier;
            self.service_times.record(pool, tier, now.since(sent_at));
        }
        self.record_possible_end(now, key, running, end);
        self.release_server(now, running, end, cold);
        match end {
            AttemptEnd::Completed { .. } => self.completed(now, key, Some(trace)),
            AttemptEnd::CallerLeft => self.caller_left(now, key),
            _ => self.attempt_failed(now, key, running, end, trace),
        }
        self.dispatch(now, pool);
    }

    /// Takes an attempt that has ended off the load of its server and updates the server's health.
    /// `cold` is for how long the server says that it stays cold.
    pub(crate) fn release_server(
        &mut self,
        now: Time,
        running: RunningAttempt,
        end: AttemptEnd,
        cold: Option<Duration>,
    ) {
        if let Some(pool) = running.live_pool {
            self.demand.entry(pool).or_default().stream_ended(now, now.since(running.started_at));
        }
        let Some(server) = self.servers.get_mut(running.server) else { return };
        server.load.remove(running.rank.into(), running.load());
        if running.sent_at.is_none() {
            server.unsent = server.unsent.saturating_sub(1);
        }
        server.health.set_attempts(now, server.attempts());
        if let Some(cold) = cold {
            server.mark_cold(now, cold);
        }
        match end {
            AttemptEnd::Completed { is_success } => server.health.record_outcome(now, !is_success),
            AttemptEnd::NotConnected => server.health.connect_failed(now),
            AttemptEnd::Rejected { is_misdirected } => server.health.rejected(now, is_misdirected),
            // A rejection that asks for a pause says nothing of the server's health.
            AttemptEnd::Broken { .. } if server.is_paused(now) => {}
            AttemptEnd::HeldBack | AttemptEnd::Broken { .. } | AttemptEnd::TimedOut { .. } => {
                server.health.record_outcome(now, true);
            }
            AttemptEnd::Unused | AttemptEnd::Withdrawn | AttemptEnd::CallerLeft => {}
        }
    }

    /// Removes a request that ends with a response of a server, and logs that. `trace` is of the last
    /// attempt; `None` if the response was held back before.
    fn completed(&mut self, now: Time, key: RequestKey, trace: Option<ResponseTrace>) {
        let Some(req) = self.remove_request(key) else { return };
        let first_byte = req.first_byte_at.unwrap_or(now).since(req.arrived);
        self.log(LogEntry::Answered {
            id: req.id,
            route: req.routed.route.name.clone(),
            first_byte,
            total: now.since(req.arrived),
            in_target: first_byte <= req.routed.route.target,
            attempts: req.attempts,
            trace: trace.unwrap_or_default(),
        });
    }

    /// Takes the next step after an attempt without a complete response.
    fn attempt_failed(
        &mut self,
        now: Time,
        key: RequestKey,
        running: RunningAttempt,
        end: AttemptEnd,
        trace: ResponseTrace,
    ) {
        let next = match self.backup_to_resume(now, key, running, end) {
            Some(backup) => NextStep::EndRun(backup),
            None => self.next_step(now, key, end),
        };
        let Some(req) = self.requests.get_mut(key) else { return };
        let name = self.servers.get(running.server).map(|server| Arc::clone(&server.entry.name));
        let entry = LogEntry::AttemptFailed {
            id: Arc::clone(&req.id),
            server: name.unwrap_or_default(),
            end,
            next: next.name(),
            trace,
        };
        req.tried.push(running.server);
        self.log(entry);
        match next {
            NextStep::Retry => self.enqueue(now, key, RETRY_WAIT),
            NextStep::EndRun(next) => self.end_run(now, key, running, next),
            NextStep::Deliver => self.deliver(now, key),
            NextStep::Refuse(refusal) => self.refuse(now, key, refusal),
        }
    }

    /// Decides whether a request is retried, and if not, what its caller gets. A retry is reserved
    /// from the budget unless nothing was sent.
    fn next_step(&mut self, now: Time, key: RequestKey, end: AttemptEnd) -> NextStep {
        let gone = NextStep::Refuse(Refusal::unknown(Reason::ServerFailed));
        let Some(req) = self.requests.get_mut(key) else { return gone };
        let can_retry = req.may_run_again(now, req.possible_runs);
        let is_late = now + MIN_REMAINING >= req.end_by;
        let may_start = req.possible_runs == 0 || req.is_repeatable();
        let is_retried = match end {
            _ if !may_start => false,
            AttemptEnd::Unused => return NextStep::Refuse(req.refusal(Reason::NotReady)),
            // No byte reached the server, so this is not a retry for the budget.
            AttemptEnd::NotConnected | AttemptEnd::Withdrawn => !is_late,
            AttemptEnd::Rejected { .. } => {
                req.rejections += 1;
                let is_over = req.rejections >= MAX_REJECTIONS || is_late;
                !is_over && self.reserve_retry(now, key)
            }
            _ => {
                let may_follow = match end.delivered() {
                    Delivered::Nothing => true,
                    Delivered::Events => req.is_resumable() && !req.is_origin_in_doubt,
                    Delivered::Part => false,
                };
                // Its prompt may have ended the server, and would end the next one.
                let is_doubtful = self.quarantine.is_doubtful(&req.prompt);
                can_retry && !is_doubtful && may_follow && self.reserve_retry(now, key)
            }
        };
        if is_retried {
            return NextStep::Retry;
        }
        let Some(req) = self.requests.get(key) else { return gone };
        let reason = match end {
            _ if req.can_deliver_error() => return NextStep::Deliver,
            AttemptEnd::Rejected { .. } => Reason::Capacity,
            AttemptEnd::NotConnected | AttemptEnd::Withdrawn => Reason::NoServer,
            AttemptEnd::TimedOut { .. } => Reason::ServerTimeout,
            _ => Reason::ServerFailed,
        };
        NextStep::Refuse(req.refusal(reason))
    }

    /// Returns whether the request has a retry reserved, after reserving one if the budget allows
    /// it.
    pub(crate) fn reserve_retry(&mut self, now: Time, key: RequestKey) -> bool {
        let Some(req) = self.requests.get_mut(key) else { return false };
        let budget = self.budgets.entry(req.pool).or_default();
        req.has_reserved_retry =
            req.has_reserved_retry || budget.reserve(now, &self.setup.bounds, &self.share);
        req.has_reserved_retry
    }

    /// Removes a request from all indexes and releases the retry that it has reserved.
    pub(crate) fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        let req = self.requests.remove(key)?;
        if let Stage::Waiting(entry) = req.stage {
            self.queue.remove(req.pool, entry);
        }
        if req.has_reserved_retry {
            self.budgets.entry(req.pool).or_default().release();
        }
        Some(req)
    }

    /// Passes the server error that was held back on to the caller.
    pub(crate) fn deliver(&mut self, now: Time, key: RequestKey) {
        self.emit(Effect::Command { key, command: Command::Deliver });
        self.completed(now, key, None);
    }
}

/// What follows an attempt without a complete response.
#[derive(Clone, Copy, Debug)]
enum NextStep {
    /// The request waits for another server.
    Retry,
    /// The run must end, and then resumes at this engine from a copy of its KV cache.
    EndRun(ServerKey),
    /// The caller gets the server error that was held back.
    Deliver,
    Refuse(Refusal),
}

impl NextStep {
    /// Returns the text that is logged.
    fn name(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::EndRun(_) => "end the run, then continue from a copy",
            Self::Deliver => "deliver the failure",
            Self::Refuse(_) => "refuse",
        }
    }
}
