//! Learned round trips.

use model::prelude::*;
use zones::RoundTrips;

const NOW: Time = Time::from_millis(1_000);
const ZONE: ZoneId = ZoneId(1);

/// Returns round trips of which one zone has this one.
fn learned(took: Duration) -> RoundTrips {
    let mut round_trips = RoundTrips::default();
    round_trips.record(NOW, ZONE, took);
    round_trips
}

#[test]
fn a_zone_without_times_has_no_round_trip() {
    assert_eq!(learned(Duration::from_millis(2)).get(NOW, ZoneId(2)), None);
}

#[test]
fn the_mean_approaches_a_new_time() {
    let mut round_trips = learned(Duration::from_millis(2));

    for _ in 0..50 {
        round_trips.record(NOW, ZONE, Duration::from_millis(10));
    }

    assert!(round_trips.get(NOW, ZONE).unwrap() > Duration::from_millis(9));
}

#[test]
fn one_very_long_time_hardly_changes_the_mean() {
    let mut round_trips = learned(Duration::from_millis(2));

    round_trips.record(NOW, ZONE, Duration::from_secs(60));

    assert!(round_trips.get(NOW, ZONE).unwrap() < Duration::from_millis(50));
}

#[test]
fn a_mean_without_new_times_is_forgotten() {
    let round_trips = learned(Duration::from_millis(2));

    assert!(round_trips.get(NOW + Duration::from_secs(30), ZONE).is_some());
    assert_eq!(round_trips.get(NOW + Duration::from_secs(61), ZONE), None);
}

#[test]
fn zones_beyond_the_bound_replace_forgotten_ones_only() {
    let mut round_trips = RoundTrips::default();
    (0..1_000).for_each(|no| round_trips.record(NOW, ZoneId(no), Duration::from_millis(1)));
    assert_eq!(round_trips.get(NOW, ZoneId(999)), None);
    let later = NOW + Duration::from_secs(61);

    round_trips.record(later, ZoneId(999), Duration::from_millis(1));

    assert!(round_trips.get(later, ZoneId(999)).is_some());
}
