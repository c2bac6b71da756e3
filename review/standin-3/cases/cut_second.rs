//! A server answers without a length and then once more, and its connection ends within the second head.

use std::{net::TcpStream, thread, time::Duration};

use super::{config, entry};
use crate::{
    Outcome, Verdict,
    client::{exchange, head},
    edge::{Network, start_fleet},
    http::Message,
    record::Record,
    runner::{Next, Runner, respond, response, write},
    store::Store,
};

const KEY: &str = "a-key";
const BODY: &str = "{\"saldo\":\"120.50\",\"moneda\":\"COP\"}";
const REQUESTS: usize = 5;

pub(crate) fn play(record: &Record, has_trouble: bool) -> Outcome {
    let network = Network::new();
    let store = Store::start(&network.ip())?;
    store.put("op/config", &config(7, &[("tenant-a", &[KEY])]));
    for name in ["i-1", "i-2"] {
        let runner = Runner::start(&network.ip(), name, record, move |request, stream| {
            answer(request, stream, has_trouble)
        })?;
        runner.register(&store, &entry("libro", 6, "ready"));
    }
    let fleet = start_fleet(&network, &store, 1, record)?;
    thread::sleep(Duration::from_secs(2));

    let mut wrong = 0;
    for no in 0..REQUESTS {
        let fields = "X-Clementinehall-Deadline-Ms: 4000\r\n";
        let request = head("GET", "/saldo/x", &format!("saldo-{no}"), KEY, fields);
        let answer = exchange(fleet[0].addresses.front, request.as_bytes());
        let (answer, is_complete) = answer.map_err(|err| format!("client: {err}"))?;
        let body = String::from_utf8_lossy(&answer.body);
        record.note(&format!(
            "saldo-{no} is answered {}, complete: {is_complete}, body {body:?}",
            answer.status()
        ));
        if answer.status() == 200 && is_complete && body != BODY {
            wrong += 1;
        }
    }
    Ok(if wrong > 0 {
        Verdict::Broken(format!(
            "{wrong} of {REQUESTS} answers are complete and have foreign bytes"
        ))
    } else {
        Verdict::Held(format!("no answer of {REQUESTS} has foreign bytes"))
    })
}

/// Answers with a body that ends with the connection. With `has_trouble`, a second answer follows and breaks
/// off in its head.
fn answer(request: &Message, stream: &mut TcpStream, has_trouble: bool) -> Next {
    if !has_trouble && request.id().ends_with('0') {
        return respond(stream, request, BODY);
    }
    let first = response(request, 200, &format!("Content-Type: application/json\r\n\r\n{BODY}"));
    let second = response(request, 200, "Content-Type: appli");
    let text = if has_trouble { first + &second } else { first };
    // The connection ends here.
    write(stream, &text);
    Next::Close
}
