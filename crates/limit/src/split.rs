//! Divides an account's rate and burst between the availability zones.

use model::prelude::*;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The limits of a share.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize)]
pub struct ShareSpec {
    /// Tokens a second of this share.
    pub rate: f64,
    /// The most tokens of this share, available and outstanding ones together.
    pub burst: u32,
    /// Tokens a second of all shares of the account together.
    pub account_rate: f64,
}

impl ShareSpec {
    /// Returns the lower of the two values for each limit.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
            account_rate: self.account_rate.min(other.account_rate),
        }
    }
}

/// One of the parts that [`split`] returns.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SharePart {
    /// The account and one of the zones.
    pub share: ShareId,
    /// What this zone may hand out; the parts add up to at most the account's limits.
    pub spec: ShareSpec,
}

/// Divides an account's rate (tokens a second) and burst (tokens) between availability zones.
///
/// The parts of the burst are whole numbers. The remainder goes to the zones that rank first by a
/// hash of account and zone, so that the remainders of many accounts are even over the zones. The
/// rate is divided equally between the zones that have a part of the burst, since a share without
/// burst hands out nothing. The sums never exceed the whole, and the result does not depend on the
/// order of `zones`.
pub fn split(account: AccountId, rate: f64, burst: u32, zones: &[ZoneId]) -> Vec<SharePart> {
    let Ok(count) = u32::try_from(zones.len()) else { return Vec::new() };
    if count == 0 {
        return Vec::new();
    }

    let mut ranked = zones.to_vec();
    ranked.sort_unstable_by_key(|zone| (rank(account, *zone), *zone));
    let rate_part = rate / f64::from(count.min(burst.max(1)));
    let remainder = burst % count;
    let parts = ranked.into_iter().zip(0u32..).map(|(zone, index)| {
        let burst_part = burst / count + u32::from(index < remainder);
        let rate_part = if burst_part == 0 { 0.0 } else { rate_part };
        let spec = ShareSpec { rate: rate_part, burst: burst_part, account_rate: rate };
        SharePart { share: ShareId { account, zone }, spec }
    });
    parts.collect()
}

fn rank(account: AccountId, zone: ZoneId) -> u64 {
    xxh3_64_with_seed(&account.0.to_be_bytes(), zone.0)
}
