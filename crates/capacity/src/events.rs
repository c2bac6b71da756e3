//! Time of the control thread for each kind of event.

use std::{error::Error, sync::Arc};

use control::{Event, LoadReport};
use model::{
    msg::{Acquire, CellMsg, Heartbeat, HeldGrant, TokenMsg},
    prelude::*,
};

use crate::{
    AIM,
    harness::{Cost, Harness},
    site::{KEYED, Size},
    table::Measure,
};

/// Times that an event is repeated; the fastest of [`ROUNDS`] rounds counts.
const EVENTS: u32 = 400;
/// Rounds of each measurement.
const ROUNDS: usize = 5;
/// Simulated time between two events.
const GAP: Duration = Duration::from_millis(1);

type Measures = Result<Vec<Measure>, Box<dyn Error>>;

/// Measures every event kind.
pub(crate) fn all(size: Size) -> Measures {
    let mut on = Harness::start(size)?;
    let mut rows = entry(&mut on, size.accounts.min(KEYED));
    rows.extend(owner(&mut on));
    rows.extend(cell(&mut on));
    rows.extend(membership(&mut on));
    rows.push(install(&mut on)?);
    Ok(rows)
}

/// Measures with requests that wait at the entry for backend servers.
pub(crate) fn entry_waiting(waiting: usize) -> Measures {
    let mut on = Harness::start(AIM)?;
    for i in 0..waiting {
        on.arrive_and_wait(i % KEYED);
    }
    Ok(entry(&mut on, KEYED))
}

/// Measures with requests that wait in the queue of the cell that this instance owns.
pub(crate) fn cell_waiting(waiting: usize) -> Measures {
    let mut on = Harness::start(AIM)?;
    let peer = on.peer();
    let capacity = AIM.servers * 8;
    for i in 0..waiting.min(1) * capacity + waiting {
        let acquire = acquire(&mut on, i);
        on.message(peer, Msg::Cell(CellMsg::Acquire(acquire)));
    }
    let row = repeat(&mut on, "acquire and cancel", |on, i| {
        let acquire = acquire(on, i as usize);
        let (ticket, cell) = (acquire.ticket, acquire.cell);
        on.message(peer, Msg::Cell(CellMsg::Acquire(acquire)));
        on.message(peer, Msg::Cell(CellMsg::Cancel { ticket, cell }));
    });
    Ok(vec![row, tick(&mut on)])
}

fn entry(on: &mut Harness, accounts: usize) -> Vec<Measure> {
    let path = repeat(on, "request, whole path", |on, i| on.request(i as usize % accounts));
    let timers = repeat(on, "request, with its timers", |on, i| {
        on.request(i as usize % accounts);
        on.wake();
    });
    vec![path, timers, tick(on)]
}

fn owner(on: &mut Harness) -> Vec<Measure> {
    let (shares, peer) = (on.shares(), on.peer());
    let Some(count) = u32::try_from(shares.len()).ok().filter(|it| *it > 0) else {
        return Vec::new();
    };
    let row = repeat(on, "token: ask and spent", |on, i| {
        let share = shares[(i % count) as usize];
        let ask = AskId(on.fresh_id());
        let msg = TokenMsg::Ask { ask, share, wait: Duration::from_secs(1) };
        for msg in on.message(peer, Msg::Token(msg)) {
            if let Msg::Token(TokenMsg::Give { lease, .. }) = msg {
                on.message(peer, Msg::Token(TokenMsg::Spent { share, lease }));
            }
        }
    });
    vec![row]
}

fn cell(on: &mut Harness) -> Vec<Measure> {
    let peer = on.peer();
    let path = repeat(on, "cell: acquire and release", |on, i| {
        let acquire = acquire(on, i as usize);
        for msg in on.message(peer, Msg::Cell(CellMsg::Acquire(acquire))) {
            if let Msg::Cell(CellMsg::Grant { cell, grant, server, .. }) = msg {
                let millis = Duration::from_millis;
                let end =
                    AttemptEnd::Completed { first_byte: millis(5), total: millis(9), tokens: 100 };
                let msg = CellMsg::Release { cell, grant, server, end, cold: false };
                on.message(peer, Msg::Cell(msg));
            }
        }
    });
    let held = repeat(on, "cell: held report", |on, _| {
        let msg = CellMsg::Held { cell: first_cell(), grants: Vec::<HeldGrant>::new() };
        on.message(peer, Msg::Cell(msg));
    });
    let load = repeat(on, "load report", |on, _| {
        let report = LoadReport { incarnation: 1, running: 0, queued: 0, cold: false };
        on.step(Event::Load { server: ServerId::of("runner-0"), report: Ok(report) });
    });
    vec![path, held, load]
}

fn membership(on: &mut Harness) -> Vec<Measure> {
    let peer = on.peer();
    let beat = repeat(on, "heartbeat", |on, i| {
        on.message(
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
    let list = repeat(on, "list read, no change", |on, _| on.read_list());
    let same = repeat(on, "configuration read, no change", |on, _| on.read_config());
    vec![beat, list, same, change(on)]
}

/// A change of the list, with the heartbeats to all that tell of it.
fn change(on: &mut Harness) -> Measure {
    few(on, "list read, changed", |on| {
        on.site.list.version += 1;
        on.read_list();
    })
}

/// A new version of the configuration, with its check.
fn install(on: &mut Harness) -> Result<Measure, Box<dyn Error>> {
    on.site.cfg.version += 1;
    on.text = on.site.text()?;
    Ok(few(on, "configuration install", |on| {
        on.read_config();
        on.site.cfg.version += 1;
        let text = serde_json::to_string(&on.site.cfg).unwrap_or_default();
        on.text = Arc::from(text);
    }))
}

fn tick(on: &mut Harness) -> Measure {
    on.now = on.now + Duration::from_secs(2);
    repeat(on, "tick", |on, _| {
        on.step(Event::Tick);
    })
}

fn acquire(on: &mut Harness, i: usize) -> Acquire {
    Acquire {
        ticket: TicketId(on.fresh_id()),
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

fn repeat(on: &mut Harness, name: &'static str, mut run: impl FnMut(&mut Harness, u32)) -> Measure {
    let rounds = (0..ROUNDS).map(|_| round(on, EVENTS, &mut run));
    let best = rounds.fold(f64::MAX, f64::min);
    Measure { name, micros: best }
}

/// Repeats what takes long a few times only.
fn few(on: &mut Harness, name: &'static str, mut run: impl FnMut(&mut Harness)) -> Measure {
    let rounds = (0..ROUNDS).map(|_| round(on, 1, &mut |on, _| run(on)));
    let best = rounds.fold(f64::MAX, f64::min);
    Measure { name, micros: best }
}

/// Returns the microseconds of the control thread for each event.
fn round(on: &mut Harness, count: u32, run: &mut impl FnMut(&mut Harness, u32)) -> f64 {
    on.cost = Cost::default();
    for i in 0..count {
        on.now = on.now + GAP;
        run(on, i);
    }
    let micros = on.cost.time.as_secs_f64() * 1e6 / f64::from(count);
    // The permit must not end, whatever the round took.
    on.read_list();
    micros
}
