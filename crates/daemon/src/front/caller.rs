//! A caller's connection.

use std::net::Shutdown;

use async_net::TcpStream;
use futures_lite::{AsyncWriteExt as _, future};
use model::prelude::*;

use crate::{deadline, http::Buffered};

/// Bytes of pipelined requests that are buffered, at most, while a request is served.
const MAX_PIPELINED_BYTES: usize = 16_384;
/// Bytes that are read and discarded, at most, before a connection is closed.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Timeout for the caller to close its side of a connection after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Caller {
    /// The socket, for writing.
    pub(super) stream: TcpStream,
    /// The buffered socket, for reading. The buffer may hold pipelined requests.
    pub(super) input: Buffered<TcpStream>,
}

impl Caller {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { input: Buffered::new(stream.clone()), stream }
    }

    /// Waits until the caller has closed its connection.
    ///
    /// Pipelined requests are buffered meanwhile. Once the buffer is full, nothing more is read, so
    /// that this never returns even if the caller leaves.
    pub(super) async fn wait_until_left(&mut self) {
        while self.input.data().len() < MAX_PIPELINED_BYTES {
            match self.input.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        future::pending::<()>().await;
    }

    /// Writes an interim response that asks the caller to send the body.
    pub(super) async fn send_continue(&mut self) -> std::io::Result<()> {
        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Closes the connection gracefully: reads and discards what the caller still sends, since
    /// closing a socket with unread bytes resets the connection and may destroy the last response.
    pub(super) async fn close(mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                let n = self.input.fill().await?;
                if n == 0 {
                    break;
                }
                discarded += n;
                self.input.consume(usize::MAX / 2);
            }
            Ok(())
        };
        // After an error or the timeout there is nothing left to do.
        let _ = deadline::io_within(CLOSE_TIMEOUT, drained).await;
    }
}
