//! A server spoils an event of a stream that may be resumed and works on, as nothing ends its run.

use std::{
    collections::BTreeMap,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{config, entry};
use crate::{
    Outcome, Verdict,
    edge::{Network, start_fleet},
    http::Message,
    load::Load,
    record::Record,
    runner::{LAST_CHUNK, Next, Runner, STREAM_FIELDS, event, respond, response, write},
    store::Store,
};

const KEY: &str = "a-key";
const SERVERS: usize = 3;
const CLIENTS: usize = 110;
const EVENTS: u32 = 15;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// The event that is spoiled.
const SPOILED: u32 = 4;
/// When one of the servers begins to spoil streams, and for how long. An instance has no retries before the
/// window of the budget has passed (`budgetWindowS`).
const BEGIN: Duration = Duration::from_secs(13);
const SPAN: Duration = Duration::from_millis(5_500);
/// It spoils one stream of this many.
const ONE_OF: usize = 50;
/// For how long a run may be at work after its request has gone on elsewhere.
const ALLOWED: Duration = Duration::from_millis(400);

/// A run of a stream.
#[derive(Clone, Copy)]
struct Run {
    from: u32,
    began: Instant,
    ended: Option<Instant>,
    is_told_to_end: bool,
}

/// The runs of all servers, by the id of their request.
type Runs = Mutex<BTreeMap<String, Vec<Run>>>;

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    let text = config(7, &[("tenant-a", &[KEY])]);
    let text = text.replace(r#""moves":false,"backups":false"#, r#""moves":true,"backups":true"#);
    store.put("op/config", &text);
    let runs: Arc<Runs> = Arc::default();
    let begin = Instant::now() + BEGIN;
    for no in 0..SERVERS {
        let (runs, record_of_server) = (Arc::clone(&runs), record.clone());
        let (count, spoils) = (AtomicUsize::new(0), has_trouble && no == 0);
        let runner =
            Runner::start(&network.ip(), &format!("i-{no}"), record, move |request, out| {
                if request.target() == "/clementinehall/kv-move" {
                    end_run(request, &runs);
                    return respond(out, request, r#"{"kvHandle":"h1","created":3}"#);
                }
                let is_time = Instant::now() >= begin && Instant::now() < begin + SPAN;
                let is_spoiled = spoils
                    && is_time
                    && count.fetch_add(1, Ordering::SeqCst) % ONE_OF == ONE_OF / 2;
                if is_spoiled {
                    record_of_server.note(&format!("the stream {} is spoiled", request.id()));
                }
                run(request, out, &runs, is_spoiled)
            })?;
        runner.register(&store, &entry("modelo", 128, "ready"));
    }
    let fleet = start_fleet(&network, &store, 1, record)?;
    let front = fleet[0].addresses.front;
    let load =
        Load::start_streams(front, CLIENTS, ("/sintesis/x", KEY), record, |_| "e4:600".into());
    thread::sleep(begin.saturating_duration_since(Instant::now()) + SPAN + Duration::from_secs(1));
    let answers = load.stop();
    thread::sleep(EVENT_PAUSE * EVENTS);

    let mut doubled = 0;
    let mut longest = Duration::ZERO;
    for (id, runs) in runs.lock().unwrap().iter() {
        for pair in runs.windows(2) {
            let ended = pair[0].ended.unwrap_or_else(Instant::now);
            let overlap = ended.saturating_duration_since(pair[1].began);
            record.note(&format!(
                "{id} went on behind event {}; the run before worked on for {overlap:.2?}, told to end: {}",
                pair[1].from - 1,
                pair[0].is_told_to_end
            ));
            doubled += usize::from(overlap > ALLOWED);
            longest = longest.max(overlap);
        }
    }
    let seen = format!(
        "{doubled} of {} streams went on elsewhere while the run before worked on, for up to {longest:.1?}",
        answers.len()
    );
    Ok(if doubled > 0 { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}

/// Ends the run that a call names.
fn end_run(call: &Message, runs: &Runs) {
    let body = String::from_utf8_lossy(&call.body);
    for (id, runs) in runs.lock().unwrap().iter_mut() {
        if body.contains(&format!("\"{id}\"")) {
            runs.iter_mut().for_each(|run| run.is_told_to_end = true);
        }
    }
}

/// Runs the stream from behind the event that the request names. The run does not end with its connection.
fn run(request: &Message, out: &mut TcpStream, runs: &Runs, is_spoiled: bool) -> Next {
    let last = request.field("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let id = request.id().to_owned();
    let number = {
        let mut all = runs.lock().unwrap();
        let of_request = all.entry(id.clone()).or_default();
        let run = Run { from: last + 1, began: Instant::now(), ended: None, is_told_to_end: false };
        of_request.push(run);
        of_request.len() - 1
    };
    let mut next = write(out, &response(request, 200, STREAM_FIELDS));
    for event_id in last + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        if runs.lock().unwrap()[&id][number].is_told_to_end {
            break;
        }
        if next == Next::Close {
            continue;
        }
        next = if is_spoiled && event_id == SPOILED {
            write(out, "9\r\n\u{1}\u{2}?x\n?y\n\n\r\n")
        } else {
            write(out, &event(event_id))
        };
    }
    if let Some(run) = runs.lock().unwrap().get_mut(&id).and_then(|it| it.get_mut(number)) {
        run.ended = Some(Instant::now());
    }
    if next == Next::Close { next } else { write(out, LAST_CHUNK) }
}
