//! The life of a request that a caller sent to this instance: admission, tokens, attempts, retries
//! and its end. The queues of cells are in `waiting`.

use limit::TokenClientOut;
use model::{msg::OnceMsg, prelude::*};
use once::{ClaimsOut, KeyedRequest};

use crate::{
    Effect, LogEntry, Metric, RequestCommand, RequestHead, RunCommand,
    request::{GRANT_TOKEN_TIMEOUT, Request, Stage, TicketState, TokenState},
    state::{Phase, State},
};

/// Instances that remember an idempotency key.
const CLAIM_HOLDERS: usize = 3;

/// A retry may wait at least this long for another backend server, also after the request's own
/// wait, since it was admitted. Callers are told to retry after this time if they are refused
/// because the instance is not ready or serves as many requests as it may.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// How long a request that waits in the queue of a cell keeps its token before it returns it.
const QUEUED_TOKEN_TIME: Duration = Duration::from_millis(50);

/// An idempotent attempt fails if its response has not begun after this many times the target of
/// its class.
const FIRST_BYTE_TARGET_FACTOR: u32 = 10;

/// The least time that an idempotent attempt has for its response to begin.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(10);

/// The most attempts of a request, the first one included.
const MAX_ATTEMPTS: u32 = 4;

impl State {
    /// Admits or refuses a new request.
    pub(crate) fn request(&mut self, now: Time, head: RequestHead) {
        let no = head.no;
        let account = match self.admit(&head) {
            Ok(account) => account,
            Err(refusal) => return self.refuse_head(&head, refusal),
        };
        let Some(class) = self.catalog.classes.get(&head.class) else {
            return self.refuse_head(&head, Refusal::not_run(Reason::NoRoute));
        };
        let end_by = head.arrived + self.catalog.max_duration(head.route);
        let req = Request {
            account,
            tier: class.tier,
            target_by: head.arrived + class.target,
            wait_until: head.arrived + class.max_wait,
            end_by,
            stage: Stage::Claim,
            attempt: 0,
            avoid: Vec::new(),
            tickets: Vec::new(),
            grant: None,
            token: TokenState::None,
            may_have_run: false,
            has_claim: false,
            head,
        };
        self.retry_budget.deposit();
        self.out.effects.push(Effect::Count(Metric::Admitted(req.head.class)));
        self.requests.insert(no, req);
        self.claim(now, no);
    }

    /// Returns the request's account, `None` on an open route, or why it is refused.
    fn admit(&self, head: &RequestHead) -> Result<Option<AccountId>, Refusal> {
        // While draining, callers may send requests on open connections even after the instance has
        // stopped listening.
        let is_accepting = matches!(self.phase, Phase::Serving | Phase::Draining { .. });
        if !is_accepting {
            return Err(Refusal::not_run(Reason::NotReady).retry_after(RETRY_WAIT));
        }
        if self.requests.len() >= self.setup.max_requests {
            return Err(Refusal::not_run(Reason::Capacity).retry_after(RETRY_WAIT));
        }
        let Some(key) = head.key else { return Ok(None) };
        let account = self.catalog.account_of(key);
        account.map(Some).ok_or_else(|| Refusal::not_run(Reason::NoKey))
    }

    /// Claims the idempotency key if there is one and the request must not run twice. Otherwise,
    /// starts the first attempt.
    fn claim(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(idempotency) = req.head.idempotency.filter(|_| !req.head.idempotent) else {
            return self.start_attempt(now, no);
        };
        req.has_claim = true;
        let wait = now.until(req.wait_until);
        let holders = self.members.preferred_instances(idempotency.key.0, CLAIM_HOLDERS);
        let keyed = KeyedRequest { no, key: idempotency.key, resend: idempotency.resend };
        let out = self.claims.claim(now, keyed, wait, &holders);
        self.handle_claims_output(now, out);
    }

    /// Handles a message about an idempotency key: a reply to a claim of this instance, or a
    /// message to this instance as a holder of the key.
    pub(crate) fn once_message(&mut self, now: Time, from: Peer, msg: &OnceMsg) {
        match msg {
            OnceMsg::Answer { .. } => {
                let out = self.claims.handle(now, from, msg);
                self.handle_claims_output(now, out);
            }
            OnceMsg::Claim { .. } | OnceMsg::Free { .. } => {
                if let Some(reply) = self.held_keys.handle(now, from, msg) {
                    self.send(reply.to, Msg::Once(reply.msg));
                }
            }
        }
    }

    fn handle_claims_output(&mut self, now: Time, out: Vec<ClaimsOut>) {
        for out in out {
            match out {
                ClaimsOut::Send { to, msg } => self.send(to, Msg::Once(msg)),
                ClaimsOut::Ready { no } => self.start_attempt(now, no),
                ClaimsOut::Refuse { no, reason } => {
                    self.refuse(now, no, Refusal::not_run(reason));
                }
            }
        }
    }

    /// Starts to acquire what an attempt needs: a token, then a backend server.
    fn start_attempt(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        req.stage = Stage::Token;
        let Some(account) = req.account else { return self.join_queue(now, no) };
        if self.setup.policy == config::Policy::StaticLimits {
            return self.take_static_token(now, no, account);
        }
        let wait = now.until(req.wait_until);
        let zones = self.token_zones();
        let out = self.token_client.acquire(now, no, account, wait, &zones);
        self.handle_token_output(now, out);
    }

    fn take_static_token(&mut self, now: Time, no: RequestNo, account: AccountId) {
        let Some(spec) = self.catalog.accounts.get(&account) else { return };
        match self.static_limits.take(now, account, spec.rate, spec.burst) {
            Ok(()) => self.join_queue(now, no),
            Err(err) => {
                let refusal = Refusal::not_run(Reason::OverRate).retry_after(err.retry_after);
                self.refuse(now, no, refusal);
            }
        }
    }

    /// Returns the availability zones that have a share of each account's limits, this instance's
    /// own zone first.
    fn token_zones(&self) -> Vec<ZoneId> {
        let own = self.setup.zone;
        let mut zones = self.catalog.share_zones();
        zones.sort_by_key(|zone| *zone != own);
        zones
    }

    /// Sends the messages of the token client, and continues the requests that it names.
    pub(crate) fn handle_token_output(&mut self, now: Time, out: Vec<TokenClientOut>) {
        for out in out {
            match out {
                TokenClientOut::Send { share, msg } => self.send_to_share(now, share, msg),
                TokenClientOut::Ready { no } => self.token_ready(now, no),
                TokenClientOut::Unavailable { no, reason, retry_after } => {
                    self.token_denied(now, no, reason, retry_after);
                }
            }
        }
    }

    fn send_to_share(&mut self, now: Time, share: ShareId, msg: model::msg::TokenMsg) {
        match self.members.owner(own::Shard::Share(share)) {
            Some(owner) => self.send(owner, Msg::Token(msg)),
            None => {
                let out = self.token_client.undeliverable(now, &msg);
                self.handle_token_output(now, out);
            }
        }
    }

    fn token_ready(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        match (req.stage, req.token) {
            (Stage::Token, TokenState::Kept) => self.join_queue(now, no),
            (Stage::Token, _) => {
                req.token = TokenState::Provisional(now);
                self.join_queue(now, no);
            }
            (Stage::Queue, _) => self.try_run(now, no),
            _ => {}
        }
    }

    fn token_denied(&mut self, now: Time, no: RequestNo, reason: Reason, retry_after: Duration) {
        let Some(req) = self.requests.get(&no) else { return };
        match (req.stage, req.token) {
            (Stage::Queue, TokenState::Asked(_)) => self.restart_with_kept_token(now, no),
            (Stage::Token | Stage::Queue, _) => {
                let execution = req.execution();
                let retry_after = Some(retry_after);
                self.refuse(now, no, Refusal { reason, execution, retry_after });
            }
            _ => {}
        }
    }

    /// Returns the token of a request that waits in a queue for longer than [`QUEUED_TOKEN_TIME`].
    /// The account's burst counts tokens in use, so other requests of the account would have to
    /// wait.
    pub(crate) fn return_queued_token(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let TokenState::Provisional(since) = req.token else { return };
        let is_queued = req.tickets.iter().any(|ticket| ticket.state == TicketState::Queued);
        let is_waiting = req.stage == Stage::Queue && req.grant.is_none() && is_queued;
        if is_waiting && now >= since + QUEUED_TOKEN_TIME {
            req.token = TokenState::Returned;
            let out = self.token_client.cancel(now, no);
            self.handle_token_output(now, out);
        }
    }

    /// Asks for a token again for a request that has returned its token and now has a backend
    /// server.
    pub(crate) fn reacquire_token(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(account) = req.account else { return };
        req.token = TokenState::Asked(now + GRANT_TOKEN_TIMEOUT);
        let zones = self.token_zones();
        let out = self.token_client.acquire(now, no, account, GRANT_TOKEN_TIMEOUT, &zones);
        self.handle_token_output(now, out);
    }

    /// Gives up a backend server for which no token came, and first waits for a token, which the
    /// request then keeps in the queues.
    pub(crate) fn restart_with_kept_token(&mut self, now: Time, no: RequestNo) {
        self.release(now, no, AttemptEnd::Unused, false);
        let out = self.token_client.cancel(now, no);
        self.handle_token_output(now, out);
        if let Some(req) = self.requests.get_mut(&no) {
            req.token = TokenState::Kept;
        }
        self.start_attempt(now, no);
    }

    /// Starts the attempt if the request has a backend server and, where it needs one, a valid
    /// token.
    pub(crate) fn try_run(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get(&no) else { return };
        let (Stage::Queue, Some(granted)) = (req.stage, req.grant) else { return };
        let needs_token =
            req.account.is_some() && self.setup.policy != config::Policy::StaticLimits;
        if needs_token && req.token == TokenState::Returned {
            return self.reacquire_token(now, no);
        }
        let start_by = if needs_token {
            let Some(token_by) = self.token_client.spend(now, no) else { return };
            token_by.min(granted.start_by)
        } else {
            granted.start_by
        };
        let Some(server) = self.catalog.servers.get(&granted.server) else {
            return self.drop_grant(now, no, AttemptEnd::Unused);
        };
        let (address, resumes) = (server.address, server.resumes);
        let first_byte_by = self.first_byte_by(now, no);
        let Some(req) = self.requests.get_mut(&no) else { return };
        req.stage = Stage::Run { started: now };
        req.attempt += 1;
        let command = RunCommand {
            attempt: req.attempt,
            server: granted.server,
            address,
            tier: req.tier,
            start_by,
            first_byte_by,
            end_by: req.end_by,
            resumes,
        };
        self.out.effects.push(Effect::Request { no, command: RequestCommand::Run(command) });
    }

    /// Returns until when the response to an attempt that starts now must have begun. An idempotent
    /// request does not wait for a hanging server until `end_by`, so that it can be retried.
    fn first_byte_by(&self, now: Time, no: RequestNo) -> Time {
        let Some(req) = self.requests.get(&no) else { return now };
        if !req.head.idempotent {
            return req.end_by;
        }
        let target = req.target_by.since(req.head.arrived);
        let span = (target * FIRST_BYTE_TARGET_FACTOR).max(MIN_FIRST_BYTE_TIMEOUT);
        (now + span).min(req.end_by)
    }

    /// Handles that an attempt's request was written to the backend server's connection.
    pub(crate) fn sent(&mut self, now: Time, no: RequestNo, attempt: u32) {
        if self.requests.get(&no).is_some_and(|req| req.attempt == attempt) {
            self.token_client.sent(now, no);
        }
    }

    /// Handles the end of an attempt.
    pub(crate) fn ended(
        &mut self,
        now: Time,
        no: RequestNo,
        attempt: u32,
        end: AttemptEnd,
        cold: bool,
    ) {
        let Some(req) = self.requests.get(&no) else { return };
        let Stage::Run { started } = req.stage else { return };
        if req.attempt != attempt {
            return;
        }
        let server = req.grant.map(|granted| granted.server);
        self.settle_token(now, no, end);
        self.release(now, no, end, cold);
        if !matches!(end, AttemptEnd::ConnectFailed | AttemptEnd::Unused | AttemptEnd::ServerBusy)
            && let Some(req) = self.requests.get_mut(&no)
        {
            req.may_have_run = true;
        }
        match end {
            AttemptEnd::Completed { first_byte, .. } => {
                self.completed(now, no, started + first_byte);
            }
            AttemptEnd::CallerLeft => self.end_request(now, no, "caller left"),
            _ => self.failed(now, no, server, end),
        }
    }

    /// Returns the token of an ended attempt if no byte reached a server; otherwise it is spent.
    fn settle_token(&mut self, now: Time, no: RequestNo, end: AttemptEnd) {
        match end {
            AttemptEnd::ConnectFailed | AttemptEnd::Unused => {
                let out = self.token_client.give_back(now, no);
                self.handle_token_output(now, out);
            }
            _ => self.token_client.sent(now, no),
        }
    }

    fn completed(&mut self, now: Time, no: RequestNo, first_byte_at: Time) {
        let Some(req) = self.requests.get(&no) else { return };
        let in_target = first_byte_at <= req.target_by;
        let class = req.head.class;
        self.out.effects.push(Effect::Count(Metric::Completed { class, in_target }));
        self.end_request(now, no, "completed");
    }

    /// Retries or refuses a request whose attempt gave no complete response.
    fn failed(&mut self, now: Time, no: RequestNo, server: Option<ServerId>, end: AttemptEnd) {
        let resumes =
            server.and_then(|id| self.catalog.servers.get(&id)).is_some_and(|spec| spec.resumes);
        let Some(req) = self.requests.get_mut(&no) else { return };
        if end != AttemptEnd::Preempted {
            req.avoid.extend(server);
        }
        let answered = matches!(
            end,
            AttemptEnd::Broken { answered: true } | AttemptEnd::TimedOut { answered: true }
        );
        let is_safe = match end {
            AttemptEnd::ConnectFailed | AttemptEnd::Unused => true,
            _ => req.head.idempotent && (!answered || resumes),
        };
        let refusal =
            Refusal { reason: failure(end), execution: req.execution(), retry_after: None };
        let in_time = now + RETRY_WAIT < req.end_by && req.attempt < MAX_ATTEMPTS;
        let is_free = matches!(end, AttemptEnd::Unused | AttemptEnd::Preempted);
        // An attempt without a connection was no load on any server.
        let costs_nothing = is_free || end == AttemptEnd::ConnectFailed;
        if !is_safe || !in_time || !costs_nothing && !self.retry_budget.withdraw() {
            return self.refuse(now, no, refusal);
        }
        let Some(req) = self.requests.get_mut(&no) else { return };
        req.token = TokenState::None;
        req.wait_until = req.wait_until.max(now + RETRY_WAIT).min(req.end_by);
        let metric = if is_free { Metric::Preempted } else { Metric::Retried };
        self.out.effects.push(Effect::Count(metric));
        self.start_attempt(now, no);
    }

    /// Ends a request whose caller has disconnected.
    pub(crate) fn caller_left(&mut self, now: Time, no: RequestNo) {
        self.end_request(now, no, "caller left");
    }

    /// Refuses the waiting requests whose API key a new configuration has revoked or given to
    /// another account.
    pub(crate) fn recheck_keys(&mut self, now: Time) {
        let waiting =
            self.requests.iter().filter(|(_, req)| !matches!(req.stage, Stage::Run { .. }));
        let revoked = waiting.filter(|(_, req)| {
            req.head.key.is_some_and(|key| self.catalog.account_of(key) != req.account)
        });
        let mut revoked: Vec<_> = revoked.map(|(no, _)| *no).collect();
        revoked.sort_unstable();
        for no in revoked {
            let Some(req) = self.requests.get(&no) else { continue };
            let refusal =
                Refusal { reason: Reason::NoKey, execution: req.execution(), retry_after: None };
            self.refuse(now, no, refusal);
        }
    }

    pub(crate) fn tick_requests(&mut self, now: Time) {
        let out = self.token_client.tick(now);
        self.handle_token_output(now, out);
        let out = self.claims.tick(now);
        self.handle_claims_output(now, out);
        self.tick_queue(now);
    }

    /// Ends a request with a refusal to its caller.
    pub(crate) fn refuse(&mut self, now: Time, no: RequestNo, refusal: Refusal) {
        let Some(req) = self.requests.get(&no) else { return };
        let class = req.head.class;
        self.out.effects.push(Effect::Request { no, command: RequestCommand::Refuse(refusal) });
        let reason = refusal.reason;
        self.out.effects.push(Effect::Count(Metric::Refused { class, reason }));
        self.end_request(now, no, &format!("refused: {reason:?}, {:?}", refusal.execution));
    }

    /// Refuses a request that was not admitted.
    fn refuse_head(&mut self, head: &RequestHead, refusal: Refusal) {
        let no = head.no;
        self.out.effects.push(Effect::Request { no, command: RequestCommand::Refuse(refusal) });
        let (class, reason) = (head.class, refusal.reason);
        self.out.effects.push(Effect::Count(Metric::Refused { class, reason }));
    }

    /// Ends a request: gives up its place in queues, its grant, its token and its claim, and logs
    /// `outcome`.
    fn end_request(&mut self, now: Time, no: RequestNo, outcome: &str) {
        self.leave_queue(now, no);
        let out = self.token_client.cancel(now, no);
        self.handle_token_output(now, out);
        self.other_cells_due.clear(no);
        let Some(req) = self.requests.remove(&no) else { return };
        self.settle_claim(now, &req);
        let outcome = outcome.to_owned();
        self.out.log(LogEntry::RequestEnded { id: req.head.id, outcome });
    }

    /// Frees the idempotency key of a request that did not run; that of any other stays claimed.
    fn settle_claim(&mut self, now: Time, req: &Request) {
        if !req.has_claim {
            return;
        }
        let no = req.head.no;
        if req.may_have_run {
            return self.claims.finish(no);
        }
        let out = self.claims.free(now, no);
        self.handle_claims_output(now, out);
    }
}

/// Returns the reason for refusing a request whose last attempt ended like this.
fn failure(end: AttemptEnd) -> Reason {
    match end {
        AttemptEnd::TimedOut { .. } => Reason::ServerTimeout,
        AttemptEnd::ServerBusy | AttemptEnd::Preempted => Reason::Capacity,
        _ => Reason::ServerFailed,
    }
}
