//! The store comes back from a copy that lists a server which has left, and then forgets its history.

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
/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time in which the servers are in use at first. The copy is about as old when the store comes back.
const BEFORE: Duration = Duration::from_secs(4);
const CLIENTS: usize = 6;

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
        runner.register(&store, &entry("libro", 6, "ready"));
        runners.push(runner);
    }
    let leaving = &runners[1];
    let fleet = start_fleet(&network, &store, 1, record)?;
    let load = Load::start(fleet[0].addresses.front, CLIENTS, KEY, record);
    thread::sleep(BEFORE);
    let copy = store.copy();

    leaving.set_beating(false);
    store.delete("servers/i-leaves");
    let left_at = Instant::now();
    record.note("the store has accepted that i-leaves is gone");
    thread::sleep(DRAIN + Duration::from_secs(1));
    let late = || {
        let arrivals = leaving.arrivals.lock().unwrap();
        arrivals.iter().filter(|it| it.at > left_at + DRAIN).count()
    };
    if leaving.arrivals.lock().unwrap().is_empty() || late() > 0 {
        return Err("i-leaves was not in use before, or still is".to_owned());
    }
    if has_trouble {
        store.drill(copy, Duration::from_millis(500));
        record.note("the store is back from a copy in which i-leaves is ready");
    }
    thread::sleep(Duration::from_millis(1_500));
    let after_drill = late();
    if has_trouble {
        store.put("op/evacuate/zona-yumbo", "{}");
        store.compact();
        record.note("the store has forgotten its history");
    }
    thread::sleep(Duration::from_secs(2));
    drop(load);
    let count = late();
    Ok(if count > 0 {
        Verdict::Broken(format!(
            "{count} requests reached i-leaves over {DRAIN:?} after it was gone, {after_drill} of them \
             before the store forgot its history"
        ))
    } else {
        Verdict::Held("no request reached i-leaves after it was gone".to_owned())
    })
}
