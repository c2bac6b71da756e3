//! Serving of callers over HTTP.
//!
//! A connection is served one request after another: `routing` finds the route, the client account,
//! the class and the pool, `exchange` passes the request to the control thread and carries out its
//! commands, and `response` writes the response as it arrives.

mod account_key;
mod caller;
mod connection;
mod exchange;
mod outgoing;
mod prefix;
mod problem;
mod reporter;
mod response;
mod routing;

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{FutureExt as _, future};
use model::prelude::*;

pub(crate) use self::{
    outgoing::{AttemptFields, OutgoingRequest},
    response::ResponseWriter,
};
use crate::Context;

/// Pause after a connection could not be accepted, most likely because the process has no file
/// descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval of the checks for the end of the last connections.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Serves callers until the process stops listening and the last connection has ended.
pub async fn serve(cx: Context, listener: TcpListener) {
    let front = Arc::new(Front::new(cx));
    let accepting = accept_all(&front, &listener);
    let stopped = front.cx.shared.stopped_listening();
    accepting.or(stopped).await;
    accept_waiting(&front, &listener).await;
    drop(listener);
    while front.connections.load(Ordering::Relaxed) > 0 {
        Timer::after(DRAIN_INTERVAL).await;
    }
}

async fn accept_all(front: &Arc<Front>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => front.spawn(stream),
            Err(err) => {
                log::warn!("cannot accept a connection: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts the connections that wait in the listener's queue. The operating system would reset them
/// when the listener is closed.
async fn accept_waiting(front: &Arc<Front>, listener: &TcpListener) {
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        front.spawn(stream);
    }
}

/// State shared by all callers' connections.
#[derive(Debug)]
struct Front {
    cx: Context,
    /// The high half of request ids. It is random, so that ids differ between instances and between
    /// runs of one.
    run: u64,
    next_request: AtomicU64,
    connections: AtomicUsize,
}

impl Front {
    fn new(cx: Context) -> Self {
        Self {
            cx,
            run: rand::random(),
            next_request: AtomicU64::new(1),
            connections: AtomicUsize::new(0),
        }
    }

    fn spawn(self: &Arc<Self>, stream: TcpStream) {
        let open = ConnectionGuard::new(Arc::clone(self));
        let pool = self.cx.pool.clone();
        pool.detach(async move {
            if open.count <= open.front.cx.settings.limits.connections {
                connection::serve(&open.front, stream).await;
            } else {
                connection::refuse_connection(&open.front, stream).await;
            }
        });
    }

    fn next_no(&self) -> RequestNo {
        RequestNo(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    fn id_of(&self, no: RequestNo) -> RequestId {
        RequestId((u128::from(self.run) << 64) | u128::from(no.0))
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    front: Arc<Front>,
    count: usize,
}

impl ConnectionGuard {
    fn new(front: Arc<Front>) -> Self {
        let count = front.connections.fetch_add(1, Ordering::Relaxed) + 1;
        front.cx.metrics.record_connections(count);
        Self { front, count }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = self.front.connections.fetch_sub(1, Ordering::Relaxed) - 1;
        self.front.cx.metrics.record_connections(count);
    }
}
