//! Passes an answer on to the caller.

use async_net::TcpStream;
use http_types::Response;

use super::{Attempt, Fault, events::EventSplitter};
use crate::{
    front::Answer,
    http::{BodyDecoder, Buffered, Framing, ResponseParts},
};

/// Bytes of an answer that is kept in memory until it is whole; a longer one is passed on as it
/// comes.
const MAX_WHOLE_BYTES: usize = 4 << 20;
/// Bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Header fields that concern the backend server's connection or that this process sets.
const OWN_FIELDS: [&str; 10] = [
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

/// An answer whose head and first bytes have come.
#[derive(Debug)]
pub(super) struct Opened {
    input: Buffered<TcpStream>,
    head: ResponseParts,
    frames: BodyDecoder,
    first: Option<Vec<u8>>,
}

impl Opened {
    /// Reads the first bytes of the body.
    pub(super) async fn read(
        mut input: Buffered<TcpStream>,
        head: ResponseParts,
    ) -> Result<Self, Fault> {
        let mut frames = BodyDecoder::new(head.framing);
        let first = frames.next(&mut input).await?;
        Ok(Self { input, head, frames, first })
    }

    async fn next(&mut self) -> Result<Option<Vec<u8>>, Fault> {
        match self.first.take() {
            Some(piece) => Ok(Some(piece)),
            None => Ok(self.frames.next(&mut self.input).await?),
        }
    }

    fn kind(&self) -> Kind {
        let content_type = super::header(&self.head.res, "content-type").unwrap_or_default();
        let event_stream = content_type.trim_start().to_ascii_lowercase();
        match self.head.framing {
            Framing::Absent => Kind::Whole,
            _ if event_stream.starts_with("text/event-stream") => Kind::Events,
            Framing::Length(length) if length <= MAX_WHOLE_BYTES as u64 => Kind::Whole,
            Framing::Length(_) | Framing::Chunked | Framing::UntilClose => Kind::Parts,
        }
    }
}

/// How an answer is passed on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Kind {
    Whole,
    Parts,
    Events,
}

/// Passes an answer on and returns the number of output tokens.
pub(super) async fn run(opened: Opened, attempt: &mut Attempt<'_>) -> Result<u32, Fault> {
    let kind = opened.kind();
    let res = caller_head(&opened.head.res, attempt);
    let answer = &mut *attempt.answer;
    if answer.is_begun() {
        let resumed = kind == Kind::Events && opened.head.res.status().is_success();
        return if resumed { events(opened, None, answer).await } else { Err(Fault::Broken) };
    }
    match kind {
        Kind::Whole => whole(opened, res, answer).await,
        Kind::Parts => parts(opened, res, answer).await,
        Kind::Events => events(opened, Some(res), answer).await,
    }
}

/// Returns the answer's head as the caller gets it.
fn caller_head(res: &Response, attempt: &Attempt<'_>) -> Response {
    let mut head = Response::new(res.status());
    for (name, values) in res {
        if OWN_FIELDS.contains(&name.as_str()) {
            continue;
        }
        for value in values {
            head.append_header(name, value.clone());
        }
    }
    head.insert_header("x-request-id", attempt.id.to_string());
    head
}

/// Passes on an answer of known length after all of it has come.
async fn whole(mut opened: Opened, mut res: Response, answer: &mut Answer) -> Result<u32, Fault> {
    let mut body = Vec::new();
    while let Some(piece) = opened.next().await? {
        body.extend_from_slice(&piece);
    }
    if !body.is_empty() {
        let typed = res.header("content-type").is_some();
        res.set_body(body);
        if !typed {
            res.remove_header("content-type");
        }
    }
    answer.whole(res).await.map_err(|_| Fault::CallerLeft)?;
    Ok(1)
}

/// Passes on an answer as it comes.
async fn parts(mut opened: Opened, res: Response, answer: &mut Answer) -> Result<u32, Fault> {
    answer.begin(res, false);
    while let Some(piece) = opened.next().await? {
        answer.part(&piece, 0).await.map_err(|_| Fault::CallerLeft)?;
    }
    answer.finish().await.map_err(|_| Fault::CallerLeft)?;
    Ok(1)
}

/// Passes on whole events as they come; the last one only after the body has ended.
async fn events(
    mut opened: Opened,
    mut res: Option<Response>,
    answer: &mut Answer,
) -> Result<u32, Fault> {
    let mut splitter = EventSplitter::default();
    while let Some(piece) = opened.next().await? {
        let batch = splitter.push(&piece);
        if splitter.pending() > MAX_EVENT_BYTES {
            return Err(Fault::Broken);
        }
        if batch.bytes.is_empty() {
            continue;
        }
        if let Some(res) = res.take() {
            answer.begin(res, true);
        }
        let written = answer.part(&batch.bytes, batch.events).await;
        written.map_err(|_| Fault::CallerLeft)?;
    }
    let last = splitter.finish().ok_or(Fault::Broken)?;
    if let Some(res) = res.take() {
        answer.begin(res, true);
    }
    answer.part(&last, 0).await.map_err(|_| Fault::CallerLeft)?;
    answer.finish().await.map_err(|_| Fault::CallerLeft)?;
    Ok(answer.events())
}
