//! A connection to another instance.

use std::{
    future::Future,
    io,
    net::{Shutdown, SocketAddr},
    rc::Rc,
};

use async_net::TcpStream;
use capnp::ErrorKind;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures_lite::io::{BufReader, BufWriter};
use model::prelude::*;
use thiserror::Error;
use wire::peer_capnp::peer;

use super::{
    outgoing::Batch,
    reader_options,
    stats::Counters,
    writer::{Deadlines, Pending, TimedWriter},
};
use crate::{Clock, deadline};

/// Time for the RPC system to end after its socket was shut down.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why messages could not be delivered.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The address could not be reached.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The address did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(capnp::Error),
    /// The other side closed the connection.
    #[error("the connection was closed")]
    Closed,
}

/// A connection to another instance.
pub(super) struct Connection {
    me: Peer,
    clock: Clock,
    stream: TcpStream,
    /// None after it has ended.
    system: Option<RpcSystem<Side>>,
    peer: peer::Client,
    deadlines: Rc<Deadlines>,
    counters: Rc<Counters>,
}

/// Messages that were sent and are not answered yet; counted as unanswered if that stays so.
struct Sent {
    count: usize,
    is_answered: bool,
    counters: Rc<Counters>,
    _batch: Batch,
    _pending: Pending,
}

impl Sent {
    fn answered(mut self, taken: bool) {
        self.is_answered = true;
        if taken {
            self.counters.delivered(self.count);
        } else {
            self.counters.refused(self.count);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if !self.is_answered {
            self.counters.unanswered(self.count);
        }
    }
}

impl Connection {
    /// Connects to an address.
    pub(super) async fn open(
        me: Peer,
        address: SocketAddr,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let deadlines = Rc::new(Deadlines::default());
        let writer = TimedWriter::new(stream.clone(), clock, Rc::clone(&deadlines));
        let network = VatNetwork::new(
            BufReader::new(stream.clone()),
            BufWriter::new(writer),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        system.set_background_error_handler(|err| log::debug!("error of a connection: {err}"));
        let peer = system.bootstrap(Side::Server);
        Ok(Self { me, clock, stream, system: Some(system), peer, deadlines, counters })
    }

    /// Drives the connection until it is of no use any more, and returns why.
    pub(super) async fn broken(&mut self) -> CallError {
        let Some(system) = &mut self.system else { return CallError::Closed };
        let ended = system.await;
        self.system = None;
        match ended {
            Ok(()) => CallError::Closed,
            Err(err) => CallError::Broken(err),
        }
    }

    /// Sends a batch at once; the future ends when it was acknowledged. Only an error that makes
    /// the connection useless is returned.
    pub(super) fn call(
        &self,
        batch: Batch,
        by: Time,
    ) -> impl Future<Output = Result<(), CallError>> + use<> {
        let clock = self.clock;
        let mut req = self.peer.deliver_request();
        wire::write(req.get().init_envelope(), self.me, batch.to, &batch.msgs);
        let sent = Sent {
            count: batch.msgs.len(),
            is_answered: false,
            counters: Rc::clone(&self.counters),
            _batch: batch,
            _pending: self.deadlines.add(by),
        };
        let response = req.send();
        async move {
            match deadline::until(clock, by, response.promise).await {
                Some(Ok(_)) => sent.answered(true),
                Some(Err(err)) if err.kind == ErrorKind::Disconnected => {
                    return Err(CallError::Broken(err));
                }
                Some(Err(err)) => {
                    log::debug!("an instance refused messages: {err}");
                    sent.answered(false);
                }
                None => return Err(CallError::TimedOut),
            }
            Ok(())
        }
    }

    /// Closes the connection and lets the RPC system end, so that it leaves nothing behind.
    pub(super) async fn close(self) {
        if let Some(system) = self.system {
            close(self.clock, &self.stream, system).await;
        }
    }
}

/// Shuts a connection's socket down and lets its RPC system end, so that it leaves nothing behind.
pub(super) async fn close(clock: Clock, stream: &TcpStream, system: RpcSystem<Side>) {
    // An error means that the socket is closed already.
    let _ = stream.shutdown(Shutdown::Both);
    if deadline::until(clock, clock.now() + CLOSE_TIMEOUT, system).await.is_none() {
        log::warn!("a closed connection did not end");
    }
}
