//! The requests that callers sent to this instance: admission, tokens, retries, the end.

use limit::TokenClientOut;
use model::{msg::OnceMsg, prelude::*};
use once::{ClaimsOut, KeyedRequest};

use crate::{
    Effect, LogEntry, Metric, RequestCommand, RequestHead, RunCommand,
    request::{BOUNCE_TIME, Request, Stage, TicketState, TokenHold},
    state::{Phase, State},
};

/// Instances that remember an idempotency key.
const CLAIM_HOLDERS: usize = 3;

/// A retry waits at least this long for another backend server, even if the request's own wait is
/// over: it was admitted.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// How long a request keeps its token in the queue of a cell.
const LEND_TIME: Duration = Duration::from_millis(50);

/// An attempt whose answer has not begun after this many targets of its class is made again.
const FIRST_BYTE_TARGETS: u32 = 10;

/// The least time for an answer to begin.
const MIN_FIRST_BYTE: Duration = Duration::from_secs(10);

/// The most attempts of a request.
const MAX_ATTEMPTS: u32 = 4;

impl State {
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
            wait_by: head.arrived + class.max_wait,
            end_by,
            stage: Stage::Claim,
            attempt: 0,
            avoid: Vec::new(),
            tickets: Vec::new(),
            grant: None,
            token: TokenHold::None,
            maybe_ran: false,
            claimed: false,
            head,
        };
        self.budget.deposit();
        self.out.effects.push(Effect::Count(Metric::Admitted(req.head.class)));
        self.requests.insert(no, req);
        self.claim(now, no);
    }

    fn admit(&self, head: &RequestHead) -> Result<Option<AccountId>, Refusal> {
        // What comes after the end of listening came on a connection that a caller had kept open.
        let is_open = matches!(self.phase, Phase::Serving | Phase::Draining { .. });
        if !is_open {
            return Err(Refusal::not_run(Reason::NotReady).retry_after(RETRY_WAIT));
        }
        if self.requests.len() >= self.setup.max_requests {
            return Err(Refusal::not_run(Reason::Capacity).retry_after(RETRY_WAIT));
        }
        let Some(key) = head.key else { return Ok(None) };
        let account = self.catalog.account_of(key);
        account.map(Some).ok_or_else(|| Refusal::not_run(Reason::NoKey))
    }

    /// Claims the idempotency key, if there is one and the request must not run twice.
    fn claim(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(idempotency) = req.head.idempotency.filter(|_| !req.head.idempotent) else {
            return self.start_attempt(now, no);
        };
        req.claimed = true;
        let wait = now.until(req.wait_by);
        let holders = self.members.preferred_instances(idempotency.key.0, CLAIM_HOLDERS);
        let keyed = KeyedRequest { no, key: idempotency.key, resend: idempotency.resend };
        let out = self.claims.claim(now, keyed, wait, &holders);
        self.claims_out(now, out);
    }

    pub(crate) fn once(&mut self, now: Time, from: Peer, msg: &OnceMsg) {
        match msg {
            OnceMsg::Answer { .. } => {
                let out = self.claims.handle(now, from, msg);
                self.claims_out(now, out);
            }
            OnceMsg::Claim { .. } | OnceMsg::Free { .. } => {
                if let Some(reply) = self.memory.handle(now, from, msg) {
                    self.send(reply.to, Msg::Once(reply.msg));
                }
            }
        }
    }

    fn claims_out(&mut self, now: Time, out: Vec<ClaimsOut>) {
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

    /// Asks for a token, then for a backend server.
    fn start_attempt(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        req.stage = Stage::Token;
        let Some(account) = req.account else { return self.join_queue(now, no) };
        if self.setup.policy == config::Policy::StaticLimits {
            return self.take_static(now, no, account);
        }
        let wait = now.until(req.wait_by);
        let zones = self.token_zones();
        let out = self.wallet.acquire(now, no, account, wait, &zones);
        self.wallet_out(now, out);
    }

    fn take_static(&mut self, now: Time, no: RequestNo, account: AccountId) {
        let Some(spec) = self.catalog.accounts.get(&account) else { return };
        match self.static_limits.take(now, account, spec.rate, spec.burst) {
            Ok(()) => self.join_queue(now, no),
            Err(err) => {
                let refusal = Refusal::not_run(Reason::OverRate).retry_after(err.retry_after);
                self.refuse(now, no, refusal);
            }
        }
    }

    /// The availability zones that have a part of the rates, this instance's own first.
    fn token_zones(&self) -> Vec<ZoneId> {
        let own = self.setup.zone;
        let mut zones = self.catalog.share_zones();
        zones.sort_by_key(|it| *it != own);
        zones
    }

    pub(crate) fn wallet_out(&mut self, now: Time, out: Vec<TokenClientOut>) {
        for out in out {
            match out {
                TokenClientOut::Send { share, msg } => self.send_to_share(now, share, msg),
                TokenClientOut::Ready { no } => self.token_ready(now, no),
                TokenClientOut::Unavailable { no, reason, retry_after } => {
                    self.token_dry(now, no, reason, retry_after);
                }
            }
        }
    }

    fn send_to_share(&mut self, now: Time, share: ShareId, msg: model::msg::TokenMsg) {
        match self.members.owner(own::Shard::Share(share)) {
            Some(owner) => self.send(owner, Msg::Token(msg)),
            None => {
                let out = self.wallet.undeliverable(now, &msg);
                self.wallet_out(now, out);
            }
        }
    }

    fn token_ready(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        match (req.stage, req.token) {
            (Stage::Token, TokenHold::Kept) => self.join_queue(now, no),
            (Stage::Token, _) => {
                req.token = TokenHold::Lent(now);
                self.join_queue(now, no);
            }
            (Stage::Queue, _) => self.try_run(now, no),
            _ => {}
        }
    }

    fn token_dry(&mut self, now: Time, no: RequestNo, reason: Reason, retry_after: Duration) {
        let Some(req) = self.requests.get(&no) else { return };
        match (req.stage, req.token) {
            (Stage::Queue, TokenHold::Asked(_)) => self.bounce(now, no),
            (Stage::Token | Stage::Queue, _) => {
                let execution = req.execution();
                let retry_after = Some(retry_after);
                self.refuse(now, no, Refusal { reason, execution, retry_after });
            }
            _ => {}
        }
    }

    /// Gives the token back while the request waits for a backend server, so that it does not
    /// keep other requests of the account waiting: the account's burst counts tokens in hand.
    pub(crate) fn lend_back(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let TokenHold::Lent(since) = req.token else { return };
        let is_queued = req.tickets.iter().any(|it| it.state == TicketState::Queued);
        let waits = req.stage == Stage::Queue && req.grant.is_none() && is_queued;
        if waits && now >= since + LEND_TIME {
            req.token = TokenHold::Returned;
            let out = self.wallet.cancel(now, no);
            self.wallet_out(now, out);
        }
    }

    /// Asks for a token again, now that there is a backend server.
    pub(crate) fn ask_again(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get_mut(&no) else { return };
        let Some(account) = req.account else { return };
        req.token = TokenHold::Asked(now + BOUNCE_TIME);
        let zones = self.token_zones();
        let out = self.wallet.acquire(now, no, account, BOUNCE_TIME, &zones);
        self.wallet_out(now, out);
    }

    /// Gives a backend server up for which no token came, and waits for a token that is kept.
    pub(crate) fn bounce(&mut self, now: Time, no: RequestNo) {
        self.release(now, no, AttemptEnd::Unused, false);
        let out = self.wallet.cancel(now, no);
        self.wallet_out(now, out);
        if let Some(req) = self.requests.get_mut(&no) {
            req.token = TokenHold::Kept;
        }
        self.start_attempt(now, no);
    }

    /// Starts the attempt if the request has a backend server and a token that is valid.
    pub(crate) fn try_run(&mut self, now: Time, no: RequestNo) {
        let Some(req) = self.requests.get(&no) else { return };
        let (Stage::Queue, Some(granted)) = (req.stage, req.grant) else { return };
        let needs_token =
            req.account.is_some() && self.setup.policy != config::Policy::StaticLimits;
        if needs_token && req.token == TokenHold::Returned {
            return self.ask_again(now, no);
        }
        let start_by = if needs_token {
            let Some(token_by) = self.wallet.spend(now, no) else { return };
            token_by.min(granted.start_by)
        } else {
            granted.start_by
        };
        let Some(server) = self.catalog.servers.get(&granted.server) else {
            return self.lose_grant(now, no, AttemptEnd::Unused);
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

    /// When an attempt that starts now counts as failed if no answer has begun. One that can be made
    /// again does not wait for a server that hangs until the answer must have ended.
    fn first_byte_by(&self, now: Time, no: RequestNo) -> Time {
        let Some(req) = self.requests.get(&no) else { return now };
        if !req.head.idempotent {
            return req.end_by;
        }
        let target = req.target_by.since(req.head.arrived);
        let span = (target * FIRST_BYTE_TARGETS).max(MIN_FIRST_BYTE);
        (now + span).min(req.end_by)
    }

    pub(crate) fn sent(&mut self, now: Time, no: RequestNo, attempt: u32) {
        if self.requests.get(&no).is_some_and(|it| it.attempt == attempt) {
            self.wallet.sent(now, no);
        }
    }

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
        let server = req.grant.map(|it| it.server);
        self.settle_token(now, no, end);
        self.release(now, no, end, cold);
        if !matches!(end, AttemptEnd::ConnectFailed | AttemptEnd::Unused | AttemptEnd::ServerBusy)
            && let Some(req) = self.requests.get_mut(&no)
        {
            req.maybe_ran = true;
        }
        match end {
            AttemptEnd::Completed { first_byte, .. } => {
                self.completed(now, no, started + first_byte);
            }
            AttemptEnd::CallerLeft => self.forget(now, no, "caller left"),
            _ => self.failed(now, no, server, end),
        }
    }

    /// Accounts for the token of an attempt: it goes back only if no byte reached a server.
    fn settle_token(&mut self, now: Time, no: RequestNo, end: AttemptEnd) {
        match end {
            AttemptEnd::ConnectFailed | AttemptEnd::Unused => {
                let out = self.wallet.give_back(now, no);
                self.wallet_out(now, out);
            }
            _ => self.wallet.sent(now, no),
        }
    }

    fn completed(&mut self, now: Time, no: RequestNo, first_byte_at: Time) {
        let Some(req) = self.requests.get(&no) else { return };
        let in_target = first_byte_at <= req.target_by;
        let class = req.head.class;
        self.out.effects.push(Effect::Count(Metric::Completed { class, in_target }));
        self.forget(now, no, "completed");
    }

    /// Decides what follows an attempt that gave no whole answer.
    fn failed(&mut self, now: Time, no: RequestNo, server: Option<ServerId>, end: AttemptEnd) {
        let resumes =
            server.and_then(|it| self.catalog.servers.get(&it)).is_some_and(|it| it.resumes);
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
        // An attempt that found no connection was no work for any server.
        let is_light = is_free || end == AttemptEnd::ConnectFailed;
        if !is_safe || !in_time || !is_light && !self.budget.withdraw() {
            return self.refuse(now, no, refusal);
        }
        let Some(req) = self.requests.get_mut(&no) else { return };
        req.token = TokenHold::None;
        req.wait_by = req.wait_by.max(now + RETRY_WAIT).min(req.end_by);
        let metric = if is_free { Metric::Preempted } else { Metric::Retried };
        self.out.effects.push(Effect::Count(metric));
        self.start_attempt(now, no);
    }

    pub(crate) fn caller_left(&mut self, now: Time, no: RequestNo) {
        self.forget(now, no, "caller left");
    }

    /// Refuses waiting requests whose key is not in force any more.
    pub(crate) fn recheck_requests(&mut self, now: Time) {
        let waiting = self.requests.iter().filter(|(_, it)| !matches!(it.stage, Stage::Run { .. }));
        let withdrawn = waiting.filter(|(_, it)| {
            it.head.key.is_some_and(|key| self.catalog.account_of(key) != it.account)
        });
        let mut withdrawn: Vec<_> = withdrawn.map(|(no, _)| *no).collect();
        withdrawn.sort_unstable();
        for no in withdrawn {
            let Some(req) = self.requests.get(&no) else { continue };
            let refusal =
                Refusal { reason: Reason::NoKey, execution: req.execution(), retry_after: None };
            self.refuse(now, no, refusal);
        }
    }

    pub(crate) fn tick_entry(&mut self, now: Time) {
        let out = self.wallet.tick(now);
        self.wallet_out(now, out);
        let out = self.claims.tick(now);
        self.claims_out(now, out);
        self.tick_queue(now);
    }

    /// Ends a request with a refusal.
    pub(crate) fn refuse(&mut self, now: Time, no: RequestNo, refusal: Refusal) {
        let Some(req) = self.requests.get(&no) else { return };
        let class = req.head.class;
        self.out.effects.push(Effect::Request { no, command: RequestCommand::Refuse(refusal) });
        let reason = refusal.reason;
        self.out.effects.push(Effect::Count(Metric::Refused { class, reason }));
        self.forget(now, no, &format!("refused: {reason:?}, {:?}", refusal.execution));
    }

    fn refuse_head(&mut self, head: &RequestHead, refusal: Refusal) {
        let no = head.no;
        self.out.effects.push(Effect::Request { no, command: RequestCommand::Refuse(refusal) });
        let (class, reason) = (head.class, refusal.reason);
        self.out.effects.push(Effect::Count(Metric::Refused { class, reason }));
    }

    fn forget(&mut self, now: Time, no: RequestNo, outcome: &str) {
        self.leave_queue(now, no);
        let out = self.wallet.cancel(now, no);
        self.wallet_out(now, out);
        self.spreads.clear(no);
        let Some(req) = self.requests.remove(&no) else { return };
        self.settle_claim(now, &req);
        let outcome = outcome.to_owned();
        self.out.log(LogEntry::RequestEnded { id: req.head.id, outcome });
    }

    /// Frees the idempotency key of a request that did not run; any other key stays claimed.
    fn settle_claim(&mut self, now: Time, req: &Request) {
        if !req.claimed {
            return;
        }
        let no = req.head.no;
        if req.maybe_ran {
            return self.claims.finish(no);
        }
        let out = self.claims.free(now, no);
        self.claims_out(now, out);
    }
}

fn failure(end: AttemptEnd) -> Reason {
    match end {
        AttemptEnd::TimedOut { .. } => Reason::ServerTimeout,
        AttemptEnd::ServerBusy | AttemptEnd::Preempted => Reason::Capacity,
        _ => Reason::ServerFailed,
    }
}
