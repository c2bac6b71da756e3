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
    writer::{Deadlines, TimedWriter},
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
    system: RpcSystem<Side>,
    peer: peer::Client,
    deadlines: Rc<Deadlines>,
}

impl Connection {
    /// Connects to an address.
    pub(super) async fn open(me: Peer, address: SocketAddr, clock: Clock) -> io::Result<Self> {
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
        Ok(Self { me, clock, stream, system, peer, deadlines })
    }

    /// Drives the connection until it is of no use any more, and returns why.
    pub(super) async fn broken(&mut self) -> CallError {
        match (&mut self.system).await {
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
        let pending = self.deadlines.add(by);
        let mut req = self.peer.deliver_request();
        wire::write(req.get().init_envelope(), self.me, batch.to, &batch.msgs);
        let response = req.send();
        async move {
            let answer = deadline::until(clock, by, response.promise).await;
            drop((pending, batch));
            match answer {
                Some(Ok(_)) => Ok(()),
                Some(Err(err)) if err.kind == ErrorKind::Disconnected => {
                    Err(CallError::Broken(err))
                }
                Some(Err(err)) => {
                    log::debug!("an instance refused messages: {err}");
                    Ok(())
                }
                None => Err(CallError::TimedOut),
            }
        }
    }

    /// Closes the connection and lets the RPC system end, so that it leaves nothing behind.
    pub(super) async fn close(mut self) {
        // An error means that the socket is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
        let by = self.clock.now() + CLOSE_TIMEOUT;
        if deadline::until(self.clock, by, self.broken()).await.is_none() {
            log::warn!("a closed connection did not end");
        }
    }
}
