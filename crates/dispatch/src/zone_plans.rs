//! How many live streams to each pool of engines leave their availability zone.

use std::collections::{BTreeMap, HashMap};

use gossip::LoadByRank;
use model::prelude::*;
use zones::{Crossing, PlanContext, ZoneLoad, ZonePlan};

use crate::{Catalog, LogEntry, Pool, Server, state::State};

/// Time between updates: the shortest time between two totals of the fleet.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// The share of the least target of a pool's routes that callers tolerate as a difference of waits
/// between zones.
const MARGIN_TARGET_SHARE: f64 = 0.2;
/// A change of the share that leaves is logged if it is as large as this, or the first or last one.
const LOGGED_CHANGE: f64 = 0.2;

/// The plans of the pools whose engines are in more than one zone; none while the loads of the fleet
/// are not known.
#[derive(Debug, Default)]
pub(crate) struct ZonePlans {
    plans: HashMap<PoolId, LoggedPlan>,
    next_update: Time,
}

#[derive(Debug)]
struct LoggedPlan {
    plan: ZonePlan,
    /// The share that leaves, as it was logged last.
    logged: f64,
}

impl ZonePlans {
    pub(crate) fn get(&self, pool: PoolId) -> Option<&ZonePlan> {
        self.plans.get(&pool).map(|it| &it.plan)
    }
}

impl LoggedPlan {
    /// Returns the share that leaves, if it has to be logged.
    fn share_to_log(&mut self) -> Option<f64> {
        let share = self.plan.leaving_share();
        let is_first_or_last = (share > 0.0) != (self.logged > 0.0);
        let is_logged = is_first_or_last || (share - self.logged).abs() >= LOGGED_CHANGE;
        is_logged.then(|| {
            self.logged = share;
            share
        })
    }
}

impl State {
    /// Updates the plans by the loads of the fleet, if it is due.
    pub(crate) fn update_zone_plans(&mut self, now: Time) {
        if now < self.zone_plans.next_update {
            return;
        }
        self.zone_plans.next_update = now + UPDATE_INTERVAL;
        let Some(catalog) = self.catalog.clone() else { return };
        let mut former = std::mem::take(&mut self.zone_plans.plans);
        if let Some(crossing) = self.setup.crossing.filter(|_| self.knows_fleet_loads()) {
            for (id, _) in catalog.pools.iter().filter(|it| it.1.engine.is_some()) {
                let plan = former.remove(id);
                self.update_zone_plan(now, &catalog, crossing, *id, plan);
            }
        }
        for (id, plan) in former {
            self.log_dropped_plan(&catalog, id, &plan);
        }
    }

    fn update_zone_plan(
        &mut self,
        now: Time,
        catalog: &Catalog,
        crossing: Crossing,
        id: PoolId,
        former: Option<LoggedPlan>,
    ) {
        let Some(pool) = catalog.pools.get(&id) else { return };
        let loads = self.zone_loads(now, id, pool);
        let target = catalog.least_target(id).filter(|_| loads.len() > 1);
        let Some(target) = target else {
            former.iter().for_each(|plan| self.log_dropped_plan(catalog, id, plan));
            return;
        };
        let cx =
            PlanContext { margin: target.mul_f64(MARGIN_TARGET_SHARE), crossing: crossing.cost(0) };
        let new = || LoggedPlan { plan: ZonePlan::new(self.setup.zone), logged: 0.0 };
        let mut plan = former.unwrap_or_else(new);
        plan.plan.update(now, &loads, &cx);
        if let Some(share) = plan.share_to_log() {
            let pool = pool.name.clone();
            self.log(LogEntry::LeavingShare { pool, share });
        }
        self.zone_plans.plans.insert(id, plan);
    }

    /// Returns the loads of the engines for live streams in all zones that have engines of the pool.
    fn zone_loads(&self, now: Time, id: PoolId, pool: &Pool) -> Vec<ZoneLoad> {
        let live_engines = self.live_engines(id, pool);
        let slots = pool.engine.map_or(0, |engine| engine.slots);
        let mut zones = BTreeMap::new();
        let servers = self.servers.in_pool(id).iter().filter_map(|key| self.servers.get(*key));
        for server in servers {
            let zone = server.entry.zone;
            let sum = zones.entry(zone).or_insert_with(|| ZoneLoad::without_engines(zone));
            if live_engines.contains(server) && self.may_send(now, server, pool) {
                sum.slots = sum.slots.saturating_add(server.entry.slots.max(slots));
                self.add_load(server, sum);
            }
        }
        zones.into_values().collect()
    }

    /// Adds the load that this and all other instances put on an engine to that of its zone.
    fn add_load(&self, server: &Server, sum: &mut ZoneLoad) {
        let own = server.load.total();
        let others = self.others_load(server).map(LoadByRank::total).unwrap_or_default();
        sum.tokens_per_ms += self.reading_speed(server);
        sum.unread_tokens += own.prefill_tokens as f64 + others.prefill_tokens as f64;
        sum.attempts = sum.attempts.saturating_add(own.attempts).saturating_add(others.attempts);
    }

    /// Logs that no share leaves any more, as there is no plan.
    fn log_dropped_plan(&mut self, catalog: &Catalog, id: PoolId, plan: &LoggedPlan) {
        let Some(pool) = catalog.pools.get(&id).filter(|_| plan.logged > 0.0) else { return };
        let pool = pool.name.clone();
        self.log(LogEntry::LeavingShare { pool, share: 0.0 });
    }
}
