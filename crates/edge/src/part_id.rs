//! Ids of prompt parts in text.

use std::{fmt, str::FromStr};

/// The id of a prompt part in text: hexadecimal, as callers send it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct PartId(pub(crate) u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
