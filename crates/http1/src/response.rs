//! The heads of responses.

use futures_lite::AsyncRead;

use crate::{
    Buffered, Fields, Framing, HeadError,
    raw::{MAX_FIELDS, read_raw},
};

/// Interim responses that are skipped before the final one.
const MAX_INTERIM: usize = 4;

/// The head of a final response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    fields: Fields,
    status: u16,
    framing: Framing,
}

impl ResponseHead {
    /// Reads the head of the final response, of at most `max_bytes`, to a request with `method`.
    pub async fn read<R: AsyncRead + Unpin>(
        input: &mut Buffered<R>,
        method: &str,
        max_bytes: usize,
    ) -> Result<Self, HeadError> {
        for _ in 0..MAX_INTERIM {
            let raw = read_raw(input, max_bytes).await?;
            if let Some(head) = Self::parse(&raw, method)? {
                return Ok(head);
            }
        }
        Err(HeadError::Malformed("too many interim responses"))
    }

    /// Parses the bytes of a head; an interim response gives `None`.
    pub fn parse(raw: &[u8], method: &str) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        if parsed.parse(raw)?.is_partial() {
            return Err(HeadError::Malformed("the head is not well formed"));
        }
        let status = parsed.code.unwrap_or_default();
        if status == 101 {
            return Err(HeadError::Malformed("the protocol is not to be changed"));
        }
        if (100..200).contains(&status) {
            return Ok(None);
        }
        let fields = Fields::new(raw, parsed.headers);
        let framing = match Framing::of(&fields)? {
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

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns how the body is delimited.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the status says that the request was served.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the connection is of no use after this response.
    pub fn closes(&self) -> bool {
        self.framing == Framing::UntilClose || self.fields.has_token("connection", "close")
    }
}
