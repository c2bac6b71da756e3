//! Engines that are set apart for live streams: a burst of live streams beside long prompts must
//! find enough of them, and a lull must not move the prompts' cached prefixes at once.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use dispatch::{FleetDemand, LiveEngines, Server, ServerEntry};
use gossip::SoftwareTag;
use model::prelude::*;

const SLOTS: u32 = 24;

fn engines(count: usize) -> Vec<Server> {
    let entry = |no: usize| ServerEntry {
        name: Arc::from(format!("i-{no}")),
        pool: PoolId::of("engines"),
        zone: ZoneId::of("z"),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: SLOTS,
        is_draining: false,
        cold: Duration::ZERO,
        incarnation: 1,
        software: SoftwareTag::of(PoolId::of("engines"), None),
    };
    (0..count).map(|no| Server::new(Time::default(), entry(no))).collect()
}

/// Updates the engines for this many streams without prompts, and returns how many are set apart.
fn update(live: &mut LiveEngines, now: Time, streams: f64, engines: &[Server]) -> usize {
    let demand = FleetDemand { live_streams: streams, ..FleetDemand::default() };
    update_for(live, now, demand, engines)
}

fn update_for(live: &mut LiveEngines, now: Time, demand: FleetDemand, engines: &[Server]) -> usize {
    let mut positions: Vec<_> = engines.iter().map(Server::order_position).collect();
    live.update(now, demand, SLOTS, &mut positions);
    engines.iter().filter(|engine| live.contains(engine)).count()
}

/// The engines that are set apart before the demand is known go to other requests in the end.
#[test]
fn there_are_no_live_engines_without_live_streams() {
    let mut live = LiveEngines::default();
    let start = Time::from_millis(1_000);
    let unknown = FleetDemand { is_unknown: true, ..FleetDemand::default() };
    let at_first = update_for(&mut live, start, unknown, &engines(153));

    let mut count = at_first;
    for millis in (100..60_000).step_by(100) {
        count = update(&mut live, start + Duration::from_millis(millis), 0.0, &engines(153));
    }

    assert!((1..=16).contains(&at_first), "{at_first} engines at first");
    assert_eq!(count, 0);
}

/// The streams of a burst start within a second: engines must be there at once.
#[test]
fn a_burst_of_streams_gets_engines_for_all_of_them_at_once() {
    let (mut live, engines) = (LiveEngines::default(), engines(153));
    let now = Time::from_millis(1_000);
    let before = update(&mut live, now, 270.0, &engines);

    let during = update(&mut live, now + Duration::from_millis(100), 500.0, &engines);

    assert!(before * SLOTS as usize >= 270, "{before} engines for 270 streams");
    assert!(during * SLOTS as usize >= 500, "{during} engines for 500 streams");
    assert!(during < engines.len() / 2, "{during} engines leave too few for long prompts");
}

/// Each change of the number moves the homes of prefixes.
#[test]
fn engines_are_released_only_after_a_lasting_lull() {
    let (mut live, engines) = (LiveEngines::default(), engines(153));
    let start = Time::from_millis(1_000);
    let busy = update(&mut live, start, 300.0, &engines);

    let mut during_lull = Vec::new();
    for millis in (100..4_000).step_by(100) {
        let now = start + Duration::from_millis(millis);
        during_lull.push(update(&mut live, now, 100.0, &engines));
    }
    let after = update(&mut live, start + Duration::from_secs(20), 100.0, &engines);

    assert!(during_lull.iter().all(|count| *count == busy));
    assert!(after < busy, "{after} engines after the lull, {busy} before");
}

/// Long prompts are most of the work: a flood of streams must not take all engines from them.
#[test]
fn a_flood_of_streams_leaves_most_engines_to_long_prompts() {
    let (mut live, engines) = (LiveEngines::default(), engines(153));

    let count = update(&mut live, Time::from_millis(1_000), 1e9, &engines);

    assert!(count <= engines.len() / 2, "{count} of {}", engines.len());
}

/// With one engine for the streams and one for the rest, the loss of either would stop its kind.
#[test]
fn a_pool_of_two_engines_is_not_divided() {
    let mut live = LiveEngines::default();

    assert_eq!(update(&mut live, Time::from_millis(1_000), 40.0, &engines(2)), 0);
}

/// Instances hear of the fleet's demand at different times. Those that agree on the number must
/// agree on the engines, and the loss of an engine must leave the others where they are.
#[test]
fn engines_that_stay_keep_their_part_when_one_is_lost() {
    let (mut live, mut engines) = (LiveEngines::default(), engines(153));
    let now = Time::from_millis(1_000);
    update(&mut live, now, 240.0, &engines);
    let before: Vec<_> = engines.iter().filter(|it| live.contains(it)).map(|it| it.id).collect();

    let lost = engines.iter().position(|it| live.contains(it)).unwrap();
    let lost = engines.remove(lost).id;
    update(&mut live, now, 240.0, &engines);

    let stayed = before.iter().filter(|id| **id != lost);
    let is_live = |id: &ServerId| engines.iter().any(|it| it.id == *id && live.contains(it));
    assert!(stayed.clone().all(is_live));
}

/// A burst of long prompts that fills the engines: streams get only as many as hold them all.
#[test]
fn streams_share_fewer_engines_while_prompts_need_the_others() {
    let engines = engines(90);
    let demand = |prompt_tokens_per_s| FleetDemand {
        live_streams: 240.0,
        prompt_tokens_per_s,
        ..FleetDemand::default()
    };
    let (mut calm, mut busy) = (LiveEngines::default(), LiveEngines::default());

    let in_calm = update_for(&mut calm, Time::from_millis(1_000), demand(1e6), &engines);
    let in_burst = update_for(&mut busy, Time::from_millis(1_000), demand(7e6), &engines);

    assert!(in_burst < in_calm, "{in_burst} engines in a burst, {in_calm} without");
    assert!(in_burst * SLOTS as usize >= 240, "{in_burst} engines cannot hold the streams");
}

/// Answers a burst of live streams at several times the usual: they fill the slots of their engines
/// seconds later, but their prompts are read at once.
#[test]
fn a_burst_of_short_prompts_gets_engines_to_read_them_before_its_streams_run() {
    let (mut live, engines) = (LiveEngines::default(), engines(90));
    let burst = FleetDemand {
        live_streams: 40.0,
        live_tokens_per_s: 300_000.0,
        tokens_per_ms: 30.0,
        ..FleetDemand::default()
    };

    let count = update_for(&mut live, Time::from_millis(1_000), burst, &engines);

    let reading_share = burst.live_tokens_per_s / (count as f64 * burst.tokens_per_ms * 1e3);
    assert!(reading_share <= 0.75, "{count} engines read {reading_share} of their time");
}

/// Answers live streams that need more than two fifths of the engines while prompts leave them idle.
#[test]
fn live_streams_get_the_engines_that_prompts_do_not_need() {
    let (mut live, engines) = (LiveEngines::default(), engines(60));
    let few_prompts = FleetDemand {
        live_streams: 60.0 * f64::from(SLOTS),
        prompt_tokens_per_s: 200_000.0,
        tokens_per_ms: 50.0,
        ..FleetDemand::default()
    };

    let count = update_for(&mut live, Time::from_millis(1_000), few_prompts, &engines);

    assert!((30..=36).contains(&count), "{count} engines");
}
