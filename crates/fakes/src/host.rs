//! A listening socket whose connections can all be cut at once.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use slab::Slab;

use crate::{
    free_port,
    rt::{block_on, lock, sleep, spawn},
};

const BIND_RETRY: Duration = Duration::from_millis(5);
const BIND_TRIES: u32 = 400;

type Serve = dyn Fn(TcpStream) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync;

/// A listening socket at a fixed address that can be closed and opened again.
pub(crate) struct Host {
    address: SocketAddr,
    serve: Arc<Serve>,
    accept: Mutex<Option<Task<()>>>,
    connections: Arc<Mutex<Slab<Connection>>>,
}

struct Connection {
    stream: TcpStream,
    task: Task<()>,
}

impl Host {
    /// Listens at a free port and serves each connection by `serve`.
    pub(crate) fn start<F>(
        serve: impl Fn(TcpStream) -> F + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let host = Self {
            address: free_port(),
            serve: Arc::new(move |stream| Box::pin(serve(stream))),
            accept: Mutex::default(),
            connections: Arc::default(),
        };
        host.up()?;
        Ok(host)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens again; nothing happens if it does.
    pub(crate) fn up(&self) -> io::Result<()> {
        let mut accept = lock(&self.accept);
        if accept.is_some() {
            return Ok(());
        }
        let listener = block_on(bind(self.address))?;
        let task = spawn(accept_all(listener, self.serve.clone(), self.connections.clone()));
        *accept = Some(task);
        Ok(())
    }

    /// Resets all connections and refuses new ones.
    pub(crate) fn down(&self) {
        if let Some(task) = lock(&self.accept).take() {
            block_on(task.cancel());
        }
        self.reset();
    }

    /// Resets all connections.
    pub(crate) fn reset(&self) {
        let connections = std::mem::take(&mut *lock(&self.connections));
        for (_, connection) in connections {
            reset_on_close(&connection.stream);
            drop(connection.task);
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.reset();
    }
}

/// Binds an address; the previous listener's socket may need a moment to close.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 1..BIND_TRIES {
        match TcpListener::bind(address).await {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse => sleep(BIND_RETRY).await,
            result => return result,
        }
    }
    TcpListener::bind(address).await
}

async fn accept_all(
    listener: TcpListener,
    serve: Arc<Serve>,
    connections: Arc<Mutex<Slab<Connection>>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(BIND_RETRY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let served = serve(stream.clone());
        // The lock is held until the entry is complete, so that the task finds it at its end.
        let mut open = lock(&connections);
        let entry = open.vacant_entry();
        let task = spawn(run(served, entry.key(), stream.clone(), connections.clone()));
        entry.insert(Connection { stream, task });
    }
}

async fn run(
    served: Pin<Box<dyn Future<Output = ()> + Send>>,
    key: usize,
    stream: TcpStream,
    connections: Arc<Mutex<Slab<Connection>>>,
) {
    served.await;
    let mut open = lock(&connections);
    // After a reset, the key may belong to a later connection.
    let own = open.get(key).is_some_and(|it| same(&it.stream, &stream));
    if own {
        open.remove(key).task.detach();
    }
}

fn same(a: &TcpStream, b: &TcpStream) -> bool {
    a.peer_addr().ok() == b.peer_addr().ok()
}

/// Makes the connection end with a reset once its socket is dropped.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Error {
    // Without lingering, closing a socket resets its connection.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    io::ErrorKind::ConnectionReset.into()
}
