//! Limits that servers in need name in their responses.

use std::sync::Arc;

use model::prelude::*;

use crate::{
    LogEntry, RequestKey, RequestRate, request::Stage, server_limit::ServerLimit, state::State,
};

/// A rate that differs from the one logged last by a smaller share is not logged.
const MIN_LOGGED_CHANGE: f64 = 0.1;

impl State {
    /// Records what a response of the server of a running attempt says of its limit: `None` if it names
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
        let (id, name) = (server.id, Arc::clone(&server.entry.name));
        let incarnation = running.incarnation;
        let known = self.servers.limit(id, incarnation);
        match (known, rate) {
            (None, None) => {}
            (Some(limit), None) => {
                // A response to a request that was sent before the limit was named says nothing of it.
                if running.sent_at.is_some_and(|at| at > limit.named_at) {
                    self.servers.remove_limit(id);
                    self.log(LogEntry::ServerUnlimited { server: name, incarnation });
                }
            }
            (known, Some(rate)) => {
                let is_news = known.is_none_or(|limit| is_other_rate(limit.rate, rate));
                self.servers.set_limit(id, ServerLimit { incarnation, rate, named_at: now });
                if is_news {
                    self.log(LogEntry::ServerLimited { server: name, incarnation, rate });
                }
            }
        }
    }
}

fn is_other_rate(logged: RequestRate, rate: RequestRate) -> bool {
    let (logged, rate) = (logged.per_second(), rate.per_second());
    (logged - rate).abs() > MIN_LOGGED_CHANGE * logged
}
