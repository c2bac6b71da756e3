//! HTTP endpoints for readiness checks and metrics.

use std::{io, rc::Rc};

use aio::deadline;
use async_net::{TcpListener, TcpStream};
use dispatch::{Event, State};
use futures_lite::AsyncWriteExt as _;
use http1::{Buffered, RequestHead};
use model::prelude::*;
use serde_json::json;

use crate::{Instance, caller::close, part_id::PartId};

/// The path under which operators see and decide which prompt parts are held back.
const PROMPT_PARTS: &str = "/prompt-parts";
/// The path under which operators see what the instance knows and keeps.
const STATUS: &str = "/status";

/// Size limit of a request's head; the connection of a larger one is closed.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// Time in which a request's head must arrive, idle time before it included.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted, so that a lasting error does not busy-loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for as long as the process runs.
pub(crate) async fn serve(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_connection(Rc::clone(&instance), stream);
                instance.executor.spawn(serving).detach();
            }
            Err(err) => {
                log::warn!("cannot accept a connection to the status endpoint: {err}");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(instance: Rc<Instance>, stream: TcpStream) {
    let mut input = Buffered::new(stream.clone());
    let serving = async {
        while serve_request(&instance, &stream, &mut input).await? {}
        io::Result::Ok(())
    };
    if let Err(err) = serving.await {
        log::trace!("cannot write a status response: {err}");
    }
    close(&stream, &mut input).await;
}

/// Serves one request and returns whether the connection stays open.
async fn serve_request(
    instance: &Instance,
    stream: &TcpStream,
    input: &mut Buffered<TcpStream>,
) -> io::Result<bool> {
    let by = instance.clock.now() + IDLE_TIMEOUT;
    let reading = RequestHead::read(input, MAX_HEAD_BYTES);
    let Some(Ok(head)) = deadline::until(instance.clock, by, reading).await else {
        return Ok(false);
    };
    let keeps = !head.closes() && !head.framing().has_body();
    let (status, body) = respond(instance, head.method(), head.path());
    let connection = if keeps { "" } else { "Connection: close\r\n" };
    let mut text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{connection}\r\n",
        body.len()
    );
    if head.method() != "HEAD" {
        text.push_str(&body);
    }
    stream.clone().write_all(text.as_bytes()).await?;
    Ok(keeps)
}

/// Returns the status line and the body of the response to a request.
fn respond(instance: &Instance, method: &str, path: &str) -> (&'static str, String) {
    if let Some(rest) = path.strip_prefix(PROMPT_PARTS) {
        return respond_prompt_parts(instance, method, rest);
    }
    if path == STATUS {
        return if method == "GET" {
            ("200 OK", status(instance))
        } else {
            ("405 Method Not Allowed", String::new())
        };
    }
    let settings = &instance.settings;
    if path == settings.ready_path {
        return if instance.is_ready() {
            ("200 OK", "ready\n".to_owned())
        } else {
            ("503 Service Unavailable", "not ready\n".to_owned())
        };
    }
    if settings.metrics.as_ref().is_some_and(|metrics| metrics.path == path) {
        let now = instance.clock.now();
        instance.read_state(|state| instance.metrics.observe(now, state));
        return match instance.metrics.text() {
            Ok(text) => ("200 OK", text),
            Err(err) => ("500 Internal Server Error", format!("{err}\n")),
        };
    }
    ("404 Not Found", String::new())
}

/// Returns what the instance knows and keeps as JSON.
fn status(instance: &Instance) -> String {
    let now = instance.clock.now();
    let limited = instance.read_state(|state| state.limited_servers(now));
    let limited = limited.iter().map(|server| {
        json!({
            "server": &*server.name,
            "perSecond": server.rate.per_second(),
            "share": server.share,
            "sent": server.sent,
            "namedAgeMs": millis(now.since(server.named_at)),
            "toldByServer": server.is_direct,
        })
    });
    let limited: Vec<_> = limited.collect();
    instance.read_state(|state| {
        json!({
            "ready": instance.is_ready(),
            "configVersion": state.catalog().map(|catalog| catalog.version.0),
            "viewAgeMs": state.view_age(now).map(millis),
            "instances": state.alive(),
            "limitDivisor": state.limit_divisor(),
            "limitedServers": limited,
            "streamOrigins": state.origin_count(),
        })
        .to_string()
    })
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the response to a request about the prompt parts that are held back. `rest` is its path
/// after [`PROMPT_PARTS`].
fn respond_prompt_parts(instance: &Instance, method: &str, rest: &str) -> (&'static str, String) {
    if rest.is_empty() && method == "GET" {
        return ("200 OK", held_parts(instance));
    }
    let Some((id, command)) = rest.trim_start_matches('/').split_once('/') else {
        return ("404 Not Found", String::new());
    };
    let Ok(PartId(part)) = id.parse() else {
        return ("400 Bad Request", format!("the part {id:?} is not a hexadecimal number\n"));
    };
    let event = match command {
        "hold" => Event::HoldPart { part },
        "release" => Event::ReleasePart { part },
        _ => return ("404 Not Found", String::new()),
    };
    if method != "POST" {
        return ("405 Method Not Allowed", String::new());
    }
    log::warn!(part:% = PartId(part), command; "operators decide on a prompt part");
    instance.handle_event(event);
    ("200 OK", held_parts(instance))
}

/// Returns the prompt parts that are held back as JSON.
fn held_parts(instance: &Instance) -> String {
    let now = instance.clock.now();
    let parts = instance.read_state(State::held_parts);
    let parts = parts.iter().map(|held| {
        json!({
            "part": PartId(held.part).to_string(),
            "heldMs": millis(now.since(held.since)),
            "ends": held.ends,
            "lastEndAgeMs": millis(now.since(held.last_end)),
            "trialInMs": millis(now.until(held.trial_due)),
        })
    });
    json!({ "held": parts.collect::<Vec<_>>() }).to_string()
}
