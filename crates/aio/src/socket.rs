//! TCP connections that are written and read at the same time.

use std::{
    io,
    net::SocketAddr,
    os::fd::{AsFd, BorrowedFd},
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll, ready},
};

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::net::sockopt::{set_tcp_nodelay, socket_error};

/// A client's TCP connection. Clones share the socket, so that one can be read while another is
/// written.
///
/// The system reports an error of a socket once, to the operation that comes first; a read after that
/// returns 0, like at the end of the input. A peer may also end its side and reset the connection
/// then, which no read reports. So the first error of any clone is kept, and a read returns it in
/// place of the end of the input: only an end without an error is one.
#[derive(Clone, Debug)]
pub struct Socket {
    stream: TcpStream,
    failure: Arc<OnceLock<io::ErrorKind>>,
}

impl Socket {
    /// Connects to a server.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { stream: TcpStream::connect(address).await?, failure: Arc::default() })
    }

    /// Disables Nagle's algorithm, so that small writes go out at once.
    pub fn set_nodelay(&self) -> io::Result<()> {
        Ok(set_tcp_nodelay(self, true)?)
    }

    /// Returns the first error of the connection, if there was one.
    fn check_failure(&self) -> io::Result<()> {
        if self.failure.get().is_none() {
            let pending = socket_error(self)?;
            self.keep_failure(pending.map_err(io::Error::from))?;
        }
        self.failure.get().map_or(Ok(()), |kind| Err(io::Error::from(*kind)))
    }

    /// Keeps the error of an operation, unless the operation can be repeated.
    fn keep_failure<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if let Err(err) = &result
            && err.kind() != io::ErrorKind::Interrupted
        {
            self.failure.get_or_init(|| err.kind());
        }
        result
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let n = self.keep_failure(read)?;
        if n == 0 && !buf.is_empty() {
            self.check_failure()?;
        }
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        Poll::Ready(self.keep_failure(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        Poll::Ready(self.keep_failure(flushed))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = ready!(Pin::new(&mut self.stream).poll_close(cx));
        Poll::Ready(self.keep_failure(closed))
    }
}
