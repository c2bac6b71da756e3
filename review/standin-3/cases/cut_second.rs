//! A server answers without a length and then once more, and its connection ends within the second head.

use std::{
    net::TcpStream,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use super::{SERVICE_TIME, config, entry};
use crate::{
    Outcome, Verdict,
    edge::{Network, start_fleet},
    http::Message,
    load::Load,
    record::Record,
    runner::{Next, Runner, respond, response, write},
    store::Store,
};

const KEY: &str = "a-key";
const BODY: &str = "{\"saldo\":\"120.50\",\"moneda\":\"COP\"}";
const SERVERS: usize = 3;
const CLIENTS: usize = 10;
/// When one of the servers begins to spoil answers, and for how long.
const BEGIN: Duration = Duration::from_secs(6);
const SPAN: Duration = Duration::from_secs(5);
/// It spoils one answer of this many, fewer than 3 in 100.
const ONE_OF: usize = 34;

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config(7, &[("tenant-a", &[KEY])]));
    let begin = Instant::now() + BEGIN;
    for no in 0..SERVERS {
        let (count, record_of_server) = (AtomicUsize::new(0), record.clone());
        let spoils = has_trouble && no == 0;
        let runner =
            Runner::start(&network.ip(), &format!("i-{no}"), record, move |request, out| {
                thread::sleep(SERVICE_TIME);
                let is_time = Instant::now() >= begin && Instant::now() < begin + SPAN;
                let is_spoiled = spoils
                    && is_time
                    && count.fetch_add(1, Ordering::SeqCst) % ONE_OF == ONE_OF / 2;
                if !is_spoiled {
                    return respond(out, request, BODY);
                }
                record_of_server.note(&format!("the answer to {} is spoiled", request.id()));
                answer_twice(request, out)
            })?;
        runner.register(&store, &entry("libro", 6, "ready"));
    }
    let fleet = start_fleet(&network, &store, 1, record)?;
    let load = Load::start(fleet[0].addresses.front, CLIENTS, KEY, record);
    thread::sleep(begin.saturating_duration_since(Instant::now()) + SPAN + Duration::from_secs(1));
    let answers = load.stop();

    let wrong: Vec<_> = answers.iter().filter(|it| it.body != BODY.as_bytes()).collect();
    for answer in wrong.iter().take(3) {
        let body = String::from_utf8_lossy(&answer.body);
        record.note(&format!("{} has got {body:?}", answer.id));
    }
    let seen = format!(
        "{} of {} complete answers with status 200 have foreign bytes",
        wrong.len(),
        answers.len()
    );
    Ok(if wrong.is_empty() { Verdict::Held(seen) } else { Verdict::Broken(seen) })
}

/// Answers with a body that ends with the connection, and then once more, up to the middle of the head.
fn answer_twice(request: &Message, out: &mut TcpStream) -> Next {
    let first = response(request, 200, &format!("Content-Type: application/json\r\n\r\n{BODY}"));
    let second = response(request, 200, "Content-Type: appli");
    write(out, &(first + &second));
    Next::Close
}
