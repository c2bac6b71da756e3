//! Idle connections to backend servers.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    io,
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use aio::{Clock, Latch, Socket, deadline};
use http1::Buffered;
use model::prelude::*;

/// A connection that was idle for longer is not reused: a network may drop idle connections
/// silently, and the request would be lost.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// The fraction of a server's stated idle timeout for which a connection is reused, so that the
/// server does not close it while a request is on its way.
const KEEP_ALIVE_FRACTION: f64 = 0.5;
/// Idle connections kept for each server; further ones are closed.
const MAX_IDLE_PER_SERVER: usize = 32;
/// How long the end of a response waits for a reset while its request is being written: a round trip
/// between zones. A server that has closed the connection resets it when the next bytes arrive.
const RESET_TIMEOUT: Duration = Duration::from_millis(100);
/// Requests of a connection whose late responses are told from content.
const MAX_EARLIER_REQUESTS: usize = 8;

/// An open connection to a backend server.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The socket, used for writing.
    pub(crate) stream: Socket,
    /// The same socket, used for reading, with what was read ahead.
    pub(crate) input: Buffered<Socket>,
    /// Set when the writing of the request has ended, with success or not.
    pub(crate) written: Latch,
    /// The ids of the last requests that it carried before, the oldest first.
    pub(crate) earlier: Vec<Arc<str>>,
}

impl Connection {
    /// Wraps a connection that has carried no request.
    pub(crate) fn new(stream: Socket) -> Self {
        Self {
            input: Buffered::new(stream.clone()),
            stream,
            written: Latch::default(),
            earlier: Vec::new(),
        }
    }

    /// Checks that the end of the input is that of a response which ends with its connection, and not
    /// due to an error. The error may follow if the server has closed the connection before it had read
    /// the request.
    pub(crate) async fn check_end(&mut self, clock: Clock) -> io::Result<()> {
        let by = clock.now() + RESET_TIMEOUT;
        if deadline::until(clock, by, self.written.wait()).await.is_none() {
            log::debug!("a response ended while its request was being written");
        }
        // The input has ended, so this gives no bytes.
        self.input.fill().await.map(drop)
    }

    /// Records that the connection has carried a request.
    pub(crate) fn add_carried(&mut self, id: &Arc<str>) {
        if self.earlier.len() >= MAX_EARLIER_REQUESTS {
            self.earlier.remove(0);
        }
        self.earlier.push(Arc::clone(id));
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// Idle connections to backend servers, for each server in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddrV4, Vec<Idle>>>,
    /// The servers with a connection that carries the rest of a body which nobody reads.
    discarding: RefCell<HashSet<SocketAddrV4>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection that is not known to be closed.
    pub(crate) async fn take(&self, now: Time, address: SocketAddrV4) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if now >= idle.until {
                // The remaining ones have been idle for longer.
                self.close_idle(address);
                return None;
            }
            let mut connection = idle.connection;
            // Unexpected bytes, a closed connection or an error make it unusable.
            if connection.input.is_quiet().await {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection that carries no request. `keep_alive` is the server's stated idle
    /// timeout.
    pub(crate) fn keep(
        &self,
        now: Time,
        address: SocketAddrV4,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let max_idle = keep_alive.map_or(MAX_IDLE_TIME, |timeout| {
            timeout.mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE_TIME)
        });
        connection.input.shrink();
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(Idle { connection, until: now + max_idle });
        }
    }

    /// Counts a connection to the server that carries only the rest of a body which nobody reads,
    /// until [`ConnectionPool::end_discarding`]. Returns `false` if there is one already: a further
    /// one must be closed.
    pub(crate) fn start_discarding(&self, address: SocketAddrV4) -> bool {
        self.discarding.borrow_mut().insert(address)
    }

    /// Ends the count of the connection that carried the rest of a body.
    pub(crate) fn end_discarding(&self, address: SocketAddrV4) {
        self.discarding.borrow_mut().remove(&address);
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Time) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|entry| now < entry.until);
            !idle.is_empty()
        });
    }
}
