//! Request bodies without a stated length.

use aio::Clock;
use async_net::TcpStream;
use http1::{BodyDecoder, BodyError, Buffered, Framing};

use crate::memory::Reservation;

/// Reads a chunked body of at most `limit` bytes, for each of which memory is reserved before it is
/// kept. Returns `None` if there is too little.
pub(crate) async fn read_counted(
    input: &mut Buffered<TcpStream>,
    limit: usize,
    clock: Clock,
    memory: &mut Reservation,
) -> Result<Option<Vec<u8>>, BodyError> {
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    let mut body = Vec::new();
    while let Some(piece) = decoder.next(input).await? {
        if body.len() + piece.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if !memory.grow(clock.now(), piece.len()) {
            return Ok(None);
        }
        body.extend_from_slice(&piece);
    }
    Ok(Some(body))
}
