//! The store turns one machine away for some seconds while the operator sends configurations in quick
//! succession, the last of which drops a route and adds another one.

#[path = "common.rs"]
mod common;

use std::{
    io::Write,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use common::*;

/// For how long the store turns the machine away.
const AWAY: Duration = Duration::from_secs(6);
/// Routes that fill a configuration up to what a value may have, 1,048,576 bytes.
const ROUTES: usize = 3_300;
const VERSIONS: u64 = 6;
const CONTACT: Duration = Duration::from_secs(3);
const APPLY: Duration = Duration::from_secs(2);

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"routeKind\":\"idempotent\",\
         \"timeoutMs\":4000,\"sloMs\":300,\"priority\":0,\"service\":\"libro\",\"maxAttempts\":2,\
         \"public\":true,\"sticky\":false,\"resumable\":false,\"gapTargetMs\":1000}}"
    )
}

fn config(version: u64, first: &str) -> String {
    let filler =
        (0..ROUTES).map(|no| route(&format!("r-{no:05}"), &format!("/idle-{no:05}-{version}/")));
    let routes: Vec<_> =
        std::iter::once(route(first, &format!("/{first}/"))).chain(filler).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"libro\",\
         \"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

fn main() {
    let rec = Record::create();
    let folder = Folder::create();
    let store = Store::default();
    let first = config(10, "dropped");
    rec.tell(&format!("a configuration has {} bytes of 1048576", first.len()));
    store.put("op/config", &first);
    let log = rec.clone();
    let runner = Runner::start(machine_ip(200), "i-1", move |req, stream| {
        log.line(&format!("{} {} runs", req.id(), req.target()));
        stream.write_all(&answer(req, 200, "", "balance"))?;
        Ok(true)
    });
    store.put("servers/i-1", &runner.entry("libro", "zona-norte", 6, 0, 1));
    let mut edges: Vec<_> = (1..=2).map(|no| Edge::new(&folder, no)).collect();
    let seeds: Vec<_> = edges.iter().map(|it| it.control).collect();
    let mut modes = Vec::new();
    for (no, edge) in edges.iter_mut().enumerate() {
        let (address, mode) = store.serve_at(machine_ip(100 + no as u8));
        modes.push(mode);
        edge.write_settings(["zona-norte", "zona-sur"][no], address, &seeds, 110);
        edge.start();
    }
    for edge in &edges {
        edge.wait_ready(Duration::from_secs(10));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        rec.line("the store turns machine 1 away");
        modes[0].store(TURNS_AWAY, Ordering::SeqCst);
    }
    let away_since = Instant::now();
    thread::sleep(ms(500));
    for no in 1..=VERSIONS {
        thread::sleep(ms(700));
        store.put("op/config", &config(10 + no, if no == VERSIONS { "added" } else { "dropped" }));
        rec.line(&format!("version {} is acknowledged", 10 + no));
    }
    thread::sleep(AWAY.saturating_sub(away_since.elapsed()));
    modes[0].store(SERVES, Ordering::SeqCst);
    rec.line("the store serves all machines");
    // From now on, machine 1 is in touch again after `CONTACT`, and the last change is older than `APPLY`.
    thread::sleep(CONTACT.max(APPLY) + ms(500));
    let mut old = [0, 0];
    let mut asked = [0, 0];
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(25) {
        for (no, edge) in edges.iter().enumerate() {
            for (path, expected) in [("/dropped/2f", 404), ("/added/2f", 200)] {
                let id = new_id();
                let text = request("GET", path, &id, 4_000, "", "");
                let status =
                    send(edge.front, &text, Duration::from_secs(4)).map_or(0, |it| it.status());
                rec.line(&format!(
                    "{id} {path} at machine {}: {status}, by the last version {expected}",
                    no + 1
                ));
                asked[no] += 1;
                // A refusal that says that the machine is not ready is not counted.
                old[no] += u32::from(status != expected && matches!(status, 200 | 404));
            }
        }
        thread::sleep(ms(250));
    }
    rec.tell(&format!(
        "handled as only an older version allows, at machines in touch: {} of {} at machine 1, {} of {} at machine 2",
        old[0], asked[0], old[1], asked[1]
    ));
    for edge in &mut edges {
        edge.kill();
    }
    exit(i32::from(old[0] + old[1] > 0));
}
