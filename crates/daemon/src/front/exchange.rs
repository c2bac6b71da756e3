//! Serving of one request by the commands of the control thread.

use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Receiver;
use control::{RequestCommand, RunCommand};
use futures_lite::{FutureExt as _, future};
use model::prelude::*;

use super::{
    Front, ResponseWriter, caller::Caller, outgoing::OutgoingRequest, problem::Problem,
    reporter::RequestReporter, routing::RoutedRequest,
};
use crate::{
    Input,
    forward::{self, Attempt, AttemptResult},
};

/// What to do with a connection after a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Disposition {
    /// Serve further requests.
    KeepOpen,
    /// Close it gracefully, after the response.
    Close,
    /// Close it at once, so that the caller sees that its response is incomplete.
    Abort,
}

/// Passes a request to the control thread and carries out its commands until the request ends.
pub(super) async fn run(
    front: &Front,
    caller: &mut Caller,
    routed: RoutedRequest,
    writer: ResponseWriter,
) -> Disposition {
    let RoutedRequest { head, outgoing } = routed;
    let (tx, commands) = async_channel::unbounded();
    let reporter = RequestReporter::new(front.cx.control.clone(), head.no);
    let mut exchange = Exchange {
        front,
        id: head.id,
        no: head.no,
        outgoing,
        writer,
        commands,
        reporter,
        may_have_run: false,
    };
    front.cx.control.send(Input::Request { head, commands: tx });
    exchange.process_commands(caller).await
}

struct Exchange<'a> {
    front: &'a Front,
    id: RequestId,
    no: RequestNo,
    outgoing: OutgoingRequest,
    writer: ResponseWriter,
    commands: Receiver<RequestCommand>,
    reporter: RequestReporter,
    /// Whether a backend server may have run the request: it was written to one that did not report
    /// that it has not run it, or an attempt was cancelled.
    may_have_run: bool,
}

/// How an attempt was ended, by itself or from outside.
enum AttemptOutcome {
    Ended(AttemptResult),
    CallerLeft,
    Preempted,
    /// The control thread refused the request while the attempt ran.
    Refused(Refusal),
}

impl Exchange<'_> {
    async fn process_commands(&mut self, caller: &mut Caller) -> Disposition {
        loop {
            let Some(command) = self.next_command(caller).await else {
                self.reporter.caller_left();
                return Disposition::Abort;
            };
            let disposition = match command {
                RequestCommand::Run(command) => self.attempt(&command, caller).await,
                RequestCommand::Refuse(refusal) => Some(self.refuse(refusal).await),
                // The attempt ended before the command arrived.
                RequestCommand::Preempt { .. } => None,
            };
            if let Some(disposition) = disposition {
                return disposition;
            }
        }
    }

    /// Waits for a command. Returns `None` if the caller has left.
    async fn next_command(&self, caller: &mut Caller) -> Option<RequestCommand> {
        let command = async {
            let closed = RequestCommand::Refuse(Refusal::not_run(Reason::NotReady));
            Some(self.commands.recv().await.unwrap_or(closed))
        };
        let left = async {
            caller.wait_until_left().await;
            None
        };
        command.or(left).await
    }

    /// Makes an attempt. Returns `None` if the request waits for its next command.
    async fn attempt(&mut self, command: &RunCommand, caller: &mut Caller) -> Option<Disposition> {
        self.reporter.attempt_started(command.attempt);
        match self.run_attempt(command, caller).await {
            AttemptOutcome::Ended(result) => {
                self.may_have_run |= result.may_have_run;
                self.front.cx.metrics.record_attempt(result.end);
                self.reporter.attempt_ended(result.end, result.cold);
                match result.end {
                    AttemptEnd::Completed { .. } => Some(self.disposition()),
                    AttemptEnd::CallerLeft => Some(Disposition::Abort),
                    _ => None,
                }
            }
            AttemptOutcome::CallerLeft => {
                self.reporter.attempt_ended(AttemptEnd::CallerLeft, false);
                Some(Disposition::Abort)
            }
            AttemptOutcome::Preempted => {
                self.may_have_run = true;
                self.reporter.attempt_ended(AttemptEnd::Preempted, false);
                None
            }
            AttemptOutcome::Refused(refusal) => {
                self.may_have_run = true;
                Some(self.refuse(refusal).await)
            }
        }
    }

    async fn run_attempt(&mut self, command: &RunCommand, caller: &mut Caller) -> AttemptOutcome {
        let started = self.writer.started_flag();
        let attempt = Attempt {
            cx: &self.front.cx,
            no: self.no,
            id: self.id,
            command,
            outgoing: &self.outgoing,
            writer: &mut self.writer,
        };
        let run = async { AttemptOutcome::Ended(forward::run(attempt).await) };
        let left = async {
            caller.wait_until_left().await;
            AttemptOutcome::CallerLeft
        };
        let cancelled = cancelled(&self.commands, command.attempt, &started);
        run.or(cancelled).or(left).await
    }

    fn disposition(&self) -> Disposition {
        if self.writer.closes() { Disposition::Close } else { Disposition::KeepOpen }
    }

    /// Writes a refusal. If the caller has received a part of a response already, the connection is
    /// aborted instead.
    async fn refuse(&mut self, refusal: Refusal) -> Disposition {
        self.reporter.refused();
        if self.writer.is_started() || refusal.reason == Reason::CallerLeft {
            return Disposition::Abort;
        }
        let execution = if self.may_have_run { Execution::Unknown } else { refusal.execution };
        let problem = Problem::from(Refusal { execution, ..refusal });
        let mut res = problem.response(self.id);
        res.insert_header("x-request-id", self.id.to_string());
        let written = self.front.within_head_time(self.writer.write_whole(res)).await;
        if written { self.disposition() } else { Disposition::Abort }
    }
}

/// Waits until the control thread cancels the attempt. An attempt whose response has started is not
/// preempted.
async fn cancelled(
    commands: &Receiver<RequestCommand>,
    attempt: u32,
    started: &AtomicBool,
) -> AttemptOutcome {
    while let Ok(command) = commands.recv().await {
        match command {
            RequestCommand::Preempt { attempt: number } if number == attempt => {
                if !started.load(Ordering::Relaxed) {
                    return AttemptOutcome::Preempted;
                }
            }
            RequestCommand::Refuse(refusal) => return AttemptOutcome::Refused(refusal),
            RequestCommand::Run(_) | RequestCommand::Preempt { .. } => {}
        }
    }
    // The channel is closed: no command follows, and the attempt ends by itself.
    future::pending().await
}
