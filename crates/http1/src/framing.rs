//! Body framing.

use crate::{Fields, HeadError};

/// How the length of a body is determined.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// There is no body.
    Absent,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

impl Framing {
    /// Determines the framing from the fields: [`Framing::Absent`] if they state none. A repeated
    /// statement is an error even if the values agree.
    pub(crate) fn from_fields(fields: &Fields) -> Result<Self, HeadError> {
        let mut lengths = fields.all("content-length");
        let mut codings = fields.all("transfer-encoding");
        match (lengths.next(), codings.next()) {
            _ if lengths.next().is_some() || codings.next().is_some() => {
                Err(HeadError::Malformed("the body's length is given twice"))
            }
            (None, None) => Ok(Self::Absent),
            (Some(length), None) => parse_length(length),
            (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Self::Chunked),
            (None, Some(_)) => Err(HeadError::Malformed("the transfer coding is not supported")),
            (Some(_), Some(_)) => {
                Err(HeadError::Malformed("the body has both a length and a transfer coding"))
            }
        }
    }

    /// Returns the name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Absent => "none",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "close",
        }
    }

    /// Returns whether the body may have at least one byte.
    pub fn has_body(self) -> bool {
        !matches!(self, Self::Absent | Self::Length(0))
    }
}

fn parse_length(value: &[u8]) -> Result<Framing, HeadError> {
    let err = HeadError::Malformed("the content length is not a number");
    // `u64::from_str` would accept a leading plus sign.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(err);
    }
    let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
    length.map(Framing::Length).ok_or(err)
}
