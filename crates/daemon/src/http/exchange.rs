//! A client connection that stays open between requests.

use std::net::SocketAddr;

use aio::Socket;
use futures_lite::{AsyncWriteExt as _, FutureExt as _, future};
use http_types::{Request, Response};
use thiserror::Error;

use super::{BodyError, Buffered, HeadError, encode_request, read_response, read_whole};

/// Maximum size of a response's body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Why a request got no complete response.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    /// The connection could not be established, or broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The head of the response could not be read.
    #[error("{0}")]
    Head(#[from] HeadError),
    /// The body of the response could not be read.
    #[error("{0}")]
    Body(#[from] BodyError),
}

impl ExchangeError {
    /// Returns whether a response arrived but was malformed or too large.
    pub(crate) fn is_malformed(&self) -> bool {
        matches!(
            self,
            Self::Head(HeadError::TooLarge(_) | HeadError::TooManyFields | HeadError::Malformed(_))
                | Self::Body(BodyError::TooLarge(_) | BodyError::Malformed)
        )
    }
}

/// A response that was read completely.
#[derive(Debug)]
pub(crate) struct WholeResponse {
    /// The response without its body.
    pub(crate) res: Response,
    /// The body without transfer coding, at most [`MAX_BODY_BYTES`].
    pub(crate) body: Vec<u8>,
}

/// A client connection that stays open between requests.
#[derive(Debug)]
pub(crate) struct Client {
    stream: Socket,
    input: Buffered<Socket>,
}

impl Client {
    /// Connects to a server.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, ExchangeError> {
        let stream = Socket::connect(address).await?;
        // Requests are written at once; Nagle's algorithm would only delay them.
        let _ = stream.set_nodelay();
        Ok(Self { input: Buffered::new(stream.clone()), stream })
    }

    /// Returns the connection of the last exchange, or a new one if there is none or if that one is
    /// unusable: bytes that no request asked for would be taken for the next response.
    pub(crate) async fn reuse_or_connect(
        last: Option<Self>,
        address: SocketAddr,
    ) -> Result<Self, ExchangeError> {
        if let Some(mut client) = last
            && !client.is_unusable().await
        {
            return Ok(client);
        }
        Self::connect(address).await
    }

    /// Sends a request and reads the complete response. After an error, or if the future is dropped,
    /// the connection must not be used again.
    pub(crate) async fn exchange(&mut self, req: Request) -> Result<WholeResponse, ExchangeError> {
        let method = req.method();
        let bytes = encode_request(req).await?;
        self.stream.write_all(&bytes).await?;
        let head = read_response(&mut self.input, method).await?;
        let body = read_whole(&mut self.input, head.framing, MAX_BODY_BYTES).await?;
        Ok(WholeResponse { res: head.res, body })
    }

    /// Returns whether the server has closed the connection or sent unexpected bytes by now.
    async fn is_unusable(&mut self) -> bool {
        let unusable = async {
            self.wait_until_unusable().await;
            true
        };
        // The reader may let other tasks run before it reads, so it is polled twice.
        let usable = async {
            future::yield_now().await;
            false
        };
        unusable.or(usable).await
    }

    /// Waits until the server closes the connection or sends unexpected bytes. The connection must
    /// not be used after either.
    pub(crate) async fn wait_until_unusable(&mut self) {
        if self.input.data().is_empty() {
            // The connection is unusable whatever the result.
            let _ = self.input.fill().await;
        }
    }
}
