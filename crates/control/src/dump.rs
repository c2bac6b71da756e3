//! The dump of the control state.

use model::prelude::*;
use serde_json::{Value, json};

use crate::{
    request::{Request, Stage},
    state::{Phase, State},
};

impl State {
    /// Returns the state as JSON for operators, without API keys.
    pub fn dump(&self, now: Time) -> Value {
        let peers = self.members.others().map(|(id, member)| {
            json!({
                "instance": id,
                "zone": member.zone,
                "address": member.address,
                "leaving": member.leaving,
                "heard_ms_ago": member.heard_at.map(|at| millis(now.since(at))),
            })
        });
        let cells = self.cells.values().map(|cell| cell.dump(now));
        json!({
            "instance": self.setup.name,
            "zone": self.setup.zone_name,
            "incarnation": self.setup.me.incarnation,
            "ready": self.phase == Phase::Serving,
            "phase": format!("{:?}", self.phase),
            "permit": self.members.has_permit(now),
            "config_version": self.catalog.version,
            "config_rejected": self.docs.rejected,
            "config_down": self.docs.config_down,
            "list_version": self.members.list_version(),
            "list_down": self.docs.list_down,
            "peers": peers.collect::<Vec<_>>(),
            "shards": self.owned_shards.active().collect::<Vec<_>>(),
            "shards_waiting": self.owned_shards.waiting(),
            "shares": self.shares.summary(now),
            "cells": cells.collect::<Vec<_>>(),
            "requests": self.request_counts(),
        })
    }

    fn request_counts(&self) -> Value {
        let count = |f: fn(&Request) -> bool| self.requests.values().filter(|req| f(req)).count();
        json!({
            "total": self.requests.len(),
            "claim": count(|req| req.stage == Stage::Claim),
            "token": count(|req| req.stage == Stage::Token),
            "queue": count(|req| req.stage == Stage::Queue),
            "run": count(|req| matches!(req.stage, Stage::Run { .. })),
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
