//! Max-min fairness.

use gossip::AccountUse;

/// Returns the max-min fair level of a capacity in tokens a second: accounts that ask for less get
/// what they ask for, and all others get this much each. `None` if there is enough for all, or the
/// capacity is not known, i.e. not positive.
pub fn fair_level(uses: &[AccountUse], capacity: f64) -> Option<f64> {
    if !capacity.is_finite() || capacity <= 0.0 {
        return None;
    }
    let mut uses: Vec<_> = uses.iter().map(|it| f64::from(it.tokens_per_s)).collect();
    uses.sort_unstable_by(f64::total_cmp);
    let mut rest = capacity;
    for (no, tokens_per_s) in uses.iter().enumerate() {
        let level = rest / (uses.len() - no) as f64;
        if *tokens_per_s > level {
            return Some(level);
        }
        rest -= tokens_per_s;
    }
    None
}
