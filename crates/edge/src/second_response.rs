//! Second responses of faulty servers.
//!
//! A server may respond twice to a request. Where the first response states its length or comes in
//! chunks, the second one is outside of it. Where it ends with the connection, the second one seems to
//! be a part of its body and is found only by its head.

use http1::ResponseHead;

use crate::HeaderCodec;

const HEAD_START: &[u8] = b"HTTP/1.";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Returns the index at which the head of a response to the request with this id and method begins in
/// a body. Other heads are content: a body may quote them.
pub(crate) fn find_second_response(
    body: &[u8],
    id: &str,
    method: &str,
    header_codec: &dyn HeaderCodec,
) -> Option<usize> {
    let starts = body.windows(HEAD_START.len()).enumerate().filter(|it| it.1 == HEAD_START);
    starts.map(|it| it.0).find(|start| {
        let rest = &body[*start..];
        let end = rest.windows(HEAD_END.len()).position(|it| it == HEAD_END);
        let raw = end.map(|end| &rest[..end + HEAD_END.len()]);
        let head = raw.and_then(|raw| ResponseHead::parse(raw, method).ok().flatten());
        head.is_some_and(|head| header_codec.read_backend(&head).id == Some(id))
    })
}
