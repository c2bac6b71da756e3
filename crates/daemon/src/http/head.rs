//! The heads of requests and responses: bounds and framing.

use std::io;

use futures_lite::{AsyncRead, io::Cursor};
use http_types::{Method, Request};
use thiserror::Error;

use super::Buffered;

/// Bytes of a head, the empty line included.
const MAX_HEAD_BYTES: usize = 8_000;
/// Header fields of a head.
pub(super) const MAX_HEADERS: usize = 100;

/// Why a head could not be read.
#[derive(Debug, Error)]
pub(crate) enum HeadError {
    /// The connection was closed before the first byte.
    #[error("the connection was closed")]
    Closed,
    /// The connection broke, or was closed within the head.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The head is too large.
    #[error("the head is larger than {MAX_HEAD_BYTES} bytes or has more than {MAX_HEADERS} fields")]
    TooLarge,
    /// The head is not well formed.
    #[error("{0}")]
    Malformed(&'static str),
}

impl From<httparse::Error> for HeadError {
    fn from(err: httparse::Error) -> Self {
        match err {
            httparse::Error::TooManyHeaders => Self::TooLarge,
            httparse::Error::HeaderName => Self::Malformed("a header field's name is not valid"),
            httparse::Error::HeaderValue => Self::Malformed("a header field's value is not valid"),
            httparse::Error::Version => Self::Malformed("the HTTP version is not supported"),
            _ => Self::Malformed("the head is not well formed"),
        }
    }
}

/// How a body is delimited.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Framing {
    /// There is no length.
    Absent,
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
}

/// A request's head.
#[derive(Debug)]
pub(crate) struct RequestParts {
    /// The request without a body and without the header fields that frame it.
    pub(crate) req: Request,
    /// How the body is delimited.
    pub(crate) framing: Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
    /// Whether the caller wants the connection closed after the answer.
    pub(crate) close: bool,
}

impl RequestParts {
    /// Returns whether a body follows.
    pub(crate) fn has_body(&self) -> bool {
        !matches!(self.framing, Framing::Absent | Framing::Length(0))
    }
}

/// Reads a request's head.
pub(crate) async fn read_request<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
) -> Result<RequestParts, HeadError> {
    let raw = read_raw(input).await?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    if parsed.parse(&raw)?.is_partial() {
        return Err(HeadError::Malformed("the head is not well formed"));
    }
    check_request(&parsed)?;
    let framing = framing(parsed.headers)?;
    let expects_continue = has_token(parsed.headers, "expect", "100-continue");
    let close = has_token(parsed.headers, "connection", "close");
    let req = decode(&parsed).await?;
    Ok(RequestParts { req, framing, expects_continue, close })
}

/// Reads up to the empty line that ends a head. Empty lines before it are skipped.
pub(super) async fn read_raw<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
) -> Result<Vec<u8>, HeadError> {
    let mut any = false;
    loop {
        while input.data().starts_with(b"\r\n") {
            input.consume(2);
        }
        any |= !input.data().is_empty();
        if let Some(len) = head_len(input.data())? {
            let raw = input.data()[..len].to_vec();
            input.consume(len);
            return Ok(raw);
        }
        if input.fill().await? > 0 {
            continue;
        }
        if !any {
            return Err(HeadError::Closed);
        }
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
}

/// Returns the length of the head that `data` starts with, or `None` if it is not whole yet.
fn head_len(data: &[u8]) -> Result<Option<usize>, HeadError> {
    let bounded = &data[..data.len().min(MAX_HEAD_BYTES)];
    let end = bounded.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
    let head = &bounded[..end.unwrap_or(bounded.len())];
    let bare_line_feed =
        head.iter().zip([0].iter().chain(head)).any(|(b, a)| *b == b'\n' && *a != b'\r');
    if bare_line_feed {
        // Parsers differ in whether a line feed alone ends a line.
        return Err(HeadError::Malformed("a line does not end with CR LF"));
    }
    if end.is_none() && data.len() >= MAX_HEAD_BYTES {
        return Err(HeadError::TooLarge);
    }
    Ok(end)
}

fn check_request(parsed: &httparse::Request<'_, '_>) -> Result<(), HeadError> {
    if parsed.version != Some(1) {
        return Err(HeadError::Malformed("the HTTP version is not supported"));
    }
    // `async-h1` panics at values beyond ASCII.
    if parsed.headers.iter().any(|it| !it.value.is_ascii()) {
        return Err(HeadError::Malformed("a header field's value is not ASCII"));
    }
    let mut hosts = parsed.headers.iter().filter(|it| it.name.eq_ignore_ascii_case("host"));
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(HeadError::Malformed("there must be one Host field"));
    };
    // The host is put in front of the path to form the URL.
    if host.value.is_empty() || host.value.iter().any(|it| b"/?#@\\ \t".contains(it)) {
        return Err(HeadError::Malformed("the Host field is not valid"));
    }
    if !parsed.path.is_some_and(|it| it.starts_with('/')) {
        return Err(HeadError::Malformed("the request target must be a path"));
    }
    Ok(())
}

/// Reads how the body is delimited; two statements about it are an error even if they agree.
pub(super) fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, HeadError> {
    let mut lengths = values(headers, "content-length");
    let mut codings = values(headers, "transfer-encoding");
    match (lengths.next(), codings.next()) {
        _ if lengths.next().is_some() || codings.next().is_some() => {
            Err(HeadError::Malformed("the body's length is given twice"))
        }
        (None, None) => Ok(Framing::Absent),
        (Some(length), None) => parse_length(length),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        (None, Some(_)) => Err(HeadError::Malformed("the transfer coding is not supported")),
        (Some(_), Some(_)) => {
            Err(HeadError::Malformed("the body has both a length and a transfer coding"))
        }
    }
}

fn parse_length(value: &[u8]) -> Result<Framing, HeadError> {
    let err = HeadError::Malformed("the content length is not a number");
    // `u64::from_str` takes a leading plus sign.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(err);
    }
    let length = std::str::from_utf8(value).ok().and_then(|it| it.parse().ok());
    length.map(Framing::Length).ok_or(err)
}

fn values<'a>(
    headers: &'a [httparse::Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |it| it.name.eq_ignore_ascii_case(name)).map(|it| it.value)
}

fn has_token(headers: &[httparse::Header<'_>], name: &str, token: &str) -> bool {
    values(headers, name)
        .flat_map(|it| it.split(|byte| *byte == b','))
        .any(|it| it.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Gives `async-h1` the head without what concerns this connection's framing.
async fn decode(parsed: &httparse::Request<'_, '_>) -> Result<Request, HeadError> {
    let malformed = HeadError::Malformed("the head is not well formed");
    let method = parsed.method.unwrap_or_default();
    if method.parse::<Method>().is_err() {
        return Err(HeadError::Malformed("the method is not supported"));
    }
    let mut head =
        format!("{method} {} HTTP/1.1\r\n", parsed.path.unwrap_or_default()).into_bytes();
    write_fields(&mut head, parsed.headers.iter().filter(|it| !frames_body(it.name)));
    match async_h1::server::decode(Cursor::new(head)).await {
        Ok(Some((req, _))) => Ok(req),
        Ok(None) | Err(_) => Err(malformed),
    }
}

/// Returns whether a header field says where the body ends or when it is sent.
pub(super) fn frames_body(name: &str) -> bool {
    ["content-length", "transfer-encoding", "expect"].iter().any(|it| name.eq_ignore_ascii_case(it))
}

/// Writes header fields and the empty line.
pub(super) fn write_fields<'a>(
    head: &mut Vec<u8>,
    fields: impl Iterator<Item = &'a httparse::Header<'a>>,
) {
    for field in fields {
        head.extend_from_slice(field.name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(field.value);
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
}
