//! Relays a backend server's response to the caller.

use aio::Clock;
use dispatch::Event;
use http1::{BodyDecoder, Framing, ResponseHead, is_event};
use prometheus_client::metrics::counter::Counter;

use crate::{
    attempt::{Fault, RunningAttempt},
    connection_pool::Connection,
    event_memory::EventMemory,
    events::EventSplitter,
    memory::{MemoryUse, Reservation},
    resume_point::ResumePoint,
    second_response::{Heads, SecondResponseSearch},
};

/// A response body up to this size is buffered until it is complete, so that another attempt can
/// follow if it breaks off; a larger one is relayed as it arrives.
const MAX_BUFFERED_BYTES: usize = 32 << 10;
/// Size limit of one server-sent event; a larger one fails the attempt.
pub(crate) const MAX_EVENT_BYTES: usize = 256 << 10;

/// A response that was relayed completely.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relayed {
    /// Whether its status is a success (2xx).
    pub(crate) is_success: bool,
}

/// What follows the head of a response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum BodyKind {
    /// Nothing, because of the request's method or the status, whatever the fields say.
    Absent,
    /// Server-sent events.
    Events,
    Plain,
}

/// A response whose head and first body bytes have arrived.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    connection: Connection,
    head: ResponseHead,
    decoder: BodyDecoder,
    first: Option<Vec<u8>>,
    is_reusable: bool,
    /// Counts the bytes of the body.
    received: Counter,
    clock: Clock,
}

impl StartedResponse {
    /// Reads the first bytes of the body.
    pub(crate) async fn read(
        mut connection: Connection,
        head: ResponseHead,
        is_reusable: bool,
        received: Counter,
        clock: Clock,
    ) -> Result<Self, Fault> {
        let mut decoder = BodyDecoder::new(head.framing());
        let first = decoder.next(&mut connection.input).await?;
        received.inc_by(first.as_ref().map_or(0, |it| it.len() as u64));
        Ok(Self { connection, head, decoder, first, is_reusable, received, clock })
    }

    /// Returns the next piece of the body, or `None` once it is complete.
    async fn next(&mut self) -> Result<Option<Vec<u8>>, Fault> {
        if let Some(piece) = self.first.take() {
            return Ok(Some(piece));
        }
        let piece = self.decoder.next(&mut self.connection.input).await?;
        self.received.inc_by(piece.as_ref().map_or(0, |it| it.len() as u64));
        if piece.is_none() && self.head.framing() == Framing::UntilClose {
            self.connection.check_end(self.clock).await?;
        }
        Ok(piece)
    }

    fn body_kind(&self) -> BodyKind {
        let content_type = self.head.fields().text("content-type").unwrap_or_default();
        let content_type = content_type.trim_start().to_ascii_lowercase();
        if self.head.framing() == Framing::Absent {
            BodyKind::Absent
        } else if self.head.is_success() && content_type.starts_with("text/event-stream") {
            BodyKind::Events
        } else {
            BodyKind::Plain
        }
    }

    /// Returns where the body ends in a part of it, if only the end of the connection ends it: see
    /// [`find_end`].
    fn find_end(&self, running: &RunningAttempt<'_>, part: &[u8]) -> Result<Ending, Fault> {
        find_end(running, &self.head, &self.connection, part)
    }

    /// Checks that the stream was whole before bytes that are no event. Only a second response to the
    /// request shows that.
    fn check_end(&self, running: &RunningAttempt<'_>, bytes: &[u8]) -> Result<(), Fault> {
        match self.find_end(running, bytes)? {
            Ending::At(0) => Ok(()),
            _ => Err(Fault::Broken("bytes in the stream are no event")),
        }
    }

    /// Returns whether the connection can be reused and holds no unread bytes.
    fn is_clean(&self) -> bool {
        self.is_reusable && self.connection.input.data().is_empty()
    }
}

/// Relays a response to the caller, then keeps the connection if it can be reused.
pub(crate) async fn run(
    running: &mut RunningAttempt<'_>,
    mut started: StartedResponse,
) -> Result<Relayed, Fault> {
    let is_success = started.head.is_success();
    let kind = started.body_kind();
    if kind != BodyKind::Events && running.response.has_started() {
        return Err(Fault::Broken("the response does not continue the stream"));
    }
    match kind {
        BodyKind::Absent => {
            running.response.send_bodiless(&started.head).await?;
        }
        BodyKind::Events => relay_events(running, &mut started).await?,
        BodyKind::Plain => relay_plain(running, &mut started).await?,
    }
    if started.head.framing() == Framing::UntilClose {
        running.instance.handle_event(Event::ServerClosed { key: running.key });
    }
    running.trace.unread = started.connection.input.data().len();
    if started.is_clean() && !running.instance.is_draining.get() {
        running.keep_connection(&started.head, started.connection);
    }
    Ok(Relayed { is_success })
}

/// Relays a response that is no event stream: a short one once it is complete, a long one as it
/// arrives.
async fn relay_plain(
    running: &mut RunningAttempt<'_>,
    started: &mut StartedResponse,
) -> Result<(), Fault> {
    let clock = running.instance.clock;
    let mut memory = Reservation::new(&running.instance.memory, MemoryUse::Responses);
    let mut body = Vec::new();
    while let Some(piece) = started.next().await? {
        let has_memory = memory.grow(clock.now(), piece.len());
        body.extend_from_slice(&piece);
        if body.len() > MAX_BUFFERED_BYTES || !has_memory {
            return relay_parts(running, started, body, memory).await;
        }
    }
    if let Ending::At(end) = started.find_end(running, &body)? {
        body.truncate(end);
    }
    running.response.send_whole(&started.head, &body).await?;
    Ok(())
}

/// Relays a long response as it arrives; `first` is what was buffered of its body, in `memory`.
async fn relay_parts(
    running: &mut RunningAttempt<'_>,
    started: &mut StartedResponse,
    first: Vec<u8>,
    memory: Reservation,
) -> Result<(), Fault> {
    let mut held = first;
    let mut ending = hold_back(running, started, &mut held)?;
    let mut body = running.response.start_body(&started.head, &ending.content).await?;
    drop(memory);
    while !ending.is_end
        && let Some(piece) = started.next().await?
    {
        held.extend_from_slice(&piece);
        ending = hold_back(running, started, &mut held)?;
        body = body.send_part(&ending.content).await.map_err(|_| Fault::CallerLeft)?;
    }
    body = body.send_part(&held).await.map_err(|_| Fault::CallerLeft)?;
    let complete = body.finish().await.map_err(|_| Fault::CallerLeft)?;
    running.response.complete(complete);
    Ok(())
}

/// A part of a body that can be relayed.
struct Part {
    content: Vec<u8>,
    /// Whether the body ends with it.
    is_end: bool,
}

/// Takes from `held` what belongs to the body for certain. What may be the beginning of a second
/// response stays there, until more bytes or the end of the body come; a second response is removed.
fn hold_back(
    running: &RunningAttempt<'_>,
    started: &StartedResponse,
    held: &mut Vec<u8>,
) -> Result<Part, Fault> {
    let (index, is_end) = match started.find_end(running, held)? {
        Ending::None => (held.len(), false),
        Ending::At(index) => (index, true),
        Ending::Undecided(index) => (index, false),
    };
    let rest = held.split_off(index);
    let content = std::mem::replace(held, rest);
    if is_end {
        held.clear();
    }
    Ok(Part { content, is_end })
}

/// Where a body ends that only the end of the connection ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Ending {
    /// Not in this part of it.
    None,
    /// At this index, where a second response to the request begins.
    At(usize),
    /// A second response may begin at this index.
    Undecided(usize),
}

/// Returns where a body ends in a part of it: at a second response to the request, if only the end of the
/// connection ends it. A response to an earlier request may be anywhere, so it is a fault.
pub(crate) fn find_end(
    running: &RunningAttempt<'_>,
    head: &ResponseHead,
    connection: &Connection,
    part: &[u8],
) -> Result<Ending, Fault> {
    if head.framing() != Framing::UntilClose {
        return Ok(Ending::None);
    }
    let search = SecondResponseSearch {
        id: running.id,
        earlier: &connection.earlier,
        method: running.outgoing.head.method(),
        header_codec: &*running.instance.header_codec,
    };
    let second = match search.search(part) {
        Heads::None => return Ok(Ending::None),
        Heads::Incomplete { start } => return Ok(Ending::Undecided(start)),
        Heads::Second(second) => second,
    };
    if !second.is_own {
        return Err(Fault::Broken("a response to an earlier request interrupts the body"));
    }
    let Some(status) = second.status else {
        return Err(Fault::Broken("a malformed second response interrupts the body"));
    };
    if status != head.status() {
        return Err(Fault::Broken("a second response with another status interrupts the body"));
    }
    log::info!(
        request:% = running.id, server:% = running.attempt.name;
        "skipped a second response to the request"
    );
    Ok(Ending::At(second.start))
}

/// Relays complete events as they arrive, except those that the caller has received from an earlier
/// attempt. A stream that ends within an event, or in which other bytes follow an event, is broken.
async fn relay_events(
    running: &mut RunningAttempt<'_>,
    started: &mut StartedResponse,
) -> Result<(), Fault> {
    let mut splitter = EventSplitter::default();
    let mut memory = EventMemory::new(&running.instance.memory);
    let is_resumed = running.response.has_started();
    // What the caller has, with the events that are about to be written.
    let mut point = running.response.resume_point();
    // Whether the server has sent an event that the caller lacked, with a number that shows it.
    let mut has_gone_on = false;
    let mut last_repeated = None;
    // How the stream ends, if bytes that are no event follow. Events before them still belong to it.
    let mut end = None;
    while end.is_none()
        && let Some(piece) = started.next().await?
    {
        running.instance.handle_event(Event::BytesReceived { server: running.attempt.server });
        memory.wait_for(running.instance, splitter.pending() + piece.len()).await;
        let complete = splitter.push(&piece);
        if splitter.pending() > MAX_EVENT_BYTES {
            return Err(Fault::Broken("an event is too large"));
        }
        let mut bytes = Vec::new();
        for event in complete {
            if !is_event(&event.bytes) {
                end = Some(started.check_end(running, &event.bytes));
                break;
            }
            if point.is_past(&event) {
                running.trace.repeated += 1;
                last_repeated = event.number();
                continue;
            }
            if is_resumed && !has_gone_on && event.has_data && event.number().is_none() {
                end =
                    Some(Err(Fault::Broken("an event without a number cannot continue a stream")));
                break;
            }
            has_gone_on |= event.number().is_some();
            point.advance(&event);
            running.trace.events += 1;
            bytes.extend_from_slice(&event.bytes);
        }
        if bytes.is_empty() {
            continue;
        }
        if !running.response.has_started() {
            running.instance.handle_event(Event::StreamBegun { key: running.key });
        }
        running.response.send_events(&started.head, &bytes, point).await?;
        memory.resize(running.instance.clock.now(), splitter.pending());
    }
    match end {
        Some(end) => end?,
        None if splitter.pending() > 0 => {
            let is_closed = started.head.framing() == Framing::UntilClose;
            let fault = if is_closed { Fault::Closed } else { Fault::Broken };
            return Err(fault("the stream ends within an event"));
        }
        None => {}
    }
    if last_repeated.is_some_and(|last| !has_gone_on && point != ResumePoint::After(last)) {
        return Err(Fault::Broken("the stream ends before the events that the caller has"));
    }
    running.response.send_events(&started.head, &[], point).await?;
    running.response.finish_events().await?;
    Ok(())
}
