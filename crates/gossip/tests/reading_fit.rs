//! The speed at which engines read prompts, by regression.

#![allow(clippy::unwrap_used)]

use gossip::ReadingFit;

const TOKENS_PER_MS: f64 = 28.0;
/// What each attempt takes besides reading: round trips, a fetch, the first generation step.
const LATENCY_MS: f64 = 120.0;

/// Returns the sums of this many attempts that read between 500 and 10,000 tokens.
fn attempts(count: u32) -> ReadingFit {
    let attempt = |no: u32| {
        let tokens = 500.0 + f64::from(no * 37 % 20) * 500.0;
        ReadingFit::of_attempt(tokens, LATENCY_MS + tokens / TOKENS_PER_MS)
    };
    (0..count).map(attempt).fold(ReadingFit::default(), ReadingFit::and)
}

/// Guards against a latency that counts as reading: engines with spare time then seem several times
/// slower than they are, and requests wait for nothing.
#[test]
fn latency_that_all_attempts_have_does_not_change_the_speed() {
    let speed = attempts(200).tokens_per_ms().unwrap();

    assert!((speed - TOKENS_PER_MS).abs() < 0.05 * TOKENS_PER_MS, "{speed} tokens a ms");
}

#[test]
fn sums_of_members_give_the_speed_that_none_of_them_can_tell() {
    let one = attempts(10);
    let fleet = (0..20).map(|_| one).fold(ReadingFit::default(), ReadingFit::and);

    assert_eq!(one.tokens_per_ms(), None);
    assert!((fleet.tokens_per_ms().unwrap() - TOKENS_PER_MS).abs() < 2.0);
}

#[test]
fn attempts_of_one_size_tell_no_speed() {
    let one = ReadingFit::of_attempt(3_000.0, 200.0);
    let fit = (0..100).map(|_| one).fold(ReadingFit::default(), ReadingFit::and);

    assert_eq!(fit.tokens_per_ms(), None);
}

#[test]
fn sums_of_a_lying_member_that_are_no_numbers_tell_no_speed() {
    for lie in [f64::INFINITY, f64::NAN, f64::MAX] {
        let fit = attempts(200).and(ReadingFit::of_attempt(lie, 1.0));

        assert_eq!(fit.tokens_per_ms(), None, "{lie}");
    }
}
