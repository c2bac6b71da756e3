//! Attempts: forwarding a request to a backend server.

mod events;
mod relay;

use aio::Socket;
use control::{Event, RunCommand};
use futures_lite::AsyncWriteExt as _;
use http_types::Response;
use http1::ConnectionError;
use model::prelude::*;

use crate::{
    Context, deadline,
    front::{AttemptFields, OutgoingRequest, ResponseWriter},
    http::{Buffered, ResponseParts, encode_request, read_response},
};

/// The input of an attempt.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    /// The context of the traffic threads.
    pub(crate) cx: &'a Context,
    /// The request's number in this process.
    pub(crate) no: RequestNo,
    /// The request's id, which the backend server gets.
    pub(crate) id: RequestId,
    /// The backend server and the deadlines.
    pub(crate) command: &'a RunCommand,
    /// The request to send.
    pub(crate) outgoing: &'a OutgoingRequest,
    /// Where the response goes.
    pub(crate) writer: &'a mut ResponseWriter,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    /// How the attempt ended.
    pub(crate) end: AttemptEnd,
    /// Whether the server reported that it is cold.
    pub(crate) cold: bool,
    /// Whether the server may have run the request.
    pub(crate) may_have_run: bool,
}

/// Why an attempt failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum AttemptError {
    Unused,
    ConnectFailed,
    ServerBusy,
    /// For the reason given here.
    Broken(&'static str),
    TimedOut,
    CallerLeft,
}

impl<E: ConnectionError> From<E> for AttemptError {
    fn from(err: E) -> Self {
        Self::Broken(err.summary())
    }
}

/// Makes an attempt.
pub(crate) async fn run(mut attempt: Attempt<'_>) -> AttemptResult {
    let start = attempt.cx.clock.now();
    let mut progress = Progress::default();
    let result = attempt.run(&mut progress).await;
    let end = match result {
        Ok(tokens) => AttemptEnd::Completed {
            first_byte: progress.first_byte.unwrap_or(start).since(start),
            total: attempt.cx.clock.now().since(start),
            tokens,
        },
        // Nothing was written, so the server cannot have run the request.
        Err(AttemptError::TimedOut) if !progress.is_write_started => AttemptEnd::ConnectFailed,
        Err(error) => attempt.end_of(error),
    };
    let may_have_run = progress.is_write_started && end != AttemptEnd::ServerBusy;
    AttemptResult { end, cold: progress.cold, may_have_run }
}

/// The progress of an attempt, kept outside of its future to be known also after a timeout.
#[derive(Debug, Default)]
struct Progress {
    /// Whether writing the request has started, so that the server may run it.
    is_write_started: bool,
    cold: bool,
    first_byte: Option<Time>,
}

impl Attempt<'_> {
    /// Makes the attempt and returns the number of output tokens.
    async fn run(&mut self, progress: &mut Progress) -> Result<u32, AttemptError> {
        let clock = self.cx.clock;
        let end_by = self.command.end_by;
        let opening = self.open(progress);
        let opened = deadline::until(clock, self.command.first_byte_by, opening).await;
        let opened = opened.ok_or(AttemptError::TimedOut)??;
        let relaying = relay::run(opened, self);
        deadline::until(clock, end_by, relaying).await.ok_or(AttemptError::TimedOut)?
    }

    /// Connects, sends the request and reads the response up to the first bytes of its body.
    async fn open(&self, progress: &mut Progress) -> Result<relay::OpenedResponse, AttemptError> {
        let mut stream = self.connect().await?;
        let time_left = self.cx.clock.now().until(self.command.end_by);
        let bytes = encode_request(self.outgoing.request(&self.attempt_fields(time_left))).await?;
        if self.is_late() {
            return Err(AttemptError::Unused);
        }
        progress.is_write_started = true;
        stream.write_all(&bytes).await?;
        self.cx
            .control
            .send_event(Event::AttemptSent { no: self.no, attempt: self.command.attempt });
        let mut input = Buffered::new(stream);
        let head = read_response(&mut input, self.outgoing.method()).await?;
        progress.cold =
            header(&head.res, "x-cold").is_some_and(|value| value != "false" && value != "0");
        self.check_head(&head)?;
        let opened = relay::OpenedResponse::read(input, head).await?;
        progress.first_byte = Some(self.cx.clock.now());
        Ok(opened)
    }

    async fn connect(&self) -> Result<Socket, AttemptError> {
        if self.is_late() {
            return Err(AttemptError::Unused);
        }
        if self.writer.is_started() && !(self.command.resumes && self.writer.can_resume()) {
            return Err(AttemptError::Broken("the response cannot be continued"));
        }
        let timeout = Duration::from_millis(self.cx.settings.limits.connect_ms);
        let by = (self.cx.clock.now() + timeout).min(self.command.start_by);
        let connecting = Socket::connect(self.command.address);
        let connected = deadline::until(self.cx.clock, by, connecting).await;
        let Some(Ok(stream)) = connected else { return Err(AttemptError::ConnectFailed) };
        let _ = stream.set_nodelay();
        Ok(stream)
    }

    /// Returns whether it is too late to start: the grant may have been given to another request
    /// by now. This happens if the process was paused.
    fn is_late(&self) -> bool {
        self.cx.clock.now() >= self.command.start_by
    }

    fn attempt_fields(&self, time_left: Duration) -> AttemptFields {
        AttemptFields {
            address: self.command.address,
            id: self.id,
            tier: self.command.tier,
            time_left,
            resume_from: self.writer.is_begun().then(|| self.writer.event_count()),
        }
    }

    fn check_head(&self, head: &ResponseParts) -> Result<(), AttemptError> {
        let id = self.id.to_string();
        if head.names_other_request(&id) {
            return Err(AttemptError::Broken("the response is to another request"));
        }
        let did_not_run = header(&head.res, "x-outcome") == Some("not-run");
        if did_not_run && head.res.status() == http_types::StatusCode::ServiceUnavailable {
            return Err(AttemptError::ServerBusy);
        }
        Ok(())
    }

    fn end_of(&self, error: AttemptError) -> AttemptEnd {
        let answered = self.writer.is_started();
        match error {
            AttemptError::Unused => AttemptEnd::Unused,
            AttemptError::ConnectFailed => AttemptEnd::ConnectFailed,
            AttemptError::ServerBusy => AttemptEnd::ServerBusy,
            AttemptError::Broken(fault) => {
                log::warn!(request:% = self.id, server:% = self.command.server, fault; "attempt failed");
                AttemptEnd::Broken { answered }
            }
            AttemptError::TimedOut => AttemptEnd::TimedOut { answered },
            AttemptError::CallerLeft => AttemptEnd::CallerLeft,
        }
    }
}

fn header<'a>(res: &'a Response, name: &str) -> Option<&'a str> {
    res.header(name).map(|values| values.last().as_str())
}
