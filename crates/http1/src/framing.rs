//! How a body is delimited.

use crate::{Fields, HeadError};

/// How a body is delimited.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// There is no body.
    Absent,
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

impl Framing {
    /// Reads the framing that the fields state, [`Framing::Absent`] if they state none. Two
    /// statements are an error even if they agree.
    pub(crate) fn of(fields: &Fields) -> Result<Self, HeadError> {
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

    /// Returns whether a body with at least one byte may follow.
    pub fn has_body(self) -> bool {
        !matches!(self, Self::Absent | Self::Length(0))
    }
}

fn parse_length(value: &[u8]) -> Result<Framing, HeadError> {
    let err = HeadError::Malformed("the content length is not a number");
    // `u64::from_str` takes a leading plus sign.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(err);
    }
    let length = std::str::from_utf8(value).ok().and_then(|it| it.parse().ok());
    length.map(Framing::Length).ok_or(err)
}
