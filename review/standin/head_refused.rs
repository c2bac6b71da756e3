//! A machine refuses HEAD requests with a body.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Stage, Verdict,
    client::{Connection, Draft, new_id},
    config::{Tenant, config},
    machine::Plan,
    runner::{Runner, Step, answer, head},
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const TENANTS: [Tenant<'static>; 1] = [Tenant { name: "hule930", keys: &[KEY], priority: 1 }];
/// How long the store is down.
const CUT: Duration = Duration::from_secs(8);

pub fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    stage.store.put("op/config", &config(1, &TENANTS, 8));
    let _runners: Vec<_> = ["zona-norte", "zona-sur", "zona-yumbo"]
        .iter()
        .map(|zone| {
            Runner::start(&stage.runner("ledger", zone, 6), |req| match req.method.as_str() {
                "HEAD" => {
                    let head = head(req, 200, "Content-Length: 20\r\n");
                    vec![Step::Wait(Duration::from_millis(20)), Step::Write(head.into_bytes())]
                }
                _ => answer(req, Duration::from_millis(20)),
            })
        })
        .collect();
    let fleet = stage.fleet(Plan { machines: 3, memory_mb: 110 })?;
    let machine = &fleet.machines[0];
    let begin = record.now();
    let (front, asking) = (machine.front, Arc::clone(record));
    let client = thread::spawn(move || {
        let mut mixed = 0;
        let mut connection = None;
        let mut no = 0;
        while asking.now() < begin + CUT + Duration::from_secs(3) {
            thread::sleep(Duration::from_millis(100));
            let Some(mut open) = connection.take().or_else(|| Connection::open(front).ok()) else {
                continue;
            };
            no += 1;
            let method = if no % 2 == 0 { "GET" } else { "HEAD" };
            let id = new_id("look");
            let (path, key, more) = ("/ledger/1", Some(KEY), String::new());
            let draft = Draft { method, path, id: &id, key, deadline_ms: 4_000, more, body: b"" };
            asking.add(format!("{method} {id} sent"));
            match open.exchange(&draft.encode(), method) {
                Ok(res) => {
                    asking.add(format!("{id} answered {} as {:?}", res.status, res.id()));
                    mixed += u32::from(res.id() != id);
                    if !res.closes() {
                        connection = Some(open);
                    }
                }
                Err(err) => {
                    asking.add(format!("{id} answered with no answer: {err}"));
                    mixed += u32::from(err.kind() == std::io::ErrorKind::InvalidData);
                }
            }
        }
        mixed
    });
    thread::sleep(Duration::from_secs(1));
    if stage.has_trouble {
        fleet.machines.iter().for_each(|it| it.link.set_cut(true));
        record.say("the store is down");
    }
    thread::sleep(CUT);
    fleet.machines.iter().for_each(|it| it.link.set_cut(false));
    record.say("the store is back");
    let mixed = client.join().map_err(|_| "the client failed".to_owned())?;
    stage.keep_logs(&fleet);
    let why = format!("{mixed} requests got bytes that are no answer, or another's answer");
    Ok(Verdict { is_broken: mixed > 0, why })
}
