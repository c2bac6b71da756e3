//! Requests that this instance serves.

use std::sync::Arc;

use gossip::{SoftwareTag, TotalLoad};
use model::prelude::*;

use crate::{
    Prompt, Rank, Routed, ServerKey, choice::FIRST_CHOICE_UNCACHED, continuation::EndingRun,
    queue::QueueEntry, route::Repeat, taken_up::OriginSearch,
};

slotmap::new_key_type! {
    /// Identifies a request that this process serves.
    pub struct RequestKey;
}

/// A request of a caller, from its arrival to the end of its response.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: Arc<str>,
    pub(crate) routed: Routed,
    pub(crate) pool: PoolId,
    pub(crate) arrived: Time,
    /// When it ends at the latest: the earlier of the route's timeout and the caller's deadline.
    pub(crate) end_by: Time,
    /// When its caller gives up.
    pub(crate) caller_deadline: Time,
    /// Whether the caller said when it gives up.
    pub(crate) states_deadline: bool,
    pub(crate) prompt: Prompt,
    pub(crate) stage: Stage,
    /// The number of attempts that were started.
    pub(crate) attempts: u32,
    /// The number of attempts that may have run it.
    pub(crate) possible_runs: u32,
    /// The number of servers that said that they did not run it.
    pub(crate) rejections: u32,
    /// Servers that have been tried, which are not tried again.
    pub(crate) tried: Vec<ServerKey>,
    /// When the first byte of a response came.
    pub(crate) first_byte_at: Option<Time>,
    /// Whether it is sent although one of its parts is held back.
    pub(crate) is_trial: bool,
    /// Whether a retry of the budget is reserved for it that has not been sent yet.
    pub(crate) has_reserved_retry: bool,
    /// Whether a response that reports a server error is held back, to be delivered if no retry
    /// succeeds.
    pub(crate) holds_server_error: bool,
    /// Whether the caller has got a part of a response. No other response may follow it.
    pub(crate) has_partial_response: bool,
    /// The software version that began its stream, at whose servers alone it may run; `None` before the
    /// first event, unless the caller takes a stream up.
    pub(crate) software: Option<SoftwareTag>,
    /// Whether the stream may have begun at another version than `software`, so that no server can go on
    /// with it.
    pub(crate) is_origin_in_doubt: bool,
}

/// A request is not retried when less than this is left until its end: a round trip and the
/// response of a fast server take about as long.
pub(crate) const MIN_REMAINING: Duration = Duration::from_millis(40);

/// A stream counts as live if its prompt has at most this many tokens for each token of the
/// response. Up to this ratio the loss from a crash outweighs the cost of a KV cache copy.
const MAX_LIVE_PROMPT_RATIO: u32 = 6;

/// Tokens of a prompt that are counted at most: callers state the number, and a wrong one must not
/// change what the whole fleet does. Long prompts have some ten thousand.
const MAX_COUNTED_TOKENS: f64 = 100_000.0;

/// The stage of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// It takes up a stream whose software version is not known yet.
    Searching(OriginSearch),
    /// It waits in the queue for a server.
    Waiting(QueueEntry),
    /// An attempt was started and has not ended.
    Running(RunningAttempt),
    /// An attempt broke off midway, and its run has to end before the request goes on.
    Ending(EndingRun),
    /// Neither: a step of the reducer is deciding what follows.
    Idle,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) server: ServerKey,
    pub(crate) server_id: ServerId,
    /// The rank with which it was sent.
    pub(crate) rank: Rank,
    /// The incarnation of the server that was chosen.
    pub(crate) incarnation: u64,
    /// The software version of that server.
    pub(crate) software: SoftwareTag,
    /// When the server was chosen.
    pub(crate) started_at: Time,
    /// When its first byte was sent to the server; `None` before.
    pub(crate) sent_at: Option<Time>,
    /// When the first byte of its response came; `None` before.
    pub(crate) begun_at: Option<Time>,
    /// Whether its response ended only with the connection of the server.
    pub(crate) has_closed: bool,
    /// When the attempt ends unless its response has begun or [`crate::Event::FirstByteDue`] extends
    /// the time; `None` if it is not retried.
    pub(crate) leave_by: Option<Time>,
    /// The expected time to first byte.
    pub(crate) expected: Duration,
    /// Prompt tokens that the server still has to read for it.
    pub(crate) prefill_tokens: u32,
    /// Prompt tokens that the server was expected to read before it responds, those of other requests
    /// included.
    pub(crate) tokens_ahead: f64,
    /// Tokens that it holds in the server's memory when it ends.
    pub(crate) held_tokens: u32,
    /// The pool in which it counts as a live stream; `None` if it is not one.
    pub(crate) live_pool: Option<PoolId>,
    /// The engine that gets a copy of its KV cache.
    pub(crate) backup: Option<ServerKey>,
}

impl RunningAttempt {
    /// Returns what it adds to the load of its server.
    pub(crate) fn load(&self) -> TotalLoad {
        TotalLoad {
            attempts: 1,
            prefill_tokens: self.prefill_tokens.into(),
            held_tokens: self.held_tokens.into(),
        }
    }
}

impl Request {
    pub(crate) fn rank(&self) -> Rank {
        self.routed.rank()
    }

    /// Returns whether this is a live stream: the caller follows a long response to a short prompt
    /// as it comes. Prefill of long prompts at the same engine interrupts it.
    pub(crate) fn is_live_stream(&self) -> bool {
        self.routed.route.is_stream
            && self.prompt.tokens <= self.prompt.max_output.saturating_mul(MAX_LIVE_PROMPT_RATIO)
    }

    /// Returns how many tokens of the prompt the engine is expected to read: the request's own part,
    /// and what is not cached of the shared ones.
    pub(crate) fn tokens_to_read(&self) -> f64 {
        let own = f64::from(self.prompt.own_tokens());
        let shared = f64::from(self.prompt.tokens) - own;
        // Live streams do not go to the engines that have their prefix.
        let uncached = if self.is_live_stream() { 1.0 } else { FIRST_CHOICE_UNCACHED };
        (own + shared * uncached).min(MAX_COUNTED_TOKENS)
    }

    /// Returns whether a copy of the KV cache is kept at a second engine: the stream must not be
    /// repeated, and its KV cache is small relative to the tokens that a crash would lose.
    pub(crate) fn is_backed_up(&self) -> bool {
        self.is_live_stream() && self.routed.route.repeat == Repeat::Never
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.routed.route.repeat != Repeat::Never
    }

    /// Returns whether a caller that has a part of its stream may take it up again.
    pub(crate) fn is_resumable(&self) -> bool {
        self.routed.route.repeat == Repeat::Resume
    }

    /// Returns whether the route and the remaining time allow one more run after `runs` runs. The
    /// retry budget is not considered.
    pub(crate) fn may_run_again(&self, now: Time, runs: u32) -> bool {
        self.is_repeatable()
            && runs < self.routed.route.max_attempts
            && now + MIN_REMAINING < self.end_by
    }

    /// Returns whether the server error that is held back may go to the caller.
    pub(crate) fn can_deliver_error(&self) -> bool {
        self.holds_server_error && !self.has_partial_response
    }

    /// Returns a refusal that tells the caller whether the request may have run.
    pub(crate) fn refusal(&self, reason: Reason) -> Refusal {
        if self.possible_runs == 0 { Refusal::not_run(reason) } else { Refusal::unknown(reason) }
    }
}
