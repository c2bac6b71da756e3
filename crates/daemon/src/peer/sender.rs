//! Delivery of the messages for one address.

use std::{net::SocketAddr, rc::Rc};

use async_channel::Receiver;
use async_io::Timer;
use futures::{StreamExt as _, stream::FuturesUnordered};
use futures_lite::{FutureExt as _, future};
use model::prelude::*;

use super::{
    backoff::Backoff,
    connection::{CallError, Connection},
    outgoing::Batch,
    stats::Counters,
};
use crate::{Clock, deadline};

/// A message older than this is dropped, since its receiver would act on outdated state.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(500);
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the acknowledgement of an envelope, after which the connection is closed.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of envelopes without an acknowledgement. Further messages wait and are merged
/// into fewer envelopes, so that a slow receiver has less work per message.
const MAX_PENDING_CALLS: usize = 8;
/// A connection over which nothing was sent for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delivers batches. Ends once there was none for [`IDLE_TIMEOUT`] while no connection was open.
pub(super) async fn run(
    me: Peer,
    address: SocketAddr,
    clock: Clock,
    batches: Receiver<Batch>,
    counters: Rc<Counters>,
) {
    let (next, backoff) = Default::default();
    let mut sender = Sender { me, address, clock, batches, counters, next, backoff };
    while sender.wait_for_batch().await {
        if !sender.use_connection().await {
            Timer::after(sender.backoff.next_pause()).await;
        }
    }
}

struct Sender {
    me: Peer,
    address: SocketAddr,
    clock: Clock,
    batches: Receiver<Batch>,
    counters: Rc<Counters>,
    /// The batch to send next: one that waits for a connection, or that did not fit into the last
    /// envelope.
    next: Option<Batch>,
    backoff: Backoff,
}

/// What happens next on a connection.
enum ConnectionEvent {
    /// A batch can be sent.
    Send(Batch),
    /// The receiver acknowledged or refused a batch.
    Replied,
    /// There was no batch for [`IDLE_TIMEOUT`].
    Idle,
    /// The connection ended, or a batch got no reply in time.
    Failed(CallError),
}

impl Sender {
    /// Waits for a batch, before a connection is opened for it. Returns `false` if there was none
    /// for [`IDLE_TIMEOUT`].
    async fn wait_for_batch(&mut self) -> bool {
        self.next = self.next_batch().await;
        self.next.is_some()
    }

    /// Returns the next batch, merged with the queued ones that fit into the same envelope.
    async fn next_envelope(&mut self) -> Option<Batch> {
        let mut batch = self.next_batch().await?;
        while self.next.is_none()
            && let Ok(later) = self.batches.try_recv()
        {
            self.next = batch.merge(later).err();
        }
        Some(batch)
    }

    /// Returns the next batch that is not too old, or `None` if there was none for
    /// [`IDLE_TIMEOUT`].
    async fn next_batch(&mut self) -> Option<Batch> {
        let idle_at = self.clock.now() + IDLE_TIMEOUT;
        let fresh = async {
            loop {
                let batch = match self.next.take() {
                    Some(next) => next,
                    None => self.batches.recv().await.ok()?,
                };
                if is_fresh(&batch, self.clock) {
                    return Some(batch);
                }
                self.counters.add_dropped(batch.msgs.len());
            }
        };
        deadline::until(self.clock, idle_at, fresh).await.flatten()
    }

    /// Connects, and delivers batches until the connection fails or is idle. Returns `false` if it
    /// failed.
    async fn use_connection(&mut self) -> bool {
        let by = self.clock.now() + CONNECT_TIMEOUT;
        let counters = Rc::clone(&self.counters);
        let connecting = Connection::open(self.me, self.address, self.clock, counters);
        let result = match deadline::until(self.clock, by, connecting).await {
            Some(Ok(mut conn)) => {
                let result = self.deliver(&mut conn).await;
                conn.close().await;
                result
            }
            Some(Err(err)) => Err(CallError::Connect(err)),
            None => Err(CallError::TimedOut),
        };
        if let Err(err) = &result {
            self.counters.add_failure();
            log::debug!(address:% = self.address; "connection to an instance failed: {err}");
        }
        result.is_ok()
    }

    async fn deliver(&mut self, conn: &mut Connection) -> Result<(), CallError> {
        let mut calls = FuturesUnordered::new();
        loop {
            let may_send = calls.len() < MAX_PENDING_CALLS;
            let replied = async {
                match calls.next().await {
                    Some(Ok(())) => ConnectionEvent::Replied,
                    Some(Err(err)) => ConnectionEvent::Failed(err),
                    None => future::pending().await,
                }
            };
            let broken = async { ConnectionEvent::Failed(conn.run_until_broken().await) };
            let sending = async {
                if !may_send {
                    future::pending::<()>().await;
                }
                self.next_envelope().await.map_or(ConnectionEvent::Idle, ConnectionEvent::Send)
            };
            match replied.or(broken).or(sending).await {
                ConnectionEvent::Send(batch) => {
                    let by = self.clock.now() + CALL_TIMEOUT;
                    calls.push(conn.call(batch, by));
                }
                ConnectionEvent::Replied => self.backoff.reset(),
                ConnectionEvent::Idle => return Ok(()),
                ConnectionEvent::Failed(err) => return Err(err),
            }
        }
    }
}

fn is_fresh(batch: &Batch, clock: Clock) -> bool {
    clock.now().since(batch.created_at) <= MAX_MESSAGE_AGE
}
