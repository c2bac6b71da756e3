//! What the requests of this instance asked for lately.

use std::collections::BTreeMap;

use gossip::{AccountTag, AccountUse};
use model::prelude::*;

/// The time in which a request loses all but 1/e of its weight: a burst must count before the
/// requests that wait behind it are refused.
const MEMORY: Duration = Duration::from_secs(2);
/// An account that asks for fewer tokens in a second is forgotten.
const MIN_TOKENS_PER_S: f64 = 1.0;
/// Accounts that are kept at most; beyond that, the one that asks for the least is forgotten.
const MAX_ACCOUNTS: usize = 1_024;
/// Accounts that are told at most, as many as a sum of the fleet holds.
const MAX_TOLD: usize = 32;

/// What the requests that arrive at this instance ask for, by account.
#[derive(Debug, Default)]
pub struct UseMeter {
    accounts: BTreeMap<AccountTag, Average>,
}

/// An exponential moving average.
#[derive(Clone, Copy, Debug)]
struct Average {
    /// The average at `updated_at`.
    tokens_per_s: f64,
    updated_at: Time,
}

impl Average {
    fn at(self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.tokens_per_s * (-age / MEMORY.as_secs_f64()).exp()
    }
}

impl UseMeter {
    /// Records a request of this many tokens, of prompt and response. Each request counts when it
    /// arrives, so the retries of a caller count as well.
    pub fn record(&mut self, now: Time, account: AccountTag, tokens: u64) {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&account) {
            self.make_room(now);
        }
        let former = self.accounts.get(&account).map_or(0.0, |it| it.at(now));
        let tokens_per_s = former + tokens as f64 / MEMORY.as_secs_f64();
        self.accounts.insert(account, Average { tokens_per_s, updated_at: now });
    }

    /// Returns what accounts ask for, the one with the most first, and forgets those that ask for
    /// nothing any more.
    pub fn uses(&mut self, now: Time) -> Vec<AccountUse> {
        self.forget_idle(now);
        let uses = self.accounts.iter().map(|(account, average)| AccountUse {
            account: *account,
            tokens_per_s: average.at(now).round() as u32,
        });
        let mut uses: Vec<_> = uses.collect();
        uses.sort_by_key(|it| std::cmp::Reverse(it.tokens_per_s));
        uses.truncate(MAX_TOLD);
        uses
    }

    fn forget_idle(&mut self, now: Time) {
        self.accounts.retain(|_, it| it.at(now) >= MIN_TOKENS_PER_S);
    }

    fn make_room(&mut self, now: Time) {
        self.forget_idle(now);
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        let least = self.accounts.iter().min_by(|a, b| a.1.at(now).total_cmp(&b.1.at(now)));
        if let Some(account) = least.map(|it| *it.0) {
            self.accounts.remove(&account);
        }
    }
}
