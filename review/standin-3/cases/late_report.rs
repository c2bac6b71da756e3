//! The store carries out a write of a server late, after the server has reported that it leaves.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{SERVICE_TIME, config, entry};
use crate::{
    Outcome, Verdict,
    edge::{Network, start_fleet},
    load::Load,
    record::Record,
    runner::{Runner, respond},
    store::Store,
};

const KEY: &str = "a-key";
const CLIENTS: usize = 6;
/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeats from the first report that the server leaves to the one behind which the late write comes.
const REPORTS: u32 = 3;

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config(7, &[("tenant-a", &[KEY])]));
    let mut runners = Vec::new();
    for name in ["i-stays", "i-leaves"] {
        let runner = Runner::start(&network.ip(), name, record, |request, stream| {
            thread::sleep(SERVICE_TIME);
            respond(stream, request, "ok")
        })?;
        runners.push(runner);
    }
    let [staying, leaving] = runners.as_slice() else { return Err("no servers".to_owned()) };
    staying.register(&store, &entry("libro", 6, "ready"));
    leaving.register(&store, &entry("libro", 6, "ready"));
    let fleet = start_fleet(&network, &store, 1, record)?;
    let load = Load::start(fleet[0].addresses.front, CLIENTS, KEY, record);
    thread::sleep(Duration::from_secs(4));
    // From here on, its entries are written below.
    leaving.set_beating(false);
    thread::sleep(HEARTBEAT);
    let former = leaving.next_entry();
    let mut left_at = Instant::now();
    for report in 0..=REPORTS {
        leaving.report(&store, &entry("libro", 6, "draining"));
        if report == 0 {
            left_at = Instant::now();
            record.note("the store has accepted that i-leaves is draining");
        }
        if report == REPORTS && has_trouble {
            store.put("servers/i-leaves", &former);
            record.note("the store carries out the write before that");
        }
        thread::sleep(HEARTBEAT);
    }
    leaving.report(&store, &entry("libro", 6, "draining"));
    thread::sleep(HEARTBEAT);
    drop(load);
    let arrivals = leaving.arrivals.lock().unwrap();
    if arrivals.is_empty() {
        return Err("i-leaves was not in use before".to_owned());
    }
    let late = arrivals.iter().filter(|it| it.at > left_at + DRAIN).count();
    let seen = format!("{late} requests reached i-leaves over {DRAIN:?} after it was draining");
    Ok(if late > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}
