//! One request of a caller and its answer.

use std::{rc::Rc, sync::Arc};

use aio::deadline;
use async_channel::Receiver;
use async_net::TcpStream;
use dispatch::{Command, Event, LogEntry, NewRequest, RequestKey, Routed};
use futures_lite::FutureExt as _;
use http1::{BodyError, Buffered, Framing, RequestHead, read_whole};
use model::prelude::*;

use crate::{
    Instance,
    answer::Answer,
    attempt::{Held, Run},
    outgoing::Outgoing,
    problem::Problem,
};

/// Bytes that a caller may send ahead while its request runs; beyond that the connection is not
/// read.
const MAX_AHEAD_BYTES: usize = 32 << 10;
/// The part of the memory that bodies may take together.
const BODY_MEMORY_SHARE: usize = 4;
/// Time for a caller to take an answer of this process.
const PROBLEM_TIMEOUT: Duration = Duration::from_secs(2);

/// What happens to the caller's connection next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Next {
    /// It takes another request.
    KeepOpen,
    /// It is closed after what was written has arrived.
    Close,
    /// It is closed at once: the answer is not whole, or the caller left.
    Abort,
}

/// One request of a caller and its answer.
pub(crate) struct Exchange<'a> {
    pub(crate) instance: Rc<Instance>,
    pub(crate) input: &'a mut Buffered<TcpStream>,
    pub(crate) answer: Answer,
    /// When the request's first byte came.
    pub(crate) arrived: Time,
}

/// A request that was read whole.
struct Accepted {
    id: Arc<str>,
    routed: Routed,
    outgoing: Outgoing,
    /// Gives the body's memory back at the end.
    _quota: BodyQuota,
}

impl Exchange<'_> {
    /// Reads the rest of the request and answers it.
    pub(crate) async fn run(mut self, head: RequestHead) -> Next {
        let mut id = None;
        match self.accept(head, &mut id).await {
            Ok((accepted, new)) => self.serve(accepted, new).await,
            Err(Rejected::Problem(problem)) => self.reject(&problem, id.as_deref()).await,
            Err(Rejected::CallerLeft) => Next::Abort,
        }
    }

    /// Routes the request and reads its body. `known_id` is set once the request's id is known, so
    /// that a refusal names it.
    async fn accept(
        &mut self,
        head: RequestHead,
        known_id: &mut Option<Arc<str>>,
    ) -> Result<(Accepted, NewRequest), Rejected> {
        let instance = Rc::clone(&self.instance);
        let fields = instance
            .dialect
            .read_caller(&head)
            .map_err(|err| Problem::unreadable(Reason::BadRequest, err.to_string()))?;
        let now = instance.clock.now();
        let routed =
            instance.ask(|state| state.route(now, head.host(), head.path(), fields.api_key));
        let id: Arc<str> = Arc::from(fields.id);
        *known_id = Some(Arc::clone(&id));
        let (patience, prompt) = (fields.timeout, fields.prompt);
        let routed = match routed {
            Ok(routed) => routed,
            Err(refusal) => return Err(self.turn_away(&head, &id, refusal).await),
        };
        let caller_deadline = self.arrived + patience.unwrap_or(routed.route.timeout);
        let by = caller_deadline.min(self.arrived + routed.route.timeout);
        let (body, quota) = self.read_body(&head, by).await?;
        let outgoing = Outgoing { head, body };
        let new = NewRequest {
            id: Arc::clone(&id),
            routed: routed.clone(),
            arrived: self.arrived,
            caller_deadline,
            prompt,
        };
        Ok((Accepted { id, routed, outgoing, _quota: quota }, new))
    }

    /// Reads what is left of a request that is refused, so that the refusal is not lost with the
    /// connection.
    async fn turn_away(&mut self, head: &RequestHead, id: &Arc<str>, refusal: Refusal) -> Rejected {
        let now = self.instance.clock.now();
        let (version, view_age) =
            self.instance.ask(|it| (it.catalog().map(|it| it.version), it.view_age(now)));
        let note = LogEntry::Rejected {
            id: Arc::clone(id),
            host: head.host().to_owned(),
            path: head.path().to_owned(),
            refusal,
            version,
            view_age,
        };
        self.instance.note(now, &note);
        let by = now + PROBLEM_TIMEOUT;
        match self.read_body(head, by).await {
            Ok(_) => Rejected::Problem(refusal.into()),
            Err(rejected) => rejected,
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        by: Time,
    ) -> Result<(Vec<u8>, BodyQuota), Rejected> {
        let instance = &self.instance;
        let limit = instance.limits();
        let length = match head.framing() {
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Absent | Framing::Chunked | Framing::UntilClose => 0,
        };
        if length > limit.body_bytes {
            self.answer.closes = true;
            let detail = format!("the body is larger than {} bytes", limit.body_bytes);
            return Err(Problem::unreadable(Reason::TooLarge, detail).into());
        }
        let Some(mut quota) = BodyQuota::take(&self.instance, length) else {
            self.answer.closes = true;
            let refusal = Refusal::not_run(Reason::Capacity).retry_after(PROBLEM_TIMEOUT / 4);
            return Err(Rejected::Problem(refusal.into()));
        };
        if head.expects_continue() && head.framing().has_body() {
            self.answer.go_on().await.map_err(|_| Rejected::CallerLeft)?;
        }
        let reading = read_whole(self.input, head.framing(), limit.body_bytes);
        let Some(read) = deadline::until(self.instance.clock, by, reading).await else {
            self.answer.closes = true;
            return Err(Problem::unreadable(Reason::SlowCaller, "the body came too slowly").into());
        };
        let body = read.map_err(|err| self.unreadable_body(&err))?;
        quota.grow(body.len());
        Ok((body, quota))
    }

    fn unreadable_body(&mut self, err: &BodyError) -> Rejected {
        self.answer.closes = true;
        match err {
            BodyError::Broken(_) => Rejected::CallerLeft,
            BodyError::Malformed => Problem::unreadable(Reason::BadRequest, err.to_string()).into(),
            BodyError::TooLarge(_) => Problem::unreadable(Reason::TooLarge, err.to_string()).into(),
        }
    }

    /// Serves a request that was read whole.
    async fn serve(mut self, accepted: Accepted, new: NewRequest) -> Next {
        let instance = Rc::clone(&self.instance);
        let (tx, orders) = async_channel::bounded(2);
        let key = instance.add_task(tx);
        instance.handle_event(Event::Request { key, new: Box::new(new) });
        let mut served =
            Served { instance: &instance, key, accepted, answer: &mut self.answer, held: None };
        let work = served.follow(&orders);
        let left = async {
            caller_left(self.input).await;
            instance.handle_event(Event::CallerLeft { key });
            Next::Abort
        };
        let next = work.or(left).await;
        instance.remove_task(key);
        match next {
            Next::KeepOpen if self.answer.closes => Next::Close,
            next => next,
        }
    }

    /// Answers a request that is not served.
    pub(crate) async fn reject(&mut self, problem: &Problem, id: Option<&str>) -> Next {
        self.answer.closes |= self.instance.is_draining.get();
        let name = self.instance.dialect.request_id_name();
        let writing = self.answer.problem(problem, id.map(|id| (name, id)));
        match deadline::io_within(PROBLEM_TIMEOUT, writing).await {
            Ok(()) if !self.answer.closes => Next::KeepOpen,
            Ok(()) => Next::Close,
            Err(err) => {
                log::debug!(status = problem.status(); "answer not taken: {err}");
                Next::Abort
            }
        }
    }
}

/// Why a request is not served.
enum Rejected {
    /// It is answered.
    Problem(Problem),
    /// Nobody waits for an answer.
    CallerLeft,
}

impl From<Problem> for Rejected {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

/// A request that is served.
struct Served<'a> {
    instance: &'a Instance,
    key: RequestKey,
    accepted: Accepted,
    answer: &'a mut Answer,
    held: Option<Held>,
}

impl Served<'_> {
    /// Follows the reducer's orders until the request has ended.
    async fn follow(&mut self, orders: &Receiver<Command>) -> Next {
        while let Ok(order) = orders.recv().await {
            // Decided late, so that connections close soon after the process was asked to stop.
            self.answer.closes |= self.instance.is_draining.get() && !self.answer.is_begun();
            match order {
                Command::Run(attempt) => {
                    let run = Run {
                        instance: self.instance,
                        key: self.key,
                        id: &self.accepted.id,
                        account: self.accepted.routed.account.as_ref().map(|it| &*it.name),
                        attempt: &attempt,
                        outgoing: &self.accepted.outgoing,
                        answer: &mut *self.answer,
                        held: &mut self.held,
                    };
                    let ended = run.run().await;
                    let event = Event::Ended { key: self.key, end: ended.end, cold: ended.cold };
                    self.instance.handle_event(event);
                    if self.answer.is_finished() {
                        return Next::KeepOpen;
                    }
                    if ended.end == dispatch::AttemptEnd::CallerLeft {
                        return Next::Abort;
                    }
                }
                Command::Deliver => return self.deliver().await,
                Command::Refuse(refusal) => return self.refuse(refusal).await,
            }
        }
        Next::Abort
    }

    async fn deliver(&mut self) -> Next {
        let Some(held) = self.held.take() else {
            return self.refuse(Refusal::unknown(Reason::ServerFailed)).await;
        };
        let written = self.answer.whole(&held.head, &held.body).await;
        self.closing(written)
    }

    async fn refuse(&mut self, refusal: Refusal) -> Next {
        if self.answer.is_begun() {
            return Next::Abort;
        }
        let id = (self.instance.dialect.request_id_name(), &*self.accepted.id);
        let problem = Problem::from(refusal);
        let written =
            deadline::io_within(PROBLEM_TIMEOUT, self.answer.problem(&problem, Some(id))).await;
        self.closing(written)
    }

    fn closing(&self, written: std::io::Result<()>) -> Next {
        match written {
            Ok(()) => Next::KeepOpen,
            Err(err) => {
                log::debug!(request:% = self.accepted.id; "answer not taken: {err}");
                Next::Abort
            }
        }
    }
}

/// Waits until the caller closes its connection. What it sends ahead is kept.
async fn caller_left(input: &mut Buffered<TcpStream>) {
    loop {
        if input.data().len() >= MAX_AHEAD_BYTES {
            return futures_lite::future::pending().await;
        }
        match input.fill().await {
            Ok(0) => return,
            Ok(_) => {}
            Err(err) => return log::debug!("connection of a caller broke: {err}"),
        }
    }
}

/// Bytes of the memory for bodies that a request takes.
struct BodyQuota {
    instance: Rc<Instance>,
    bytes: usize,
}

impl BodyQuota {
    /// Takes bytes, if that many are left.
    fn take(instance: &Rc<Instance>, bytes: usize) -> Option<Self> {
        let max = instance.settings.memory_bytes / BODY_MEMORY_SHARE;
        let taken = instance.body_bytes.get() + bytes;
        // A single large body is taken even if memory is small.
        if taken > max && instance.body_bytes.get() > 0 {
            return None;
        }
        instance.body_bytes.set(taken);
        Some(Self { instance: Rc::clone(instance), bytes })
    }

    /// Takes what a body of unknown length has turned out to need.
    fn grow(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.instance.body_bytes.set(self.instance.body_bytes.get() + more);
        self.bytes += more;
    }
}

impl Drop for BodyQuota {
    fn drop(&mut self) {
        self.instance.body_bytes.set(self.instance.body_bytes.get().saturating_sub(self.bytes));
    }
}
