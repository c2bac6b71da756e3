//! An instance is asked to stop while a request waits there for a place at a server.

use std::{
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{config_with_slots, entry};
use crate::{
    Outcome, Verdict,
    client::{exchange, head},
    edge::{Network, start_fleet},
    http::Message,
    record::Record,
    runner::{LAST_CHUNK, Next, Runner, STREAM_FIELDS, event, response, write},
    store::Store,
};

const KEY: &str = "a-key";
/// Requests that the server runs at the same time.
const SLOTS: u32 = 6;
/// More than the server takes: the rest waits.
const LONG_STREAMS: usize = 24;
/// From this size on, instances add up their loads and know how long waiting is useful.
const INSTANCES: usize = 14;
/// Time between two events, and events of a short and of a long stream.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const SHORT: u32 = 3;
const LONG: u32 = 110;

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config_with_slots(7, &[("tenant-a", &[KEY])], SLOTS));
    let runner = Runner::start(&network.ip(), "i-model", record, stream)?;
    runner.register(&store, &entry("modelo", SLOTS, "ready"));
    let fleet = start_fleet(&network, &store, INSTANCES, record)?;
    thread::sleep(Duration::from_secs(6));
    let (stopping, other) = (&fleet[0], &fleet[1]);

    // The instances learn how long streams take.
    for no in 0..10 {
        for (place, edge) in [("a", stopping), ("b", other)] {
            ask(edge.addresses.front, &format!("short-{place}-{no}"), record);
        }
    }
    let start = |id: String, front: SocketAddr| {
        let record = record.clone();
        thread::spawn(move || ask(front, &id, &record))
    };
    let long: Vec<JoinHandle<u16>> =
        (0..LONG_STREAMS).map(|no| start(format!("long-{no}"), stopping.addresses.front)).collect();
    thread::sleep(Duration::from_secs(1));
    let waiting = start("short-waiting".to_owned(), stopping.addresses.front);
    thread::sleep(Duration::from_millis(500));
    if runner.has_got("short-waiting") {
        return Err("the request did not have to wait".to_owned());
    }
    if has_trouble {
        stopping.terminate()?;
        record.note("SIGTERM");
    }
    let is_stopped = Instant::now();
    let status = waiting.join().map_err(|_| "a client failed".to_owned())?;
    let after = is_stopped.elapsed();
    drop(fleet);
    for client in long {
        let _ = client.join();
    }
    let has_run = runner.has_got("short-waiting");
    let seen =
        format!("the waiting request got status {status} after {after:.1?}; it ran: {has_run}");
    Ok(if status == 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}

/// Asks for a stream and returns the status; 0 if the connection ends without a complete answer.
fn ask(front: SocketAddr, id: &str, record: &Record) -> u16 {
    let fields = "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 1800,24\r\n\
                  X-Clementinehall-Deadline-Ms: 12000\r\nContent-Length: 0\r\n";
    let request = head("POST", "/charla/x", id, KEY, fields);
    record.note(&format!("{id} is sent to {front}"));
    let status = match exchange(front, request.as_bytes()) {
        Ok((answer, true)) => answer.status(),
        Ok((answer, false)) => {
            record.note(&format!("{id}: {} breaks off", answer.status()));
            0
        }
        Err(err) => {
            record.note(&format!("{id}: {err}"));
            0
        }
    };
    record.note(&format!("{id} ends with {status}"));
    status
}

/// Answers with a stream, which is long or short as the request's id says.
fn stream(request: &Message, out: &mut TcpStream) -> Next {
    let mut next = write(out, &response(request, 200, STREAM_FIELDS));
    let events = if request.id().starts_with("long") { LONG } else { SHORT };
    for id in 1..=events {
        thread::sleep(EVENT_PAUSE);
        if next == Next::Close {
            return next;
        }
        next = write(out, &event(id));
    }
    write(out, LAST_CHUNK)
}
