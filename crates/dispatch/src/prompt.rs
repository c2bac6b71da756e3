//! Prompts of generations and their shared parts.

/// A part of a prompt, which several requests may share.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Part {
    /// Identifies the part: equal parts have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a generation. Requests of plain services have an empty one.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Prompt {
    /// Its length in tokens, all parts included.
    pub tokens: u32,
    /// The largest number of tokens to generate.
    pub max_output: u32,
    /// The parts in order. All but the last form the shared prefix; the last one is the request's
    /// own.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the length in tokens of the part that no other request shares. It is the whole
    /// prompt if no parts are given.
    pub fn own_tokens(&self) -> u32 {
        self.parts.last().map_or(self.tokens, |part| part.tokens.min(self.tokens))
    }

    /// Returns the tokens that a generation adds to the memory of its engine: the request's own part,
    /// the part before it, which few requests share at a time, and the response. Parts that begin
    /// many prompts are in memory anyway.
    pub fn held_tokens(&self) -> u32 {
        let shared = self.last_shared_part().map_or(0, |part| part.tokens);
        self.own_tokens().saturating_add(shared).saturating_add(self.max_output)
    }

    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the last part of the shared prefix; `None` if nothing is shared.
    pub fn last_shared_part(&self) -> Option<Part> {
        let before_last = self.parts.len().checked_sub(2)?;
        self.parts.get(before_last).copied()
    }
}
