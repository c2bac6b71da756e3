//! Bytes of a delivered envelope with everything that the RPC protocol adds.

use std::{
    cell::Cell,
    error::Error,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use async_net::unix::UnixStream;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures_lite::{AsyncWrite, FutureExt as _, future, io::BufReader};
use model::prelude::*;
use wire::peer_capnp::peer;

/// Calls that are made.
const CALLS: u32 = 100;

/// Bytes of the RPC protocol for one envelope.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallBytes {
    /// By the sender of the envelope.
    pub(crate) sender: u64,
    /// By its receiver, in answer.
    pub(crate) receiver: u64,
}

/// Delivers envelopes with one message over a connection in this process and counts the bytes that
/// each side writes.
pub(crate) fn call(msg: &Msg) -> Result<CallBytes, Box<dyn Error>> {
    let (left, right) = UnixStream::pair()?;
    let (sender, receiver) = (Counted::new(left.clone()), Counted::new(right.clone()));
    let counts = [Rc::clone(&sender.count), Rc::clone(&receiver.count)];
    let service: peer::Client = new_client(Inbox);
    let network =
        VatNetwork::new(BufReader::new(right), receiver, Side::Server, ReaderOptions::new());
    let server = RpcSystem::new(Box::new(network), Some(service.client));
    let network = VatNetwork::new(BufReader::new(left), sender, Side::Client, ReaderOptions::new());
    let mut client = RpcSystem::new(Box::new(network), None);
    let peer: peer::Client = client.bootstrap(Side::Server);

    let run = async {
        deliver(&peer, msg).await?;
        let before = counts.each_ref().map(|it| it.get());
        for _ in 0..CALLS {
            deliver(&peer, msg).await?;
        }
        let after = counts.each_ref().map(|it| it.get());
        let each = |i: usize| (after[i] - before[i]) / u64::from(CALLS);
        Ok(CallBytes { sender: each(0), receiver: each(1) })
    };
    let ended = async {
        let (served, called) = future::zip(server, client).await;
        served.and(called)?;
        Err(capnp::Error::disconnected("the connection ended".to_owned()))
    };
    Ok(future::block_on(run.or(ended))?)
}

async fn deliver(peer: &peer::Client, msg: &Msg) -> Result<(), capnp::Error> {
    let from = Peer { instance: InstanceId(1), incarnation: Incarnation(1) };
    let mut req = peer.deliver_request();
    wire::write(req.get().init_envelope(), from, InstanceId(2), std::slice::from_ref(msg));
    req.send().promise.await?;
    Ok(())
}

struct Inbox;

impl peer::Server for Inbox {
    async fn deliver(
        self: Rc<Self>,
        _: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}

/// Counts what is written.
struct Counted {
    stream: UnixStream,
    count: Rc<Cell<u64>>,
}

impl Counted {
    fn new(stream: UnixStream) -> Self {
        Self { stream, count: Rc::default() }
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &poll {
            self.count.set(self.count.get() + *count as u64);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
