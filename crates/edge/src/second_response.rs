//! Second responses of faulty servers.
//!
//! A server may respond twice to a request, the second time late. Where the first response states its
//! length or comes in chunks, the second one is outside of it. Where it ends with the connection, the
//! second one seems to be a part of its body and is found only by its head. A server that repeats its
//! response has completed the first one; one that responds with another status may not have.

use std::sync::Arc;

use http1::{ResponseHead, is_status_line};
use memchr::memmem;

use crate::HeaderCodec;

const HEAD_START: &[u8] = b"HTTP/1.";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Size limit of a head that is looked for; longer bytes are content.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A second response, inside the body of the response to a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct SecondResponse {
    /// The index in the body at which its head begins.
    pub(crate) start: usize,
    /// The status; `None` if the head is malformed.
    pub(crate) status: Option<u16>,
    /// Whether it is to the same request, not to an earlier one of the connection.
    pub(crate) is_own: bool,
}

/// What is known of the heads in a part of a body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Heads {
    /// There is none that matters.
    None,
    Second(SecondResponse),
    /// One may begin at this index; its end has not come.
    Incomplete {
        start: usize,
    },
}

/// Looks for second responses in the body of a response.
#[derive(Clone, Copy)]
pub(crate) struct SecondResponseSearch<'a> {
    /// The id of the request.
    pub(crate) id: &'a str,
    /// The ids of the earlier requests of the connection.
    pub(crate) earlier: &'a [Arc<str>],
    /// The method of the request.
    pub(crate) method: &'a str,
    pub(crate) header_codec: &'a dyn HeaderCodec,
}

impl SecondResponseSearch<'_> {
    /// Finds the first head of a response to the request, or to an earlier one of the connection.
    /// Other heads are content: a body may quote them. The time is linear in the length of `body`
    /// unless it is full of status lines.
    pub(crate) fn search(&self, body: &[u8]) -> Heads {
        let mut incomplete = None;
        // The end of the first head that ends behind `start`; the same for many starts.
        let mut end = Some(0);
        for start in memmem::find_iter(body, HEAD_START) {
            if end.is_some_and(|end| end <= start) {
                let found = memmem::find(&body[start..], HEAD_END);
                end = found.map(|len| start + len + HEAD_END.len());
            }
            match end {
                Some(end) if end - start <= MAX_HEAD_BYTES => {
                    if let Some(second) = self.parse(start, &body[start..end]) {
                        return Heads::Second(second);
                    }
                }
                None if body.len() - start < MAX_HEAD_BYTES => {
                    incomplete = incomplete.or(Some(start));
                }
                _ => {}
            }
        }
        let incomplete = incomplete.or_else(|| partial_start(body));
        incomplete.map_or(Heads::None, |start| Heads::Incomplete { start })
    }

    fn parse(&self, start: usize, raw: &[u8]) -> Option<SecondResponse> {
        let Ok(head) = ResponseHead::parse(raw, self.method) else {
            let is_own = self.named_in_malformed(raw)? == self.id;
            return Some(SecondResponse { start, status: None, is_own });
        };
        let head = head?;
        let id = self.header_codec.read_backend(&head).id?;
        let is_own = id == self.id;
        self.is_known(id).then(|| SecondResponse { start, status: Some(head.status()), is_own })
    }

    /// Returns the first known id in the fields of a malformed head. There is none if it has no status
    /// line, as in a quoted request, or if another head may begin inside of it, as that one is searched
    /// by itself.
    fn named_in_malformed<'b>(&self, raw: &'b [u8]) -> Option<&'b str> {
        let mut lines = raw.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
        if !is_status_line(lines.next()?) || memmem::find(raw.get(1..)?, HEAD_START).is_some() {
            return None;
        }
        let name = self.header_codec.request_id_name();
        lines.filter_map(|line| str::from_utf8(line).ok()).find_map(|line| {
            let (found, id) = line.split_once(':')?;
            let id = id.trim();
            (found.trim().eq_ignore_ascii_case(name) && self.is_known(id)).then_some(id)
        })
    }

    /// Returns whether an id is that of the request or of an earlier one of the connection.
    fn is_known(&self, id: &str) -> bool {
        id == self.id || self.earlier.iter().any(|it| **it == *id)
    }
}

/// Returns where the beginning of [`HEAD_START`] stands at the end of a body.
fn partial_start(body: &[u8]) -> Option<usize> {
    let longest = HEAD_START.len().saturating_sub(1).min(body.len());
    let len = (1..=longest).rev().find(|len| body.ends_with(&HEAD_START[..*len]))?;
    Some(body.len() - len)
}
