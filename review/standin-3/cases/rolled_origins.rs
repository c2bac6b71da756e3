//! Instances are stopped and started in turn while servers of two software versions serve, and clients take
//! up the streams that the first stop has cut.

use std::{
    io::{self, BufRead as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use super::{config, entry_of_version};
use crate::{
    Outcome, Verdict,
    client::{Connection, head},
    edge::{Network, seeds, start_fleet},
    http::{Message, read_head},
    record::Record,
    runner::{LAST_CHUNK, Next, Runner, STREAM_FIELDS, event, response, write},
    store::Store,
};

const KEY: &str = "a-key";
const INSTANCES: usize = 3;
const STREAMS: usize = 14;
/// Time between two stops.
const GAP: Duration = Duration::from_secs(2);
/// The deadline of the streams.
const DEADLINE: Duration = Duration::from_secs(12);
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const EVENTS: u32 = 55;
/// Time after which a client takes its stream up. The second instance has been in touch for `contactMs` then.
const RETURN_AFTER: Duration = Duration::from_secs(1);
/// When clients leave the first instance if nothing is stopped.
const LEAVE_AFTER: Duration = Duration::from_secs(8);

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config(7, &[("tenant-a", &[KEY])]));
    for (name, version) in [("i-1", "v1"), ("i-2", "v2"), ("i-3", "v1"), ("i-4", "v2")] {
        let runner = Runner::start(&network.ip(), name, record, stream)?;
        runner.register(&store, &entry_of_version("modelo", 128, "ready", version));
    }
    let mut fleet = start_fleet(&network, &store, INSTANCES, record)?;
    let seeds = seeds(fleet.iter().map(|it| &it.addresses));
    let fronts: Vec<_> = fleet.iter().map(|it| it.addresses.front).collect();
    thread::sleep(Duration::from_secs(4));

    let start = |id: String, from: SocketAddr, to: SocketAddr| {
        let record = record.clone();
        let leave_after = if has_trouble { DEADLINE } else { LEAVE_AFTER };
        thread::spawn(move || take_up_later(&id, from, to, leave_after, &record))
    };
    let (first, second) = (fronts[0], fronts[1]);
    let streams: Vec<_> =
        (0..STREAMS).map(|no| start(format!("stream-{no}"), first, second)).collect();
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        thread::scope(|scope| {
            for (no, edge) in fleet.iter_mut().enumerate() {
                let (store, seeds) = (&store, &seeds);
                scope.spawn(move || {
                    thread::sleep(GAP * no as u32);
                    record.note(&format!("SIGTERM to {}", edge.addresses.front));
                    let result = edge.terminate();
                    let result = result.and_then(|()| edge.start_again(store, seeds, record));
                    if let Err(err) = result {
                        record.note(&err);
                    }
                });
            }
        });
    }
    let results: Vec<_> =
        streams.into_iter().map(|it| it.join().unwrap_or(Taken::NotCut)).collect();
    let cut = results.iter().filter(|it| **it != Taken::NotCut).count();
    let gone_on = results.iter().filter(|it| **it == Taken::GoesOn).count();
    let begun = (0..STREAMS)
        .filter(|no| {
            let id = format!("new-{no}");
            open_stream(second, &id, "", DEADLINE, record).is_ok_and(|it| it.1 == 200)
        })
        .count();
    let seen = format!(
        "{gone_on} of {cut} streams went on as their clients took them up, {begun} of {STREAMS} new ones \
         began at the same instance"
    );
    if cut < 12 {
        return Err(seen);
    }
    // The share that goes on is under half of the share that begins.
    let is_broken = 2 * gone_on * STREAMS < begun * cut;
    Ok(if is_broken { Verdict::Broken(seen) } else { Verdict::Held(seen) })
}

/// What becomes of a stream that breaks off.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Taken {
    NotCut,
    GoesOn,
    Refused,
}

/// Reads a stream until it breaks off or for some time, and then takes it up at another instance.
fn take_up_later(
    id: &str,
    from: SocketAddr,
    to: SocketAddr,
    leave_after: Duration,
    record: &Record,
) -> Taken {
    let started = Instant::now();
    let mut last = 0;
    match open_stream(from, id, "", DEADLINE, record) {
        Ok((mut connection, 200)) => {
            while started.elapsed() < leave_after
                && let Ok(Some(number)) = next_event(&mut connection)
            {
                last = number;
            }
        }
        Ok((_, status)) => record.note(&format!("{id} is answered {status}")),
        Err(err) => record.note(&format!("{id}: {err}")),
    }
    if last == 0 || last == EVENTS {
        return Taken::NotCut;
    }
    record.note(&format!("{id} is broken off after event {last}"));
    thread::sleep(RETURN_AFTER);
    let left = DEADLINE.saturating_sub(started.elapsed());
    let fields = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
    let again = format!("{id}-again");
    let number = match open_stream(to, &again, &fields, left, record) {
        Ok((mut connection, 200)) => next_event(&mut connection).ok().flatten(),
        _ => None,
    };
    record.note(&format!("{again} goes on with event {number:?}"));
    if number == Some(last + 1) { Taken::GoesOn } else { Taken::Refused }
}

/// Asks for a stream and reads the head of the answer. Returns the status.
fn open_stream(
    front: SocketAddr,
    id: &str,
    more: &str,
    deadline: Duration,
    record: &Record,
) -> io::Result<(Connection, u16)> {
    let fields = format!(
        "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 1800,330\r\n\
         X-Clementinehall-Deadline-Ms: {}\r\nContent-Length: 0\r\n{more}",
        deadline.as_millis()
    );
    let mut connection = Connection::open(front)?;
    connection.send(head("POST", "/sintesis/x", id, KEY, &fields).as_bytes())?;
    record.note(&format!("{id} is sent to {front}"));
    let status = read_head(&mut connection.reader)?.map_or(0, |it| it.status());
    record.note(&format!("{id} is answered {status}"));
    Ok((connection, status))
}

/// Reads up to the end of an event and returns its number; `None` at the end of the stream.
fn next_event(connection: &mut Connection) -> io::Result<Option<u32>> {
    let (mut line, mut number) = (String::new(), None);
    loop {
        line.clear();
        if connection.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "0" => return Ok(None),
            "" if number.is_some() => return Ok(number),
            text => {
                let id = text.strip_prefix("id: ").and_then(|it| it.parse().ok());
                number = id.or(number);
            }
        }
    }
}

/// Answers with the events behind the one that the request names.
fn stream(request: &Message, out: &mut TcpStream) -> Next {
    let mut next = write(out, &response(request, 200, STREAM_FIELDS));
    let last = request.field("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
    for id in last + 1..=EVENTS {
        if next == Next::Close {
            return next;
        }
        next = write(out, &event(id));
        thread::sleep(EVENT_PAUSE);
    }
    write(out, LAST_CHUNK)
}
