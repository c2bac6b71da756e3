//! How a fake engine behaves.

use std::time::Duration;

/// How a fake engine behaves; can be changed while it runs.
#[derive(Clone, PartialEq, Debug)]
pub struct Knobs {
    /// Output tokens a second of one stream while no more than `slots` requests run.
    pub tokens_per_s: f64,
    /// Time before the first token when the prompt's prefix is not cached.
    pub prefill: Duration,
    /// Requests that run at full speed; with more of them, all slow down in proportion.
    pub slots: usize,
    /// Prompt prefixes that fit into the cache; the one used longest ago goes first.
    pub cache: usize,
    /// Requests that the engine bears at a time in its cold start; with one more it falls over.
    pub cold_limit: usize,
    /// How long a cold start takes.
    pub cold_for: Duration,
    /// Factor by which the engine is slower than it should be.
    pub slow: f64,
    /// How old the reported load is.
    pub report_lag: Duration,
    /// Whether the engine resumes streams.
    pub resumes: bool,
    /// Whether the engine refuses orders with an old fencing number.
    pub fenced: bool,
    /// Output tokens of a request that does not say how many it wants.
    pub default_tokens: u32,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            tokens_per_s: 200.0,
            prefill: Duration::from_millis(20),
            slots: 8,
            cache: 16,
            cold_limit: 2,
            cold_for: Duration::from_secs(2),
            slow: 1.0,
            report_lag: Duration::from_millis(200),
            resumes: false,
            fenced: false,
            default_tokens: 10,
        }
    }
}

impl Knobs {
    /// A plain service that answers after `span` and has no cold start.
    pub fn service(span: Duration) -> Self {
        Self {
            tokens_per_s: f64::INFINITY,
            prefill: span,
            cache: 0,
            cold_for: Duration::ZERO,
            default_tokens: 1,
            ..Self::default()
        }
    }

    /// Sets the speed of one stream, in tokens a second.
    #[must_use]
    pub fn tokens_per_s(mut self, rate: f64) -> Self {
        self.tokens_per_s = rate;
        self
    }

    /// Sets the requests that run at full speed.
    #[must_use]
    pub fn slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the limit and the length of cold starts.
    #[must_use]
    pub fn cold(mut self, limit: usize, span: Duration) -> Self {
        self.cold_limit = limit;
        self.cold_for = span;
        self
    }

    /// Makes the engine resume streams.
    #[must_use]
    pub fn resumes(mut self) -> Self {
        self.resumes = true;
        self
    }

    /// Makes the engine refuse orders with an old fencing number.
    #[must_use]
    pub fn fenced(mut self) -> Self {
        self.fenced = true;
        self
    }
}

/// What goes wrong with one request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// The answer is cut in the middle: a chunk or fewer bytes than the stated length.
    Cut,
    /// A stream ends properly but without its closing event.
    NoDone,
    /// The answer carries another request's id and content.
    Foreign,
    /// The answer starts this late.
    Late(Duration),
    /// The request runs, but the connection is reset before the answer.
    ResetAfterRun,
    /// The engine refuses the request and says that it did not run it.
    NotRun,
    /// The request runs and no byte of an answer ever comes.
    Silent,
}
