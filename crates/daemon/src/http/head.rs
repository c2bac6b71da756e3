//! The server side: reading the heads of requests.

use futures_lite::{AsyncRead, io::Cursor};
use http_types::{Method, Request};
use http1::{Buffered, Fields, Framing, HeadError, RequestHead, push_field};

/// Maximum size of a head with its empty line, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 8_000;

/// The head of a request.
#[derive(Debug)]
pub(crate) struct RequestParts {
    /// The request without a body and without the header fields that frame it.
    pub(crate) req: Request,
    /// How the body is delimited.
    pub(crate) framing: Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
    /// Whether the caller wants the connection closed after the response.
    pub(crate) close: bool,
}

impl RequestParts {
    /// Returns whether a body follows.
    pub(crate) fn has_body(&self) -> bool {
        self.framing.has_body()
    }
}

/// Reads a request's head.
pub(crate) async fn read_request<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
) -> Result<RequestParts, HeadError> {
    let head = RequestHead::read(input, MAX_HEAD_BYTES).await?;
    // `async-h1` panics on values that are not ASCII.
    if head.fields().iter().any(|field| !field.1.is_ascii()) {
        return Err(HeadError::Malformed("a header field's value is not ASCII"));
    }
    let req = decode(&head).await?;
    Ok(RequestParts {
        req,
        framing: head.framing(),
        expects_continue: head.expects_continue(),
        close: head.closes(),
    })
}

/// Decodes the head by `async-h1`, without the header fields that frame the body.
async fn decode(head: &RequestHead) -> Result<Request, HeadError> {
    let malformed = HeadError::Malformed("the head is not well formed");
    if head.method().parse::<Method>().is_err() {
        return Err(HeadError::Malformed("the method is not supported"));
    }
    let mut buf = format!("{} {} HTTP/1.1\r\n", head.method(), head.target()).into_bytes();
    write_fields(&mut buf, head.fields());
    match async_h1::server::decode(Cursor::new(buf)).await {
        Ok(Some((req, _))) => Ok(req),
        Ok(None) | Err(_) => Err(malformed),
    }
}

/// Returns whether a header field determines where the body ends or when it is sent.
fn frames_body(name: &str) -> bool {
    ["content-length", "transfer-encoding", "expect"]
        .iter()
        .any(|framing| name.eq_ignore_ascii_case(framing))
}

/// Writes the header fields and the empty line, without fields that frame the body and those whose
/// value is not ASCII.
pub(super) fn write_fields(head: &mut Vec<u8>, fields: &Fields) {
    for (name, value) in fields.iter().filter(|field| !frames_body(field.0) && field.1.is_ascii()) {
        push_field(head, name, value);
    }
    head.extend_from_slice(b"\r\n");
}
