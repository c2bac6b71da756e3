//! A machine that was cut off from the store accepts a key that was taken away meanwhile.

use std::{
    net::SocketAddr,
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
    machine::Plan,
    record::Record,
    runner::{Runner, answer},
};

const KEPT_KEY: &str = "kept9xu4m2f7q6t8w1z5";
const LOST_KEY: &str = "lost3ab6d9g2h5j8k1m4";
const TENANTS: [Tenant<'static>; 2] = [
    Tenant { name: "hule930", keys: &[KEPT_KEY], priority: 1 },
    Tenant { name: "xaka200", keys: &[LOST_KEY], priority: 1 },
];
/// The tenants once the key is taken away, the only one that its tenant had.
const TENANTS_AFTER: [Tenant<'static>; 2] =
    [TENANTS[0], Tenant { name: "xaka200", keys: &[], priority: 1 }];
/// The routes that the configuration has grown by: twice 350.
const IDLE_ROUTES: usize = 700;
/// How long the store turns the machine away, and the pause before the changes begin.
const CUT: Duration = Duration::from_secs(9);
const BEFORE_CHANGES: Duration = Duration::from_millis(200);
/// The changes that come before the key is taken away, and the pause after each.
const CHANGES: u64 = 16;
const CHANGE_GAP: Duration = Duration::from_millis(210);
const REVOKE: Duration = Duration::from_millis(5_000);
/// Connections of the client whose key is taken away, and the pause between its requests on one.
const CONNECTIONS: usize = 6;
const REQUEST_GAP: Duration = Duration::from_millis(20);

pub fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    stage.store.put("op/config", &config(1, &TENANTS, IDLE_ROUTES));
    let zones = ["zona-norte", "zona-sur", "zona-yumbo"];
    let work = Duration::from_millis(5);
    let _runners: Vec<_> = zones
        .iter()
        .map(|zone| Runner::start(&stage.runner("ledger", zone, 6), move |req| answer(req, work)))
        .collect();
    let fleet = stage.fleet(Plan { machines: 3, memory_mb: 110 })?;
    let machine = &fleet.machines[0];
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let mut clients = Vec::new();
    for no in 0..=CONNECTIONS {
        let (key, kind) = if no == 0 { (KEPT_KEY, "kept") } else { (LOST_KEY, "lost") };
        let (front, stop, served) = (machine.front, Arc::clone(&stop), Arc::clone(&served));
        let record = Arc::clone(record);
        clients.push(thread::spawn(move || ask(front, key, kind, &record, &stop, &served)));
    }
    thread::sleep(Duration::from_secs(2));
    if served.load(Ordering::SeqCst) < 100 {
        return Err("the requests were not served before the disruption".to_owned());
    }

    if stage.has_trouble {
        machine.link.set_cut(true);
        record.say(format!("the store turns {} away", machine.name));
    }
    let cut_at = record.now();
    thread::sleep(BEFORE_CHANGES);
    let mut version = 1;
    for no in 1..=CHANGES {
        version += 3;
        let routes = IDLE_ROUTES + no as usize;
        stage.store.put("op/config", &config(version, &TENANTS, routes));
        record.say(format!("configuration {version} is acknowledged"));
        thread::sleep(CHANGE_GAP);
    }
    version += 1;
    let routes = IDLE_ROUTES + CHANGES as usize;
    stage.store.put("op/config", &config(version, &TENANTS_AFTER, routes));
    let revoked_at = record.now();
    record.say(format!("configuration {version} without the key {LOST_KEY} is acknowledged"));
    thread::sleep((cut_at + CUT).saturating_sub(record.now()));
    machine.link.set_cut(false);
    record.say("the store serves all machines");
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    stage.keep_logs(&fleet);

    // A run that was sent later than the bound can only belong to a request that was sent later.
    let late: Vec<_> = stage
        .runs()
        .into_iter()
        .filter(|run| run.request.id().starts_with("lost-"))
        .filter(|run| sent_at(run.request.field("X-Sent-Us")) > revoked_at + REVOKE)
        .collect();
    for run in &late {
        let after = run.at.saturating_sub(revoked_at).as_millis();
        record.add(format!("{} ran {after} ms after its key was taken away", run.request.id()));
    }
    let why = format!(
        "{} requests with the key ran that were sent over 5 s after its loss was acknowledged",
        late.len()
    );
    Ok(Verdict { is_broken: !late.is_empty(), why })
}

/// Returns when the client sent a request, which it says in a field of its own.
fn sent_at(field: Option<&str>) -> Duration {
    Duration::from_micros(field.and_then(|it| it.parse().ok()).unwrap_or_default())
}

/// Sends requests with a key on one connection at a time until it is told to stop.
fn ask(
    front: SocketAddr,
    key: &str,
    kind: &str,
    record: &Record,
    stop: &AtomicBool,
    served: &AtomicU32,
) {
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(REQUEST_GAP);
        let Some(open) = connection.take().or_else(|| Connection::open(front).ok()) else {
            continue;
        };
        let mut open: Connection = open;
        let id = new_id(kind);
        let sent = record.now();
        record.add_at(sent, format!("{id} sent to {front}"));
        let draft = Draft {
            method: "GET",
            path: "/ledger/1",
            id: &id,
            key: Some(key),
            deadline_ms: 4_000,
            more: format!("X-Sent-Us: {}\r\n", sent.as_micros()),
            body: b"",
        };
        match open.exchange(&draft.encode(), "GET") {
            Ok(res) => {
                record.add(format!("{id} answered {}", res.status));
                served.fetch_add(u32::from(res.status == 200), Ordering::SeqCst);
                if !res.closes() {
                    connection = Some(open);
                }
            }
            Err(err) => record.add(format!("{id} not answered: {err}")),
        }
    }
}
