//! Measures the bytes on a connection for one envelope, with the overhead of Cap'n Proto RPC.

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

/// Calls over which the bytes are averaged.
const CALLS: u32 = 100;

/// Bytes written to a connection for one envelope, averaged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallBytes {
    /// Written by the sender of the envelope.
    pub(crate) sender: u64,
    /// Written by the receiver: its reply to the call.
    pub(crate) receiver: u64,
}

/// Delivers envelopes with one message over a socket pair in this process and returns the bytes that
/// each side writes for one of them. The first call also sets the connection up and is not counted.
pub(crate) fn bytes_per_call(msg: &Msg) -> Result<CallBytes, Box<dyn Error>> {
    let (left, right) = UnixStream::pair()?;
    let (sender, receiver) =
        (CountingWriter::new(left.clone()), CountingWriter::new(right.clone()));
    let counts = [Rc::clone(&sender.count), Rc::clone(&receiver.count)];
    let service: peer::Client = new_client(NullPeer);
    let network =
        VatNetwork::new(BufReader::new(right), receiver, Side::Server, ReaderOptions::new());
    let server = RpcSystem::new(Box::new(network), Some(service.client));
    let network = VatNetwork::new(BufReader::new(left), sender, Side::Client, ReaderOptions::new());
    let mut client = RpcSystem::new(Box::new(network), None);
    let peer: peer::Client = client.bootstrap(Side::Server);

    let run = async {
        deliver(&peer, msg).await?;
        let before = counts.each_ref().map(|count| count.get());
        for _ in 0..CALLS {
            deliver(&peer, msg).await?;
        }
        let after = counts.each_ref().map(|count| count.get());
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

/// Accepts envelopes and drops them.
struct NullPeer;

impl peer::Server for NullPeer {
    async fn deliver(
        self: Rc<Self>,
        _: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}

/// Writes to a stream and counts the bytes.
struct CountingWriter {
    stream: UnixStream,
    count: Rc<Cell<u64>>,
}

impl CountingWriter {
    fn new(stream: UnixStream) -> Self {
        Self { stream, count: Rc::default() }
    }
}

impl AsyncWrite for CountingWriter {
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
