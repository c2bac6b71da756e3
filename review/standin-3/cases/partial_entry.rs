//! Another writer overwrites the entry of a server with one that lacks fields and names another service.

use std::{thread, time::Duration};

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

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config(7, &[("tenant-a", &[KEY])]));
    let mut runners = Vec::new();
    for (name, service) in [("i-model", "modelo"), ("i-ledger", "libro")] {
        let runner = Runner::start(&network.ip(), name, record, |request, stream| {
            thread::sleep(SERVICE_TIME);
            respond(stream, request, "ok")
        })?;
        runner.register(&store, &entry(service, 6, "ready"));
        runners.push(runner);
    }
    let model = &runners[0];
    let fleet = start_fleet(&network, &store, 1, record)?;
    let load = Load::start(fleet[0].addresses.front, CLIENTS, KEY, record);
    thread::sleep(Duration::from_secs(3));
    for _ in 0..if has_trouble { 3 } else { 0 } {
        let partial = format!(
            r#"{{"service":"libro","address":"{}","zone":"zona-norte","slots":6,"state":"ready"}}"#,
            model.address()
        );
        store.put("servers/i-model", &partial);
        record.note("another writer has written an entry without version, coldLeftMs and seq");
        thread::sleep(Duration::from_millis(1_700));
    }
    thread::sleep(Duration::from_secs(1));
    drop(load);
    let count = model.arrivals.lock().unwrap().len();
    let seen = format!("{count} lookups of libro ran at a server of modelo");
    Ok(if count > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}
