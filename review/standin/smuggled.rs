//! A machine rejects a request and takes its body for the next request.

use std::time::Duration;

use crate::{
    Stage, Verdict,
    client::{Connection, Draft, new_id},
    config::{Tenant, config},
    machine::Plan,
    runner::{Runner, answer},
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const TENANTS: [Tenant<'static>; 1] = [Tenant { name: "hule930", keys: &[KEY], priority: 1 }];
/// Id of the request that nobody sends: it is text in the body of another one.
const INNER_ID: &str = "smuggled-request";

pub fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    stage.store.put("op/config", &config(1, &TENANTS, 8));
    let zones = ["zona-norte", "zona-sur", "zona-yumbo"];
    let work = Duration::from_millis(20);
    let _runners: Vec<_> = zones
        .iter()
        .map(|zone| Runner::start(&stage.runner("ledger", zone, 6), move |req| answer(req, work)))
        .collect();
    let fleet = stage.fleet(Plan { machines: 3, memory_mb: 110 })?;
    let mut foreign = 0;
    for machine in &fleet.machines {
        let mut connection = Connection::open(machine.front).map_err(|err| err.to_string())?;
        let mut send = |what: &str, id: &str, bytes: &[u8], method: &str| {
            record.say(format!("{what} {id} sent to {}", machine.name));
            let res = connection.exchange(bytes, method).map_err(|err| {
                record.say(format!("{id} not answered: {err}"));
                err.to_string()
            })?;
            let body = String::from_utf8_lossy(&res.body).into_owned();
            record.say(format!("{id} answered {}, as {:?}: {body}", res.status, res.id()));
            Ok::<_, String>(res)
        };
        let get = |id: &str| {
            let (method, path) = ("GET", "/ledger/1");
            let (key, more) = (Some(KEY), String::new());
            Draft { method, path, id, key, deadline_ms: 4_000, more, body: b"" }.encode()
        };

        let id = new_id("sound");
        let res = send("a sound request", &id, &get(&id), "GET")?;
        if res.status != 200 {
            return Err("a sound request was not served".to_owned());
        }

        // The body is a text that a user wrote. It looks like a request.
        let text = Draft {
            method: "POST",
            path: "/order/1",
            id: INNER_ID,
            key: Some(KEY),
            deadline_ms: 4_000,
            more: "Content-Length: 0\r\n".to_owned(),
            body: b"",
        };
        let text = text.encode();
        let id = new_id("outer");
        let outer = Draft {
            method: "POST",
            path: "/order/2",
            id: &id,
            key: Some(KEY),
            deadline_ms: 4_000,
            more: String::new(),
            body: &text,
        };
        let outer = outer.encode();
        let outer = if stage.has_trouble {
            // The client leaves out the id.
            let text = String::from_utf8(outer).map_err(|err| err.to_string())?;
            text.replacen(&format!("X-Clementinehall-Request-Id: {id}\r\n"), "", 1).into_bytes()
        } else {
            outer
        };
        let res = send("a request with a text as its body", &id, &outer, "POST")?;
        if res.closes() {
            record.say("the machine closes the connection");
            continue;
        }
        let id = new_id("sound");
        match send("a sound request", &id, &get(&id), "GET") {
            Ok(res) => foreign += u32::from(res.status < 300 && res.id() != id),
            Err(_) => record.say("the connection was closed"),
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    stage.keep_logs(&fleet);
    let inner = stage.runs().iter().filter(|run| run.request.id() == INNER_ID).count();
    let why = format!(
        "{inner} runs of a request that no client sent; {foreign} sound requests got its answer"
    );
    Ok(Verdict { is_broken: inner > 0, why })
}
