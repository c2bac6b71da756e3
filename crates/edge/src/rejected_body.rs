//! The bodies of rejections, which nobody reads.

use std::{net::SocketAddrV4, rc::Rc};

use aio::deadline;
use http1::{Framing, discard};
use model::prelude::*;

use crate::{Instance, connection_pool::Connection};

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
    /// Discards the body in a task of its own, and then keeps the connection for reuse if the body
    /// ended cleanly. The head has proved that the request did not run, so nothing waits for this.
    pub(crate) fn discard(self, instance: &Instance) {
        let (clock, connections) = (instance.clock, Rc::clone(&instance.connections));
        let Self { framing, mut connection, address, keep_alive } = self;
        instance.spawn(async move {
            let by = clock.now() + TIMEOUT;
            let discarding = discard(&mut connection.input, framing, MAX_BYTES);
            let discarded = deadline::until(clock, by, discarding).await;
            if matches!(discarded, Some(Ok(()))) && connection.input.data().is_empty() {
                connections.keep(clock.now(), address, connection, keep_alive);
            }
        });
    }
}
