//! By how much an account is above its share.

/// The factors above the share at which the steps of an excess begin.
const STEPS: [f64; 4] = [1.0, 2.0, 4.0, 8.0];
/// A step is entered at this much more than the factor at which it is left, so that an account
/// near the border does not change its step at every update.
const ENTRY_FACTOR: f64 = 1.25;

/// By how much an account is above its fair share, in a few steps. The least is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
pub struct Excess(u8);

impl Excess {
    /// The excess of an account that does not ask for more than its share.
    pub const NONE: Self = Self(0);

    /// Returns whether the account does not ask for more than its share.
    pub fn is_none(self) -> bool {
        self == Self::NONE
    }

    /// Returns the excess after this one of an account that asks for `factor` times its share.
    pub(crate) fn updated(self, factor: f64) -> Self {
        let steps = |entry: f64| STEPS.iter().filter(|it| factor > **it * entry).count() as u8;
        Self(self.0.clamp(steps(ENTRY_FACTOR), steps(1.0)))
    }
}
