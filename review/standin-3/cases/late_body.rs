//! A key moves to another tenant while the body of a request with it is on its way.

use std::{net::TcpStream, thread, time::Duration};

use super::{config, entry};
use crate::{
    Outcome, Verdict,
    client::{Connection, exchange, head},
    edge::{Network, start_fleet},
    http::Message,
    record::Record,
    runner::{LAST_CHUNK, Next, Runner, STREAM_FIELDS, event, response, write},
    store::Store,
};

const KEY: &str = "moving-key";
/// A key that is taken away and given to nobody.
const REVOKED_KEY: &str = "revoked-key";
/// Time from the acknowledgement of the new configuration to the end of the body: more than `revokeMs`, which
/// is 5 s, and `configApplyMs`, which is 2 s.
const AFTER_CHANGE: Duration = Duration::from_millis(6_500);
const BODY: &str = "0123456789012345678901234567890123456789";

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    let first = config(7, &[("tenant-a", &[KEY, REVOKED_KEY]), ("tenant-b", &["other-key"])]);
    store.put("op/config", &first);
    let runner = Runner::start(&network.ip(), "i-model", record, stream)?;
    runner.register(&store, &entry("modelo", 128, "ready"));
    let fleet = start_fleet(&network, &store, 1, record)?;
    let front = fleet[0].addresses.front;
    thread::sleep(Duration::from_secs(2));

    let fields = format!(
        "X-Clementinehall-Model: m\r\nX-Clementinehall-Token-Counts: 543,80\r\n\
         X-Clementinehall-Prefix-Hash: 5c1e07a2:103,e4402b7d:440\r\n\
         X-Clementinehall-Deadline-Ms: 12000\r\nContent-Length: {}\r\n",
        BODY.len()
    );
    let request = |id: &str, key: &str| head("POST", "/charla/x", id, key, &fields);
    let fail = |err: std::io::Error| format!("client: {err}");
    let (begin, rest) = BODY.split_at(BODY.len() / 2);
    let mut slow = Connection::open(front).map_err(fail)?;
    slow.send(format!("{}{begin}", request("slow", KEY)).as_bytes()).map_err(fail)?;
    let mut revoked = Connection::open(front).map_err(fail)?;
    revoked.send(format!("{}{begin}", request("revoked", REVOKED_KEY)).as_bytes()).map_err(fail)?;
    record.note("the heads and half of the bodies of `slow` and `revoked` were sent");
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        let second = config(8, &[("tenant-a", &[]), ("tenant-b", &["other-key", KEY])]);
        store.put("op/config", &second);
        record.note("version 8 is acknowledged: the key belongs to tenant-b");
    }
    thread::sleep(AFTER_CHANGE);
    for (id, key) in [("whole", KEY), ("whole-revoked", REVOKED_KEY)] {
        let whole = format!("{}{BODY}", request(id, key));
        let (answer, _) = exchange(front, whole.as_bytes()).map_err(fail)?;
        record.note(&format!("`{id}`, sent now, is answered {}", answer.status()));
    }
    for (id, client) in [("slow", &mut slow), ("revoked", &mut revoked)] {
        client.send(rest.as_bytes()).map_err(fail)?;
        record.note(&format!("the rest of the body of `{id}` was sent"));
        let status = client.receive().map_or(0, |it| it.0.status());
        record.note(&format!("`{id}` is answered {status}"));
    }

    let arrivals = runner.arrivals.lock().unwrap().clone();
    let tenant = |id: &str| {
        let arrival = arrivals.iter().find(|it| it.request.id() == id);
        arrival.map(|it| it.request.field("X-Clementinehall-Tenant").unwrap_or("-").to_owned())
    };
    let holder = if has_trouble { "tenant-b" } else { "tenant-a" };
    if tenant("whole").as_deref() != Some(holder) {
        return Err(format!("`whole` ran for {:?}, not for {holder}", tenant("whole")));
    }
    record.note(&format!("`revoked` ran for {:?}", tenant("revoked")));
    Ok(match tenant("slow") {
        Some(ran) if ran != holder => Verdict::Broken(format!(
            "`slow` ran for {ran}, and {holder} has held its key for {AFTER_CHANGE:?}"
        )),
        ran => Verdict::Held(format!("`slow` ran for {ran:?}, the key belongs to {holder}")),
    })
}

/// Answers with a stream of two events.
fn stream(request: &Message, stream: &mut TcpStream) -> Next {
    let head = response(request, 200, STREAM_FIELDS);
    write(stream, &format!("{head}{}{}{LAST_CHUNK}", event(1), event(2)))
}
