//! A client sends the second half of a request after its key was moved to another tenant.

#[path = "common.rs"]
mod common;

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use common::*;

/// `revokeMs`.
const REVOKE: f64 = 5.0;

fn config(version: u64, first: &str, second: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"abono\",\"host\":\"{HOST}\",\"prefix\":\"/abono/\",\
         \"routeKind\":\"non_idempotent\",\"timeoutMs\":12000,\"sloMs\":300,\"priority\":0,\
         \"service\":\"libro\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\
         \"resumable\":false,\"gapTargetMs\":1000}}],\"services\":[{{\"name\":\"libro\",\
         \"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"apiKeys\":[{first}],\"priority\":1}},\
         {{\"name\":\"second\",\"apiKeys\":[{second}],\"priority\":1}}]}}"
    )
}

fn main() {
    let rec = Record::create();
    let folder = Folder::create();
    let store = Store::default();
    let key = format!("\"{KEY}\"");
    store.put("op/config", &config(7, &key, ""));
    let runs: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let (log, own) = (rec.clone(), Arc::clone(&runs));
    let runner = Runner::start(machine_ip(200), "i-1", move |req, stream| {
        let tenant = req.field("X-Clementinehall-Tenant").unwrap_or_default().to_owned();
        log.line(&format!("{} runs for tenant {tenant}", req.id()));
        own.lock().unwrap().push((log.now(), tenant));
        stream.write_all(&answer(req, 200, "", "done"))?;
        Ok(true)
    });
    store.put("servers/i-1", &runner.entry("libro", "zona-norte", 6, 0, 1));
    let (store_address, _) = store.serve_at(machine_ip(100));
    let mut edge = Edge::new(&folder, 1);
    edge.write_settings("zona-norte", store_address, &[edge.control], 110);
    edge.start();
    edge.wait_ready(Duration::from_secs(10));
    thread::sleep(Duration::from_secs(2));
    let (front, log) = (edge.front, rec.clone());
    let client = thread::spawn(move || {
        let id = new_id();
        let text = request("POST", "/abono/2f", &id, 12_000, "", &"x".repeat(1_000));
        let half = text.len() - 500;
        let mut stream = TcpStream::connect(front)?;
        stream.write_all(text[..half].as_bytes())?;
        log.line(&format!("client has sent half of {id}"));
        thread::sleep(Duration::from_secs(8));
        stream.write_all(text[half..].as_bytes())?;
        log.line(&format!("client has sent the rest of {id}"));
        let answer = read_response(&mut BufReader::new(stream))?;
        log.line(&format!("client gets for {id}: {:?}", answer.map(|it| it.status())));
        std::io::Result::Ok(())
    });
    thread::sleep(ms(500));
    let mut moved_at = f64::MAX;
    if has_trouble() {
        store.put("op/config", &config(8, "", &key));
        moved_at = rec.now();
        rec.line("version 8 is acknowledged: the key is the second tenant's");
    }
    let _ = client.join();
    edge.kill();
    let runs = runs.lock().unwrap();
    let late = runs.iter().filter(|it| it.0 > moved_at + REVOKE && it.1 == "first").count();
    rec.tell(&format!(
        "{} runs, {late} of them for the first tenant later than revokeMs",
        runs.len()
    ));
    exit(i32::from(late > 0));
}
