//! What client accounts ask for.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies a client account in messages: a hash of its name. Two accounts with the same tag
/// count as one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct AccountTag(pub u32);

impl From<AccountId> for AccountTag {
    fn from(id: AccountId) -> Self {
        Self(id.0 as u32)
    }
}

/// What an account asked for lately, at one or all instances. The order of the fields is the
/// message format.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct AccountUse {
    /// The tag of the account.
    pub account: AccountTag,
    /// Tokens of its requests that arrive in a second, of prompts and responses.
    pub tokens_per_s: u32,
}
