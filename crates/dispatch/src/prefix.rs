//! Which prompt parts a server has read.

use std::collections::{HashMap, VecDeque};

use crate::Prompt;

/// Parts that are kept for a server: what its memory holds at some thousand tokens a part.
const MAX_PARTS: usize = 512;

/// The shared prompt parts that this instance has sent to a server, the latest last. What other
/// instances sent is not known; that they choose alike is up to rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    /// The number of the last use of a part.
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    next: u64,
}

impl Prefixes {
    /// Notes that the server reads a prompt.
    pub fn note(&mut self, prompt: &Prompt) {
        let shared = prompt.parts.len().saturating_sub(1);
        for part in &prompt.parts[..shared] {
            self.next += 1;
            self.used.insert(part.id, self.next);
            self.order.push_back((part.id, self.next));
        }
        while self.used.len() > MAX_PARTS || self.order.len() > 4 * MAX_PARTS {
            let Some((id, number)) = self.order.pop_front() else { return };
            if self.used.get(&id) == Some(&number) {
                self.used.remove(&id);
            }
        }
    }

    /// Returns how many tokens at the start of a prompt the server need not read again.
    pub fn cached(&self, prompt: &Prompt) -> u32 {
        let shared = prompt.parts.len().saturating_sub(1);
        let cached = prompt.parts[..shared].iter().take_while(|it| self.used.contains_key(&it.id));
        cached.map(|it| it.tokens).sum()
    }

    /// Forgets everything: the server was restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
