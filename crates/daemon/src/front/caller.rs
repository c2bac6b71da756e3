//! The reading side of a caller's connection.

use std::net::Shutdown;

use async_net::TcpStream;
use futures_lite::{AsyncWriteExt as _, future};
use model::prelude::*;

use crate::{deadline, http::Buffered};

/// Bytes of further requests that are read while one is served.
const MAX_AHEAD_BYTES: usize = 16_384;
/// Bytes that are read and dropped before a connection is closed.
const MAX_DROPPED_BYTES: usize = 1 << 20;
/// Time for the caller to close a connection from its side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller's connection.
#[derive(Debug)]
pub(super) struct Caller {
    /// For writing.
    pub(super) stream: TcpStream,
    /// For reading; keeps what came ahead of time.
    pub(super) input: Buffered<TcpStream>,
}

impl Caller {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { input: Buffered::new(stream.clone()), stream }
    }

    /// Waits until the caller has closed its connection.
    ///
    /// Requests that come ahead of time are kept. When there are many of them, nothing more is
    /// read, and the caller is taken for present.
    pub(super) async fn left(&mut self) {
        while self.input.data().len() < MAX_AHEAD_BYTES {
            match self.input.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        future::pending::<()>().await;
    }

    /// Asks the caller to send its body.
    pub(super) async fn send_continue(&mut self) -> std::io::Result<()> {
        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    /// Closes the connection such that the caller gets the last answer: data that was not read
    /// would reset the connection, and the answer with it.
    pub(super) async fn close(mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let mut dropped = 0;
            while dropped < MAX_DROPPED_BYTES {
                let n = self.input.fill().await?;
                if n == 0 {
                    break;
                }
                dropped += n;
                self.input.consume(usize::MAX / 2);
            }
            Ok(())
        };
        // The caller has got its answer or has gone; there is nobody to tell.
        let _ = deadline::io_within(CLOSE_TIMEOUT, drained).await;
    }
}
