//! Shares of client accounts in the engines.

use fair::{Excess, ExcessChange, FairShares, UseMeter};
use gossip::{AccountTag, AccountUse, LoadByRank};
use model::prelude::*;

use crate::{Catalog, LogEntry, Pool, Server, request::Request, state::State};

/// Time between updates: the shortest time between two totals of the fleet.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// How long engines are taken to be short after the last sign of it: the time over which uses are
/// averaged, so that a pause between two waits does not end an excess.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

/// What accounts ask for at this instance, and which of them are above their share of the fleet's
/// engines.
#[derive(Debug, Default)]
pub(crate) struct AccountShares {
    meter: UseMeter,
    shares: FairShares,
    next_update: Time,
    /// Until when engines are taken to be short.
    short_until: Time,
}

impl AccountShares {
    /// Returns what accounts ask for at this instance.
    pub(crate) fn uses(&mut self, now: Time) -> Vec<AccountUse> {
        self.meter.uses(now)
    }
}

impl State {
    /// Counts the tokens of a request that has arrived, if engines have to read them and the fleet
    /// adds them up.
    pub(crate) fn record_use(&mut self, now: Time, pool: PoolId, req: &Request) {
        if !self.members.is_large() {
            return;
        }
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&pool));
        let is_for_engines = pool.is_some_and(|pool| pool.engine.is_some());
        let Some(account) = req.routed.account_tag().filter(|_| is_for_engines) else { return };
        self.account_shares.meter.record(now, account, req.tokens_to_read() as u64);
    }

    /// Returns by how much the account of a request is above its share.
    pub(crate) fn excess(&self, req: &Request) -> Excess {
        let account = req.routed.account_tag();
        account.map(|it| self.account_shares.shares.excess(it)).unwrap_or_default()
    }

    /// Compares what the fleet's accounts ask for with what the engines can read, if it is due. No
    /// account has an excess while the loads of the fleet are not known, or engines are not short.
    pub(crate) fn update_account_shares(&mut self, now: Time) {
        let is_short = now < self.account_shares.short_until;
        let is_due = now >= self.account_shares.next_update;
        if !is_due && (is_short || !self.requests_wait_for_engines()) {
            return;
        }
        self.account_shares.next_update = now + UPDATE_INTERVAL;
        let is_known = self.knows_fleet_loads();
        if is_known && (self.requests_wait_for_engines() || self.engines_are_behind(now)) {
            self.account_shares.short_until = now + SHORTAGE_TIME;
        }
        let is_short = is_known && now < self.account_shares.short_until;
        let uses = if is_short { self.fleet_loads.accounts() } else { &[] };
        let capacity = if uses.is_empty() { 0.0 } else { self.engine_tokens_per_s(now) };
        let changes = self.account_shares.shares.update(uses, capacity);
        for change in changes {
            self.log_excess(change);
        }
    }

    /// Returns whether requests for engines wait at this instance.
    fn requests_wait_for_engines(&self) -> bool {
        let Some(catalog) = &self.catalog else { return false };
        engine_pools(catalog).any(|pool| self.queue.has_waiting(pool.0))
    }

    /// Returns whether the engines of a pool have more to read than they can in the least target of
    /// its routes, as the whole fleet has sent it to them.
    fn engines_are_behind(&self, now: Time) -> bool {
        let Some(catalog) = &self.catalog else { return false };
        engine_pools(catalog).any(|(pool, _)| {
            let Some(target) = catalog.least_target(pool) else { return false };
            let (mut unread, mut tokens_per_s) = (0, 0.0);
            for server in self.usable_engines(now, pool) {
                let others = self.others_load(server).map(LoadByRank::total);
                unread += others.unwrap_or_default().prefill_tokens;
                unread += server.load.total().prefill_tokens;
                tokens_per_s += self.reading_speed(server) * 1e3;
            }
            unread as f64 > tokens_per_s * target.as_secs_f64()
        })
    }

    /// Returns how many prompt tokens the engines of all pools that can be used read in a second.
    fn engine_tokens_per_s(&self, now: Time) -> f64 {
        let Some(catalog) = &self.catalog else { return 0.0 };
        let engines = engine_pools(catalog).flat_map(|pool| self.usable_engines(now, pool.0));
        engines.map(|it| self.reading_speed(it) * 1e3).sum()
    }

    fn usable_engines(&self, now: Time, pool: PoolId) -> impl Iterator<Item = &Server> {
        let servers = self.servers.in_pool(pool).iter().filter_map(|key| self.servers.get(*key));
        servers.filter(move |it| {
            self.servers.is_eligible(it) && !it.is_paused(now) && !it.health.is_backed_off(now)
        })
    }

    fn log_excess(&mut self, change: ExcessChange) {
        let shares = &self.account_shares.shares;
        let uses = self.fleet_loads.accounts();
        let used = uses.iter().find(|it| it.account == change.account);
        let entry = LogEntry::AccountExcess {
            account: self.account_name(change.account),
            is_above: !change.excess.is_none(),
            tokens_per_s: used.map_or(0, |it| it.tokens_per_s),
            share: shares.level().map(|level| level as u32),
            accounts: shares.above_count(),
        };
        self.log(entry);
    }

    /// Returns the name of an account, or its tag if the configuration has no such account.
    fn account_name(&self, tag: AccountTag) -> Box<str> {
        let accounts = self.catalog.as_ref().and_then(|catalog| catalog.accounts.as_ref());
        let account = accounts.and_then(|accounts| accounts.by_tag(tag));
        account.map_or_else(|| format!("{:08x}", tag.0).into(), |it| it.name.clone())
    }
}

/// Returns the pools of engines.
fn engine_pools(catalog: &Catalog) -> impl Iterator<Item = (PoolId, &Pool)> {
    catalog.pools.iter().filter(|it| it.1.engine.is_some()).map(|it| (*it.0, it.1))
}
