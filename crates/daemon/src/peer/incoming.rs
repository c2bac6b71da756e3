//! Messages that come from other instances.

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
use crate::{Clock, Link};

/// The receiver of messages for whoever listens at an address.
const ANYBODY: InstanceId = InstanceId(0);
/// Connections of other instances.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after an error of `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A connection that nothing came over for this time is closed; longer than the same time of the
/// sending end, which closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Receives messages for the instance `me` for as long as it is polled.
pub async fn serve(me: InstanceId, listener: TcpListener, link: Link, clock: Clock) -> Infallible {
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
                let inbox = Inbox { me, link: link.clone(), clock, heard: Cell::new(clock.now()) };
                connections.push(receive(stream, Rc::new(inbox)));
            }
            Some(Ok(_)) => log::warn!("closed a connection of an instance: there are too many"),
            Some(Err(err)) => {
                log::warn!("cannot accept a connection of an instance: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection; neither garbage nor a panic harms another one.
async fn receive(stream: TcpStream, inbox: Rc<Inbox>) {
    // Acknowledgements are small and awaited; a delay for more data would only add latency.
    let _ = stream.set_nodelay(true);
    let client: peer::Client = new_client_from_rc(Rc::clone(&inbox));
    let network = VatNetwork::new(
        BufReader::new(stream.clone()),
        BufWriter::new(stream.clone()),
        Side::Server,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    system.set_background_error_handler(|err| log::debug!("error of a connection: {err}"));
    let served = async {
        let idle = async {
            inbox.idle().await;
            None
        };
        match async { Some((&mut system).await) }.or(idle).await {
            Some(Ok(())) => {}
            Some(Err(err)) => log::debug!("closed a connection of an instance: {err}"),
            None => close(inbox.clock, &stream, system).await,
        }
    };
    if AssertUnwindSafe(served).catch_unwind().await.is_err() {
        log::error!("a connection of an instance caused a panic");
    }
}

/// Takes the messages of one connection for the control thread.
struct Inbox {
    me: InstanceId,
    link: Link,
    clock: Clock,
    /// When the last envelope came.
    heard: Cell<Time>,
}

impl Inbox {
    /// Waits until nothing was heard for a long time. The other side may be gone without a word.
    async fn idle(&self) {
        loop {
            let idle_at = self.heard.get() + IDLE_TIMEOUT;
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
        self.heard.set(self.clock.now());
        let envelope = params.get()?.get_envelope()?;
        let header = Header::read(envelope);
        if header.to != self.me && header.to != ANYBODY {
            return Err(capnp::Error::failed(format!("instance {} is not here", header.to)));
        }
        let msgs = wire::read(envelope).map_err(|err| capnp::Error::failed(err.to_string()))?;
        for msg in msgs {
            self.link.event(Event::Message { from: header.from, msg });
        }
        Ok(())
    }
}
