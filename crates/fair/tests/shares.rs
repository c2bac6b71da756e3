//! Shares of accounts and excess over them, from what the whole fleet asks for.

use fair::{Excess, FairShares, fair_level};
use gossip::{AccountTag, AccountUse};

/// Accounts of the seeded properties are drawn this often.
const SEEDS: u64 = 2_000;

/// Returns uses of accounts that are numbered from 0.
fn uses(tokens_per_s: &[u32]) -> Vec<AccountUse> {
    let account = |no: usize| AccountTag(u32::try_from(no).unwrap_or_default());
    let uses = tokens_per_s.iter().enumerate();
    uses.map(|(no, it)| AccountUse { account: account(no), tokens_per_s: *it }).collect()
}

/// Returns the tags of the accounts among `uses` that have an excess.
fn above(shares: &FairShares, uses: &[AccountUse]) -> Vec<u32> {
    let above = uses.iter().filter(|it| !shares.excess(it.account).is_none());
    above.map(|it| it.account.0).collect()
}

#[test]
fn level_is_what_is_left_after_smaller_accounts_by_account() {
    // 100 and 200 fit, and 700 are left for two.
    assert_eq!(fair_level(&uses(&[500, 100, 900, 200]), 1_000.0), Some(350.0));
    // The first share of 250 leaves more for the others.
    assert_eq!(fair_level(&uses(&[240, 260, 300, 400]), 1_000.0), Some(253.0 + 1.0 / 3.0));
    assert_eq!(fair_level(&uses(&[5_000]), 1_000.0), Some(1_000.0));
    assert_eq!(fair_level(&uses(&[400, 400, 400, 400]), 1_000.0), Some(250.0));
}

#[test]
fn there_is_no_level_if_all_fit_or_the_capacity_is_not_known() {
    assert_eq!(fair_level(&uses(&[500, 100, 400]), 1_000.0), None);
    assert_eq!(fair_level(&[], 1_000.0), None);
    for unknown in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(fair_level(&uses(&[500]), unknown), None);
    }
}

/// The load pattern that shares answer: one account sends nine times its usual while engines are
/// short.
#[test]
fn an_account_at_nine_times_its_usual_gets_what_the_others_leave() {
    let mut usual = vec![1_000; 20];
    usual.extend([10_000, 12_000, 9_000, 8_000]);
    let capacity = 100_000.0;
    let mut shares = FairShares::default();
    assert!(shares.update(&uses(&usual), capacity).is_empty());
    let mut sent = usual.clone();
    sent[23] = 9 * usual[23];
    let sent = uses(&sent);

    let changes = shares.update(&sent, capacity);

    let others: u32 = usual[..23].iter().sum();
    assert_eq!(shares.level(), Some(capacity - f64::from(others)));
    assert_eq!(above(&shares, &sent), [23]);
    assert_eq!(changes.len(), 1);
}

#[test]
fn an_account_further_above_its_share_has_a_greater_excess() {
    let sent = uses(&[1_000, 2_000, 4_000, 8_000, 16_000]);
    let mut shares = FairShares::default();

    shares.update(&sent, 5_000.0);

    let excess: Vec<_> = sent.iter().map(|it| shares.excess(it.account)).collect();
    assert!(excess.is_sorted(), "{excess:?}");
    assert_eq!(excess.first(), Some(&Excess::NONE));
    assert!(excess[1] < excess[4], "{excess:?}");
}

#[test]
fn no_account_has_an_excess_while_there_is_room() {
    let sent = uses(&[90_000, 100, 100]);
    let mut shares = FairShares::default();

    shares.update(&sent, 100_000.0);

    assert!(above(&shares, &sent).is_empty());
    assert_eq!(shares.level(), None);
}

#[test]
fn accounts_that_are_not_listed_have_no_excess() {
    let mut shares = FairShares::default();

    shares.update(&uses(&[90_000, 80_000]), 1_000.0);

    assert!(shares.excess(AccountTag(77)).is_none());
}

/// An instance that tells wrong uses may only put the accounts behind of which it tells them.
#[test]
fn enormous_use_that_an_instance_tells_of_one_account_gives_no_other_one_an_excess() {
    let sent = uses(&[u32::MAX, 2_000, 3_000, 4_000]);
    let mut shares = FairShares::default();

    shares.update(&sent, 20_000.0);

    assert_eq!(above(&shares, &sent), [0]);
}

#[test]
fn an_account_that_stops_loses_its_excess() {
    let mut shares = FairShares::default();
    let sent = uses(&[90_000, 100]);
    shares.update(&sent, 1_000.0);
    assert_eq!(above(&shares, &sent), [0]);

    let changes = shares.update(&sent[1..], 1_000.0);

    assert!(shares.excess(AccountTag(0)).is_none());
    assert_eq!(changes.len(), 1);
    assert_eq!(shares.above_count(), 0);
}

#[test]
fn excess_ends_when_the_capacity_is_not_known_any_more() {
    let mut shares = FairShares::default();
    let sent = uses(&[90_000, 100]);
    shares.update(&sent, 1_000.0);

    shares.update(&sent, 0.0);

    assert!(above(&shares, &sent).is_empty());
}

/// Requests of one account must not change places at every update.
#[test]
fn an_account_near_its_share_keeps_its_step() {
    let mut shares = FairShares::default();
    let mut changes = 0;

    for no in 0..100 {
        // Around the share of 1,000, and further above it after the first half.
        let low = if no < 50 { 950 } else { 1_050 };
        let sent = uses(&[if no % 2 == 0 { low } else { low + 250 }, 1_000, 1_000]);
        changes += shares.update(&sent, 3_000.0).len();
    }

    assert_eq!(changes, 1);
}

/// For any uses and capacity: shares add up to no more than the capacity, use all of it if there
/// is not enough, and no account at or below its share has an excess, whatever it had before.
#[test]
fn shares_stay_within_the_capacity_and_only_accounts_above_have_an_excess() {
    seeded::check_type::<(Vec<u32>, Vec<u32>, u32)>(SEEDS, |(former, sent, capacity)| {
        let (sent, capacity) = (uses(sent), f64::from(*capacity));
        let mut shares = FairShares::default();
        shares.update(&uses(former), capacity / 2.0);

        shares.update(&sent, capacity);

        let asked: f64 = sent.iter().map(|it| f64::from(it.tokens_per_s)).sum();
        let Some(level) = shares.level() else {
            assert!(capacity <= 0.0 || asked <= capacity * (1.0 + 1e-9));
            assert!(above(&shares, &sent).is_empty());
            return;
        };
        let sum: f64 = sent.iter().map(|it| f64::from(it.tokens_per_s).min(level)).sum();
        assert!((sum - capacity).abs() <= capacity * 1e-9, "{sum} of {capacity}");
        for it in &sent {
            let is_above = f64::from(it.tokens_per_s) > level;
            assert!(is_above || shares.excess(it.account).is_none(), "{it:?} at {level}");
        }
    });
}
