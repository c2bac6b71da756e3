//! Whether single requests are within a share.

use zones::may_leave;

/// Returns hashes that are spread evenly.
fn hashes() -> impl Iterator<Item = u64> {
    (0..10_000_u64).map(|no| no.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[test]
fn as_many_requests_leave_as_the_share_tells() {
    for share in [0.0, 0.1, 0.5, 1.0] {
        let left = hashes().filter(|hash| may_leave(share, *hash)).count();

        assert!((left as f64 / 10_000.0 - share).abs() < 0.01, "{left} for {share}");
    }
}

#[test]
fn the_bounds_hold_for_the_least_and_the_greatest_hash() {
    assert!(!may_leave(0.0, 0));
    assert!(may_leave(1.0, u64::MAX));
}

#[test]
fn a_request_that_may_leave_may_do_so_too_when_the_share_grows() {
    for hash in hashes().filter(|hash| may_leave(0.2, *hash)) {
        assert!(may_leave(0.3, hash));
    }
}
