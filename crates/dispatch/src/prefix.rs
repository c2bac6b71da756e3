//! The shared prefixes that a server has cached.

use std::collections::{HashMap, VecDeque};

use crate::Prompt;

/// The number of prompt parts that a server is assumed to keep: about what its memory holds if each
/// part has some thousand tokens.
const MAX_PARTS: usize = 512;

/// The shared prompt parts that a server probably has cached: those that this instance has sent
/// there lately, least recently used first. What other instances have sent is not known; rendezvous
/// hashing makes them prefer the same servers.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// The number of the last use of each part, by the part's id.
    last_uses: HashMap<u64, u64>,
    /// The ids of parts with the numbers of their uses, in the order of use.
    uses: VecDeque<(u64, u64)>,
    last_number: u64,
}

impl PrefixCache {
    /// Records that the server gets a prompt. The last part, which no other request shares, is not
    /// kept.
    pub fn record(&mut self, prompt: &Prompt) {
        let shared = prompt.parts.len().saturating_sub(1);
        for part in &prompt.parts[..shared] {
            self.last_number += 1;
            self.last_uses.insert(part.id, self.last_number);
            self.uses.push_back((part.id, self.last_number));
        }
        while self.last_uses.len() > MAX_PARTS || self.uses.len() > 4 * MAX_PARTS {
            let Some((id, number)) = self.uses.pop_front() else { return };
            if self.last_uses.get(&id) == Some(&number) {
                self.last_uses.remove(&id);
            }
        }
    }

    /// Returns whether the server probably has a part cached.
    pub fn contains(&self, part: u64) -> bool {
        self.last_uses.contains_key(&part)
    }

    /// Returns how many tokens at the start of a prompt the server probably has cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let shared = prompt.parts.len().saturating_sub(1);
        let cached =
            prompt.parts[..shared].iter().take_while(|part| self.last_uses.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Removes all parts, as after a restart of the server.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
