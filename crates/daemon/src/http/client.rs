//! The client's side: requests out, responses in.

use std::io;

use async_h1::client::Encoder;
use futures_lite::{AsyncRead, AsyncReadExt as _, io::Cursor};
use http_types::{Method, Request, Response, StatusCode};

use super::{
    Buffered, Framing, HeadError,
    head::{MAX_HEADERS, frames_body, framing, read_raw, write_fields},
};

/// Interim responses that are skipped before the final one.
const MAX_INTERIM: usize = 4;

/// A response's head.
#[derive(Debug)]
pub(crate) struct ResponseParts {
    /// The response without a body and without the header fields that frame it.
    pub(crate) res: Response,
    /// How the body is delimited.
    pub(crate) framing: Framing,
}

/// Encodes a request whole, so that it is written at once.
pub(crate) async fn encode_request(req: Request) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    Encoder::new(req).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Reads the head of the final response to a request with this method.
pub(crate) async fn read_response<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    method: Method,
) -> Result<ResponseParts, HeadError> {
    for _ in 0..MAX_INTERIM {
        let raw = read_raw(input).await?;
        if let Some(head) = parse(&raw, method).await? {
            return Ok(head);
        }
    }
    Err(HeadError::Malformed("too many interim responses"))
}

/// Parses a response's head; an interim response gives `None`.
async fn parse(raw: &[u8], method: Method) -> Result<Option<ResponseParts>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    if parsed.parse(raw)?.is_partial() {
        return Err(HeadError::Malformed("the head is not well formed"));
    }
    let code = parsed.code.unwrap_or_default();
    if code == 101 {
        return Err(HeadError::Malformed("the protocol is not to be changed"));
    }
    if (100..200).contains(&code) {
        return Ok(None);
    }
    let framing = match framing(parsed.headers)? {
        _ if method == Method::Head || code == 204 || code == 304 => Framing::Absent,
        // A body that ends with the connection cannot be told from a cut one.
        Framing::Absent => return Err(HeadError::Malformed("the response has no length")),
        framing => framing,
    };
    let res = decode(code, parsed.headers).await?;
    Ok(Some(ResponseParts { res, framing }))
}

/// Gives `async-h1` the head without what concerns this connection.
async fn decode(code: u16, headers: &[httparse::Header<'_>]) -> Result<Response, HeadError> {
    let mut head = format!("HTTP/1.1 {} \r\n", known_status(code)).into_bytes();
    // `async-h1` panics at values beyond ASCII.
    let fields = headers.iter().filter(|it| !frames_body(it.name) && it.value.is_ascii());
    write_fields(&mut head, fields);
    let decoded = async_h1::client::decode(Cursor::new(head)).await;
    let mut res = decoded.map_err(|_| HeadError::Malformed("the head is not well formed"))?;
    // Where there is no date, `async-h1` inserts one with a line break in its value.
    res.remove_header("date");
    Ok(res)
}

/// Returns the status, or the general one of its class where the library does not know it.
fn known_status(code: u16) -> u16 {
    match StatusCode::try_from(code) {
        Ok(_) => code,
        Err(_) => code / 100 * 100,
    }
}
