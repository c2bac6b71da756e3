//! All processes are killed at the same time while the machines of the seeds stay without power. Then
//! the model runners come back one after the other, cold.

#[path = "common.rs"]
mod common;

use std::{
    io::Write,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use common::*;

/// As in `sites/adwoa-scale.toml`: 8 machines in 3 zones, 31 requests a second at a cold runner.
const MACHINES: usize = 8;
const SEEDS: usize = 3;
const COLD_PER_S: f64 = 31.0;
/// `coldOverage` and `coldSlack`.
const MOST: f64 = COLD_PER_S * 1.5 + 5.0;
const COLD_S: f64 = 3.0;
/// Requests a second of all callers, by the sheet: 58.5 + 38.2 for these routes.
const RATE: f64 = 96.7;
const ZONES: [&str; 3] = ["zona-norte", "zona-sur", "zona-yumbo"];

fn main() {
    let rec = Record::create();
    let folder = Folder::create();
    let store = Store::default();
    store.put(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"menu\",\"host\":\"{HOST}\",\"prefix\":\"/menu/\",\
             \"routeKind\":\"streaming\",\"timeoutMs\":4000,\"sloMs\":800,\"priority\":2,\
             \"service\":\"modelo\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\
             \"resumable\":false,\"gapTargetMs\":600}}],\"services\":[{{\"name\":\"modelo\",\
             \"healthPath\":\"/healthz\",\"maxConns\":620,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStartS\":{COLD_S},\"coldPerS\":{COLD_PER_S},\"engine\":{{\"slots\":128,\
             \"kvCapacity\":802342,\"kvBytes\":18432,\"linkMbps\":370000.0,\"moves\":true,\
             \"backups\":true,\"stride\":6,\"most\":12,\"models\":[{{\"name\":\"m\"}}]}}}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
        ),
    );
    let (store_address, _) = store.serve_at(machine_ip(100));
    let mut edges: Vec<_> = (1..=MACHINES as u8).map(|no| Edge::new(&folder, no)).collect();
    let seeds: Vec<_> = edges[..SEEDS].iter().map(|it| it.control).collect();
    for (no, edge) in edges.iter_mut().enumerate() {
        edge.write_settings(ZONES[no % 3], store_address, &seeds, 260);
        edge.start();
    }
    for edge in &edges {
        edge.wait_ready(Duration::from_secs(10));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        rec.line("all processes are killed; the machines of the seeds stay without power");
        for edge in &mut edges {
            edge.kill();
        }
        for edge in &mut edges[SEEDS..] {
            edge.start();
        }
    } else {
        rec.line("the machines of the seeds lose power");
        for edge in &mut edges[..SEEDS] {
            edge.kill();
        }
    }
    for edge in &edges[SEEDS..] {
        edge.wait_ready(Duration::from_secs(10));
    }
    rec.line("the machines that are left are ready");
    thread::sleep(Duration::from_secs(12));

    // Callers at the machines that are left, at the usual rate.
    let fronts: Vec<_> = edges[SEEDS..].iter().map(|it| it.front).collect();
    let (callers_rec, over) = (rec.clone(), Arc::new(Mutex::new(false)));
    let is_over = Arc::clone(&over);
    let callers = thread::spawn(move || {
        let mut no = 0_usize;
        while !*is_over.lock().unwrap() {
            let (front, rec) = (fronts[no % fronts.len()], callers_rec.clone());
            let call = move || {
                let mut wait = 0.0;
                let mut start = Duration::from_secs(4);
                // One retry, after the time that a refusal tells.
                for _ in 0..2 {
                    thread::sleep(Duration::from_secs_f64(wait));
                    let id = new_id();
                    let more = format!(
                        "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 2890,54\r\n\
                         X-Clementinehall-Prefix-Hash: {:x}e07a2:630,{no:x}b7d:2260\r\n",
                        no % 7
                    );
                    let text =
                        request("POST", "/menu/2f", &id, start.as_millis() as u64, &more, "{}");
                    let answer = send(front, &text, start);
                    let Ok(answer) = answer else { return rec.line(&format!("{id}: none")) };
                    rec.line(&format!("{id}: {}", answer.status()));
                    let after = answer.field("Retry-After").and_then(|it| it.parse().ok());
                    if answer.status() != 503 {
                        return;
                    }
                    wait = after.unwrap_or(0.2);
                    start = start.saturating_sub(Duration::from_secs_f64(wait + 1.0));
                }
            };
            let _ = thread::Builder::new().stack_size(96 << 10).spawn(call);
            no += 1;
            thread::sleep(Duration::from_secs_f64(1.0 / RATE));
        }
    });

    // One runner after the other comes back and is cold.
    let (crashes, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut worst = 0;
    let mut all = Vec::new();
    for no in 0..6 {
        thread::sleep(Duration::from_secs(2));
        let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
        let (own, rec2, id) = (Arc::clone(&arrivals), rec.clone(), format!("i-cold-{no}"));
        let name = id.clone();
        let (crashes, lost) = (Arc::clone(&crashes), Arc::clone(&lost));
        let crashed = Arc::new(AtomicBool::new(false));
        let is_down = Arc::clone(&crashed);
        let runner = Runner::start_mortal(machine_ip(200), &id, is_down, move |req, stream| {
            if crashed.load(Ordering::SeqCst) {
                return Ok(false);
            }
            let now = rec2.now();
            rec2.line(&format!("{} reaches {name}", req.id()));
            let in_one_second = {
                let mut all = own.lock().unwrap();
                all.push(now);
                all.iter().filter(|it| **it > now - 1.0).count()
            };
            // It crashes well above the rate that it tolerates.
            if in_one_second as f64 > MOST && !crashed.swap(true, Ordering::SeqCst) {
                rec2.line(&format!("{name} crashes: {in_one_second} requests in one second"));
                crashes.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(ms(150));
            if crashed.load(Ordering::SeqCst) {
                rec2.line(&format!("{} is lost with {name}", req.id()));
                lost.fetch_add(1, Ordering::SeqCst);
                return Ok(false);
            }
            let event = "id: 1\ndata: all\n\n";
            stream.write_all(&answer(req, 200, "Content-Type: text/event-stream\r\n", event))?;
            Ok(true)
        });
        let key = format!("servers/{id}");
        rec.line(&format!("{id} is back, cold for {COLD_S} s"));
        store.put(&key, &runner.entry("modelo", "zona-norte", 128, (COLD_S * 1e3) as u64, 1));
        thread::sleep(ms(1_200));
        store.put(&key, &runner.entry("modelo", "zona-norte", 128, 1_800, 2));
        thread::sleep(ms(1_200));
        store.put(&key, &runner.entry("modelo", "zona-norte", 128, 600, 3));
        thread::sleep(ms(600));
        let until = rec.now();
        store.delete(&key);
        let times: Vec<f64> =
            arrivals.lock().unwrap().iter().copied().filter(|it| *it <= until).collect();
        let most = times
            .iter()
            .map(|start| times.iter().filter(|it| **it >= *start && **it < start + 1.0).count())
            .max();
        let most = most.unwrap_or(0);
        rec.line(&format!("{id} got {} requests, {most} in one second at most", times.len()));
        worst = worst.max(most);
        all.push(most);
    }
    *over.lock().unwrap() = true;
    let _ = callers.join();
    rec.tell(&format!(
        "most requests in one second at each cold runner: {all:?}, allowed {MOST}; {} crashed, {} requests were lost there",
        crashes.load(Ordering::SeqCst), lost.load(Ordering::SeqCst)
    ));
    for edge in &mut edges {
        edge.kill();
    }
    if worst == 0 {
        cannot_run("no runner got a request");
    }
    exit(i32::from(worst as f64 > MOST));
}
