//! One request of a caller and its response.

use std::{rc::Rc, sync::Arc};

use aio::deadline;
use async_channel::Receiver;
use async_net::TcpStream;
use dispatch::{Attempt, Command, Event, LogEntry, NewRequest, RequestKey, ResponseTrace, Routed};
use futures_lite::FutureExt as _;
use http1::{BodyError, Buffered, Framing, HeadError, RequestHead, discard, read_whole};
use model::prelude::*;

use crate::{
    FieldError, Instance,
    attempt::{HeldResponse, RunningAttempt},
    counted_body::read_counted,
    left_run,
    memory::{MemoryUse, Reservation},
    outgoing::OutgoingRequest,
    problem::Problem,
    rejection::Rejection,
    response::{Response, WriteError},
};

/// Bytes of pipelined requests that are buffered while a request runs; beyond that, the connection
/// is not read until the response is complete.
const MAX_PIPELINED_BYTES: usize = 4 << 10;
/// Timeout for writing an error response of this process to a caller, and for reading the body of a
/// request that is rejected.
const PROBLEM_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that ends this long after its time is logged: several times what the last response takes.
const LATE_END: Duration = Duration::from_millis(200);

/// What happens to the caller's connection after a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Disposition {
    /// It stays open for another request.
    KeepOpen,
    /// It is shut down gracefully, so that the response reaches the caller.
    Close,
    /// It is closed at once: the response is incomplete, or the caller left.
    Abort,
}

/// A request that has begun to arrive, and its response.
pub(crate) struct Exchange<'a> {
    instance: Rc<Instance>,
    input: &'a mut Buffered<TcpStream>,
    response: Response,
    /// When the request's first byte arrived.
    arrived: Time,
    /// Whether bytes of the request may still follow. They must never be taken for the next request
    /// on the connection, so it closes after the response unless they are read first.
    has_unread_input: bool,
}

/// A request that was routed and read whole.
struct Accepted {
    id: Arc<str>,
    routed: Routed,
    outgoing: OutgoingRequest,
    /// The memory of the body.
    _memory: Reservation,
}

impl<'a> Exchange<'a> {
    /// Prepares the response to a request of which nothing was read yet.
    pub(crate) fn new(
        instance: Rc<Instance>,
        input: &'a mut Buffered<TcpStream>,
        response: Response,
        arrived: Time,
    ) -> Self {
        Self { instance, input, response, arrived, has_unread_input: true }
    }

    /// Reads a head of at most `max_bytes`, including the empty line at its end.
    pub(crate) async fn read_head(&mut self, max_bytes: usize) -> Result<RequestHead, HeadError> {
        let head = RequestHead::read(self.input, max_bytes).await?;
        self.has_unread_input = head.framing().has_body();
        self.response.closes_connection = head.closes();
        self.response.is_head = head.method() == "HEAD";
        Ok(head)
    }

    /// Reads the rest of the request, whose head was read, and sends the response.
    pub(crate) async fn run(mut self, head: RequestHead) -> Disposition {
        let mut id = None;
        match self.route_and_read(head, &mut id).await {
            Ok((accepted, new)) => self.serve(accepted, new).await,
            Err(Rejection::Problem(problem)) => self.reject(&problem, id.as_deref()).await,
            Err(Rejection::CallerLeft) => Disposition::Abort,
        }
    }

    /// Routes the request and reads its body. Sets `known_id` once the request's id is known, so
    /// that a rejection contains it.
    async fn route_and_read(
        &mut self,
        head: RequestHead,
        known_id: &mut Option<Arc<str>>,
    ) -> Result<(Accepted, NewRequest), Rejection> {
        let instance = Rc::clone(&self.instance);
        let id = head.fields().text(instance.header_codec.request_id_name());
        *known_id = id.filter(|id| !id.is_empty()).map(Arc::from);
        let fields = match instance.header_codec.read_caller(&head) {
            Ok(fields) => fields,
            Err(err) => return Err(self.reject_malformed(&head, known_id.as_ref(), err).await),
        };
        let now = instance.clock.now();
        let routed =
            instance.read_state(|state| state.route(now, head.host(), head.path(), fields.api_key));
        let id: Arc<str> = Arc::from(fields.id);
        let (timeout, prompt, taken_up) = (fields.timeout, fields.prompt, fields.taken_up);
        let routed = match routed {
            Ok(routed) => routed,
            Err(refusal) => return Err(self.reject_unrouted(&head, &id, refusal).await),
        };
        let caller_deadline = self.arrived + timeout.unwrap_or(routed.route.timeout);
        let by = caller_deadline.min(self.arrived + routed.route.timeout);
        let (body, memory) = self.read_body(&head, by).await?;
        let outgoing = OutgoingRequest { head, body };
        let new = NewRequest {
            id: Arc::clone(&id),
            routed: routed.clone(),
            arrived: self.arrived,
            caller_deadline,
            states_deadline: timeout.is_some(),
            prompt,
            taken_up,
        };
        Ok((Accepted { id, routed, outgoing, _memory: memory }, new))
    }

    /// Logs the rejection of a request that could not be routed, and discards its body.
    async fn reject_unrouted(
        &mut self,
        head: &RequestHead,
        id: &Arc<str>,
        refusal: Refusal,
    ) -> Rejection {
        let now = self.instance.clock.now();
        let entry = self.instance.read_state(|state| LogEntry::Rejected {
            id: Arc::clone(id),
            host: head.host().to_owned(),
            path: head.path().to_owned(),
            refusal,
            version: state.catalog().map(|catalog| catalog.version),
            view_age: state.view_age(now),
            revision: state.view().revision,
            confirmed_by: state.confirmed_by(),
        });
        self.instance.record(now, &entry);
        self.discard_body(head, refusal.into()).await
    }

    /// Logs the rejection of a request with a missing or malformed field, and discards its body.
    async fn reject_malformed(
        &mut self,
        head: &RequestHead,
        id: Option<&Arc<str>>,
        err: FieldError,
    ) -> Rejection {
        let entry = LogEntry::Malformed {
            id: id.cloned(),
            host: head.host().to_owned(),
            path: head.path().to_owned(),
            error: err.to_string(),
        };
        self.instance.record(self.instance.clock.now(), &entry);
        let problem = Problem::unreadable(Reason::BadRequest, err.to_string());
        self.discard_body(head, problem).await
    }

    /// Reads and discards the body of a request that is rejected with `problem`, so that the
    /// connection can serve another request. It closes if the body is too large, comes too slowly or
    /// is not well formed.
    async fn discard_body(&mut self, head: &RequestHead, problem: Problem) -> Rejection {
        let limit = self.instance.limits().body_bytes;
        let is_too_large = matches!(head.framing(), Framing::Length(len) if len > limit as u64);
        if !self.has_unread_input || is_too_large {
            return Rejection::Problem(problem);
        }
        if head.expects_continue() && self.response.send_continue().await.is_err() {
            return Rejection::CallerLeft;
        }
        let clock = self.instance.clock;
        let discarding = discard(self.input, head.framing(), limit);
        match deadline::until(clock, clock.now() + PROBLEM_TIMEOUT, discarding).await {
            Some(Ok(())) => self.has_unread_input = false,
            Some(Err(BodyError::Broken(_))) => return Rejection::CallerLeft,
            Some(Err(err)) => log::debug!("the body of a rejected request: {err}"),
            None => log::debug!("the body of a rejected request came too slowly"),
        }
        Rejection::Problem(problem)
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        by: Time,
    ) -> Result<(Vec<u8>, Reservation), Rejection> {
        let instance = &self.instance;
        let limit = instance.limits();
        let length = match head.framing() {
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Absent | Framing::Chunked | Framing::UntilClose => 0,
        };
        if length > limit.body_bytes {
            let detail = format!("the body is larger than {} bytes", limit.body_bytes);
            return Err(Problem::unreadable(Reason::TooLarge, detail).into());
        }
        let clock = instance.clock;
        let mut memory = Reservation::new(&instance.memory, MemoryUse::Bodies);
        let is_scarce = instance.memory.is_scarce(MemoryUse::Responses);
        if is_scarce || !memory.resize(clock.now(), length) {
            return Err(Problem::no_memory().into());
        }
        if head.expects_continue() && head.framing().has_body() {
            self.response.send_continue().await.map_err(|_| Rejection::CallerLeft)?;
        }
        let reading = async {
            match head.framing() {
                Framing::Chunked => {
                    read_counted(self.input, limit.body_bytes, clock, &mut memory).await
                }
                framing => read_whole(self.input, framing, limit.body_bytes).await.map(Some),
            }
        };
        let Some(read) = deadline::until(clock, by, reading).await else {
            return Err(Problem::unreadable(Reason::SlowCaller, "the body came too slowly").into());
        };
        let body = read.map_err(|err| Rejection::unreadable_body(&err))?;
        let body = body.ok_or_else(Problem::no_memory)?;
        self.has_unread_input = false;
        Ok((body, memory))
    }

    /// Serves a request that was read whole, until it ends or the caller leaves.
    async fn serve(mut self, accepted: Accepted, new: NewRequest) -> Disposition {
        let instance = Rc::clone(&self.instance);
        let end_by = new.caller_deadline.min(new.arrived + new.routed.route.timeout);
        let (id, version) = (Arc::clone(&new.id), new.routed.version);
        let (tx, commands) = async_channel::bounded(2);
        let key = instance.add_task(tx);
        instance.handle_event(Event::Request { key, new: Box::new(new) });
        let mut request = ActiveRequest {
            instance: &instance,
            key,
            accepted,
            response: &mut self.response,
            held: None,
        };
        let work = request.run_commands(&commands);
        let left = async {
            wait_for_disconnect(self.input).await;
            instance.handle_event(Event::CallerLeft { key });
            Disposition::Abort
        };
        // A caller that has left is noticed before a further step, which may send its request.
        let disposition = left.or(work).await;
        instance.remove_task(key);
        let now = instance.clock.now();
        let late = now.since(end_by);
        if late >= LATE_END {
            instance.record(now, &LogEntry::EndedLate { id, late, version });
        }
        match disposition {
            Disposition::KeepOpen if self.response.closes_connection => Disposition::Close,
            disposition => disposition,
        }
    }

    /// Sends an error response to a request that is not served.
    pub(crate) async fn reject(&mut self, problem: &Problem, id: Option<&str>) -> Disposition {
        self.response.closes_connection |= self.has_unread_input || self.instance.is_draining.get();
        let name = self.instance.header_codec.request_id_name();
        let id = id.map(|id| (name, id));
        match self.response.send_problem(problem, id, PROBLEM_TIMEOUT).await {
            Ok(()) if !self.response.closes_connection => Disposition::KeepOpen,
            Ok(()) => Disposition::Close,
            Err(err) => {
                log::debug!(status = problem.status(); "cannot write a response: {err}");
                Disposition::Abort
            }
        }
    }
}

/// A request that is being served.
struct ActiveRequest<'a> {
    instance: &'a Instance,
    key: RequestKey,
    accepted: Accepted,
    response: &'a mut Response,
    held: Option<HeldResponse>,
}

impl ActiveRequest<'_> {
    /// Carries out the reducer's commands until the request has ended.
    async fn run_commands(&mut self, commands: &Receiver<Command>) -> Disposition {
        let mut last: Option<Attempt> = None;
        while let Ok(command) = commands.recv().await {
            // Checked as late as possible, so that connections close soon after shutdown starts.
            self.response.closes_connection |=
                self.instance.is_draining.get() && !self.response.has_started();
            match command {
                Command::Run(attempt) => {
                    let running = RunningAttempt {
                        instance: self.instance,
                        key: self.key,
                        id: &self.accepted.id,
                        account: self
                            .accepted
                            .routed
                            .account
                            .as_ref()
                            .map(|account| &*account.name),
                        attempt: &attempt,
                        outgoing: &self.accepted.outgoing,
                        response: &mut *self.response,
                        held: &mut self.held,
                        trace: ResponseTrace::default(),
                    };
                    let outcome = running.run().await;
                    self.instance.handle_event(Event::Ended {
                        key: self.key,
                        end: outcome.end,
                        cold: outcome.cold,
                        trace: outcome.trace,
                    });
                    if self.response.is_complete() {
                        return Disposition::KeepOpen;
                    }
                    if outcome.end == dispatch::AttemptEnd::CallerLeft {
                        return Disposition::Abort;
                    }
                    last = Some(attempt);
                }
                Command::EndRun(left) => {
                    let Some(attempt) = &last else { return Disposition::Abort };
                    let end = left_run::end(self.instance, &self.accepted.id, attempt, left).await;
                    self.instance.handle_event(Event::RunEnded { key: self.key, end });
                }
                Command::Deliver => return self.deliver().await,
                Command::Refuse(refusal) => return self.refuse(refusal).await,
            }
        }
        Disposition::Abort
    }

    async fn deliver(&mut self) -> Disposition {
        let Some(held) = self.held.take() else {
            return self.refuse(Refusal::unknown(Reason::ServerFailed)).await;
        };
        let written = self.response.send_whole(&held.head, &held.body).await;
        self.after_response(written)
    }

    async fn refuse(&mut self, refusal: Refusal) -> Disposition {
        if self.response.has_started() {
            return Disposition::Abort;
        }
        let id = (self.instance.header_codec.request_id_name(), &*self.accepted.id);
        let problem = Problem::from(refusal);
        let written = self.response.send_problem(&problem, Some(id), PROBLEM_TIMEOUT).await;
        self.after_response(written)
    }

    /// Returns what happens to the connection after `written`.
    fn after_response(&self, written: Result<(), WriteError>) -> Disposition {
        match written {
            Ok(()) => Disposition::KeepOpen,
            Err(WriteError::OutOfOrder) => {
                log::error!(request:% = self.accepted.id; "a second response is not written into the first");
                Disposition::Abort
            }
            Err(err) => {
                log::debug!(request:% = self.accepted.id; "cannot write a response: {err}");
                Disposition::Abort
            }
        }
    }
}

/// Waits until the caller closes its connection. Pipelined requests stay in the buffer; once it
/// holds [`MAX_PIPELINED_BYTES`], this waits forever.
async fn wait_for_disconnect(input: &mut Buffered<TcpStream>) {
    loop {
        if input.data().len() >= MAX_PIPELINED_BYTES {
            return futures_lite::future::pending().await;
        }
        match input.fill().await {
            Ok(0) => return,
            Ok(_) => {}
            Err(err) => return log::debug!("a caller's connection broke: {err}"),
        }
    }
}
