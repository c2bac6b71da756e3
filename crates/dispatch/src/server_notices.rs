//! What servers say of themselves in responses: that they leave, or want no requests for some time.
//!
//! Each instance acts on what it was told itself. What peers say takes no server out of use: for a short
//! time, other servers that have room are preferred.

use std::sync::Arc;

use gossip::IncarnationTag;
use model::prelude::*;
use rand::RngExt as _;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{LogEntry, RequestKey, ServerKey, request::Stage, state::State};

/// The longest pause. A longer one is taken for an error, which would keep requests from the server.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// An extension of a pause by less is not logged: many rejections arrive for requests that were sent at
/// the same time.
const MIN_LOGGED_EXTENSION: Duration = Duration::from_millis(100);
/// Callers return within this share of the pause after its end, so that they do not come at once.
const RETURN_SPREAD: f64 = 0.5;
/// The longest time over which they return.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(2);

/// For how long other instances are told of a server that leaves. Packets take less to reach them;
/// later the platform lists the server as draining, or they were told by the server.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Servers in a report, up to 5 bytes each.
const MAX_REPORTED: usize = 16;
/// For how long the report of another instance counts, from the first one on. Reports for the same
/// start of a server do not extend it.
const REPORTED_TIME: Duration = Duration::from_secs(2);

impl State {
    /// Takes the server of a running attempt out of use until it starts again, as it leaves.
    pub(crate) fn server_leaves(&mut self, now: Time, key: RequestKey) {
        let Some((server_key, incarnation)) = self.server_of(key) else { return };
        let Some(server) = self.servers.get(server_key) else { return };
        let (id, unsent, name) = (server.id, server.unsent, Arc::clone(&server.entry.name));
        if self.servers.set_leaving(now, id, incarnation) {
            self.log(LogEntry::ServerLeaving { server: name, incarnation, unsent });
            self.refuse_paused(now);
            self.dispatch_all(now);
        }
    }

    /// Takes the server of a running attempt out of use for some time, as it asks for that. A longer
    /// time extends a shorter one.
    pub(crate) fn server_pauses(&mut self, now: Time, key: RequestKey, span: Duration) {
        let Some((server_key, incarnation)) = self.server_of(key) else { return };
        let Some(server) = self.servers.get_mut(server_key) else { return };
        if server.entry.incarnation != incarnation {
            return;
        }
        let span = span.min(MAX_PAUSE);
        let extension = now.until(now + span).saturating_sub(now.until(server.paused_until));
        server.paused_until = server.paused_until.max(now + span);
        if extension >= MIN_LOGGED_EXTENSION {
            let server = Arc::clone(&server.entry.name);
            self.log(LogEntry::ServerPaused { server, incarnation, span });
        }
        self.refuse_paused(now);
    }

    /// Returns the servers that told this instance lately that they leave.
    pub(crate) fn leaving_report(&self, now: Time) -> Vec<IncarnationTag> {
        let leaving = self.servers.leaving_since(now - REPORT_TIME);
        leaving
            .map(|(id, incarnation)| incarnation_tag(id, incarnation))
            .take(MAX_REPORTED)
            .collect()
    }

    /// Prefers other servers for some time to those that leave, as another instance says.
    pub(crate) fn heed_leaving_report(&mut self, now: Time, leaving: &[IncarnationTag]) {
        let mut reported = Vec::new();
        for server in self.servers.iter_mut() {
            let incarnation = server.entry.incarnation;
            let is_known = server.reported_leaving.is_some_and(|it| it.0 == incarnation);
            if !is_known && leaving.contains(&incarnation_tag(server.id, incarnation)) {
                server.reported_leaving = Some((incarnation, now + REPORTED_TIME));
                reported.push((Arc::clone(&server.entry.name), incarnation));
            }
        }
        for (server, incarnation) in reported {
            self.log(LogEntry::ServerReportedLeaving { server, incarnation });
        }
    }

    /// Returns the server of a running attempt and the incarnation that was chosen.
    fn server_of(&self, key: RequestKey) -> Option<(ServerKey, u64)> {
        match self.requests.get(key)?.stage {
            Stage::Running(running) => Some((running.server, running.incarnation)),
            Stage::Waiting(_) | Stage::Ending(_) | Stage::Searching(_) | Stage::Idle => None,
        }
    }

    /// Refuses the waiting requests that no server of their pool will take in time.
    fn refuse_paused(&mut self, now: Time) {
        for key in self.queue.keys() {
            let Some(req) = self.requests.get(key) else { continue };
            let Stage::Waiting(entry) = req.stage else { continue };
            self.refuse_if_paused(now, key, entry.refuse_at);
        }
    }

    /// Refuses a request if all servers that it could still go to have asked for a pause beyond the
    /// time until which it waits. Its caller is told when the first of them takes requests again.
    /// Returns whether it was refused.
    pub(crate) fn refuse_if_paused(&mut self, now: Time, key: RequestKey, by: Time) -> bool {
        let Some(until) = self.paused_until(now, key).filter(|until| *until >= by) else {
            return false;
        };
        let Some(req) = self.requests.get(key) else { return false };
        if req.can_deliver_error() {
            self.deliver(now, key);
            return true;
        }
        let mut refusal = req.refusal(Reason::Capacity);
        if refusal.execution == Execution::NotRun {
            let pause = now.until(until);
            let spread = pause.mul_f64(RETURN_SPREAD).min(MAX_RETURN_SPREAD);
            let spread = spread.mul_f64(self.rng.random_range(0.0..1.0));
            refusal = refusal.retry_after(pause + spread);
        }
        self.refuse(now, key, refusal);
        true
    }

    /// Returns when the first of the servers that a request could still go to takes requests again;
    /// `None` if there is none, or one that has not asked for a pause.
    fn paused_until(&self, now: Time, key: RequestKey) -> Option<Time> {
        let req = self.requests.get(key)?;
        let keys = self.servers.in_pool(req.pool).iter().filter(|it| !req.tried.contains(it));
        let servers = keys.filter_map(|it| self.servers.get(*it));
        let eligible = servers
            .filter(|server| self.servers.is_eligible(server) && self.suits_stream(req, server));
        eligible.map(|server| server.paused_until).min().filter(|until| *until > now)
    }
}

/// Returns the tag of a start of a server, the same at all instances.
pub(crate) fn incarnation_tag(server: ServerId, incarnation: u64) -> IncarnationTag {
    IncarnationTag(xxh3_64_with_seed(&incarnation.to_be_bytes(), server.0) as u32)
}
