//! The prompt of a generation.

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Part {
    /// Names the part: equal parts have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a generation. Requests of plain services have an empty one.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: u32,
    /// Tokens to generate at most.
    pub max_output: u32,
    /// The parts in order; the last one is the request's own.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the length of the part that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        self.parts.last().map_or(self.tokens, |it| it.tokens.min(self.tokens))
    }

    /// Returns the last part that other requests share.
    pub fn last_shared(&self) -> Option<Part> {
        let before_last = self.parts.len().checked_sub(2)?;
        self.parts.get(before_last).copied()
    }
}
