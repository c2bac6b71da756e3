//! Delivers the messages for one address.

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

/// A message older than this is dropped: its receiver would act on what is no longer so.
const MAX_AGE: Duration = Duration::from_millis(500);
/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for an envelope to be acknowledged; the connection is closed after it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Envelopes that are not acknowledged yet. What comes meanwhile waits and goes in few envelopes,
/// so that a slow receiver has less to do for each message.
const MAX_CALLS: usize = 8;
/// A connection that nothing was sent over for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delivers batches until none came for a long time.
pub(super) async fn run(
    me: Peer,
    address: SocketAddr,
    clock: Clock,
    batches: Receiver<Batch>,
    counters: Rc<Counters>,
) {
    let (first, backoff) = Default::default();
    let mut sender = Sender { me, address, clock, batches, counters, first, backoff };
    while sender.wait_for_batch().await {
        if !sender.use_connection().await {
            Timer::after(sender.backoff.pause()).await;
        }
    }
}

struct Sender {
    me: Peer,
    address: SocketAddr,
    clock: Clock,
    batches: Receiver<Batch>,
    counters: Rc<Counters>,
    /// The batch that a connection is made for.
    first: Option<Batch>,
    backoff: Backoff,
}

/// What happens on a connection.
enum Step {
    /// A batch is to be sent.
    Send(Batch),
    /// A batch was acknowledged or refused by the receiver.
    Answered,
    /// Nothing was to be sent for a long time.
    Idle,
    /// The connection is of no use any more.
    Failed(CallError),
}

impl Sender {
    /// Waits for a batch to connect for; returns `false` if none came for a long time.
    async fn wait_for_batch(&mut self) -> bool {
        self.first = self.next_batch().await;
        self.first.is_some()
    }

    /// Returns the next batch together with those that wait behind it, as far as they fit.
    async fn next_envelope(&mut self) -> Option<Batch> {
        let mut batch = self.next_batch().await?;
        while self.first.is_none()
            && let Ok(later) = self.batches.try_recv()
        {
            self.first = batch.merge(later).err();
        }
        Some(batch)
    }

    /// Returns the next batch that is fresh, or `None` if none came for a long time.
    async fn next_batch(&mut self) -> Option<Batch> {
        let idle_at = self.clock.now() + IDLE_TIMEOUT;
        let fresh = async {
            loop {
                let batch = match self.first.take() {
                    Some(first) => first,
                    None => self.batches.recv().await.ok()?,
                };
                if is_fresh(&batch, self.clock) {
                    return Some(batch);
                }
                self.counters.dropped(batch.msgs.len());
            }
        };
        deadline::until(self.clock, idle_at, fresh).await.flatten()
    }

    /// Connects and delivers until the connection fails or is idle; returns `false` if it failed.
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
            self.counters.failed();
            log::debug!(address:% = self.address; "lost the connection to an instance: {err}");
        }
        result.is_ok()
    }

    async fn deliver(&mut self, conn: &mut Connection) -> Result<(), CallError> {
        let mut calls = FuturesUnordered::new();
        loop {
            let may_send = calls.len() < MAX_CALLS;
            let answered = async {
                match calls.next().await {
                    Some(Ok(())) => Step::Answered,
                    Some(Err(err)) => Step::Failed(err),
                    None => future::pending().await,
                }
            };
            let broken = async { Step::Failed(conn.broken().await) };
            let sending = async {
                if !may_send {
                    future::pending::<()>().await;
                }
                self.next_envelope().await.map_or(Step::Idle, Step::Send)
            };
            match answered.or(broken).or(sending).await {
                Step::Send(batch) => {
                    let by = self.clock.now() + CALL_TIMEOUT;
                    calls.push(conn.call(batch, by));
                }
                Step::Answered => self.backoff.reset(),
                Step::Idle => return Ok(()),
                Step::Failed(err) => return Err(err),
            }
        }
    }
}

fn is_fresh(batch: &Batch, clock: Clock) -> bool {
    clock.now().since(batch.made) <= MAX_AGE
}
