//! Client accounts.

use model::prelude::KeyHash;

/// A client account: its keys, its rate limit and its share of the capacity.
#[derive(Clone, Debug)]
#[must_use]
pub struct Account(config::Account);

impl Account {
    /// Declares an account without a key. [`Self::rate`] and [`Self::burst`] must be set.
    pub fn new(name: impl Into<String>) -> Self {
        Self(config::Account {
            name: name.into(),
            key_hashes: Vec::new(),
            rate: 0.0,
            burst: 0,
            weight: 1,
        })
    }

    /// Adds a key. Only its hash is published.
    pub fn key(self, key: impl AsRef<[u8]>) -> Self {
        self.key_hash(KeyHash::of(key.as_ref()).to_hex())
    }

    /// Adds a key by its SHA-256 hash, 64 hexadecimal digits.
    pub fn key_hash(mut self, hash: impl Into<String>) -> Self {
        self.0.key_hashes.push(hash.into());
        self
    }

    /// Sets the most attempts per second that are sent to backend servers, across the whole fleet.
    pub fn rate(mut self, rate: f64) -> Self {
        self.0.rate = rate;
        self
    }

    /// Sets the most attempts that may be sent at once after a pause, across the whole fleet.
    pub fn burst(mut self, burst: u32) -> Self {
        self.0.burst = burst;
        self
    }

    /// Sets the account's share of the capacity, relative to the weights of the other accounts with
    /// requests of the same tier. The default is 1.
    pub fn weight(mut self, weight: u32) -> Self {
        self.0.weight = weight;
        self
    }

    pub(crate) fn into_config(self) -> config::Account {
        self.0
    }
}
