//! The bytes of a head.

use std::io;

use futures_lite::AsyncRead;

use crate::{Buffered, HeadError};

/// Header fields of a head.
pub(crate) const MAX_FIELDS: usize = 100;

/// Reads up to the empty line that ends a head, which is consumed. Empty lines before the head
/// are skipped.
pub(crate) async fn read_raw<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    max_bytes: usize,
) -> Result<Vec<u8>, HeadError> {
    let mut any = false;
    loop {
        while input.data().starts_with(b"\r\n") {
            input.consume(2);
        }
        any |= !input.data().is_empty();
        if let Some(len) = head_len(input.data(), max_bytes)? {
            let raw = input.data()[..len].to_vec();
            input.consume(len);
            return Ok(raw);
        }
        if input.fill().await? > 0 {
            continue;
        }
        if !any {
            return Err(HeadError::Closed);
        }
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
}

/// Returns the length of the head that `data` starts with, or `None` if it is not whole yet.
fn head_len(data: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
    let bounded = &data[..data.len().min(max_bytes)];
    let end = bounded.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
    let head = &bounded[..end.unwrap_or(bounded.len())];
    let bare_line_feed =
        head.iter().zip([0].iter().chain(head)).any(|(b, a)| *b == b'\n' && *a != b'\r');
    if bare_line_feed {
        // Parsers differ in whether a line feed alone ends a line.
        return Err(HeadError::Malformed("a line does not end with CR LF"));
    }
    if end.is_none() && data.len() >= max_bytes {
        return Err(HeadError::TooLarge(max_bytes));
    }
    Ok(end)
}
