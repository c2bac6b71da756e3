//! Attempts at backend servers.

mod events;
mod relay;

use async_net::TcpStream;
use control::{Event, RunCommand};
use futures_lite::AsyncWriteExt as _;
use http_types::Response;
use http1::ConnectionError;
use model::prelude::*;

use crate::{
    Traffic, deadline,
    front::{Answer, AttemptFields, Outgoing},
    http::{Buffered, ResponseParts, encode_request, read_response},
};

/// An attempt that is to be made.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    /// What everything needs.
    pub(crate) cx: &'a Traffic,
    /// Names the request in this process.
    pub(crate) no: RequestNo,
    /// Names the request to the backend server.
    pub(crate) id: RequestId,
    /// Where and until when.
    pub(crate) order: &'a RunCommand,
    /// The request.
    pub(crate) outgoing: &'a Outgoing,
    /// Where the answer goes.
    pub(crate) answer: &'a mut Answer,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    /// How.
    pub(crate) end: AttemptEnd,
    /// Whether the server said that it is in its cold start.
    pub(crate) cold: bool,
    /// Whether the server may have run the request.
    pub(crate) may_have_run: bool,
}

/// Why an attempt failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    Unused,
    ConnectFailed,
    ServerBusy,
    Broken,
    TimedOut,
    CallerLeft,
}

impl<E: ConnectionError> From<E> for Fault {
    fn from(_: E) -> Self {
        Self::Broken
    }
}

/// Makes an attempt.
pub(crate) async fn run(mut attempt: Attempt<'_>) -> Ended {
    let start = attempt.cx.clock.now();
    let mut progress = Progress::default();
    let done = attempt.run(&mut progress).await;
    let end = match done {
        Ok(tokens) => AttemptEnd::Completed {
            first_byte: progress.first_byte.unwrap_or(start).since(start),
            total: attempt.cx.clock.now().since(start),
            tokens,
        },
        // Nothing was written, so the server cannot have run it.
        Err(Fault::TimedOut) if !progress.written => AttemptEnd::ConnectFailed,
        Err(fault) => attempt.failed(fault),
    };
    let may_have_run = progress.written && end != AttemptEnd::ServerBusy;
    Ended { end, cold: progress.cold, may_have_run }
}

/// What is known of an attempt however it ends.
#[derive(Debug, Default)]
struct Progress {
    written: bool,
    cold: bool,
    first_byte: Option<Time>,
}

impl Attempt<'_> {
    /// Returns the number of output tokens.
    async fn run(&mut self, progress: &mut Progress) -> Result<u32, Fault> {
        let clock = self.cx.clock;
        let end_by = self.order.end_by;
        let opening = self.open(progress);
        let opened = deadline::until(clock, self.order.first_byte_by, opening).await;
        let opened = opened.ok_or(Fault::TimedOut)??;
        let relaying = relay::run(opened, self);
        deadline::until(clock, end_by, relaying).await.ok_or(Fault::TimedOut)?
    }

    /// Sends the request and reads the answer up to the first bytes of its body.
    async fn open(&self, progress: &mut Progress) -> Result<relay::Opened, Fault> {
        let mut stream = self.connect().await?;
        let left = self.cx.clock.now().until(self.order.end_by);
        let bytes = encode_request(self.outgoing.request(&self.fields(left))).await?;
        if self.is_late() {
            return Err(Fault::Unused);
        }
        progress.written = true;
        stream.write_all(&bytes).await?;
        self.cx.link.event(Event::AttemptSent { no: self.no, attempt: self.order.attempt });
        let mut input = Buffered::new(stream);
        let head = read_response(&mut input, self.outgoing.method()).await?;
        progress.cold = header(&head.res, "x-cold").is_some_and(|it| it != "false" && it != "0");
        self.check_head(&head)?;
        let opened = relay::Opened::read(input, head).await?;
        progress.first_byte = Some(self.cx.clock.now());
        Ok(opened)
    }

    async fn connect(&self) -> Result<TcpStream, Fault> {
        if self.is_late() {
            return Err(Fault::Unused);
        }
        if self.answer.is_started() && !(self.order.resumes && self.answer.can_resume()) {
            return Err(Fault::Broken);
        }
        let span = Duration::from_millis(self.cx.settings.limits.connect_ms);
        let by = (self.cx.clock.now() + span).min(self.order.start_by);
        let connecting = TcpStream::connect(self.order.address);
        let connected = deadline::until(self.cx.clock, by, connecting).await;
        let Some(Ok(stream)) = connected else { return Err(Fault::ConnectFailed) };
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Returns whether the grant may have passed to somebody else; a process that was stopped for
    /// a while finds out here.
    fn is_late(&self) -> bool {
        self.cx.clock.now() >= self.order.start_by
    }

    fn fields(&self, left: Duration) -> AttemptFields {
        AttemptFields {
            address: self.order.address,
            id: self.id,
            tier: self.order.tier,
            left,
            resume_from: self.answer.is_begun().then(|| self.answer.events()),
        }
    }

    fn check_head(&self, head: &ResponseParts) -> Result<(), Fault> {
        let id = self.id.to_string();
        if header(&head.res, "x-request-id").is_some_and(|it| it != id) {
            log::warn!("request {id}: backend server {} answered another one", self.order.server);
            return Err(Fault::Broken);
        }
        let refused = header(&head.res, "x-outcome") == Some("not-run");
        if refused && head.res.status() == http_types::StatusCode::ServiceUnavailable {
            return Err(Fault::ServerBusy);
        }
        Ok(())
    }

    fn failed(&self, fault: Fault) -> AttemptEnd {
        let answered = self.answer.is_started();
        match fault {
            Fault::Unused => AttemptEnd::Unused,
            Fault::ConnectFailed => AttemptEnd::ConnectFailed,
            Fault::ServerBusy => AttemptEnd::ServerBusy,
            Fault::Broken => AttemptEnd::Broken { answered },
            Fault::TimedOut => AttemptEnd::TimedOut { answered },
            Fault::CallerLeft => AttemptEnd::CallerLeft,
        }
    }
}

fn header<'a>(res: &'a Response, name: &str) -> Option<&'a str> {
    res.header(name).map(|it| it.last().as_str())
}
