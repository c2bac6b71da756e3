//! What a fake engine received, for proofs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::Received;

/// A request that a fake engine received.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When it was received whole.
    pub at: Instant,
    /// The engine's run.
    pub incarnation: u64,
    /// Whether the engine was cold.
    pub cold: bool,
    /// Requests that ran, this one included.
    pub running: usize,
    /// The request.
    pub request: Arc<Received>,
    /// Tokens generated.
    pub tokens: u32,
    /// How it ended.
    pub finish: Finish,
    /// When it ended; none while it runs.
    pub ended: Option<Instant>,
}

impl Entry {
    /// Returns the request id that the daemon gave.
    pub fn request_id(&self) -> &str {
        self.request.header("x-request-id").unwrap_or_default()
    }

    /// Returns the field or parameter `account`, with which tests mark whose request it is.
    pub fn account(&self) -> String {
        self.request.mark("account")
    }

    /// Returns the field or parameter `nonce`, with which tests mark a request.
    pub fn nonce(&self) -> String {
        self.request.mark("nonce")
    }

    /// Returns whether the engine ran the request, wholly or in part.
    pub fn ran(&self) -> bool {
        self.finish != Finish::NotRun
    }
}

/// How a request ended at a fake engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Finish {
    /// It runs.
    Running,
    /// The whole answer was written.
    Whole,
    /// A fault spoiled the answer.
    Spoiled,
    /// The daemon closed the connection before the end.
    Cancelled,
    /// The engine refused it and did not run it.
    NotRun,
    /// The engine crashed or restarted.
    Lost,
}

/// Returns the most requests that arrived within any window of length `window`; the entries may be
/// in any order.
pub fn peak<'a>(entries: impl IntoIterator<Item = &'a Entry>, window: Duration) -> usize {
    let mut times: Vec<Instant> = entries.into_iter().map(|it| it.at).collect();
    times.sort();
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while *time - times[first] > window {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}

/// Returns the most requests that ran at the same time as one of the entries was received.
pub fn peak_running<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> usize {
    entries.into_iter().map(|it| it.running).max().unwrap_or(0)
}

/// Returns by how much the arrivals pass `rate * window + burst` in the worst of all windows of
/// every length; zero or less if they never do. The entries may be in any order.
pub fn excess<'a>(entries: impl IntoIterator<Item = &'a Entry>, rate: f64, burst: u32) -> f64 {
    let mut times: Vec<Instant> = entries.into_iter().map(|it| it.at).collect();
    times.sort();
    let Some(&start) = times.first() else { return -f64::from(burst) };
    let mut lowest = f64::INFINITY;
    let mut worst = f64::NEG_INFINITY;
    for (before, time) in times.iter().enumerate() {
        let refill = rate * (*time - start).as_secs_f64();
        lowest = lowest.min(before as f64 - refill);
        worst = worst.max((before + 1) as f64 - refill - lowest);
    }
    worst - f64::from(burst)
}
