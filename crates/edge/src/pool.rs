//! Connections to backend servers that are kept open.

use std::{cell::RefCell, collections::HashMap, net::SocketAddrV4, time::Duration};

use async_net::TcpStream;
use futures_lite::future;
use http1::Buffered;
use model::prelude::*;

/// A connection that was idle for longer is not used again: a network that drops it without a
/// word would lose the request.
const MAX_IDLE: Duration = Duration::from_millis(1_500);
/// The part of a server's own idle timeout for which a connection is used again.
const KEEP_ALIVE_SHARE: f64 = 0.5;
/// Idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// An open connection to a backend server.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The end to write to.
    pub(crate) stream: TcpStream,
    /// The end to read from.
    pub(crate) input: Buffered<TcpStream>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// Connections to backend servers that are kept open, the latest last.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<SocketAddrV4, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection that is still open as far as can be seen.
    pub(crate) async fn take(&self, now: Time, address: SocketAddrV4) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if now >= idle.until {
                // Those below are older.
                self.disconnect(address);
                return None;
            }
            let mut connection = idle.connection;
            // Whatever came unasked, or the end, makes the connection useless.
            if future::poll_once(connection.input.fill()).await.is_none() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection on which nothing is under way.
    pub(crate) fn keep(
        &self,
        now: Time,
        address: SocketAddrV4,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let span = keep_alive.map_or(MAX_IDLE, |it| it.mul_f64(KEEP_ALIVE_SHARE).min(MAX_IDLE));
        connection.input.shrink();
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle { connection, until: now + span });
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn disconnect(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Time) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|it| now < it.until);
            !idle.is_empty()
        });
    }
}
