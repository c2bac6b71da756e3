//! Receiving of messages from other instances.

use std::{cell::Cell, convert::Infallible, panic::AssertUnwindSafe, rc::Rc};

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use capnp_rpc::{RpcSystem, new_client_from_rc, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use control::Event;
use futures::{StreamExt as _, stream::FuturesUnordered};
use futures_lite::{
    FutureExt as _, future,
    io::{BufReader, BufWriter},
};
use model::prelude::*;
use wire::{Header, peer_capnp::peer};

use super::{connection::close, reader_options};
use crate::{Clock, ControlSender};

/// The receiver of messages that any instance accepts: the sender knows only the address.
const ANY_INSTANCE: InstanceId = InstanceId(0);
/// Maximum number of connections from other instances; further ones are closed.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A connection over which nothing was received for this time is closed. It is longer than the idle
/// timeout of the sender, which should close first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Receives messages for the instance `me` and passes them to the control thread, for as long as
/// the future is polled.
pub async fn serve(
    me: InstanceId,
    listener: TcpListener,
    control: ControlSender,
    clock: Clock,
) -> Infallible {
    let mut connections = FuturesUnordered::new();
    loop {
        let accepted = async { Some(listener.accept().await) };
        let ended = async {
            match connections.next().await {
                Some(()) => None,
                None => future::pending().await,
            }
        };
        match ended.or(accepted).await {
            None => {}
            Some(Ok((stream, _))) if connections.len() < MAX_CONNECTIONS => {
                let inbox = Inbox {
                    me,
                    control: control.clone(),
                    clock,
                    last_received: Cell::new(clock.now()),
                };
                connections.push(receive(stream, Rc::new(inbox)));
            }
            Some(Ok(_)) => log::warn!("closed a connection from an instance: too many connections"),
            Some(Err(err)) => {
                log::warn!("cannot accept a connection from an instance: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection. Malformed input or a panic ends only this connection.
async fn receive(stream: TcpStream, inbox: Rc<Inbox>) {
    // The sender waits for acknowledgements, which are small; Nagle's algorithm would delay them.
    let _ = stream.set_nodelay(true);
    let client: peer::Client = new_client_from_rc(Rc::clone(&inbox));
    let network = VatNetwork::new(
        BufReader::new(stream.clone()),
        BufWriter::new(stream.clone()),
        Side::Server,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    system.set_background_error_handler(|err| log::debug!("RPC error on a connection: {err}"));
    let served = async {
        let idle = async {
            inbox.wait_until_idle().await;
            None
        };
        match async { Some((&mut system).await) }.or(idle).await {
            Some(Ok(())) => {}
            Some(Err(err)) => log::debug!("closed a connection from an instance: {err}"),
            None => close(inbox.clock, &stream, system).await,
        }
    };
    if AssertUnwindSafe(served).catch_unwind().await.is_err() {
        log::error!("the task of a connection from an instance panicked");
    }
}

/// Passes the messages of one connection to the control thread.
struct Inbox {
    me: InstanceId,
    control: ControlSender,
    clock: Clock,
    /// When the last envelope was received.
    last_received: Cell<Time>,
}

impl Inbox {
    /// Waits until nothing was received for [`IDLE_TIMEOUT`]: the sender may have gone without
    /// closing the connection.
    async fn wait_until_idle(&self) {
        loop {
            let idle_at = self.last_received.get() + IDLE_TIMEOUT;
            if self.clock.now() >= idle_at {
                return;
            }
            self.clock.sleep_until(idle_at).await;
        }
    }
}

impl peer::Server for Inbox {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        self.last_received.set(self.clock.now());
        let envelope = params.get()?.get_envelope()?;
        let header = Header::read(envelope);
        if header.to != self.me && header.to != ANY_INSTANCE {
            return Err(capnp::Error::failed(format!(
                "the envelope is for instance {}, which is not this one",
                header.to
            )));
        }
        let msgs = wire::read(envelope).map_err(|err| capnp::Error::failed(err.to_string()))?;
        for msg in msgs {
            self.control.send_event(Event::Message { from: header.from, msg });
        }
        Ok(())
    }
}
