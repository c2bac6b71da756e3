//! A request of a caller.

use std::sync::Arc;

use model::prelude::*;

use crate::{Prompt, Rank, Routed, ServerKey, queue::Place, route::Repeat};

slotmap::new_key_type! {
    /// A request that this process serves.
    pub struct RequestKey;
}

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: Arc<str>,
    pub(crate) routed: Routed,
    pub(crate) pool: PoolId,
    pub(crate) arrived: Time,
    /// When it ends, whatever has come: the route's timeout or the caller's patience.
    pub(crate) end_by: Time,
    pub(crate) prompt: Prompt,
    pub(crate) stage: Stage,
    /// Attempts that were made.
    pub(crate) attempts: u32,
    /// Servers that may have run it.
    pub(crate) runs: u32,
    /// Servers that said that they did not run it.
    pub(crate) rejections: u32,
    /// Servers that are not tried again.
    pub(crate) tried: Vec<ServerKey>,
    /// When the first byte of an answer came.
    pub(crate) began_at: Option<Time>,
    /// Whether it has reserved a retry that is not sent yet.
    pub(crate) has_retry: bool,
    /// Whether an answer that says that a server failed is held back.
    pub(crate) holds_failure: bool,
}

/// A request is not tried again when less than this is left: a round trip and the work of a fast
/// server.
pub(crate) const MIN_REMAINING: Duration = Duration::from_millis(40);

/// A stream is live with a prompt of up to this many tokens for each token of the answer: what a
/// crash would cost the caller outweighs a copy of the run's memory.
const LIVE_PROMPT_RATIO: u32 = 6;

/// How far a request has come.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// It waits for a server.
    Waiting(Place),
    /// An attempt runs.
    Running(Run),
    /// Its task knows how it ends, or it was not read whole yet.
    Idle,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) server: ServerKey,
    pub(crate) sent_at: Option<Time>,
    pub(crate) expected: Duration,
    /// Prompt tokens that the server still has to read for it.
    pub(crate) prefill: u32,
    /// The pool among whose live streams it counts, if it is one.
    pub(crate) live_in: Option<PoolId>,
    /// The server that gets a copy of its memory.
    pub(crate) backup: Option<ServerKey>,
}

impl Request {
    pub(crate) fn rank(&self) -> Rank {
        self.routed.rank()
    }

    /// Returns whether the caller follows a long answer to a short prompt as it comes, which long
    /// prompts at the same engine hold up.
    pub(crate) fn is_live(&self) -> bool {
        self.routed.route.is_stream
            && self.prompt.tokens <= self.prompt.max_output.saturating_mul(LIVE_PROMPT_RATIO)
    }

    /// Returns whether a copy of the run's memory is kept at a second engine: the stream cannot be
    /// repeated, and what has to be copied is small against what it gives.
    pub(crate) fn is_backed_up(&self) -> bool {
        self.is_live() && self.routed.route.repeat == Repeat::Never
    }

    pub(crate) fn is_repeatable(&self) -> bool {
        self.routed.route.repeat != Repeat::Never
    }

    /// Returns whether the request may run at one more server after it ran at `runs`, the retry
    /// budget aside.
    pub(crate) fn may_run_again(&self, now: Time, runs: u32) -> bool {
        self.is_repeatable()
            && runs < self.routed.route.max_attempts
            && now + MIN_REMAINING < self.end_by
    }

    /// Returns a refusal that says truly whether the request may have run.
    pub(crate) fn refusal(&self, reason: Reason) -> Refusal {
        if self.runs == 0 { Refusal::not_run(reason) } else { Refusal::unknown(reason) }
    }
}
