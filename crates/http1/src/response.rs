//! Response heads.

use std::ops::RangeInclusive;

use futures_lite::AsyncRead;

use crate::{
    Buffered, Fields, Framing, HeadError,
    raw::{MAX_FIELDS, read_raw},
    status_line::contains_status_line,
};

/// The most heads that are read to find the final response; interim ones (1xx) are skipped.
const MAX_HEADS: usize = 4;
/// The status codes that HTTP defines (RFC 9110, section 15). `httparse` accepts any three digits.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// The head of a final response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    fields: Fields,
    status: u16,
    framing: Framing,
}

impl ResponseHead {
    /// Reads the head of the final response to a request with `method`. Each head may have at most
    /// `max_bytes`.
    pub async fn read<R: AsyncRead + Unpin>(
        input: &mut Buffered<R>,
        method: &str,
        max_bytes: usize,
    ) -> Result<Self, HeadError> {
        for _ in 0..MAX_HEADS {
            let raw = read_raw(input, max_bytes).await?;
            if let Some(head) = Self::parse(&raw, method)? {
                return Ok(head);
            }
        }
        Err(HeadError::Malformed("too many interim responses"))
    }

    /// Parses the bytes of a head, including the empty line at its end. Returns `None` for an
    /// interim response. `method` is the request's: a response to `HEAD` has no body.
    pub fn parse(raw: &[u8], method: &str) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        if parsed.parse(raw)?.is_partial() {
            return Err(HeadError::Malformed("the head is not well formed"));
        }
        // The server may have stopped within an earlier head, on which this one follows.
        let reason = parsed.reason.unwrap_or_default().as_bytes();
        let values = parsed.headers.iter().map(|field| field.value);
        if values.chain([reason]).any(contains_status_line) {
            return Err(HeadError::Malformed("the head contains another one"));
        }
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(HeadError::Malformed("the status is not valid"));
        }
        if status == 101 {
            return Err(HeadError::Malformed("switching protocols is not supported"));
        }
        if (100..200).contains(&status) {
            return Ok(None);
        }
        let fields = Fields::new(raw, parsed.headers);
        let framing = match Framing::from_fields(&fields)? {
            _ if method == "HEAD" || status == 204 || status == 304 => Framing::Absent,
            Framing::Absent => Framing::UntilClose,
            framing => framing,
        };
        Ok(Some(Self { fields, status, framing }))
    }

    /// Returns the header fields.
    pub fn fields(&self) -> &Fields {
        &self.fields
    }

    /// Returns the status code, from 200 to 599.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the framing of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the status is a success (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the connection cannot be reused after this response.
    pub fn closes(&self) -> bool {
        self.framing == Framing::UntilClose || self.fields.has_token("connection", "close")
    }
}
