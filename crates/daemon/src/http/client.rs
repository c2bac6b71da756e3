//! The client side: encoding requests and reading the heads of responses.

use std::io;

use async_h1::client::Encoder;
use futures_lite::{AsyncRead, AsyncReadExt as _, io::Cursor};
use http_types::{Method, Request, Response, StatusCode};

use http1::{Buffered, Fields, Framing, HeadError, ResponseHead};

use super::head::{MAX_HEAD_BYTES, write_fields};

/// The head of a response.
#[derive(Debug)]
pub(crate) struct ResponseParts {
    /// The response without a body and without the header fields that frame it.
    pub(crate) res: Response,
    /// How the body is delimited.
    pub(crate) framing: Framing,
    /// The header fields as received. The response lacks those whose value is not ASCII.
    fields: Fields,
}

impl ResponseParts {
    /// Returns whether the response names a request other than the one with this id, also if it
    /// names both.
    pub(crate) fn names_other_request(&self, id: &str) -> bool {
        self.fields.all("x-request-id").any(|value| value != id.as_bytes())
    }
}

/// Encodes a request with its body, so that it can be written at once.
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
    let head = ResponseHead::read(input, method.as_ref(), MAX_HEAD_BYTES).await?;
    if head.framing() == Framing::UntilClose {
        // A body that ends with the connection cannot be distinguished from one that was cut.
        return Err(HeadError::Malformed("the response is neither chunked nor has a length"));
    }
    let res = decode(&head).await?;
    Ok(ResponseParts { res, framing: head.framing(), fields: head.fields().clone() })
}

/// Decodes the head by `async-h1`, without the header fields that frame the body.
async fn decode(head: &ResponseHead) -> Result<Response, HeadError> {
    let mut buf = format!("HTTP/1.1 {} \r\n", known_status(head.status())).into_bytes();
    // `async-h1` panics on values that are not ASCII; `write_fields` leaves them out.
    write_fields(&mut buf, head.fields());
    let decoded = async_h1::client::decode(Cursor::new(buf)).await;
    let mut res = decoded.map_err(|_| HeadError::Malformed("the head is not well formed"))?;
    // If there is no date, `async-h1` inserts one with a line break in its value.
    res.remove_header("date");
    Ok(res)
}

/// Returns the status, or the first one of its class (such as 500) if `http-types` does not know it.
fn known_status(code: u16) -> u16 {
    match StatusCode::try_from(code) {
        Ok(_) => code,
        Err(_) => code / 100 * 100,
    }
}
