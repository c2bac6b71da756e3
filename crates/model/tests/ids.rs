//! Hashed ids, and the arithmetic of points in time.

use model::prelude::*;

#[test]
fn debug_output_of_a_key_hash_has_two_bytes_only() {
    let hash = KeyHash::of(b"secret");

    let text = format!("{hash:?}");

    assert_eq!(text.len(), "KeyHash(2bb8..)".len());
}

#[test]
fn idempotency_ids_differ_by_account_and_route() {
    let [a, b] = [AccountId::of("a"), AccountId::of("b")];
    let route = RouteId::of("r");

    let ids = [
        IdempotencyId::of(a, route, "k"),
        IdempotencyId::of(b, route, "k"),
        IdempotencyId::of(a, RouteId::of("s"), "k"),
    ];

    assert_ne!(ids[0], ids[1]);
    assert_ne!(ids[0], ids[2]);
}

#[test]
fn adding_and_subtracting_any_duration_never_wraps() {
    seeded::check_type::<(u64, u64)>(2_000, |(at, span)| {
        let time = Time { nanos: *at };
        let span = Duration::from_nanos(*span);

        assert!(time + span >= time);
        assert!(time - span <= time);
        assert_eq!((time + span).until(time), Duration::ZERO);
    });
}
