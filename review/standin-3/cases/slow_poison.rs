//! A part of a prompt crashes each server that begins to answer it, and requests with it come now and then.

use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use super::{config, entry};
use crate::{
    Outcome, Verdict,
    client::exchange,
    edge::{Network, start_fleet},
    http::Message,
    load::{Load, stream_head},
    record::Record,
    runner::{LAST_CHUNK, Next, Runner, STREAM_FIELDS, event, response, write},
    store::Store,
};

const KEY: &str = "a-key";
const PATH: &str = "/charla/x";
const INSTANCES: usize = 3;
const SERVERS: usize = 9;
/// Requests with the part that come at about the same time, one at each instance, and the time between.
const ROUNDS: usize = 5;
const ROUND_TIME: Duration = Duration::from_secs(17);
/// Crashes after which the part must be known, the time for it (`contactMs`), and requests that may reach
/// servers after that.
const CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;
/// Time to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(40);

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config(7, &[("tenant-a", &[KEY])]));
    let mut runners = Vec::new();
    for no in 0..SERVERS {
        let runner = Runner::start(&network.ip(), &format!("i-{no}"), record, stream)?;
        runner.register(&store, &entry("modelo", 128, "ready"));
        runners.push(runner);
    }
    let fleet = start_fleet(&network, &store, INSTANCES, record)?;
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = fleet.iter().map(|it| it.addresses.front).collect();
    let sound = |id: &str| format!("5c1e07a2:800,{}", own_parts(id));
    let loads: Vec<_> =
        fronts.iter().map(|it| Load::start_streams(*it, 2, (PATH, KEY), record, sound)).collect();
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_secs(1));
        let mut clients = Vec::new();
        for (no, front) in fronts.iter().copied().enumerate().filter(|_| has_trouble) {
            let id = format!("deadly-{round}-{no}");
            let request = stream_head(PATH, &id, KEY, &format!("dead:800,{}", own_parts(&id)));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let status = exchange(front, request.as_bytes()).map_or(0, |it| it.0.status());
                record.note(&format!("{id} is answered {status}"));
            }));
        }
        thread::sleep(ROUND_TIME - Duration::from_secs(1));
        for client in clients {
            // A client that panicked has told so.
            let _ = client.join();
        }
    }
    drop(loads);

    let mut crashes: Vec<Instant> = runners.iter().flat_map(Runner::crashes).collect();
    crashes.sort_unstable();
    let Some(fifth) = crashes.get(CRASHES - 1).copied() else {
        let seen = format!("{} servers crashed", crashes.len());
        return Ok(Verdict::Held(seen));
    };
    let arrivals = runners.iter().flat_map(|it| it.arrivals.lock().unwrap().clone());
    let late = arrivals.filter(|it| is_deadly(&it.request) && it.at > fifth + CONTACT).count();
    let seen = format!(
        "{late} requests with the part reached servers over {CONTACT:?} after the fifth of {} crashes, \
         {ALLOWED} may",
        crashes.len()
    );
    Ok(if late > ALLOWED { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}

/// Returns a part that some requests share and one of the request's own.
fn own_parts(id: &str) -> String {
    let hash = id.bytes().fold(7_u32, |hash, byte| hash.wrapping_mul(31) ^ u32::from(byte));
    format!("{:x}:400,{hash:x}:600", 0x91bd_3f00 + hash % 40)
}

fn is_deadly(request: &Message) -> bool {
    let parts = request.field("X-Clementinehall-Prefix-Hash");
    parts.is_some_and(|it| it.starts_with("dead:"))
}

/// Answers with a stream of two events, or crashes as the answer begins.
fn stream(request: &Message, out: &mut TcpStream) -> Next {
    thread::sleep(FIRST_EVENT);
    let head = response(request, 200, STREAM_FIELDS);
    if is_deadly(request) {
        write(out, &head);
        return Next::Crash;
    }
    write(out, &format!("{head}{}{}{LAST_CHUNK}", event(1), event(2)))
}
