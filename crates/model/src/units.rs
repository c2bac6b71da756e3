//! Time, tiers and document versions.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

use serde::Serialize;

/// A point on this process's monotonic clock.
///
/// Other processes have other clocks: messages contain only [`Duration`]s.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize)]
pub struct Time {
    /// Nanoseconds since the clock's origin, which is before the start of the process.
    pub nanos: u64,
}

impl Time {
    /// Returns the point this many milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self { nanos: millis * 1_000_000 }
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.nanos.saturating_sub(earlier.nanos))
    }

    /// Returns the time until `later`, or zero if `later` has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let span = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self { nanos: self.nanos.saturating_add(span) }
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let span = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self { nanos: self.nanos.saturating_sub(span) }
    }
}

impl fmt::Debug for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.nanos / 1_000)
    }
}

/// The tier of a class: 0 is served first.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default, Serialize)]
pub struct Tier(pub u8);

impl Tier {
    /// Returns whether requests of this tier are served before those of `other`.
    pub fn is_above(self, other: Self) -> bool {
        self.0 < other.0
    }
}

/// The version of a published document; a higher one replaces a lower one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default, Serialize)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
