//! Measures the time that the control thread needs for each kind of event.

use std::{error::Error, sync::Arc};

use control::{Event, LoadReport};
use model::{
    msg::{Acquire, CellMsg, Heartbeat, HeldGrant, TokenMsg},
    prelude::*,
};

use crate::{
    DESIGN_SIZE,
    fleet::{ACCOUNTS_WITH_KEY, Size},
    harness::{Cost, Harness},
    table::Measurement,
};

/// How often an event is repeated in one round.
const EVENTS_PER_ROUND: u32 = 400;
/// Rounds of each measurement, of which the fastest counts.
const ROUNDS: usize = 5;
/// Simulated time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(1);

type Measurements = Result<Vec<Measurement>, Box<dyn Error>>;

/// Measures all kinds of events at an instance without other requests.
pub(crate) fn all_events(size: Size) -> Measurements {
    let mut harness = Harness::start(size)?;
    let mut rows = request_events(&mut harness, size.accounts.min(ACCOUNTS_WITH_KEY));
    rows.extend(token_events(&mut harness));
    rows.extend(cell_events(&mut harness));
    rows.extend(membership_events(&mut harness));
    rows.push(config_install(&mut harness)?);
    Ok(rows)
}

/// Measures the events of a request while others wait at the same instance for a grant.
pub(crate) fn request_events_with_waiting(waiting: usize) -> Measurements {
    let mut harness = Harness::start(DESIGN_SIZE)?;
    for i in 0..waiting {
        harness.queue_request(i % ACCOUNTS_WITH_KEY);
    }
    Ok(request_events(&mut harness, ACCOUNTS_WITH_KEY))
}

/// Measures the owner of a cell while requests wait in its queue. As many requests as all backend
/// servers of the fleet can run come first, so that none of the cell's servers is free.
pub(crate) fn cell_events_with_waiting(waiting: usize) -> Measurements {
    let mut harness = Harness::start(DESIGN_SIZE)?;
    let peer = harness.peer();
    let capacity = DESIGN_SIZE.servers * 8;
    for i in 0..waiting.min(1) * capacity + waiting {
        let acquire = new_acquire(&mut harness, i);
        harness.receive(peer, Msg::Cell(CellMsg::Acquire(acquire)));
    }
    let row = repeat(&mut harness, "acquire and cancel", |harness, i| {
        let acquire = new_acquire(harness, i as usize);
        let (ticket, cell) = (acquire.ticket, acquire.cell);
        harness.receive(peer, Msg::Cell(CellMsg::Acquire(acquire)));
        harness.receive(peer, Msg::Cell(CellMsg::Cancel { ticket, cell }));
    });
    Ok(vec![row, tick(&mut harness)])
}

fn request_events(harness: &mut Harness, accounts: usize) -> Vec<Measurement> {
    let path = repeat(harness, "request, whole path", |harness, i| {
        harness.serve_request(i as usize % accounts);
    });
    let timers = repeat(harness, "request, with its timers", |harness, i| {
        harness.serve_request(i as usize % accounts);
        harness.run_due_timers();
    });
    vec![path, timers, tick(harness)]
}

fn token_events(harness: &mut Harness) -> Vec<Measurement> {
    let (shares, peer) = (harness.owned_shares(), harness.peer());
    let Some(count) = u32::try_from(shares.len()).ok().filter(|count| *count > 0) else {
        return Vec::new();
    };
    let row = repeat(harness, "token: ask and spent", |harness, i| {
        let share = shares[(i % count) as usize];
        let ask = AskId(harness.fresh_id());
        let msg = TokenMsg::Ask { ask, share, wait: Duration::from_secs(1) };
        for msg in harness.receive(peer, Msg::Token(msg)) {
            if let Msg::Token(TokenMsg::Give { lease, .. }) = msg {
                harness.receive(peer, Msg::Token(TokenMsg::Spent { share, lease }));
            }
        }
    });
    vec![row]
}

fn cell_events(harness: &mut Harness) -> Vec<Measurement> {
    let peer = harness.peer();
    let path = repeat(harness, "cell: acquire and release", |harness, i| {
        let acquire = new_acquire(harness, i as usize);
        for msg in harness.receive(peer, Msg::Cell(CellMsg::Acquire(acquire))) {
            if let Msg::Cell(CellMsg::Grant { cell, grant, server, .. }) = msg {
                let millis = Duration::from_millis;
                let end =
                    AttemptEnd::Completed { first_byte: millis(5), total: millis(9), tokens: 100 };
                let msg = CellMsg::Release { cell, grant, server, end, cold: false };
                harness.receive(peer, Msg::Cell(msg));
            }
        }
    });
    let held = repeat(harness, "cell: held report", |harness, _| {
        let msg = CellMsg::Held { cell: first_cell(), grants: Vec::<HeldGrant>::new() };
        harness.receive(peer, Msg::Cell(msg));
    });
    let load = repeat(harness, "load report", |harness, _| {
        let report = LoadReport { incarnation: 1, running: 0, queued: 0, cold: false };
        harness.step(Event::Load { server: ServerId::of("runner-0"), report: Ok(report) });
    });
    vec![path, held, load]
}

fn membership_events(harness: &mut Harness) -> Vec<Measurement> {
    let peer = harness.peer();
    let heartbeat = repeat(harness, "heartbeat", |harness, i| {
        harness.receive(
            peer,
            Msg::Heartbeat(Heartbeat {
                nonce: Nonce(u64::from(i)),
                ack: false,
                leaving: false,
                config: Version(1),
                list: Version(1),
                cells: Vec::new(),
            }),
        );
    });
    let list = repeat(harness, "list read, no change", |harness, _| harness.read_list());
    let same = repeat(harness, "configuration read, no change", |harness, _| harness.read_config());
    vec![heartbeat, list, same, list_change(harness)]
}

/// A new version of the instance list, with the heartbeats that announce it to all instances.
fn list_change(harness: &mut Harness) -> Measurement {
    repeat_slow(harness, "list read, changed", |harness| {
        harness.fleet.list.version += 1;
        harness.read_list();
    })
}

/// A new version of the configuration, with its validation.
fn config_install(harness: &mut Harness) -> Result<Measurement, Box<dyn Error>> {
    harness.fleet.cfg.version += 1;
    harness.config_text = harness.fleet.config_text()?;
    Ok(repeat_slow(harness, "configuration install", |harness| {
        harness.read_config();
        harness.fleet.cfg.version += 1;
        let text = serde_json::to_string(&harness.fleet.cfg).unwrap_or_default();
        harness.config_text = Arc::from(text);
    }))
}

fn tick(harness: &mut Harness) -> Measurement {
    harness.now = harness.now + Duration::from_secs(2);
    repeat(harness, "tick", |harness, _| {
        harness.step(Event::Tick);
    })
}

fn new_acquire(harness: &mut Harness, i: usize) -> Acquire {
    Acquire {
        ticket: TicketId(harness.fresh_id()),
        cell: first_cell(),
        account: AccountId::of(&format!("a{}", i % 100)),
        class: ClassId::of("class-0"),
        tier: Tier(0),
        wait: Duration::from_secs(600),
        prefix: PrefixHash(i as u64),
        idempotent: true,
        avoid: Vec::new(),
    }
}

fn first_cell() -> CellId {
    CellId { pool: PoolId::of("pool-0"), zone: ZoneId::of("zone-0") }
}

fn repeat(
    harness: &mut Harness,
    name: &'static str,
    mut run: impl FnMut(&mut Harness, u32),
) -> Measurement {
    let rounds = (0..ROUNDS).map(|_| time_round(harness, EVENTS_PER_ROUND, &mut run));
    let fastest = rounds.fold(f64::MAX, f64::min);
    Measurement { name, micros: fastest }
}

/// Measures a slow event: one for each round.
fn repeat_slow(
    harness: &mut Harness,
    name: &'static str,
    mut run: impl FnMut(&mut Harness),
) -> Measurement {
    let rounds = (0..ROUNDS).map(|_| time_round(harness, 1, &mut |harness, _| run(harness)));
    let fastest = rounds.fold(f64::MAX, f64::min);
    Measurement { name, micros: fastest }
}

/// Runs one round and returns the control thread's microseconds for each event.
fn time_round(harness: &mut Harness, count: u32, run: &mut impl FnMut(&mut Harness, u32)) -> f64 {
    harness.cost = Cost::default();
    for i in 0..count {
        harness.now = harness.now + EVENT_INTERVAL;
        run(harness, i);
    }
    let micros = harness.cost.time.as_secs_f64() * 1e6 / f64::from(count);
    // Renews the permit to use shards before the next round: it ends one lease after the last read
    // of the list, and a round may take long in simulated time.
    harness.read_list();
    micros
}
