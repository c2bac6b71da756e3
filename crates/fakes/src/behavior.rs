//! Behavior and faults of a fake backend server.

use std::time::Duration;

/// How a fake backend server behaves; can be changed while it runs.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineBehavior {
    /// Output tokens per second of one stream while no more than `slots` requests run.
    pub tokens_per_s: f64,
    /// Prefill time, before the first token, of a prompt whose prefix is not cached; a tenth with a
    /// prefix cache hit.
    pub prefill: Duration,
    /// Concurrent requests at full speed; with more, every stream slows down in proportion.
    pub slots: usize,
    /// Prompt prefixes that fit into the cache; the least recently used one is evicted.
    pub cache: usize,
    /// Concurrent requests that the server sustains while cold; one more crashes it.
    pub cold_limit: usize,
    /// How long the server is cold after a start.
    pub cold_for: Duration,
    /// Factor that lengthens prefill and divides the token rate; 1 is normal speed.
    pub slow: f64,
    /// Age of the load that `/load` reports.
    pub report_lag: Duration,
    /// Whether a stream can be resumed from a token index (header `x-resume-from`).
    pub resumes: bool,
    /// Whether orders with an old fencing number are rejected.
    pub fenced: bool,
    /// Output tokens of a request that does not state a number.
    pub default_tokens: u32,
}

impl Default for EngineBehavior {
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

impl EngineBehavior {
    /// A plain service that responds after `span` and has no cold start.
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

    /// Sets the output tokens per second of one stream.
    #[must_use]
    pub fn tokens_per_s(mut self, rate: f64) -> Self {
        self.tokens_per_s = rate;
        self
    }

    /// Sets how many concurrent requests run at full speed.
    #[must_use]
    pub fn slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the concurrency limit and the length of cold starts.
    #[must_use]
    pub fn cold(mut self, limit: usize, span: Duration) -> Self {
        self.cold_limit = limit;
        self.cold_for = span;
        self
    }

    /// Lets streams be resumed.
    #[must_use]
    pub fn resumes(mut self) -> Self {
        self.resumes = true;
        self
    }

    /// Rejects orders with an old fencing number.
    #[must_use]
    pub fn fenced(mut self) -> Self {
        self.fenced = true;
        self
    }
}

/// A fault injected into one request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// The connection closes in the middle of the response: before the last chunk, or short of the
    /// stated content length.
    Cut,
    /// A stream ends correctly as HTTP but lacks its closing event.
    NoDone,
    /// The response carries another request's id and nonce.
    Foreign,
    /// The response starts with this delay.
    Late(Duration),
    /// The request runs, but the connection is reset before the response is complete; for a request
    /// that is not streamed, before its first byte.
    ResetAfterRun,
    /// The server rejects the request and states that it did not run it.
    NotRun,
    /// The request runs and no byte of a response is ever sent.
    Silent,
}
