//! Tells the control thread how a request goes.

use std::thread;

use control::Event;
use model::prelude::*;

use crate::Link;

/// Tells the control thread how a request goes, and how it ended even if the serving task panics
/// or is dropped.
#[derive(Debug)]
pub(super) struct Report {
    link: Link,
    no: RequestNo,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stage {
    Waiting,
    Running { attempt: u32 },
    Closed,
}

impl Report {
    /// Starts with a request that waits for its first order.
    pub(super) fn new(link: Link, no: RequestNo) -> Self {
        Self { link, no, stage: Stage::Waiting }
    }

    /// An attempt begins.
    pub(super) fn running(&mut self, attempt: u32) {
        self.stage = Stage::Running { attempt };
    }

    /// The attempt ended.
    pub(super) fn ended(&mut self, end: AttemptEnd, cold: bool) {
        let Stage::Running { attempt } = self.stage else { return };
        self.stage = match end {
            AttemptEnd::Completed { .. } | AttemptEnd::CallerLeft => Stage::Closed,
            _ => Stage::Waiting,
        };
        self.link.event(Event::AttemptEnded { no: self.no, attempt, end, cold });
    }

    /// The caller went away while no attempt was running.
    pub(super) fn caller_left(&mut self) {
        if self.stage == Stage::Waiting {
            self.link.event(Event::CallerLeft { no: self.no });
        }
        self.stage = Stage::Closed;
    }

    /// The control thread has ended the request itself.
    pub(super) fn refused(&mut self) {
        self.stage = Stage::Closed;
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        match self.stage {
            Stage::Running { .. } if thread::panicking() => {
                self.ended(AttemptEnd::Broken { answered: true }, false);
                self.caller_left();
            }
            Stage::Running { .. } => self.ended(AttemptEnd::CallerLeft, false),
            Stage::Waiting => self.caller_left(),
            Stage::Closed => {}
        }
    }
}
