//! The bodies of rejections, which nobody reads.

use std::{net::SocketAddrV4, rc::Rc};

use aio::{Clock, deadline};
use futures_lite::future;
use http1::{Framing, discard};
use model::prelude::*;

use crate::{
    Instance,
    connection_pool::{Connection, ConnectionPool},
};

/// Time for the body to arrive behind its head. The connection is closed if it takes longer.
const TIMEOUT: Duration = Duration::from_millis(100);
/// Size limit of the body; the connection is closed if it is larger.
const MAX_BYTES: usize = 64 << 10;

/// The body of a rejection that was not read yet.
#[derive(Debug)]
pub(crate) struct RejectedBody {
    pub(crate) framing: Framing,
    /// The connection on which it comes.
    pub(crate) connection: Connection,
    /// The address of the server.
    pub(crate) address: SocketAddrV4,
    /// The server's stated idle timeout.
    pub(crate) keep_alive: Option<Duration>,
}

impl RejectedBody {
    /// Discards the body and keeps the connection for reuse if the body ends cleanly. The head has
    /// proved that the request did not run, so this does not wait for what has not arrived: a task
    /// of its own does, if none does so for the same server. Otherwise the connection is closed, as
    /// the server would get more connections than attempts.
    pub(crate) async fn discard(self, instance: &Instance) {
        let address = self.address;
        let connections = Rc::clone(&instance.connections);
        let mut discarding =
            Box::pin(self.discard_in_time(instance.clock, Rc::clone(&connections)));
        if future::poll_once(&mut discarding).await.is_some() {
            return;
        }
        if !connections.start_discarding(address) {
            log::debug!(address:%; "closed a connection: another rejection's body is still due");
            return;
        }
        instance.spawn(async move {
            discarding.await;
            connections.end_discarding(address);
        });
    }

    async fn discard_in_time(self, clock: Clock, connections: Rc<ConnectionPool>) {
        let Self { framing, mut connection, address, keep_alive } = self;
        let discarding = discard(&mut connection.input, framing, MAX_BYTES);
        match deadline::until(clock, clock.now() + TIMEOUT, discarding).await {
            Some(Ok(())) if connection.input.data().is_empty() => {
                connections.keep(clock.now(), address, connection, keep_alive);
            }
            Some(Ok(())) => log::debug!(address:%; "bytes follow the body of a rejection"),
            Some(Err(err)) => log::debug!(address:%; "the body of a rejection: {err}"),
            None => log::debug!(address:%; "the body of a rejection came too slowly"),
        }
    }
}
