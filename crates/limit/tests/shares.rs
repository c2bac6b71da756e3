//! Replies of a share's owner to single messages, and the division of limits into shares.

use limit::{ShareSpec, ShareStart, Shares, Timing, split};
use model::{msg::TokenMsg, prelude::*};

/// How long each request waits for a token.
const WAIT: Duration = Duration::from_millis(500);

/// Guards against parts that are rounded up, so that the zones together exceed the account's
/// limits, and against a rate without burst, which no request could use.
#[test]
fn parts_of_a_split_never_exceed_the_whole() {
    let zones = ["a", "b", "c"].map(ZoneId::of);

    for burst in 0..10 {
        let parts = split(AccountId::of("x"), 9.0, burst, &zones);

        assert_eq!(parts.iter().map(|part| part.spec.burst).sum::<u32>(), burst);
        assert!(parts.iter().map(|part| part.spec.rate).sum::<f64>() <= 9.0 + 1e-9);
        assert!(parts.iter().all(|part| (part.spec.burst == 0) == (part.spec.rate == 0.0)));
    }
}

/// Guards against giving the remainder of every account's burst to the same zone.
#[test]
fn remainder_of_a_split_is_even_over_accounts() {
    let zones = ["a", "b", "c"].map(ZoneId::of);
    let mut ones = [0; 3];

    for i in 0..3_000 {
        for part in split(AccountId(i), 1.0, 1, &zones) {
            let zone = zones.iter().position(|zone| *zone == part.share.zone).unwrap();
            ones[zone] += part.spec.burst;
        }
    }

    assert!(ones.iter().all(|count| (900..1_100).contains(count)), "{ones:?}");
}

/// Guards against two tokens for one request whose message was doubled or resent.
#[test]
fn duplicate_ask_gets_the_same_token() {
    let mut owner = owner_with_level(2);

    let first = owner.handle(at(0), peer(1), &ask(1));
    let second = owner.handle(at(1), peer(1), &ask(1));

    assert_eq!(lease_of(&first[0].msg), lease_of(&second[0].msg));
    assert_eq!(owner.summary(at(1))[0].outstanding, 1);
}

/// Guards against a level beyond the burst after a token is returned twice, or by an instance that
/// does not hold it.
#[test]
fn return_by_another_instance_and_second_return_change_nothing() {
    let mut owner = owner_with_level(2);
    let given = owner.handle(at(0), peer(1), &ask(1));
    let lease = lease_of(&given[0].msg);
    let give_back = TokenMsg::Return { share: share(), lease };

    owner.handle(at(1), peer(2), &give_back);
    let after_foreign = owner.summary(at(1))[0].outstanding;
    owner.handle(at(2), peer(1), &give_back);
    owner.handle(at(3), peer(1), &give_back);

    assert_eq!(after_foreign, 1);
    assert_eq!(owner.summary(at(3))[0].outstanding, 0);
    assert!(owner.summary(at(3))[0].level <= 2.0);
}

/// Guards against returning an expired token to the bucket: its attempt may have been sent and the
/// report lost. Tokens of 500 ms expire after 800 ms: 200 ms margin and 100 ms report delay later.
#[test]
fn expired_token_counts_as_spent() {
    let mut owner = owner_with_level(2);
    owner.handle(at(0), peer(1), &ask(1));
    owner.handle(at(0), peer(1), &ask(2));

    let denied = owner.handle(at(10), peer(1), &ask(3));
    let after_expiry = owner.handle(at(801), peer(1), &ask(4));
    let after_refill = owner.handle(at(1_802), peer(1), &ask(5));

    assert!(matches!(denied[0].msg, TokenMsg::Deny { .. }), "{denied:?}");
    assert!(matches!(after_expiry[0].msg, TokenMsg::Deny { .. }), "{after_expiry:?}");
    assert!(matches!(after_refill[0].msg, TokenMsg::Give { .. }), "{after_refill:?}");
}

/// Guards against queueing a request for 500 ms when the next token comes only after a second.
#[test]
fn request_that_cannot_get_a_token_in_time_is_denied_at_once() {
    let mut owner = owner_with_level(1);
    owner.handle(at(0), peer(1), &ask(1));

    let replies = owner.handle(at(0), peer(1), &ask(2));

    let TokenMsg::Deny { reason, retry_after, .. } = replies[0].msg else { panic!("{replies:?}") };
    assert_eq!(reason, Reason::OverRate);
    assert!(retry_after >= Duration::from_millis(990), "{retry_after:?}");
}

/// Guards against raising a share's limits while other owners may still apply the earlier
/// configuration, and against delaying a lowered limit.
#[test]
fn raised_limits_apply_after_grow_after_and_lowered_ones_at_once() {
    let mut owner = owner_with_level(4);

    owner.resize(at(0), share(), spec(1.0, 2));
    let lowered = owner.summary(at(0))[0];
    owner.resize(at(10), share(), spec(1.0, 4));
    let raised = owner.summary(at(10))[0];
    owner.handle(at(3_011), peer(1), &ask(1));
    let later = owner.summary(at(3_011))[0];

    assert_eq!(lowered.spec.burst, 2);
    assert!(lowered.level <= 2.0);
    assert_eq!(raised.spec.burst, 2);
    assert_eq!(later.spec.burst, 4);
}

/// Guards against tokens beyond the burst after a handover: the next owner must know the tokens
/// that are still in use, and reply to a resent request with the same token.
#[test]
fn handed_over_share_keeps_its_level_and_tokens() {
    let mut owner = owner_with_level(3);
    let given = owner.handle(at(0), peer(1), &ask(1));

    let state = owner.close(at(0), share()).unwrap();
    let mut next = new_owner(8);
    next.open(at(0), share(), spec(1.0, 3), ShareStart::HandedOver(state));
    let again = next.handle(at(1), peer(1), &ask(1));

    assert!(!owner.owns(share()));
    assert_eq!(lease_of(&given[0].msg), lease_of(&again[0].msg));
    assert_eq!(next.summary(at(1))[0].outstanding, 1);
    assert!((next.summary(at(1))[0].level - 2.0).abs() < 0.01);
}

/// Guards against tokens beyond the burst after an owner ended without a handover: its tokens may
/// be in use for 1,300 ms, the sum of validity, report delay and margin.
#[test]
fn share_without_handover_gives_no_token_until_old_tokens_have_expired() {
    let mut owner = new_owner(9);
    owner.open(at(0), share(), spec(1_000.0, 3), ShareStart::Empty);

    let early = owner.handle(at(1_200), peer(1), &ask(1));
    let late = owner.handle(at(1_310), peer(1), &ask(2));
    owner.tick(at(1_310));

    assert!(matches!(early[0].msg, TokenMsg::Queued { .. }), "{early:?}");
    assert!(matches!(late[0].msg, TokenMsg::Queued { .. }), "{late:?}");
    assert_eq!(owner.summary(at(1_310))[0].outstanding, 2);
}

fn owner_with_level(level: u32) -> Shares {
    let mut owner = new_owner(9);
    let state = model::msg::ShareState {
        share: share(),
        level_milli: u64::from(level) * 1_000,
        leases: Vec::new(),
    };
    owner.open(at(0), share(), spec(1.0, level), ShareStart::HandedOver(state));
    owner
}

fn new_owner(instance: u64) -> Shares {
    let margin = Duration::from_millis(200);
    Shares::new(peer(instance), Timing { margin, grow_after: Duration::from_secs(3) })
}

fn spec(rate: f64, burst: u32) -> ShareSpec {
    ShareSpec { rate, burst, account_rate: rate }
}

fn share() -> ShareId {
    ShareId { account: AccountId::of("x"), zone: ZoneId::of("a") }
}

fn peer(instance: u64) -> Peer {
    Peer { instance: InstanceId(instance), incarnation: Incarnation(1) }
}

fn ask(ask: u64) -> TokenMsg {
    TokenMsg::Ask { ask: AskId(ask), share: share(), wait: WAIT }
}

fn lease_of(msg: &TokenMsg) -> LeaseId {
    let TokenMsg::Give { lease, .. } = msg else { panic!("not a token: {msg:?}") };
    *lease
}

fn at(millis: u64) -> Time {
    Time::from_millis(60_000 + millis)
}
