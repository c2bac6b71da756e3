//! Serves callers over HTTP.
//!
//! A connection is served request by request: `routing` finds route, key, class and pool,
//! `exchange` tells the control thread and follows its orders, and `answer` writes the answer
//! as it comes.

mod account_key;
mod answer;
mod caller;
mod connection;
mod exchange;
mod outgoing;
mod prefix;
mod problem;
mod report;
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
    answer::Answer,
    outgoing::{AttemptFields, Outgoing},
};
use crate::Traffic;

/// Pause after an error of `accept`, which mostly means that there are too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which the end of the last connections is awaited.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Serves callers until the process stops listening and the last connection has ended.
pub async fn serve(cx: Traffic, listener: TcpListener) {
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

/// Accepts the connections that the operating system has established already; they would be reset
/// with the listener.
async fn accept_waiting(front: &Arc<Front>, listener: &TcpListener) {
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        front.spawn(stream);
    }
}

/// What the connections of callers share.
#[derive(Debug)]
struct Front {
    cx: Traffic,
    /// The high half of request ids, which differs between runs of instances.
    run: u64,
    next_request: AtomicU64,
    connections: AtomicUsize,
}

impl Front {
    fn new(cx: Traffic) -> Self {
        Self {
            cx,
            run: rand::random(),
            next_request: AtomicU64::new(1),
            connections: AtomicUsize::new(0),
        }
    }

    fn spawn(self: &Arc<Self>, stream: TcpStream) {
        let open = Open::new(Arc::clone(self));
        let pool = self.cx.pool.clone();
        pool.detach(async move {
            if open.count <= open.front.cx.settings.limits.connections {
                connection::serve(&open.front, stream).await;
            } else {
                connection::reject_connection(&open.front, stream).await;
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
struct Open {
    front: Arc<Front>,
    count: usize,
}

impl Open {
    fn new(front: Arc<Front>) -> Self {
        let count = front.connections.fetch_add(1, Ordering::Relaxed) + 1;
        front.cx.metrics.connections(count);
        Self { front, count }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let count = self.front.connections.fetch_sub(1, Ordering::Relaxed) - 1;
        self.front.cx.metrics.connections(count);
    }
}
