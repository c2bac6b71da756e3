//! The operator changes the priority of a tenant while its requests wait.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Stage, Verdict,
    client::{Connection, Draft, new_id},
    config::{Tenant, config},
    http::field,
    machine::Plan,
    runner::{Runner, answer},
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Clients of each machine. Each sends a request after the other, and comes back after a refusal
/// when it is told to.
const CLIENTS: usize = 60;

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
    let stop = Arc::new(AtomicBool::new(false));
    let [all, denied] = [(); 2].map(|()| Arc::new(AtomicU32::new(0)));
    let mut clients = Vec::new();
    for machine in &fleet.machines {
        for _ in 0..CLIENTS {
            let (front, record, stop) = (machine.front, Arc::clone(record), Arc::clone(&stop));
            let (all, denied) = (Arc::clone(&all), Arc::clone(&denied));
            clients.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id("order");
                    let draft = Draft {
                        method: "POST",
                        path: "/order/1",
                        id: &id,
                        key: Some(KEY),
                        deadline_ms: 4_000,
                        more: String::new(),
                        body: b"an order",
                    };
                    record.add(format!("{id} sent to {front}"));
                    let answered = Connection::open(front)
                        .and_then(|mut it| it.exchange(&draft.encode(), "POST"));
                    all.fetch_add(1, Ordering::SeqCst);
                    let mut pause = Duration::from_millis(20);
                    match answered {
                        Ok(res) => {
                            let after = field(&res.fields, "Retry-After");
                            if let Some(after) = after.and_then(|it| it.parse().ok()) {
                                pause = Duration::from_secs_f64(after);
                            }
                            record.add(format!("{id} answered {}", res.status));
                            let is_denied = (300..500).contains(&res.status)
                                && ![408, 421, 429].contains(&res.status);
                            denied.fetch_add(u32::from(is_denied), Ordering::SeqCst);
                        }
                        Err(err) => record.add(format!("{id} not answered: {err}")),
                    }
                    thread::sleep(pause);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    // Without the disruption the new version has one more route and the same priority.
    let priority = if stage.has_trouble { 0 } else { 1 };
    stage.store.put("op/config", &config(2, &tenants(priority), 9));
    record.say(format!("configuration 2 is acknowledged, with the priority {priority}"));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    stage.keep_logs(&fleet);
    let (all, denied) = (all.load(Ordering::SeqCst), denied.load(Ordering::SeqCst));
    let why = format!("{denied} of {all} proper requests were ended with a 4xx");
    Ok(Verdict { is_broken: f64::from(denied) > 5.0 + f64::from(all) / 500.0, why })
}
