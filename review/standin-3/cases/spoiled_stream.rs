//! A server spoils an event of a stream that may be resumed and works on, as its run is not ended.

use std::{
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{config, entry};
use crate::{
    Outcome, Verdict,
    client::{exchange, head},
    edge::{Network, start_fleet},
    http::Message,
    record::Record,
    runner::{LAST_CHUNK, Next, Runner, STREAM_FIELDS, event, respond, response, write},
    store::Store,
};

const KEY: &str = "a-key";
const EVENTS: u32 = 30;
/// The event that the first run spoils.
const SPOILED: u32 = 4;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// For how long a run may still be at work when its request goes on elsewhere.
const ALLOWED: Duration = Duration::from_millis(400);
/// An instance has no retries before the window of the budget (`budgetWindowS`) has passed.
const SETTLE: Duration = Duration::from_secs(12);

/// A run of the stream.
#[derive(Clone, Copy)]
struct Run {
    from: u32,
    began: Instant,
    ended: Option<Instant>,
}

/// The runs of all servers.
#[derive(Default)]
struct Runs {
    all: Mutex<Vec<Run>>,
    /// Set by a call that ends the run.
    is_told_to_end: AtomicBool,
}

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    let text = config(7, &[("tenant-a", &[KEY])]);
    let text = text.replace(r#""moves":false,"backups":false"#, r#""moves":true,"backups":true"#);
    store.put("op/config", &text);
    let runs: Arc<Runs> = Arc::default();
    for name in ["i-1", "i-2", "i-3"] {
        let (runs, record_of_runs) = (Arc::clone(&runs), record.clone());
        let runner = Runner::start(&network.ip(), name, record, move |request, stream| {
            if request.target() == "/clementinehall/kv-move" {
                runs.is_told_to_end.store(true, Ordering::SeqCst);
                return respond(stream, request, r#"{"kvHandle":"h1","created":3}"#);
            }
            run(request, stream, &runs, &record_of_runs, has_trouble)
        })?;
        runner.register(&store, &entry("modelo", 128, "ready"));
    }
    let fleet = start_fleet(&network, &store, 1, record)?;
    thread::sleep(SETTLE);

    let fields = "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 1800,180\r\n\
                  X-Clementinehall-Deadline-Ms: 12000\r\nContent-Length: 0\r\n";
    let request = head("POST", "/sintesis/x", "stream", KEY, fields);
    let answer = exchange(fleet[0].addresses.front, request.as_bytes());
    let (answer, is_complete) = answer.map_err(|err| format!("client: {err}"))?;
    record.note(&format!("the stream is answered {}, complete: {is_complete}", answer.status()));
    thread::sleep(EVENT_PAUSE * EVENTS);
    let all = runs.all.lock().unwrap().clone();
    let [first, rest @ ..] = all.as_slice() else { return Err("nothing ran".to_owned()) };
    let Some(second) = rest.first() else {
        return Ok(Verdict::Held("the stream ran once".to_owned()));
    };
    let overlap = first.ended.unwrap_or_else(Instant::now).saturating_duration_since(second.began);
    let told = runs.is_told_to_end.load(Ordering::SeqCst);
    let seen = format!(
        "the stream went on elsewhere behind event {}, and the run before worked on for {overlap:.1?}; it \
         was told to end: {told}",
        second.from - 1
    );
    Ok(if overlap > ALLOWED { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}

/// Runs the stream from behind the event that the request names. The run does not end with its connection.
fn run(
    request: &Message,
    out: &mut TcpStream,
    runs: &Runs,
    record: &Record,
    has_trouble: bool,
) -> Next {
    let last = request.field("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let number = {
        let mut all = runs.all.lock().unwrap();
        all.push(Run { from: last + 1, began: Instant::now(), ended: None });
        all.len() - 1
    };
    let spoils = has_trouble && number == 0;
    write(out, &response(request, 200, STREAM_FIELDS));
    for id in last + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        if number == 0 && runs.is_told_to_end.load(Ordering::SeqCst) {
            break;
        }
        if spoils && id == SPOILED {
            write(out, "9\r\n\u{1}\u{2}?x\n?y\n\n\r\n");
        } else {
            write(out, &event(id));
        }
    }
    runs.all.lock().unwrap()[number].ended = Some(Instant::now());
    record.note(&format!("run {number} ends"));
    write(out, LAST_CHUNK)
}
