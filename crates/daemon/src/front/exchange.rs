//! Follows the control thread's orders for one request.

use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Receiver;
use control::{RequestCommand, RunCommand};
use futures_lite::{FutureExt as _, future};
use model::prelude::*;

use super::{
    Answer, Front, caller::Caller, outgoing::Outgoing, problem::Problem, report::Report,
    routing::RoutedRequest,
};
use crate::{
    Input,
    forward::{self, Attempt, Ended},
};

/// What becomes of a connection after a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Next {
    /// It is used for further requests.
    KeepOpen,
    /// It is closed after the answer.
    Close,
    /// It is closed at once; the caller must see that its answer is not whole.
    Abort,
}

/// Tells the control thread of a request and follows its orders to the end.
pub(super) async fn run(
    front: &Front,
    caller: &mut Caller,
    routed: RoutedRequest,
    answer: Answer,
) -> Next {
    let RoutedRequest { head, outgoing } = routed;
    let (tx, orders) = async_channel::unbounded();
    let report = Report::new(front.cx.link.clone(), head.no);
    let mut exchange = Exchange {
        front,
        id: head.id,
        no: head.no,
        outgoing,
        answer,
        orders,
        report,
        may_have_run: false,
    };
    front.cx.link.send(Input::Request { head, orders: tx });
    exchange.follow(caller).await
}

struct Exchange<'a> {
    front: &'a Front,
    id: RequestId,
    no: RequestNo,
    outgoing: Outgoing,
    answer: Answer,
    orders: Receiver<RequestCommand>,
    report: Report,
    /// Whether an attempt was written to a backend server that did not say that it was not run.
    may_have_run: bool,
}

/// What happened while an attempt ran.
enum AttemptOutcome {
    Ended(Ended),
    CallerLeft,
    Preempted,
    Refused(Refusal),
}

impl Exchange<'_> {
    async fn follow(&mut self, caller: &mut Caller) -> Next {
        loop {
            let Some(order) = self.next_order(caller).await else {
                self.report.caller_left();
                return Next::Abort;
            };
            let done = match order {
                RequestCommand::Run(order) => self.attempt(&order, caller).await,
                RequestCommand::Refuse(refusal) => Some(self.refuse(refusal).await),
                // The attempt has ended in the meantime.
                RequestCommand::Preempt { .. } => None,
            };
            if let Some(next) = done {
                return next;
            }
        }
    }

    /// Waits for an order; `None` if the caller has left.
    async fn next_order(&self, caller: &mut Caller) -> Option<RequestCommand> {
        let order = async {
            let closed = RequestCommand::Refuse(Refusal::not_run(Reason::NotReady));
            Some(self.orders.recv().await.unwrap_or(closed))
        };
        let left = async {
            caller.left().await;
            None
        };
        order.or(left).await
    }

    /// Makes an attempt; `None` if the control thread decides how to go on.
    async fn attempt(&mut self, order: &RunCommand, caller: &mut Caller) -> Option<Next> {
        self.report.running(order.attempt);
        match self.run_attempt(order, caller).await {
            AttemptOutcome::Ended(ended) => {
                self.may_have_run |= ended.may_have_run;
                self.front.cx.metrics.attempt(ended.end);
                self.report.ended(ended.end, ended.cold);
                match ended.end {
                    AttemptEnd::Completed { .. } => Some(self.next()),
                    AttemptEnd::CallerLeft => Some(Next::Abort),
                    _ => None,
                }
            }
            AttemptOutcome::CallerLeft => {
                self.report.ended(AttemptEnd::CallerLeft, false);
                Some(Next::Abort)
            }
            AttemptOutcome::Preempted => {
                self.may_have_run = true;
                self.report.ended(AttemptEnd::Preempted, false);
                None
            }
            AttemptOutcome::Refused(refusal) => {
                self.may_have_run = true;
                Some(self.refuse(refusal).await)
            }
        }
    }

    async fn run_attempt(&mut self, order: &RunCommand, caller: &mut Caller) -> AttemptOutcome {
        let started = self.answer.started();
        let attempt = Attempt {
            cx: &self.front.cx,
            no: self.no,
            id: self.id,
            order,
            outgoing: &self.outgoing,
            answer: &mut self.answer,
        };
        let run = async { AttemptOutcome::Ended(forward::run(attempt).await) };
        let left = async {
            caller.left().await;
            AttemptOutcome::CallerLeft
        };
        let cancelled = cancelled(&self.orders, order.attempt, &started);
        run.or(cancelled).or(left).await
    }

    fn next(&self) -> Next {
        if self.answer.closes() { Next::Close } else { Next::KeepOpen }
    }

    async fn refuse(&mut self, refusal: Refusal) -> Next {
        self.report.refused();
        if self.answer.is_started() || refusal.reason == Reason::CallerLeft {
            return Next::Abort;
        }
        let execution = if self.may_have_run { Execution::Unknown } else { refusal.execution };
        let problem = Problem::from(Refusal { execution, ..refusal });
        let mut res = problem.response(self.id);
        res.insert_header("x-request-id", self.id.to_string());
        let written = self.front.within_head_time(self.answer.whole(res)).await;
        if written { self.next() } else { Next::Abort }
    }
}

/// Waits until the control thread cancels the attempt.
async fn cancelled(
    orders: &Receiver<RequestCommand>,
    attempt: u32,
    started: &AtomicBool,
) -> AttemptOutcome {
    while let Ok(order) = orders.recv().await {
        match order {
            RequestCommand::Preempt { attempt: it } if it == attempt => {
                if !started.load(Ordering::Relaxed) {
                    return AttemptOutcome::Preempted;
                }
            }
            RequestCommand::Refuse(refusal) => return AttemptOutcome::Refused(refusal),
            RequestCommand::Run(_) | RequestCommand::Preempt { .. } => {}
        }
    }
    // The control thread has nothing more to say; the attempt ends on its own.
    future::pending().await
}
