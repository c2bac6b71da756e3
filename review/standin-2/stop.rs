//! A machine gets SIGTERM while its servers are full and requests with a long objective wait there.

#[path = "common.rs"]
mod common;

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use common::*;

const SLOTS: usize = 6;
const RUNNERS: usize = 3;
/// How long a run takes.
const WORK: Duration = Duration::from_millis(1_500);
/// Requests a second at each of the two machines; the servers take 12 a second.
const RATE: f64 = 9.0;
const TIMEOUT_MS: u64 = 12_000;
const GRACE: f64 = 8.0;
const LOSS_SLACK: f64 = 0.2;

fn main() {
    let rec = Record::create();
    let folder = Folder::create();
    let store = Store::default();
    store.put(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"informe\",\"host\":\"{HOST}\",\"prefix\":\"/informe/\",\
             \"routeKind\":\"non_idempotent\",\"timeoutMs\":{TIMEOUT_MS},\"sloMs\":10000,\"priority\":0,\
             \"service\":\"libro\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\
             \"resumable\":false,\"gapTargetMs\":1000}}],\"services\":[{{\"name\":\"libro\",\
             \"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
        ),
    );
    // The ids that reached a server.
    let passed_on: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let mut runners = Vec::new();
    for no in 0..RUNNERS {
        let (name, passed_on, rec) = (format!("i-{no}"), Arc::clone(&passed_on), rec.clone());
        let id = name.clone();
        let running = AtomicUsize::new(0);
        let runner = Runner::start(machine_ip(200), &id, move |req, stream| {
            // It has a queue of four times its slots.
            if running.fetch_add(1, Ordering::SeqCst) >= 5 * SLOTS {
                running.fetch_sub(1, Ordering::SeqCst);
                stream.write_all(&rejection(req, ""))?;
                return Ok(true);
            }
            passed_on.lock().unwrap().insert(req.id(), rec.now());
            rec.line(&format!("{} reaches {name}", req.id()));
            let ahead = running.load(Ordering::SeqCst).div_ceil(SLOTS) as u32;
            thread::sleep(WORK * ahead);
            running.fetch_sub(1, Ordering::SeqCst);
            stream.write_all(&answer(req, 200, "", "done"))?;
            Ok(true)
        });
        store.put(
            &format!("servers/{id}"),
            &runner.entry("libro", "zona-norte", SLOTS as u32, 0, 1),
        );
        runners.push(runner);
    }
    let (store_address, _) = store.serve_at(machine_ip(100));
    let mut edges: Vec<_> = (1..=2).map(|no| Edge::new(&folder, no)).collect();
    let seeds: Vec<_> = edges.iter().map(|it| it.control).collect();
    for (edge, zone) in edges.iter_mut().zip(["zona-norte", "zona-sur"]) {
        edge.write_settings(zone, store_address, &seeds, 110);
        edge.start();
    }
    for edge in &edges {
        edge.wait_ready(Duration::from_secs(10));
    }
    thread::sleep(LEAD);
    let fronts: Vec<_> = edges.iter().map(|it| it.front).collect();
    // For each request: when it was sent, to which machine, what came and when.
    let results: Arc<Mutex<Vec<(String, usize, f64, String, f64)>>> = Arc::default();
    let mut stopped_at = f64::MAX;
    let mut clients = Vec::new();
    let start = rec.now();
    let mut no = 0;
    while rec.now() < start + 40.0 {
        let at = rec.now() - start;
        if has_trouble() && stopped_at == f64::MAX && at >= 25.0 {
            edges[0].signal("TERM");
            stopped_at = rec.now();
            rec.line("SIGTERM to machine 1");
        }
        // The platform sends clients to a machine for two more seconds.
        let machine = if rec.now() < stopped_at + 2.0 { no % 2 } else { 1 };
        let (front, rec, results) = (fronts[machine], rec.clone(), Arc::clone(&results));
        let client = thread::Builder::new().stack_size(96 << 10).spawn(move || {
            let id = new_id();
            let sent = rec.now();
            rec.line(&format!("client sends {id} to machine {}", machine + 1));
            let text = request("POST", "/informe/2f", &id, TIMEOUT_MS, "", "{}");
            let what = match send(front, &text, Duration::from_millis(TIMEOUT_MS)) {
                Ok(it) => it.status().to_string(),
                Err(err) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                    "refused".to_owned()
                }
                Err(err) => format!("no answer: {err}"),
            };
            rec.line(&format!("client gets for {id}: {what}"));
            results.lock().unwrap().push((id, machine, sent, what, rec.now()));
        });
        clients.extend(client.ok());
        no += 1;
        thread::sleep(Duration::from_secs_f64(1.0 / (2.0 * RATE)));
    }
    for client in clients {
        let _ = client.join();
    }
    let (mut lost, mut served, mut refused) = (0, 0, 0);
    for (id, machine, sent, what, at) in results.lock().unwrap().iter() {
        served += u32::from(what == "200");
        refused += u32::from(what == "503");
        let was_passed_on = passed_on.lock().unwrap().contains_key(id);
        let counts = what.starts_with("no answer")
            && *machine == 0
            && *at >= stopped_at
            && *at <= stopped_at + GRACE + 1.0
            && *at - sent > LOSS_SLACK
            && *at - sent < TIMEOUT_MS as f64 / 1e3 - 0.2
            // A request at which a server is still at work at the end is excused.
            && !was_passed_on;
        if counts {
            lost += 1;
            rec.line(&format!(
                "BROKEN: {id} was sent {:+.2} s from SIGTERM, reached no server, and its connection ended {:.2} s later: {what}",
                sent - stopped_at, at - sent
            ));
        }
    }
    rec.tell(&format!(
        "{no} requests: {served} served, {refused} answered 503, {lost} read and closed without an answer around SIGTERM"
    ));
    drop(edges);
    exit(if served == 0 { 2 } else { i32::from(lost > 0) });
}
