//! Reading the bytes of a head.

use std::io;

use futures_lite::AsyncRead;
use memchr::memchr_iter;

use crate::{Buffered, HeadError};

/// The most header fields of a head; a head with more is rejected.
pub(crate) const MAX_FIELDS: usize = 100;

/// Reads a head up to and with the empty line that ends it. Empty lines before the head are skipped
/// (RFC 9112, section 2.2), but no more than `max_bytes` of them.
pub(crate) async fn read_raw<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    max_bytes: usize,
) -> Result<Vec<u8>, HeadError> {
    let mut has_started = false;
    let mut skipped = 0;
    let mut scanned = 0;
    loop {
        while input.data().starts_with(b"\r\n") {
            input.consume(2);
            skipped += 2;
            scanned = 0;
        }
        if skipped > max_bytes {
            return Err(HeadError::TooLarge(max_bytes));
        }
        has_started |= !input.data().is_empty();
        if let Some(len) = head_len(input.data(), max_bytes, &mut scanned)? {
            let raw = input.data()[..len].to_vec();
            input.consume(len);
            return Ok(raw);
        }
        if input.fill().await? > 0 {
            continue;
        }
        if !has_started {
            return Err(HeadError::Closed);
        }
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
}

/// Returns the length of the head that `data` starts with, or `None` if the head is incomplete. The
/// first `scanned` bytes were scanned before, and are not scanned again.
fn head_len(
    data: &[u8],
    max_bytes: usize,
    scanned: &mut usize,
) -> Result<Option<usize>, HeadError> {
    let bounded = &data[..data.len().min(max_bytes)];
    for offset in memchr_iter(b'\n', &bounded[*scanned..]) {
        let line = &bounded[..*scanned + offset];
        let Some(line) = line.strip_suffix(b"\r") else {
            // Parsers differ in whether a bare line feed ends a line.
            return Err(HeadError::Malformed("a line does not end with CR LF"));
        };
        if line.ends_with(b"\r\n") {
            return Ok(Some(line.len() + 2));
        }
    }
    *scanned = bounded.len();
    if data.len() >= max_bytes {
        return Err(HeadError::TooLarge(max_bytes));
    }
    Ok(None)
}
