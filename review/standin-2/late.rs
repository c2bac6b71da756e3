//! Servers that send a few of their answers without a length, up to the end of the connection, with an
//! extra answer behind it: a late one to a request that the connection carried half a second before.

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
    time::{Duration, Instant},
};

use common::*;

/// As on the sheet: 800 bytes of answer.
const BODY_BYTES: usize = 800;
/// How late an extra answer comes.
const LATE: Duration = Duration::from_secs(2);
/// One of the three servers spoils answers, one in this many of its own, for this time.
const SPOILER: &str = "i-2";
const SPOIL_EVERY: usize = 34;
const SPOIL_FROM: Duration = Duration::from_secs(3);
const SPOIL_FOR: Duration = Duration::from_secs(5);
/// For how long callers send, and how many do, one request after the other: some 120 a second.
const TRAFFIC: Duration = Duration::from_secs(10);
const CALLERS: usize = 8;
/// How long a run takes.
const WORK: Duration = Duration::from_millis(60);

/// The whole body of the answer to a request.
fn body(id: &str) -> String {
    let line = format!("balance of {id};");
    let mut text = line.repeat(BODY_BYTES / line.len() + 1);
    text.truncate(BODY_BYTES);
    text
}

/// A complete answer that ends with its connection.
fn unframed(req: &Message, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 X\r\nX-Clementinehall-Request-Id: {}\r\n\
         X-Clementinehall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nConnection: close\r\n\r\n{body}",
        req.id()
    )
    .into_bytes()
}

fn main() {
    let rec = Record::create();
    let folder = Folder::create();
    let store = Store::default();
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"routeKind\":\"{kind}\",\
             \"timeoutMs\":4000,\"sloMs\":300,\"priority\":0,\"service\":\"libro\",\
             \"maxAttempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false,\
             \"gapTargetMs\":1000}}"
        )
    };
    store.put(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"libro\",\
             \"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
            route("saldo", "idempotent", 2),
            route("abono", "non_idempotent", 1)
        ),
    );
    let (runs, spoiled) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    // The answers on each connection, by the port of its other end.
    let before: Arc<Mutex<HashMap<u16, Vec<(Instant, Vec<u8>)>>>> = Arc::default();
    let traffic_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    let mut runners = Vec::new();
    for name in ["i-1", "i-2", "i-3"] {
        let (runs, spoiled, rec) = (Arc::clone(&runs), Arc::clone(&spoiled), rec.clone());
        let (before, traffic_since) = (Arc::clone(&before), Arc::clone(&traffic_since));
        let runner = Runner::start(machine_ip(200), name, move |req, stream| {
            let id = req.id();
            let whole = answer(req, 200, "", &body(&id));
            rec.line(&format!("{name} runs {id}"));
            thread::sleep(WORK);
            let port = stream.peer_addr()?.port();
            let late = {
                let mut all = before.lock().unwrap();
                let earlier = all.entry(port).or_default();
                let late = earlier.iter().rposition(|it| it.0.elapsed() >= LATE);
                let late = late.map(|no| (earlier.len() - no, earlier[no].1.clone()));
                earlier.push((Instant::now(), whole.clone()));
                late
            };
            let since = traffic_since.lock().unwrap().map_or(Duration::ZERO, |it| it.elapsed());
            let is_spoiling = has_trouble()
                && name == SPOILER
                && since >= SPOIL_FROM
                && since < SPOIL_FROM + SPOIL_FOR;
            // One that is due waits until the connection has carried a request long enough ago.
            let due = match is_spoiling {
                true => (runs.fetch_add(1, Ordering::SeqCst) + 1) / SPOIL_EVERY,
                false => 0,
            };
            let is_spoiled = spoiled.load(Ordering::SeqCst) < due;
            let (true, Some((ago, late))) = (is_spoiled, late) else {
                stream.write_all(&whole)?;
                return Ok(true);
            };
            spoiled.fetch_add(1, Ordering::SeqCst);
            rec.line(&format!(
                "{name} answers {id} without a length, and behind it sends a late extra answer to the {ago}th request before"
            ));
            stream.write_all(&unframed(req, &body(&id)))?;
            stream.write_all(&late)?;
            thread::sleep(ms(20));
            Ok(false)
        });
        store.put(&format!("servers/{name}"), &runner.entry("libro", "zona-norte", 6, 0, 1));
        runners.push(runner);
    }
    let (store_address, _) = store.serve_at(machine_ip(100));
    let mut edges: Vec<_> = (1..=3).map(|no| Edge::new(&folder, no)).collect();
    let seeds: Vec<_> = edges.iter().map(|it| it.control).collect();
    for (edge, zone) in edges.iter_mut().zip(["zona-norte", "zona-sur", "zona-yumbo"]) {
        edge.write_settings(zone, store_address, &seeds, 110);
        edge.start();
    }
    for edge in &edges {
        edge.wait_ready(Duration::from_secs(10));
    }
    thread::sleep(LEAD);
    *traffic_since.lock().unwrap() = Some(Instant::now());
    let counts = Arc::new(Mutex::new([0_usize; 4]));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (front, rec, counts) = (edges[caller % 3].front, rec.clone(), Arc::clone(&counts));
        callers.push(thread::spawn(move || {
            let (start, mut no) = (Instant::now(), 0);
            while start.elapsed() < TRAFFIC {
                no += 1;
                let id = new_id();
                let text = if no % 2 == 0 {
                    request("GET", "/saldo/2f", &id, 4_000, "", "")
                } else {
                    request("POST", "/abono/2f", &id, 4_000, "", "{}")
                };
                rec.line(&format!("client sends {id}"));
                let (place, what) = match send(front, &text, Duration::from_secs(4)) {
                    Ok(it) if it.status() == 200 && it.body == body(&id).as_bytes() => (0, "200, whole".to_owned()),
                    Ok(it) if it.status() == 200 => {
                        let text = String::from_utf8_lossy(&it.body);
                        let foreign = text.char_indices().find(|(at, _)| !body(&id).starts_with(&text[..=*at]));
                        let at = foreign.map_or(0, |it| it.0);
                        (1, format!("BROKEN: 200 with {} bytes, of which those from {at} on are not the answer's: {:?}", text.len(), &text[at..(at + 60).min(text.len())]))
                    }
                    Ok(it) => (2, it.status().to_string()),
                    Err(err) => (3, format!("no complete answer: {err}")),
                };
                counts.lock().unwrap()[place] += 1;
                let kind = if no % 2 == 0 { "(idempotent)" } else { "(not idempotent)" };
                rec.line(&format!("client gets for {id} {kind}: {what}"));
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let [whole, mixed, failed, cut] = *counts.lock().unwrap();
    rec.tell(&format!(
        "spoiled {} answers; clients got {whole} whole bodies with 200, {mixed} others with 200, {failed} other statuses, {cut} no complete answer",
        spoiled.load(Ordering::SeqCst)
    ));
    drop(edges);
    exit(if whole == 0 { 2 } else { i32::from(mixed > 0) });
}
