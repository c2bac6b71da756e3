//! The bodies of requests and responses.

use std::io;

use futures_lite::AsyncRead;
use thiserror::Error;

use crate::{Buffered, Framing};

/// Bytes of the line that starts a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Bytes of the trailer of a chunked body.
const MAX_TRAILER_BYTES: usize = 4_096;

/// Why a body could not be read whole.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection broke or was closed before the end of the body.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// A chunk is not well formed.
    #[error("the chunked body is not well formed")]
    Malformed,
    /// The body is too large.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
}

/// Takes a body out of its framing, piece by piece.
///
/// Nothing is lost if the future of [`BodyDecoder::next`] is dropped.
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
    /// Starts to read a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Absent => State::Done,
            Framing::Length(left) => State::Length { left },
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns the next piece, or `None` once the body has ended where its framing says.
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

/// Reads a body whole.
pub async fn read_whole<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    framing: Framing,
    limit: usize,
) -> Result<Vec<u8>, BodyError> {
    if matches!(framing, Framing::Length(length) if length > limit as u64) {
        return Err(BodyError::TooLarge(limit));
    }
    if let Framing::Length(length) = framing {
        // Not more than `limit`, which is a `usize`.
        return read_length(input, usize::try_from(length).unwrap_or(limit)).await;
    }
    let mut frames = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while let Some(piece) = frames.next(input).await? {
        if body.len() + piece.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body)
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
        // `httparse` takes a line without any digit for a size of 0.
        if input.data().first().is_some_and(|it| !it.is_ascii_hexdigit()) {
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

/// Skips a line of the trailer: nothing here needs its fields.
async fn trailer_line<R: AsyncRead + Unpin>(
    input: &mut Buffered<R>,
    seen: usize,
) -> Result<State, BodyError> {
    loop {
        if let Some(end) = input.data().windows(2).position(|it| it == b"\r\n") {
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
