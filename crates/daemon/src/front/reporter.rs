//! Reporting the progress of a request to the control thread.

use std::thread;

use control::Event;
use model::prelude::*;

use crate::ControlSender;

/// Reports the progress of a request to the control thread. When it is dropped, it reports the end
/// of the request, so that the control thread learns of it also if the serving task panics or is
/// cancelled.
#[derive(Debug)]
pub(super) struct RequestReporter {
    control: ControlSender,
    no: RequestNo,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stage {
    /// The request waits for a command.
    Waiting,
    /// An attempt runs; its end is still to be reported.
    Running { attempt: u32 },
    /// The request has ended; nothing more is reported.
    Closed,
}

impl RequestReporter {
    /// Creates a reporter for a request that waits for its first command.
    pub(super) fn new(control: ControlSender, no: RequestNo) -> Self {
        Self { control, no, stage: Stage::Waiting }
    }

    /// Records the start of an attempt; this is not reported.
    pub(super) fn attempt_started(&mut self, attempt: u32) {
        self.stage = Stage::Running { attempt };
    }

    /// Reports the end of the attempt. `cold` tells whether the server reported that it is cold.
    pub(super) fn attempt_ended(&mut self, end: AttemptEnd, cold: bool) {
        let Stage::Running { attempt } = self.stage else { return };
        self.stage = match end {
            AttemptEnd::Completed { .. } | AttemptEnd::CallerLeft => Stage::Closed,
            _ => Stage::Waiting,
        };
        self.control.send_event(Event::AttemptEnded { no: self.no, attempt, end, cold });
    }

    /// Reports that the caller left while no attempt was running.
    pub(super) fn caller_left(&mut self) {
        if self.stage == Stage::Waiting {
            self.control.send_event(Event::CallerLeft { no: self.no });
        }
        self.stage = Stage::Closed;
    }

    /// Records that the control thread refused the request, so that no end is reported.
    pub(super) fn refused(&mut self) {
        self.stage = Stage::Closed;
    }
}

impl Drop for RequestReporter {
    fn drop(&mut self) {
        match self.stage {
            Stage::Running { .. } if thread::panicking() => {
                self.attempt_ended(AttemptEnd::Broken { answered: true }, false);
                self.caller_left();
            }
            Stage::Running { .. } => self.attempt_ended(AttemptEnd::CallerLeft, false),
            Stage::Waiting => self.caller_left(),
            Stage::Closed => {}
        }
    }
}
