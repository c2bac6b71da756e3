//! A client connection to another instance.

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
    writer::{DeadlineGuard, Deadlines, TimedWriter},
};
use crate::{Clock, deadline};

/// Timeout for the RPC system to end after its socket was shut down.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why messages could not be delivered.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection was not established, or an envelope not acknowledged, in time.
    #[error("the instance did not respond in time")]
    TimedOut,
    /// An established connection failed, or it was lost before an envelope was acknowledged.
    #[error("the connection broke: {0}")]
    Broken(capnp::Error),
    /// The other side closed the connection.
    #[error("the connection was closed")]
    Closed,
}

/// A client connection to another instance.
pub(super) struct Connection {
    me: Peer,
    clock: Clock,
    stream: TcpStream,
    /// Drives the connection; `None` after it has ended.
    system: Option<RpcSystem<Side>>,
    peer: peer::Client,
    deadlines: Rc<Deadlines>,
    counters: Rc<Counters>,
}

/// A batch that was sent. It is counted as unanswered if it is dropped before there is a reply.
struct SentBatch {
    count: usize,
    has_reply: bool,
    counters: Rc<Counters>,
    _batch: Batch,
    _pending: DeadlineGuard,
}

impl SentBatch {
    fn set_replied(mut self, is_accepted: bool) {
        self.has_reply = true;
        if is_accepted {
            self.counters.add_delivered(self.count);
        } else {
            self.counters.add_refused(self.count);
        }
    }
}

impl Drop for SentBatch {
    fn drop(&mut self) {
        if !self.has_reply {
            self.counters.add_unanswered(self.count);
        }
    }
}

impl Connection {
    /// Connects to an address. The RPC system runs only while [`Connection::run_until_broken`] is
    /// polled.
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
        system.set_background_error_handler(|err| log::debug!("RPC error on a connection: {err}"));
        let peer = system.bootstrap(Side::Server);
        Ok(Self { me, clock, stream, system: Some(system), peer, deadlines, counters })
    }

    /// Drives the connection until it ends, and returns why.
    pub(super) async fn run_until_broken(&mut self) -> CallError {
        let Some(system) = &mut self.system else { return CallError::Closed };
        let ended = system.await;
        self.system = None;
        match ended {
            Ok(()) => CallError::Closed,
            Err(err) => CallError::Broken(err),
        }
    }

    /// Sends a batch at once and returns a future that waits for the reply. It returns only errors
    /// after which the connection cannot be used; a refusal by the receiver is counted and logged.
    pub(super) fn call(
        &self,
        batch: Batch,
        by: Time,
    ) -> impl Future<Output = Result<(), CallError>> + use<> {
        let clock = self.clock;
        let mut req = self.peer.deliver_request();
        wire::write(req.get().init_envelope(), self.me, batch.to, &batch.msgs);
        let sent = SentBatch {
            count: batch.msgs.len(),
            has_reply: false,
            counters: Rc::clone(&self.counters),
            _batch: batch,
            _pending: self.deadlines.add(by),
        };
        let response = req.send();
        async move {
            match deadline::until(clock, by, response.promise).await {
                Some(Ok(_)) => sent.set_replied(true),
                Some(Err(err)) if err.kind == ErrorKind::Disconnected => {
                    return Err(CallError::Broken(err));
                }
                Some(Err(err)) => {
                    log::debug!("an instance refused messages: {err}");
                    sent.set_replied(false);
                }
                None => return Err(CallError::TimedOut),
            }
            Ok(())
        }
    }

    /// Closes the connection and waits for the end of its RPC system.
    pub(super) async fn close(self) {
        if let Some(system) = self.system {
            close(self.clock, &self.stream, system).await;
        }
    }
}

/// Shuts a connection's socket down and runs its RPC system to the end, so that no task or memory
/// is leaked.
pub(super) async fn close(clock: Clock, stream: &TcpStream, system: RpcSystem<Side>) {
    // An error means that the socket is closed already.
    let _ = stream.shutdown(Shutdown::Both);
    if deadline::until(clock, clock.now() + CLOSE_TIMEOUT, system).await.is_none() {
        log::warn!("the RPC system of a closed connection did not end in time");
    }
}
