//! Passing a backend server's response on to the caller.

use aio::Socket;
use http_types::Response;

use super::{Attempt, AttemptError, events::EventSplitter};
use crate::{
    front::ResponseWriter,
    http::{BodyDecoder, Buffered, Framing, ResponseParts},
};

/// Maximum length of a response that is buffered until it is complete, in bytes. A longer one is
/// passed on as it arrives.
const MAX_WHOLE_BYTES: usize = 4 << 20;
/// Maximum size of one event, in bytes. A larger one ends the attempt as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Header fields that are not passed on: they concern the connection to the backend server, or this
/// process sets them itself.
const STRIPPED_FIELDS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "x-cold",
    "x-outcome",
    "x-request-id",
];

/// A response whose head and first body bytes were read.
#[derive(Debug)]
pub(super) struct OpenedResponse {
    input: Buffered<Socket>,
    head: ResponseParts,
    decoder: BodyDecoder,
    first: Option<Vec<u8>>,
}

impl OpenedResponse {
    /// Reads the first bytes of the body.
    pub(super) async fn read(
        mut input: Buffered<Socket>,
        head: ResponseParts,
    ) -> Result<Self, AttemptError> {
        let mut decoder = BodyDecoder::new(head.framing);
        let first = decoder.next(&mut input).await?;
        Ok(Self { input, head, decoder, first })
    }

    async fn next(&mut self) -> Result<Option<Vec<u8>>, AttemptError> {
        match self.first.take() {
            Some(piece) => Ok(Some(piece)),
            None => Ok(self.decoder.next(&mut self.input).await?),
        }
    }

    fn forward_mode(&self) -> ForwardMode {
        let content_type = super::header(&self.head.res, "content-type").unwrap_or_default();
        let content_type = content_type.trim_start().to_ascii_lowercase();
        match self.head.framing {
            Framing::Absent => ForwardMode::Head,
            _ if content_type.starts_with("text/event-stream") => ForwardMode::Events,
            Framing::Length(length) if length <= MAX_WHOLE_BYTES as u64 => ForwardMode::Whole,
            Framing::Length(_) | Framing::Chunked | Framing::UntilClose => ForwardMode::Parts,
        }
    }
}

/// How a response is passed on to the caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ForwardMode {
    /// Written at once: there is no body, by the method or the status.
    Head,
    /// Buffered, and written once it is complete. A failure can still be retried then.
    Whole,
    /// Written as it arrives.
    Parts,
    /// Written event by event as they arrive, so that a later attempt can resume it.
    Events,
}

/// Passes a response on and returns the number of output tokens.
pub(super) async fn run(
    opened: OpenedResponse,
    attempt: &mut Attempt<'_>,
) -> Result<u32, AttemptError> {
    let mode = opened.forward_mode();
    let res = response_head(&opened.head.res, attempt);
    let writer = &mut *attempt.writer;
    if writer.is_begun() {
        let resumed = mode == ForwardMode::Events && opened.head.res.status().is_success();
        return if resumed {
            events(opened, None, writer).await
        } else {
            Err(AttemptError::Broken("the response does not continue the stream"))
        };
    }
    match mode {
        ForwardMode::Head => head(res, writer).await,
        ForwardMode::Whole => whole(opened, res, writer).await,
        ForwardMode::Parts => parts(opened, res, writer).await,
        ForwardMode::Events => events(opened, Some(res), writer).await,
    }
}

/// Returns the response's head as the caller gets it.
fn response_head(res: &Response, attempt: &Attempt<'_>) -> Response {
    let mut head = Response::new(res.status());
    for (name, values) in res {
        if STRIPPED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        for value in values {
            head.append_header(name, value.clone());
        }
    }
    head.insert_header("x-request-id", attempt.id.to_string());
    head
}

/// Passes on a response without a body.
async fn head(res: Response, writer: &mut ResponseWriter) -> Result<u32, AttemptError> {
    writer.write_without_body(res).await.map_err(|_| AttemptError::CallerLeft)?;
    Ok(1)
}

/// Passes on a response once all of it was read.
async fn whole(
    mut opened: OpenedResponse,
    mut res: Response,
    writer: &mut ResponseWriter,
) -> Result<u32, AttemptError> {
    let mut body = Vec::new();
    while let Some(piece) = opened.next().await? {
        body.extend_from_slice(&piece);
    }
    if !body.is_empty() {
        let has_content_type = res.header("content-type").is_some();
        res.set_body(body);
        if !has_content_type {
            res.remove_header("content-type");
        }
    }
    writer.write_whole(res).await.map_err(|_| AttemptError::CallerLeft)?;
    Ok(1)
}

/// Passes on a response as it arrives.
async fn parts(
    mut opened: OpenedResponse,
    res: Response,
    writer: &mut ResponseWriter,
) -> Result<u32, AttemptError> {
    writer.begin(res, false);
    while let Some(piece) = opened.next().await? {
        writer.write_part(&piece, 0).await.map_err(|_| AttemptError::CallerLeft)?;
    }
    writer.finish().await.map_err(|_| AttemptError::CallerLeft)?;
    Ok(1)
}

/// Passes on complete events as they arrive; the last one only after the body has ended, so that a
/// stream that is cut never looks complete to the caller. `res` is the head, unless it was written
/// by an earlier attempt.
async fn events(
    mut opened: OpenedResponse,
    mut res: Option<Response>,
    writer: &mut ResponseWriter,
) -> Result<u32, AttemptError> {
    let mut splitter = EventSplitter::default();
    while let Some(piece) = opened.next().await? {
        let complete = splitter.push(&piece);
        if !complete.bytes.is_empty() {
            if let Some(res) = res.take() {
                writer.begin(res, true);
            }
            let written = writer.write_part(&complete.bytes, complete.count).await;
            written.map_err(|_| AttemptError::CallerLeft)?;
        }
        if splitter.is_broken() {
            return Err(AttemptError::Broken("bytes in the stream are no event"));
        }
        if splitter.pending() > MAX_EVENT_BYTES {
            return Err(AttemptError::Broken("an event is too large"));
        }
    }
    let unfinished = AttemptError::Broken("the stream ends within an event");
    let last = splitter.finish().ok_or(unfinished)?;
    if let Some(res) = res.take() {
        writer.begin(res, true);
    }
    writer.write_part(&last, 0).await.map_err(|_| AttemptError::CallerLeft)?;
    writer.finish().await.map_err(|_| AttemptError::CallerLeft)?;
    Ok(writer.event_count())
}
