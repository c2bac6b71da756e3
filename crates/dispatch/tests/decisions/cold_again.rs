//! Servers that become cold again before their first cold time is over.

use std::{ops::Range, sync::Arc};

use dispatch::{AttemptEnd, Catalog, Event, Repeat, Route, ServerEntry};
use model::prelude::*;

use crate::support::{Bench, attempts, catalog, prompt, route, server};

/// The share of this instance: 20 requests a second, times 1.5, and 5, for one instance and three that
/// may be started.
const SHARE: usize = 35 / 4;

fn cold(millis: u64) -> ServerEntry {
    ServerEntry { cold: Duration::from_millis(millis), ..server("c1", "engines", 11) }
}

/// Sends 50 requests a second for these seconds, and returns how many reach the server in each.
fn requests_by_second(bench: &mut Bench, seconds: Range<u64>, has_store: bool) -> Vec<usize> {
    let mut counts = Vec::new();
    for second in seconds {
        let mut count = 0;
        for no in 0..50 {
            let (key, mut effects) = bench.request("batch", prompt(0, 100, second * 50 + no));
            bench.step(Event::Sent { key });
            effects.extend(bench.pass(20));
            if has_store {
                bench.read();
            }
            for (key, _) in attempts(&effects) {
                bench.step(Event::Sent { key });
                bench.ended(key, AttemptEnd::Completed { is_success: true });
                count += 1;
            }
        }
        counts.push(count);
    }
    counts
}

/// Guards against more requests in a second to a server than it bears: it became cold again, and this
/// instance, which follows the view of another one, only knows that it is cold still.
#[test]
fn a_server_that_is_listed_as_cold_keeps_its_limit() {
    let mut bench = Bench::new(Vec::new());
    bench.list(cold(1_500));

    let listed = requests_by_second(&mut bench, 0..6, true);
    bench.list(cold(0));
    bench.pass(1_000);
    bench.read();
    let warm = requests_by_second(&mut bench, 6..8, true);

    // A second may begin within one of these.
    assert!(listed.iter().all(|count| *count <= 2 * SHARE), "{listed:?}");
    assert!(listed.iter().sum::<usize>() <= 6 * SHARE + SHARE, "{listed:?}");
    assert!(warm.iter().all(|count| *count >= 50), "{warm:?}");
}

/// Guards against a limit that is held for as long as the store is away.
#[test]
fn a_server_is_warm_after_its_time_while_the_view_is_old() {
    let mut bench = Bench::new(Vec::new());
    // Without a key, requests are served for longer from an old view.
    let public = Route { is_public: true, ..route("batch", "engines", Repeat::Never, 2, 1_200) };
    let mut config = Catalog::default().with_routes([public]);
    config.version = Version(2);
    config.pools = catalog(2).pools;
    bench.step(Event::Config(Arc::new(config)));
    bench.list(cold(1_500));

    bench.pass(4_100);
    let away = requests_by_second(&mut bench, 0..2, false);

    assert!(away.iter().all(|count| *count >= 50), "{away:?}");
}
