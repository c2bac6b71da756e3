//! What client accounts ask for.

use model::prelude::*;
use serde::{Deserialize, Serialize};

/// Tokens that a member is taken to get for an account in a second at most. More is an error of the
/// sender.
const MAX_MEMBER_TOKENS_PER_S: u32 = 2_000_000;

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
    /// Prompt tokens of its requests that arrive in a second and that engines have to read.
    pub tokens_per_s: u32,
}

impl AccountUse {
    /// Returns the use with no more than what this many members can get.
    pub(crate) fn limited(self, members: u32) -> Self {
        let most = MAX_MEMBER_TOKENS_PER_S.saturating_mul(members);
        Self { tokens_per_s: self.tokens_per_s.min(most), ..self }
    }

    /// Returns the use multiplied by a factor.
    pub(crate) fn scaled(self, factor: f64) -> Self {
        Self { tokens_per_s: (f64::from(self.tokens_per_s) * factor).round() as u32, ..self }
    }
}
