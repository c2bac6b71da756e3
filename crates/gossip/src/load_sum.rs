//! Sums of the loads that members put on backend servers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AccountUse, PoolUse, RankTag, ServerTag, TotalLoad};

/// Prompt tokens to be read in a unit of [`RankSum::unread`].
const UNREAD_UNIT: u64 = 64;
/// Tokens in a unit of [`RankSum::held`].
const HELD_UNIT: u64 = 256;
/// Tokens in a unit of [`SpeedEvidence::tokens`].
const SPEED_TOKENS_UNIT: f64 = 256.0;
/// Milliseconds in a unit of [`SpeedEvidence::time`].
const SPEED_TIME_UNIT_MS: f64 = 8.0;
/// Attempts that a member is taken to run at a server at most. More is an error of the sender.
const MAX_MEMBER_ATTEMPTS: u32 = 1_024;
/// Units of tokens that an attempt is taken to have at most.
const MAX_ATTEMPT_UNITS: u32 = 4_096;
/// Accounts in a sum, those with the most tokens.
const MAX_ACCOUNTS: usize = 32;
/// Pools in a sum.
const MAX_POOLS: usize = 16;

/// How many prompt tokens a backend server read in how much time, as attempts showed lately. The
/// order of the fields is the message format.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct SpeedEvidence {
    tokens: u32,
    time: u32,
}

impl SpeedEvidence {
    /// Creates evidence from the number of tokens and the time in milliseconds.
    pub fn new(tokens: f64, millis: f64) -> Self {
        Self {
            tokens: (tokens / SPEED_TOKENS_UNIT).round() as u32,
            time: (millis / SPEED_TIME_UNIT_MS).round() as u32,
        }
    }

    /// Returns the number of tokens.
    pub fn tokens(self) -> f64 {
        f64::from(self.tokens) * SPEED_TOKENS_UNIT
    }

    /// Returns the time in milliseconds.
    pub fn millis(self) -> f64 {
        f64::from(self.time) * SPEED_TIME_UNIT_MS
    }

    /// Returns the evidence of both together.
    pub fn and(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_add(other.tokens),
            time: self.time.saturating_add(other.time),
        }
    }
}

/// The load of one rank at a server. The order of the fields is the message format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RankSum {
    rank: RankTag,
    attempts: u32,
    unread: u32,
    held: u32,
}

impl RankSum {
    fn new(rank: RankTag, load: TotalLoad) -> Self {
        let units = |tokens: u64, unit: u64| {
            u32::try_from(tokens.saturating_add(unit / 2) / unit).unwrap_or(u32::MAX)
        };
        Self {
            rank,
            attempts: load.attempts,
            unread: units(load.prefill_tokens, UNREAD_UNIT),
            held: units(load.held_tokens, HELD_UNIT),
        }
    }

    pub(crate) fn rank(self) -> RankTag {
        self.rank
    }

    pub(crate) fn load(self) -> TotalLoad {
        TotalLoad {
            attempts: self.attempts,
            prefill_tokens: u64::from(self.unread) * UNREAD_UNIT,
            held_tokens: u64::from(self.held) * HELD_UNIT,
        }
    }

    fn add(&mut self, other: Self) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.unread = self.unread.saturating_add(other.unread);
        self.held = self.held.saturating_add(other.held);
    }

    /// Returns what is left without a part of the load.
    pub(crate) fn without(self, part: Self) -> Self {
        Self {
            rank: self.rank,
            attempts: self.attempts.saturating_sub(part.attempts),
            unread: self.unread.saturating_sub(part.unread),
            held: self.held.saturating_sub(part.held),
        }
    }
}

/// What some members put on a server, and what they know of its speed. The order of the fields is
/// the message format.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServerSum {
    /// The tag of the server, which another server may share.
    pub server: ServerTag,
    /// The loads, by rank.
    pub ranks: Vec<RankSum>,
    /// What is known of its speed.
    pub speed: SpeedEvidence,
}

impl ServerSum {
    /// Creates the load of one member.
    pub fn new(
        server: ServerTag,
        loads: impl Iterator<Item = (RankTag, TotalLoad)>,
        speed: SpeedEvidence,
    ) -> Self {
        Self { server, ranks: loads.map(|it| RankSum::new(it.0, it.1)).collect(), speed }
    }

    /// Returns the sum with no more than what this many members can send to a server.
    pub(crate) fn limited(mut self, members: u32) -> Self {
        let most = MAX_MEMBER_ATTEMPTS.saturating_mul(members);
        for rank in &mut self.ranks {
            rank.attempts = rank.attempts.min(most);
            rank.unread = rank.unread.min(most.saturating_mul(MAX_ATTEMPT_UNITS));
            rank.held = rank.held.min(most.saturating_mul(MAX_ATTEMPT_UNITS));
        }
        self
    }

    fn add(&mut self, other: &Self) {
        for rank in &other.ranks {
            match self.ranks.iter_mut().find(|it| it.rank == rank.rank) {
                Some(own) => own.add(*rank),
                None => self.ranks.push(*rank),
            }
        }
        self.speed = self.speed.and(other.speed);
    }
}

/// What some members of the fleet put on backend servers, and what their accounts ask for.
#[derive(Clone, Default, Debug)]
pub struct LoadSum {
    /// How many members are counted.
    pub members: u32,
    pub(crate) servers: BTreeMap<ServerTag, ServerSum>,
    pub(crate) accounts: Vec<AccountUse>,
    pub(crate) pools: Vec<PoolUse>,
}

impl LoadSum {
    /// Creates the sum of one member.
    pub fn of_member(
        servers: impl Iterator<Item = ServerSum>,
        accounts: impl Iterator<Item = AccountUse>,
        pools: impl Iterator<Item = PoolUse>,
    ) -> Self {
        let mut sum = Self { members: 1, ..Self::default() };
        for server in servers {
            sum.add_server(&server);
        }
        sum.add_accounts(accounts);
        sum.add_pools(pools);
        sum
    }

    pub(crate) fn add_pools(&mut self, pools: impl Iterator<Item = PoolUse>) {
        for pool in pools {
            if let Some(own) = self.pools.iter_mut().find(|it| it.pool == pool.pool) {
                own.add(&pool);
            } else if self.pools.len() < MAX_POOLS {
                self.pools.push(pool);
            }
        }
    }

    pub(crate) fn add_server(&mut self, server: &ServerSum) {
        match self.servers.get_mut(&server.server) {
            Some(own) => own.add(server),
            None => {
                self.servers.insert(server.server, server.clone());
            }
        }
    }

    pub(crate) fn add_accounts(&mut self, accounts: impl Iterator<Item = AccountUse>) {
        for account in accounts {
            match self.accounts.iter_mut().find(|it| it.account == account.account) {
                Some(own) => {
                    own.tokens_per_s = own.tokens_per_s.saturating_add(account.tokens_per_s);
                }
                None => self.accounts.push(account),
            }
        }
        self.accounts.sort_by_key(|it| std::cmp::Reverse(it.tokens_per_s));
        self.accounts.truncate(MAX_ACCOUNTS);
    }
}
