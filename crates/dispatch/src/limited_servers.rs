//! Servers in need, which name in their responses how many requests they take a second from all instances
//! together, for as long as they say so.
//!
//! Each instance keeps its part of the limit, which adds up whatever the others do: see [`crate::Share`].
//! Where there are more instances than requests in a window, a hash of the server names those that may send
//! to it. The others learn from them whether the limit goes on or is over.

use std::sync::Arc;

use gossip::LimitNotice;
use model::prelude::*;
use rand::seq::IteratorRandom as _;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    LimitedServer, LogEntry, RequestKey, RequestRate, RequestWindow, Server, request::Stage,
    server_limit::ServerLimit, server_notices::incarnation_tag, state::State,
};

/// A rate that differs from the known one by a smaller share is not logged.
const MIN_LOGGED_CHANGE: f64 = 0.1;
/// For how long other instances are told what a server told this one. A limit of which this instance was
/// told only by others holds as long, so a false report keeps no requests from a server for longer.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Limits in a report.
const MAX_REPORTED: usize = 16;
/// Another instance's word that a limit is over counts only if the server named it at least this much
/// before: packets take some time.
const REPORT_MARGIN: Duration = Duration::from_secs(1);
/// An instance that may send nothing to a server cannot learn from it that its limit is over. It takes
/// it to be if nobody was told of it for this time, and up to as much more, different at each instance.
const FORGET_TIME: Duration = Duration::from_secs(60);
/// Reports tell rates in thousandths.
const REPORTED_UNITS: f64 = 1_000.0;

impl State {
    /// Handles what a response of the server of a running attempt says of its limit: `None` if it names
    /// none.
    pub(crate) fn server_named_limit(
        &mut self,
        now: Time,
        key: RequestKey,
        rate: Option<RequestRate>,
    ) {
        let Some(Stage::Running(running)) = self.requests.get(key).map(|req| req.stage) else {
            return;
        };
        let Some(server) = self.servers.get(running.server) else { return };
        let (id, incarnation) = (server.id, running.incarnation);
        if let Some(rate) = rate {
            self.set_limit(now, id, incarnation, rate);
            if let Some(limit) = self.server_limits.get_mut(id, incarnation) {
                limit.is_direct = true;
                limit.told_at = now;
            }
            return;
        }
        let Some(limit) = self.server_limits.get(id, incarnation) else { return };
        // A response to a request that was sent before the limit was named says nothing of it.
        if running.sent_at.is_some_and(|at| at > limit.told_at) {
            self.server_limits.end(now, id, incarnation);
            self.log_limit(id, None);
            self.dispatch_all(now);
        }
    }

    /// Returns whether the limit that a server named, if any, leaves room for a request of this instance
    /// beside `decided` ones that have not been sent yet.
    pub(crate) fn is_within_limit(&self, now: Time, server: &Server, decided: u32) -> bool {
        let limit = self.server_limits.get(server.id, server.entry.incarnation);
        limit.is_none_or(|limit| {
            limit.sent.count(now).saturating_add(decided) < self.limit_share(now, server.id, limit)
        })
    }

    /// Returns whether a server has named a limit. Such servers are spared what is not a request: copies
    /// of KV caches, and fetches from them.
    pub(crate) fn has_limit(&self, server: &Server) -> bool {
        self.server_limits.get(server.id, server.entry.incarnation).is_some()
    }

    /// Counts a request that is sent to a server, if it has named a limit.
    pub(crate) fn count_limited(&mut self, now: Time, server: ServerId, incarnation: u64) {
        if let Some(limit) = self.server_limits.get_mut(server, incarnation) {
            limit.sent.record(now);
        }
    }

    /// Returns the listed servers that have named a limit.
    pub fn limited_servers(&self, now: Time) -> Vec<LimitedServer> {
        let limited = self.server_limits.iter().filter_map(|(id, limit)| {
            let server = self.servers.get(self.servers.by_id(id)?)?;
            (server.entry.incarnation == limit.incarnation).then(|| LimitedServer {
                name: Arc::clone(&server.entry.name),
                rate: limit.rate,
                share: self.limit_share(now, id, limit),
                sent: limit.sent.count(now),
                named_at: limit.named_at,
                is_direct: limit.is_direct,
            })
        });
        limited.collect()
    }

    /// Returns what servers told this instance lately of their limits; others in each report if there are
    /// more than one takes.
    pub(crate) fn limit_report(&mut self, now: Time) -> Vec<LimitNotice> {
        let since = now - REPORT_TIME;
        let notice = |id, incarnation, rate: Option<RequestRate>, at| LimitNotice {
            server: incarnation_tag(id, incarnation),
            millis_per_second: rate.map(|it| (it.per_second() * REPORTED_UNITS).ceil() as u32),
            age_ms: u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX),
        };
        let direct = self.server_limits.iter().filter(|it| it.1.is_direct && it.1.told_at >= since);
        let direct = direct.map(|(id, it)| notice(id, it.incarnation, Some(it.rate), it.told_at));
        let ended = self.server_limits.ended_since(since);
        let ended = ended.map(|(id, it)| notice(id, it.incarnation, None, it.at));
        direct.chain(ended).sample(&mut self.rng, MAX_REPORTED)
    }

    /// Handles what servers told another instance of their limits.
    pub(crate) fn heed_limit_report(&mut self, now: Time, notices: &[LimitNotice]) {
        let mut heard = Vec::new();
        for (_, server) in self.servers.iter() {
            let incarnation = server.entry.incarnation;
            let tag = incarnation_tag(server.id, incarnation);
            let notice = notices.iter().find(|notice| notice.server == tag);
            heard.extend(notice.map(|notice| (server.id, incarnation, *notice)));
        }
        for (id, incarnation, notice) in heard {
            let at = now - Duration::from_millis(notice.age_ms.into());
            match notice.millis_per_second {
                Some(units) => {
                    let is_over = self.server_limits.ended_at(id, incarnation) >= Some(at);
                    let rate = RequestRate::new(f64::from(units) / REPORTED_UNITS);
                    if let Some(rate) = rate.filter(|_| !is_over) {
                        self.set_limit(at, id, incarnation, rate);
                    }
                }
                None => {
                    let limit = self.server_limits.get(id, incarnation);
                    if limit.is_some_and(|limit| at >= limit.named_at + REPORT_MARGIN) {
                        self.server_limits.remove(id);
                        self.log_limit(id, None);
                    }
                }
            }
        }
    }

    /// Forgets the limits of which this instance cannot learn whether they are over, and nobody was told
    /// for some time.
    pub(crate) fn forget_limits(&mut self, now: Time) {
        let mut forgotten = Vec::new();
        for (id, limit) in self.server_limits.iter() {
            let silence = now.since(limit.named_at);
            let is_over = match limit.is_direct {
                false => silence >= REPORT_TIME,
                true if self.limit_share(now, id, limit) > 0 => false,
                true => silence >= self.forget_time(id),
            };
            if is_over {
                forgotten.push(id);
            }
        }
        for id in forgotten {
            self.server_limits.remove(id);
            self.log_limit(id, None);
        }
        self.server_limits.forget_ended(now - REPORT_TIME);
    }

    fn forget_time(&self, server: ServerId) -> Duration {
        let hash = xxh3_64_with_seed(&server.0.to_be_bytes(), self.setup.seed);
        FORGET_TIME + FORGET_TIME.mul_f64(hash as f64 / u64::MAX as f64)
    }

    /// Returns how many requests this instance may send to a server in each window.
    fn limit_share(&self, now: Time, server: ServerId, limit: &ServerLimit) -> u32 {
        let bounds = &self.setup.bounds;
        let allowed = limit.rate.over(bounds.limit_window) * bounds.limit_factor;
        let allowed = (allowed + bounds.limit_extra).floor() as u32;
        self.share.whole_units_over(now, bounds.limit_window, allowed, server)
    }

    /// Records that a server named a limit at some time.
    fn set_limit(&mut self, at: Time, id: ServerId, incarnation: u64, rate: RequestRate) {
        let window = self.setup.bounds.limit_window;
        let known = self.server_limits.get_mut(id, incarnation);
        let is_news = known.as_ref().is_none_or(|limit| is_other_rate(limit.rate, rate));
        match known {
            Some(limit) if limit.named_at > at => return,
            Some(limit) => {
                limit.named_at = at;
                limit.rate = rate;
            }
            None => {
                let sent = RequestWindow::new(window);
                let (told_at, named_at) = (at, at);
                let is_direct = false;
                let limit = ServerLimit { incarnation, rate, is_direct, told_at, named_at, sent };
                self.server_limits.insert(id, limit);
            }
        }
        if is_news {
            self.log_limit(id, Some(rate));
        }
    }

    /// Logs that a server names a limit from now on, or none any more.
    fn log_limit(&mut self, id: ServerId, rate: Option<RequestRate>) {
        let server = self.servers.by_id(id).and_then(|key| self.servers.get(key));
        let Some(server) = server else { return };
        let (server, incarnation) = (Arc::clone(&server.entry.name), server.entry.incarnation);
        self.log(match rate {
            Some(rate) => LogEntry::ServerLimited { server, incarnation, rate },
            None => LogEntry::ServerUnlimited { server, incarnation },
        });
    }
}

fn is_other_rate(known: RequestRate, rate: RequestRate) -> bool {
    let (known, rate) = (known.per_second(), rate.per_second());
    (known - rate).abs() > MIN_LOGGED_CHANGE * known
}
