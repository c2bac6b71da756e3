//! What a fake backend server received, for the checks of tests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::ReceivedRequest;

/// A request that a fake backend server received.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// When its last byte was received.
    pub at: Instant,
    /// The incarnation of the server that received it.
    pub incarnation: u64,
    /// Whether the server was cold.
    pub cold: bool,
    /// Requests running at that time, including this one.
    pub running: usize,
    /// The request as it was received, with its headers and body.
    pub request: Arc<ReceivedRequest>,
    /// Output tokens generated so far.
    pub tokens: u32,
    /// How it ended, or that it is still running.
    pub finish: Finish,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
}

impl RecordedRequest {
    /// Returns the request id that the daemon sent; empty if there was none.
    pub fn request_id(&self) -> &str {
        self.request.header("x-request-id").unwrap_or_default()
    }

    /// Returns the body field or query parameter `account`, which tests set to the sending account.
    pub fn account(&self) -> String {
        self.request.mark("account")
    }

    /// Returns the body field or query parameter `nonce`, which identifies a request in tests.
    pub fn nonce(&self) -> String {
        self.request.mark("nonce")
    }

    /// Returns whether the server ran at least a part of the request.
    pub fn ran(&self) -> bool {
        self.finish != Finish::NotRun
    }
}

/// How a request ended at a fake backend server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Finish {
    /// It is still running.
    Running,
    /// The complete response was written.
    Complete,
    /// An injected fault damaged the response.
    Faulty,
    /// The daemon closed the connection before the response was complete.
    Cancelled,
    /// The server rejected it without running it.
    NotRun,
    /// The server crashed or restarted.
    Lost,
}

/// Returns the highest number of arrivals within any window of length `window`. The entries may be
/// in any order.
pub fn peak<'a>(entries: impl IntoIterator<Item = &'a RecordedRequest>, window: Duration) -> usize {
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

/// Returns the highest number of requests that were running when one of the entries arrived.
pub fn peak_running<'a>(entries: impl IntoIterator<Item = &'a RecordedRequest>) -> usize {
    entries.into_iter().map(|entry| entry.running).max().unwrap_or(0)
}

/// Returns by how many requests the arrivals exceed `rate * window + burst` (`rate` per second) in
/// the worst of all windows of every length; zero or less if they never do. The entries may be in
/// any order.
pub fn excess<'a>(
    entries: impl IntoIterator<Item = &'a RecordedRequest>,
    rate: f64,
    burst: u32,
) -> f64 {
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
