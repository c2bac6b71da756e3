//! The operator changes the priority of a tenant while its requests wait.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Stage, Verdict,
    client::{Connection, Draft, new_id},
    config::{Tenant, config},
    machine::Plan,
    record::Record,
    runner::{Runner, answer},
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Time between two requests to one machine, in usual traffic and in a burst of 1.7 times as much.
const USUAL_GAP: Duration = Duration::from_micros(14_000);
const BURST_GAP: Duration = Duration::from_micros(8_235);
/// When the burst begins and how long it lasts, and when the configuration changes.
const BURST_FROM: Duration = Duration::from_secs(3);
const BURST: Duration = Duration::from_secs(3);
const CHANGE_AT: Duration = Duration::from_millis(4_500);
const PLAY: Duration = Duration::from_secs(8);

pub fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    let tenants = |priority| {
        [
            Tenant { name: "hule930", keys: &[KEY], priority },
            Tenant { name: "xaka200", keys: &[OTHER_KEY], priority: 1 },
        ]
    };
    stage.store.put("op/config", &config(1, &tenants(1), 8));
    let _runners: Vec<_> = ["zona-norte", "zona-sur", "zona-yumbo"]
        .iter()
        .map(|zone| {
            Runner::start(&stage.runner("ledger", zone, 6), |req| {
                answer(req, Duration::from_millis(60))
            })
        })
        .collect();
    let fleet = stage.fleet(Plan { machines: 3, memory_mb: 110 })?;
    let [all, denied] = [(); 2].map(|()| Arc::new(AtomicU32::new(0)));
    let begin = record.now();
    let mut clients = Vec::new();
    for machine in &fleet.machines {
        let (front, record) = (machine.front, Arc::clone(record));
        let (all, denied) = (Arc::clone(&all), Arc::clone(&denied));
        clients.push(thread::spawn(move || {
            let mut next = Duration::ZERO;
            for no in 0.. {
                let is_burst = next >= BURST_FROM && next < BURST_FROM + BURST;
                next += if is_burst { BURST_GAP } else { USUAL_GAP };
                if next > PLAY {
                    return;
                }
                thread::sleep((begin + next).saturating_sub(record.now()));
                // The tenant is a large one: it sends three of four requests.
                let key = if no % 4 == 0 { OTHER_KEY } else { KEY };
                let (record, all) = (Arc::clone(&record), Arc::clone(&all));
                let denied = Arc::clone(&denied);
                thread::spawn(move || order(front, key, &record, &all, &denied));
            }
        }));
    }
    thread::sleep(CHANGE_AT);
    // Without the disruption the new version has one more route and the same priority.
    let priority = if stage.has_trouble { 0 } else { 1 };
    stage.store.put("op/config", &config(2, &tenants(priority), 9));
    record.say(format!("configuration 2 is acknowledged, with the priority {priority}"));
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    stage.keep_logs(&fleet);
    let (all, denied) = (all.load(Ordering::SeqCst), denied.load(Ordering::SeqCst));
    let why = format!("{denied} of {all} proper requests were ended with a 4xx");
    Ok(Verdict { is_broken: f64::from(denied) > 5.0 + f64::from(all) / 500.0, why })
}

/// Sends an order and counts how it ends.
fn order(front: SocketAddr, key: &str, record: &Record, all: &AtomicU32, denied: &AtomicU32) {
    let id = new_id("order");
    let (method, path, more) = ("POST", "/order/1", String::new());
    let (key, body) = (Some(key), b"an order");
    let draft = Draft { method, path, id: &id, key, deadline_ms: 4_000, more, body };
    record.add(format!("{id} sent to {front}"));
    all.fetch_add(1, Ordering::SeqCst);
    match Connection::open(front).and_then(|mut it| it.exchange(&draft.encode(), method)) {
        Ok(res) => {
            record.add(format!("{id} answered {}", res.status));
            let is_denied =
                (300..500).contains(&res.status) && ![408, 421, 429].contains(&res.status);
            denied.fetch_add(u32::from(is_denied), Ordering::SeqCst);
        }
        Err(err) => record.add(format!("{id} not answered: {err}")),
    }
}
