//! Shares of client accounts in the engines.

use fair::{Excess, ExcessChange, FairShares, UseMeter};
use gossip::{AccountTag, AccountUse};
use model::prelude::*;

use crate::{LogEntry, request::Request, state::State};

/// Time between updates: the shortest time between two totals of the fleet.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// What accounts ask for at this instance, and which of them are above their share of the fleet's
/// engines.
#[derive(Debug, Default)]
pub(crate) struct AccountShares {
    meter: UseMeter,
    shares: FairShares,
    next_update: Time,
}

impl AccountShares {
    /// Returns what accounts ask for at this instance.
    pub(crate) fn uses(&mut self, now: Time) -> Vec<AccountUse> {
        self.meter.uses(now)
    }
}

impl State {
    /// Counts the tokens for which a request that has arrived asks, if engines serve it.
    pub(crate) fn record_use(&mut self, now: Time, pool: PoolId, req: &Request) {
        let pool = self.catalog.as_ref().and_then(|catalog| catalog.pools.get(&pool));
        let is_for_engines = pool.is_some_and(|pool| pool.engine.is_some());
        let Some(account) = req.routed.account_tag().filter(|_| is_for_engines) else { return };
        let tokens = u64::from(req.prompt.tokens) + u64::from(req.prompt.max_output);
        self.account_shares.meter.record(now, account, tokens);
    }

    /// Returns by how much the account of a request is above its share.
    pub(crate) fn excess(&self, req: &Request) -> Excess {
        let account = req.routed.account_tag();
        account.map(|it| self.account_shares.shares.excess(it)).unwrap_or_default()
    }

    /// Compares what the fleet's accounts ask for with what the engines can read, if it is due. No
    /// account has an excess while the loads of the fleet are not known.
    pub(crate) fn update_account_shares(&mut self, now: Time) {
        if now < self.account_shares.next_update {
            return;
        }
        self.account_shares.next_update = now + UPDATE_INTERVAL;
        let is_known = self.knows_fleet_loads();
        let uses = if is_known { self.fleet_loads.accounts() } else { &[] };
        let capacity = if uses.is_empty() { 0.0 } else { self.engine_tokens_per_s(now) };
        let changes = self.account_shares.shares.update(uses, capacity);
        for change in changes {
            self.log_excess(change);
        }
    }

    /// Returns how many prompt tokens the engines of all pools that can be used read in a second.
    fn engine_tokens_per_s(&self, now: Time) -> f64 {
        let Some(catalog) = &self.catalog else { return 0.0 };
        let engines = catalog.pools.iter().filter(|it| it.1.engine.is_some());
        let keys = engines.flat_map(|it| self.servers.in_pool(*it.0));
        let servers = keys.filter_map(|key| self.servers.get(*key));
        let usable = servers.filter(|it| {
            self.servers.is_eligible(it) && !it.is_paused(now) && !it.health.is_backed_off(now)
        });
        usable.map(|it| self.reading_speed(it) * 1e3).sum()
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
