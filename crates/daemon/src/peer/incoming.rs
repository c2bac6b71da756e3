//! Messages that come from other instances.

use std::{convert::Infallible, panic::AssertUnwindSafe, rc::Rc};

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use control::Event;
use futures::{StreamExt as _, stream::FuturesUnordered};
use futures_lite::{
    FutureExt as _, future,
    io::{BufReader, BufWriter},
};
use model::prelude::*;
use wire::{Header, peer_capnp::peer};

use super::reader_options;
use crate::Link;

/// Connections of other instances.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after an error of `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Receives messages for the instance `me` for as long as it is polled.
pub async fn serve(me: InstanceId, listener: TcpListener, link: Link) -> Infallible {
    let client: peer::Client = new_client(Inbox { me, link });
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
                connections.push(receive(stream, client.clone()));
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
async fn receive(stream: TcpStream, client: peer::Client) {
    // Acknowledgements are small and awaited; a delay for more data would only add latency.
    let _ = stream.set_nodelay(true);
    let network = VatNetwork::new(
        BufReader::new(stream.clone()),
        BufWriter::new(stream),
        Side::Server,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    system.set_background_error_handler(|err| log::debug!("error of a connection: {err}"));
    match AssertUnwindSafe(system).catch_unwind().await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => log::debug!("closed a connection of an instance: {err}"),
        Err(_) => log::error!("a connection of an instance caused a panic"),
    }
}

/// Takes messages for the control thread.
struct Inbox {
    me: InstanceId,
    link: Link,
}

impl peer::Server for Inbox {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
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

/// The receiver of messages for whoever listens at an address.
const ANYBODY: InstanceId = InstanceId(0);
