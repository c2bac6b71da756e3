//! Which accounts ask for more than their fair share.

use std::collections::BTreeMap;

use gossip::{AccountTag, AccountUse};

use crate::{Excess, fair_level};

/// The accounts that ask for more than their max-min fair share of the engines.
#[derive(Debug, Default)]
pub struct FairShares {
    level: Option<f64>,
    /// The accounts with an excess.
    above: BTreeMap<AccountTag, Excess>,
}

/// An account got an excess, or lost it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ExcessChange {
    /// The tag of the account.
    pub account: AccountTag,
    /// Its excess from now on.
    pub excess: Excess,
}

impl FairShares {
    /// Compares what accounts ask for in the whole fleet with what the engines can serve, in tokens
    /// a second, and returns the accounts that got or lost an excess. Without a positive capacity
    /// nothing is known, and no account has an excess.
    pub fn update(&mut self, uses: &[AccountUse], capacity: f64) -> Vec<ExcessChange> {
        self.level = fair_level(uses, capacity);
        let mut above = BTreeMap::new();
        if let Some(level) = self.level {
            for it in uses {
                let factor = f64::from(it.tokens_per_s) / level;
                let excess = self.excess(it.account).updated(factor);
                if !excess.is_none() {
                    above.insert(it.account, excess);
                }
            }
        }
        let former = std::mem::replace(&mut self.above, above);
        let lost = former.keys().filter(|it| !self.above.contains_key(*it));
        let lost = lost.map(|it| ExcessChange { account: *it, excess: Excess::NONE });
        let got = self.above.iter().filter(|it| !former.contains_key(it.0));
        let got = got.map(|it| ExcessChange { account: *it.0, excess: *it.1 });
        lost.chain(got).collect()
    }

    /// Returns the excess of an account; none if nothing is known of the account.
    pub fn excess(&self, account: AccountTag) -> Excess {
        self.above.get(&account).copied().unwrap_or_default()
    }

    /// Returns the share of an account that asks for more, in tokens a second; `None` if there is
    /// enough for all.
    pub fn level(&self) -> Option<f64> {
        self.level
    }

    /// Returns how many accounts have an excess.
    pub fn above_count(&self) -> usize {
        self.above.len()
    }
}
