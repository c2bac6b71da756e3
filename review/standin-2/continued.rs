//! Streams that must not be repeated, at servers that copy their memory to a second one. Some streams
//! are spoiled midway by their server, which goes on with its run as the connection closes.

#[path = "common.rs"]
mod common;

use std::{
    collections::HashMap,
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

const EVENTS: u64 = 47;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// The event in place of which wrong bytes come.
const SPOILED: u64 = 12;
/// Four of the twelve servers spoil streams, one in this many of theirs, for this time.
const RUNNERS: usize = 12;
const SPOILERS: usize = 4;
const SPOIL_EVERY: usize = 50;
const SPOIL_FROM: f64 = 2.0;
const SPOIL_FOR: f64 = 5.5;
/// Streams a second, the sum of the three kinds of generation on the sheet, and for how long.
const RATE: f64 = 95.0;
const TRAFFIC: f64 = 10.0;

/// Which streams are spoiled.
#[derive(Default)]
struct Garble {
    /// When traffic began, on the clock of the record.
    traffic_since: Option<f64>,
    /// The servers that spoil: the first that got to a stream's event in question.
    servers: Vec<String>,
    count: usize,
}

impl Garble {
    /// Returns whether a server spoils the stream whose event in question is due.
    fn spoils(&mut self, server: &str, now: f64) -> bool {
        let since = now - self.traffic_since.unwrap_or(f64::MAX);
        if !has_trouble() || !(SPOIL_FROM..SPOIL_FROM + SPOIL_FOR).contains(&since) {
            return false;
        }
        if self.servers.len() < SPOILERS && !self.servers.iter().any(|it| it == server) {
            self.servers.push(server.to_owned());
        }
        if !self.servers.iter().any(|it| it == server) {
            return false;
        }
        self.count += 1;
        self.count % SPOIL_EVERY == 0
    }
}

#[derive(Default)]
struct Run {
    /// The server where the request ran first, and when it worked on it last.
    first: String,
    last_work: Option<Instant>,
    /// The server that holds a copy, and when the run went on from it there.
    backup: String,
    continued: Option<(Instant, String)>,
    starts: u32,
}

type Runs = Arc<Mutex<HashMap<String, Run>>>;

fn handle(
    own: &str,
    req: &Message,
    stream: &mut TcpStream,
    runs: &Runs,
    garble: &Mutex<Garble>,
    rec: &Record,
) -> std::io::Result<bool> {
    let id = req.id();
    let last: u64 = req.field("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let own_address = stream.local_addr()?.to_string();
    if let Some(from) = req.field("Kv-From") {
        let mut all = runs.lock().unwrap();
        let held = all.get_mut(&id).filter(|run| {
            *from == format!("{own_address}/{id}")
                && run.backup == own_address
                && run.continued.is_none()
        });
        let Some(run) = held else {
            rec.line(&format!("server {own} has no copy of {id}"));
            drop(all);
            stream.write_all(&rejection(req, ""))?;
            return Ok(true);
        };
        run.continued = Some((Instant::now(), own.to_owned()));
        rec.line(&format!("server {own} goes on with {id} after event {last}"));
    } else {
        let mut all = runs.lock().unwrap();
        let run = all.entry(id.clone()).or_default();
        run.starts += 1;
        run.first = own.to_owned();
        run.backup = req.field("X-Clementinehall-Kv-Backup").unwrap_or_default().to_owned();
        rec.line(&format!("server {own} begins {id}, copy to {:?}", run.backup));
    }
    let is_first = req.field("Kv-From").is_none();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Clementinehall-Request-Id: {id}\r\n\
         X-Clementinehall-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for event in last + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        if is_first {
            runs.lock().unwrap().entry(id.clone()).or_default().last_work = Some(Instant::now());
        }
        let spoils = is_first && event == SPOILED && garble.lock().unwrap().spoils(own, rec.now());
        let bytes = if spoils {
            rec.line(&format!("server {own} spoils event {event} of {id}"));
            b"\x01\x02\xff\xfe no event\n\n".to_vec()
        } else {
            format!("id: {event}\ndata: piece {event} of {id}\n\n").into_bytes()
        };
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(&bytes);
        chunk.extend_from_slice(b"\r\n");
        if is_open && stream.write_all(&chunk).is_err() {
            rec.line(&format!("server {own} finds the connection of {id} closed at event {event}"));
            is_open = false;
        }
        if !is_open && !is_first {
            return Ok(false);
        }
    }
    rec.line(&format!("server {own} ends its run of {id}"));
    Ok(is_open && stream.write_all(b"0\r\n\r\n").is_ok())
}

fn main() {
    let rec = Record::create();
    let folder = Folder::create();
    let runs = Runs::default();
    let store = Store::default();
    store.put(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"charla\",\"host\":\"{HOST}\",\"prefix\":\"/charla/\",\
             \"routeKind\":\"streaming\",\"timeoutMs\":12000,\"sloMs\":300,\"priority\":0,\
             \"service\":\"modelo\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\
             \"resumable\":false,\"gapTargetMs\":250}}],\"services\":[{{\"name\":\"modelo\",\
             \"healthPath\":\"/healthz\",\"maxConns\":620,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStartS\":3.0,\"coldPerS\":20.0,\"engine\":{{\"slots\":128,\"kvCapacity\":362178,\
             \"kvBytes\":18432,\"linkMbps\":370000.0,\"moves\":true,\"backups\":true,\"stride\":6,\
             \"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleTtlS\":5.0,\
             \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
        ),
    );
    let mut runners = Vec::new();
    let garble: Arc<Mutex<Garble>> = Arc::default();
    for no in 0..RUNNERS {
        let name = format!("i-{no:02}");
        let (runs, garble, rec) = (Arc::clone(&runs), Arc::clone(&garble), rec.clone());
        let id = name.clone();
        let runner = Runner::start(machine_ip(200), &id, move |req, stream| {
            handle(&name, req, stream, &runs, &garble, &rec)
        });
        store.put(&format!("servers/{id}"), &runner.entry("modelo", "zona-norte", 128, 0, 1));
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
    let start = rec.now();
    garble.lock().unwrap().traffic_since = Some(start);
    let mut clients = Vec::new();
    while rec.now() < start + TRAFFIC {
        let number = clients.len();
        let (front, rec) = (edges[number % edges.len()].front, rec.clone());
        let call = move || {
            let id = new_id();
            let more = format!(
                "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 715,282\r\n\
                 X-Clementinehall-Prefix-Hash: 5c1e07a2:172,{number:x}b7d:543\r\n"
            );
            let text = request("POST", "/charla/2f", &id, 12_000, &more, "{}");
            rec.line(&format!("client sends {id}"));
            let text = match send(front, &text, Duration::from_secs(12)) {
                Ok(it) => format!(
                    "{} with {} events",
                    it.status(),
                    String::from_utf8_lossy(&it.body).matches("data:").count()
                ),
                Err(err) => format!("no complete answer: {err}"),
            };
            rec.line(&format!("client gets for {id}: {text}"));
            text
        };
        let client = thread::Builder::new().stack_size(96 << 10).spawn(call);
        clients.push(client.unwrap_or_else(|err| cannot_run(&err.to_string())));
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    let streams = clients.len();
    let answers: Vec<_> = clients.into_iter().filter_map(|it| it.join().ok()).collect();
    thread::sleep(Duration::from_secs(3));
    let complete =
        answers.iter().filter(|it| it.starts_with("200") && it.contains("47 events")).count();
    let (mut continued, mut overlapped) = (0, 0);
    for (id, run) in runs.lock().unwrap().iter() {
        let Some((at, server)) = &run.continued else { continue };
        continued += 1;
        let Some(last) = run.last_work else { continue };
        let overlap = last.saturating_duration_since(*at);
        if overlap > ms(400) {
            overlapped += 1;
            rec.line(&format!(
                "BROKEN: {id} goes on at {server}; {} works on it for {overlap:?} longer",
                run.first
            ));
        }
    }
    rec.tell(&format!(
        "{streams} streams, {complete} complete at the client, {continued} went on at another server, \
         {overlapped} of them while the server before worked on for over 400 ms"
    ));
    drop(edges);
    if complete == 0 {
        cannot_run("no stream was served");
    }
    exit(if overlapped > 0 { 1 } else { 0 });
}
