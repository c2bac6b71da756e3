//! The heads of requests.

use std::ops::Range;

use futures_lite::AsyncRead;

use crate::{
    Buffered, Fields, Framing, HeadError,
    fields::span,
    raw::{MAX_FIELDS, read_raw},
};

/// A request's head that two parsers cannot read differently.
#[derive(Clone, Debug)]
pub struct RequestHead {
    fields: Fields,
    method: Range<u32>,
    target: Range<u32>,
    framing: Framing,
}

impl RequestHead {
    /// Reads a head of at most `max_bytes`, the empty line included.
    pub async fn read<R: AsyncRead + Unpin>(
        input: &mut Buffered<R>,
        max_bytes: usize,
    ) -> Result<Self, HeadError> {
        let raw = read_raw(input, max_bytes).await?;
        Self::parse(&raw)
    }

    /// Parses the bytes of a head, up to and with the empty line.
    pub fn parse(raw: &[u8]) -> Result<Self, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        if parsed.parse(raw)?.is_partial() {
            return Err(HeadError::Malformed("the head is not well formed"));
        }
        if parsed.version != Some(1) {
            return Err(HeadError::Malformed("the HTTP version is not supported"));
        }
        let fields = Fields::new(raw, parsed.headers);
        let target = parsed.path.unwrap_or_default();
        check_host(&fields)?;
        if !target.starts_with('/') {
            return Err(HeadError::Malformed("the request target must be a path"));
        }
        let framing = Framing::of(&fields)?;
        let method = span(raw, parsed.method.unwrap_or_default().as_bytes());
        Ok(Self { method, target: span(raw, target.as_bytes()), framing, fields })
    }

    /// Returns the header fields.
    pub fn fields(&self) -> &Fields {
        &self.fields
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        std::str::from_utf8(self.fields.bytes(&self.method)).unwrap_or_default()
    }

    /// Returns the target as it came: the path and the query.
    pub fn target(&self) -> &str {
        std::str::from_utf8(self.fields.bytes(&self.target)).unwrap_or_default()
    }

    /// Returns the target up to the query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |it| it.0)
    }

    /// Returns the host without its port.
    pub fn host(&self) -> &str {
        let host = self.fields.text("host").unwrap_or_default();
        host.rsplit_once(':').map_or(host, |it| it.0)
    }

    /// Returns how the body is delimited.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.fields.has_token("expect", "100-continue")
    }

    /// Returns whether the caller wants the connection closed after the answer.
    pub fn closes(&self) -> bool {
        self.fields.has_token("connection", "close")
    }
}

fn check_host(fields: &Fields) -> Result<(), HeadError> {
    let mut hosts = fields.all("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(HeadError::Malformed("there must be one Host field"));
    };
    if host.is_empty() || host.iter().any(|it| b"/?#@\\ \t,".contains(it)) {
        return Err(HeadError::Malformed("the Host field is not valid"));
    }
    Ok(())
}
