//! What the requests of an instance ask for, by account.

use fair::UseMeter;
use gossip::{AccountTag, AccountUse};
use model::prelude::*;

const START: Time = Time::from_millis(10_000_000);

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Records requests of an account every 100 ms for a time, and returns when the last one came.
fn send(meter: &mut UseMeter, account: u32, tokens: u64, millis: u64) -> Time {
    for at in (0..=millis).step_by(100) {
        meter.record(after(at), AccountTag(account), tokens);
    }
    after(millis)
}

fn tokens_per_s(uses: &[AccountUse], account: u32) -> u32 {
    let found = uses.iter().find(|it| it.account == AccountTag(account));
    found.map_or(0, |it| it.tokens_per_s)
}

#[test]
fn steady_requests_show_their_tokens_a_second() {
    let mut meter = UseMeter::default();

    let now = send(&mut meter, 1, 500, 20_000);

    let uses = meter.uses(now);
    assert!((4_500..=5_500).contains(&tokens_per_s(&uses, 1)), "{uses:?}");
}

/// An account that sends nine times its usual must count as such within the time for which requests
/// wait behind it.
#[test]
fn a_burst_shows_most_of_its_tokens_within_three_seconds() {
    let mut meter = UseMeter::default();

    let now = send(&mut meter, 1, 900, 3_000);

    assert!(tokens_per_s(&meter.uses(now), 1) >= 6_000);
}

#[test]
fn uses_that_stop_are_forgotten() {
    let mut meter = UseMeter::default();
    send(&mut meter, 1, 500, 5_000);

    let soon = meter.uses(after(11_000));
    let later = meter.uses(after(60_000));

    assert!(tokens_per_s(&soon, 1) < 500, "{soon:?}");
    assert!(later.is_empty());
}

#[test]
fn the_accounts_with_the_most_tokens_are_told_first() {
    let mut meter = UseMeter::default();
    for account in 0..100 {
        meter.record(START, AccountTag(account), 100 * u64::from(account + 1));
    }

    let uses = meter.uses(START);

    assert!(uses.is_sorted_by_key(|it| std::cmp::Reverse(it.tokens_per_s)));
    assert_eq!(uses.first().map(|it| it.account), Some(AccountTag(99)));
    assert!(uses.len() <= 32, "a sum of the fleet holds 32 accounts");
}

/// Guards against a large account that is lost among many small ones when the memory is full.
#[test]
fn the_largest_account_is_kept_among_more_accounts_than_are_remembered() {
    let mut meter = UseMeter::default();
    meter.record(START, AccountTag(7_000_000), 1_000_000);

    for account in 0..3_000 {
        meter.record(START, AccountTag(account), 100);
    }

    let uses = meter.uses(START);
    assert_eq!(uses.first().map(|it| it.account), Some(AccountTag(7_000_000)));
}

#[test]
fn numbers_of_tokens_that_callers_invent_do_not_overflow() {
    let mut meter = UseMeter::default();
    meter.record(START, AccountTag(1), u64::MAX);
    meter.record(START, AccountTag(1), u64::MAX);

    assert_eq!(tokens_per_s(&meter.uses(START), 1), u32::MAX);
}
