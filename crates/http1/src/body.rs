//! The bodies of requests and responses.

use std::io;

use futures_lite::AsyncRead;
use thiserror::Error;

use crate::{Buffered, Framing};

/// Size limit of the line that starts a chunk; a longer one is malformed.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Size limit of the trailer of a chunked body; a longer one is malformed.
const MAX_TRAILER_BYTES: usize = 4_096;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection broke or was closed before the end of the body.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// A chunk or the trailer is not well formed, or too long.
    #[error("the chunked body is not well formed")]
    Malformed,
    /// The body exceeds the limit given here, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
}

/// Decodes a body from its framing, piece by piece.
///
/// Dropping the future of [`BodyDecoder::next`] loses no data: the next call continues.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Length { left: u64 },
    ChunkLine,
    Chunk { left: u64 },
    ChunkEnd,
    Trailer { seen: usize },
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// Starts decoding a body with the given framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Absent => State::Done,
            Framing::Length(left) => State::Length { left },
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns the next piece, or `None` once the body is complete according to its framing.
    pub async fn next<R: AsyncRead + Unpin>(
        &mut self,
        input: &mut Buffered<R>,
    ) -> Result<Option<Vec<u8>>, BodyError> {
        loop {
            match self.state {
                State::Length { left: 0 } => self.state = State::Done,
                State::Length { left } => {
                    let piece = take(input, left).await?;
                    self.state = State::Length { left: left - piece.len() as u64 };
                    return Ok(Some(piece));
                }
                State::ChunkLine => self.state = chunk_line(input).await?,
                State::Chunk { left: 0 } => self.state = State::ChunkEnd,
                State::Chunk { left } => {
                    let piece = take(input, left).await?;
                    self.state = State::Chunk { left: left - piece.len() as u64 };
                    return Ok(Some(piece));
                }
                State::ChunkEnd => self.state = chunk_end(input).await?,
                State::Trailer { seen } => self.state = trailer_line(input, seen).await?,
                State::UntilClose => {
                    if input.data().is_empty() && input.fill().await? == 0 {
                        self.state = State::Done;
                        continue;
                    }
                    return Ok(Some(take(input, u64::MAX).await?));
                }
                State::Done => return Ok(None),
            }
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_whole<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    framing: Framing,
    limit: usize,
) -> Result<Vec<u8>, BodyError> {
    if matches!(framing, Framing::Length(length) if length > limit as u64) {
        return Err(BodyError::TooLarge(limit));
    }
    if let Framing::Length(length) = framing {
        // The conversion succeeds: the length is at most `limit`.
        return read_length(input, usize::try_from(length).unwrap_or(limit)).await;
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while let Some(piece) = decoder.next(input).await? {
        if body.len() + piece.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body)
}

/// Reads a body of at most `limit` bytes without keeping it.
pub async fn discard<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    framing: Framing,
    limit: usize,
) -> Result<(), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut len = 0;
    while let Some(piece) = decoder.next(input).await? {
        len += piece.len();
        if len > limit {
            return Err(BodyError::TooLarge(limit));
        }
    }
    Ok(())
}

async fn read_length<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    length: usize,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    while body.len() < length {
        if input.read_into(&mut body, length).await? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
    Ok(body)
}

async fn fill<R: AsyncRead + Unpin>(input: &mut Buffered<R>) -> Result<(), BodyError> {
    match input.fill().await? {
        0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        _ => Ok(()),
    }
}

async fn take<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    left: u64,
) -> Result<Vec<u8>, BodyError> {
    if input.data().is_empty() {
        fill(input).await?;
    }
    let data = input.data();
    let len = usize::try_from(left).unwrap_or(usize::MAX).min(data.len());
    let piece = data[..len].to_vec();
    input.consume(len);
    Ok(piece)
}

async fn chunk_line<R: AsyncRead + Unpin>(input: &mut Buffered<R>) -> Result<State, BodyError> {
    loop {
        // `httparse` accepts a line without any digit as a size of 0.
        if input.data().first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(BodyError::Malformed);
        }
        match httparse::parse_chunk_size(input.data()) {
            Ok(httparse::Status::Complete((line, size))) => {
                input.consume(line);
                return Ok(match size {
                    0 => State::Trailer { seen: 0 },
                    left => State::Chunk { left },
                });
            }
            Ok(httparse::Status::Partial) if input.data().len() <= MAX_CHUNK_LINE_BYTES => {
                fill(input).await?;
            }
            Ok(httparse::Status::Partial) | Err(_) => return Err(BodyError::Malformed),
        }
    }
}

async fn chunk_end<R: AsyncRead + Unpin>(input: &mut Buffered<R>) -> Result<State, BodyError> {
    while input.data().len() < 2 {
        fill(input).await?;
    }
    if !input.data().starts_with(b"\r\n") {
        return Err(BodyError::Malformed);
    }
    input.consume(2);
    Ok(State::ChunkLine)
}

/// Skips a line of the trailer, whose fields are checked but not used. `seen` is the size of the trailer so
/// far.
async fn trailer_line<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    seen: usize,
) -> Result<State, BodyError> {
    loop {
        if let Some(end) = input.data().windows(2).position(|pair| pair == b"\r\n") {
            if end > 0 && !is_field(&input.data()[..end]) {
                return Err(BodyError::Malformed);
            }
            input.consume(end + 2);
            return Ok(match end {
                0 => State::Done,
                _ => State::Trailer { seen: seen + end + 2 },
            });
        }
        if seen + input.data().len() > MAX_TRAILER_BYTES {
            return Err(BodyError::Malformed);
        }
        fill(input).await?;
    }
}

/// Returns whether a line without its end is one header field.
fn is_field(line: &[u8]) -> bool {
    let block = [line, b"\r\n\r\n"].concat();
    let mut fields = [httparse::EMPTY_HEADER; 1];
    matches!(
        httparse::parse_headers(&block, &mut fields),
        Ok(httparse::Status::Complete((len, [_]))) if len == block.len()
    )
}
