//! Passes an answer on to the caller.

use dispatch::Event;
use http1::{BodyDecoder, Framing, ResponseHead};

use crate::{
    attempt::{Fault, Run},
    events::EventSplitter,
    pool::Connection,
};

/// Bytes of an answer that is kept until it is whole; a longer one is passed on as it comes.
const MAX_WHOLE_BYTES: usize = 32 << 10;
/// Bytes of one event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// An answer that went to the caller whole.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relayed {
    /// Whether it says that the request was served.
    pub(crate) is_success: bool,
}

/// An answer whose head and first bytes have come.
#[derive(Debug)]
pub(crate) struct Opened {
    connection: Connection,
    head: ResponseHead,
    frames: BodyDecoder,
    first: Option<Vec<u8>>,
    is_reusable: bool,
}

impl Opened {
    /// Reads the first bytes of the body.
    pub(crate) async fn read(
        mut connection: Connection,
        head: ResponseHead,
        is_reusable: bool,
    ) -> Result<Self, Fault> {
        let mut frames = BodyDecoder::new(head.framing());
        let first = frames.next(&mut connection.input).await?;
        Ok(Self { connection, head, frames, first, is_reusable })
    }

    async fn next(&mut self) -> Result<Option<Vec<u8>>, Fault> {
        match self.first.take() {
            Some(piece) => Ok(Some(piece)),
            None => Ok(self.frames.next(&mut self.connection.input).await?),
        }
    }

    fn is_event_stream(&self) -> bool {
        let content_type = self.head.fields().text("content-type").unwrap_or_default();
        content_type.trim_start().to_ascii_lowercase().starts_with("text/event-stream")
    }

    /// Returns whether nothing is left on the connection.
    fn is_clean(&self) -> bool {
        self.is_reusable && self.connection.input.data().is_empty()
    }
}

/// Passes an answer on.
pub(crate) async fn run(run: &mut Run<'_>, mut opened: Opened) -> Result<Relayed, Fault> {
    let is_success = opened.head.is_success();
    if is_success && opened.is_event_stream() {
        events(run, &mut opened).await?;
    } else if run.answer.is_begun() {
        return Err(Fault::Broken);
    } else {
        plain(run, &mut opened).await?;
    }
    if opened.is_clean() && !run.instance.is_draining.get() {
        run.keep(&opened.head, opened.connection);
    }
    Ok(Relayed { is_success })
}

/// Passes on an answer: when it is whole if it is short, else as it comes.
async fn plain(run: &mut Run<'_>, opened: &mut Opened) -> Result<(), Fault> {
    if opened.head.framing() == Framing::Absent {
        return run.answer.bodiless(&opened.head).await.map_err(|_| Fault::CallerLeft);
    }
    let mut body = Vec::new();
    while let Some(piece) = opened.next().await? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_WHOLE_BYTES {
            return parts(run, opened, body).await;
        }
    }
    run.answer.whole(&opened.head, &body).await.map_err(|_| Fault::CallerLeft)
}

/// Passes on the rest of a long answer as it comes.
async fn parts(run: &mut Run<'_>, opened: &mut Opened, first: Vec<u8>) -> Result<(), Fault> {
    let begun = run.answer.begin(&opened.head, &first).await;
    begun.map_err(|_| Fault::CallerLeft)?;
    drop(first);
    while let Some(piece) = opened.next().await? {
        run.answer.part(&piece).await.map_err(|_| Fault::CallerLeft)?;
    }
    run.answer.finish().await.map_err(|_| Fault::CallerLeft)
}

/// Passes on whole events as they come. A stream that ends within an event is broken.
async fn events(run: &mut Run<'_>, opened: &mut Opened) -> Result<(), Fault> {
    let mut splitter = EventSplitter::default();
    while let Some(piece) = opened.next().await? {
        run.instance.handle_event(Event::BytesReceived { server: run.attempt.server });
        let whole = splitter.push(&piece);
        if splitter.pending() > MAX_EVENT_BYTES {
            return Err(Fault::Broken);
        }
        let mut bytes = Vec::new();
        for (id, event) in whole.events {
            if is_repeated(run.answer.last_event.as_deref(), id.as_deref()) {
                continue;
            }
            run.answer.last_event = id.or_else(|| run.answer.last_event.take());
            bytes.extend_from_slice(&event);
        }
        if bytes.is_empty() {
            continue;
        }
        let written = if run.answer.is_begun() {
            run.answer.part(&bytes).await
        } else {
            run.answer.begin(&opened.head, &bytes).await
        };
        written.map_err(|_| Fault::CallerLeft)?;
    }
    if splitter.pending() > 0 {
        return Err(Fault::Broken);
    }
    if !run.answer.is_begun() {
        run.answer.begin(&opened.head, b"").await.map_err(|_| Fault::CallerLeft)?;
    }
    run.answer.finish().await.map_err(|_| Fault::CallerLeft)
}

/// Returns whether the caller has an event already, where ids are numbers that grow.
fn is_repeated(last: Option<&str>, id: Option<&str>) -> bool {
    let number = |it: Option<&str>| it.and_then(|it| it.parse::<u64>().ok());
    matches!((number(last), number(id)), (Some(last), Some(id)) if id <= last)
}
