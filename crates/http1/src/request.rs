//! Request heads.

use std::ops::Range;

use futures_lite::AsyncRead;

use crate::{
    Buffered, Fields, Framing, HeadError,
    fields::span,
    raw::{MAX_FIELDS, read_raw},
};

/// A request's head. Heads that two parsers may read differently are rejected.
#[derive(Clone, Debug)]
pub struct RequestHead {
    fields: Fields,
    method: Range<u32>,
    target: Range<u32>,
    framing: Framing,
}

impl RequestHead {
    /// Reads a head of at most `max_bytes`, including the empty line at its end.
    pub async fn read<R: AsyncRead + Unpin>(
        input: &mut Buffered<R>,
        max_bytes: usize,
    ) -> Result<Self, HeadError> {
        let raw = read_raw(input, max_bytes).await?;
        Self::parse(&raw)
    }

    /// Parses the bytes of a head, including the empty line at its end.
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
        let framing = Framing::from_fields(&fields)?;
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

    /// Returns the request target as received: the path and the query.
    pub fn target(&self) -> &str {
        std::str::from_utf8(self.fields.bytes(&self.target)).unwrap_or_default()
    }

    /// Returns the path, without the query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |parts| parts.0)
    }

    /// Returns the host of the `Host` field, without its port.
    pub fn host(&self) -> &str {
        let host = self.fields.text("host").unwrap_or_default();
        host.rsplit_once(':').map_or(host, |parts| parts.0)
    }

    /// Returns the framing of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.fields.has_token("expect", "100-continue")
    }

    /// Returns whether the client asks to close the connection after the response.
    pub fn closes(&self) -> bool {
        self.fields.has_token("connection", "close")
    }
}

fn check_host(fields: &Fields) -> Result<(), HeadError> {
    let mut hosts = fields.all("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(HeadError::Malformed("there must be one Host field"));
    };
    if host.is_empty() || host.iter().any(|byte| b"/?#@\\ \t,".contains(byte)) {
        return Err(HeadError::Malformed("the Host field is not valid"));
    }
    Ok(())
}
