//! A runner that is cold becomes cold again, so that it is cold for longer than it first said.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Stage, Verdict,
    client::{Connection, Draft, new_id},
    config::{Tenant, config},
    machine::Plan,
    runner::{Runner, RunnerSetup, answer},
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const TENANTS: [Tenant<'static>; 1] = [Tenant { name: "hule930", keys: &[KEY], priority: 1 }];
/// `coldStartS` of the service, and when the runner becomes cold again.
const COLD: Duration = Duration::from_secs(3);
const AGAIN_AFTER: Duration = Duration::from_secs(2);
/// `coldPerS` x `coldOverage` + `coldSlack`.
const LIMIT: usize = 35;
const SECOND: Duration = Duration::from_secs(1);
/// The time between two requests to one machine.
const GAP: Duration = Duration::from_micros(12_500);

pub fn play(stage: &Stage) -> Result<Verdict, String> {
    let record = &stage.record;
    stage.store.put("op/config", &config(1, &TENANTS, 8));
    let work = Duration::from_millis(60);
    let mut runners: Vec<_> = ["zona-norte", "zona-sur"]
        .iter()
        .map(|zone| Runner::start(&stage.runner("models", zone, 128), move |req| answer(req, work)))
        .collect();
    let fleet = stage.fleet(Plan { machines: 3, memory_mb: 110 })?;
    let begin = record.now();
    let end = begin + Duration::from_secs(14);
    let clients: Vec<_> = fleet
        .machines
        .iter()
        .map(|machine| {
            let (front, record) = (machine.front, Arc::clone(record));
            thread::spawn(move || {
                while record.now() < end {
                    thread::sleep(GAP);
                    let record = Arc::clone(&record);
                    thread::spawn(move || {
                        let id = new_id("chat");
                        let more = "X-Clementinehall-Model: m\r\n\
                                    X-Clementinehall-Token-Counts: 600,10\r\n";
                        let (path, key, more) = ("/chat/1", Some(KEY), more.to_owned());
                        let (method, body) = ("POST", b"a prompt");
                        let draft =
                            Draft { method, path, id: &id, key, deadline_ms: 4_000, more, body };
                        record.add(format!("{id} sent to {front}"));
                        let answered = Connection::open(front)
                            .and_then(|mut it| it.exchange(&draft.encode(), "POST"));
                        match answered {
                            Ok(res) => record.add(format!("{id} answered {}", res.status)),
                            Err(err) => record.add(format!("{id} not answered: {err}")),
                        }
                    });
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let setup = RunnerSetup { cold: COLD, ..stage.runner("models", "zona-yumbo", 128) };
    let cold_from = record.now();
    let cold = Runner::start(&setup, move |req| answer(req, work));
    let id = cold.id();
    record.say(format!("{id} starts and is cold for 3 s"));
    let mut cold_until = cold_from + COLD;
    thread::sleep(AGAIN_AFTER);
    if stage.has_trouble {
        cold_until = record.now() + COLD;
        cold.become_cold();
        record.say(format!("{id} becomes cold again, for 3 s from now"));
    }
    runners.push(cold);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    stage.keep_logs(&fleet);
    let times: Vec<_> = stage
        .runs()
        .iter()
        .filter(|run| run.runner == id && run.at < cold_until)
        .map(|run| run.at)
        .collect();
    let in_second =
        |from: Duration| times.iter().filter(move |at| **at >= from && **at < from + SECOND);
    let most = times.iter().map(|from| (in_second(*from).count(), *from)).max();
    let (most, from) = most.ok_or("the cold runner got no request")?;
    let after = from.saturating_sub(cold_from).as_millis();
    let why = format!(
        "the cold runner got {most} requests in the second that began {after} ms after its start, {LIMIT} are allowed"
    );
    Ok(Verdict { is_broken: most > LIMIT, why })
}
