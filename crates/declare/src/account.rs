//! Client accounts.

use model::prelude::KeyHash;

/// A client account.
#[derive(Clone, Debug)]
#[must_use]
pub struct Account(config::Account);

impl Account {
    /// An account without a key; it needs a rate and a burst.
    pub fn new(name: impl Into<String>) -> Self {
        Self(config::Account {
            name: name.into(),
            key_hashes: Vec::new(),
            rate: 0.0,
            burst: 0,
            weight: 1,
        })
    }

    /// Adds a key, of which only the hash is published.
    pub fn key(self, key: impl AsRef<[u8]>) -> Self {
        self.key_hash(KeyHash::of(key.as_ref()).to_hex())
    }

    /// Adds a key by its SHA-256 hash, 64 hexadecimal digits.
    pub fn key_hash(mut self, hash: impl Into<String>) -> Self {
        self.0.key_hashes.push(hash.into());
        self
    }

    /// Sets how many attempts a second are given to backend servers, across the whole fleet.
    pub fn rate(mut self, rate: f64) -> Self {
        self.0.rate = rate;
        self
    }

    /// Sets how many attempts may be given at once after a pause, across the whole fleet.
    pub fn burst(mut self, burst: u32) -> Self {
        self.0.burst = burst;
        self
    }

    /// Sets the weight against the other accounts of a tier, if not 1.
    pub fn weight(mut self, weight: u32) -> Self {
        self.0.weight = weight;
        self
    }

    pub(crate) fn into_config(self) -> config::Account {
        self.0
    }
}
