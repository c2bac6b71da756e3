//! A listening socket whose connections can all be reset at once.

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

const BIND_RETRY_PERIOD: Duration = Duration::from_millis(5);
const MAX_BIND_TRIES: u32 = 400;

type Serve = dyn Fn(TcpStream) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync;

/// A listening socket that can be closed and opened again at the same address.
pub(crate) struct Listener {
    address: SocketAddr,
    serve: Arc<Serve>,
    accept: Mutex<Option<Task<()>>>,
    connections: Arc<Mutex<Slab<Connection>>>,
}

struct Connection {
    stream: TcpStream,
    task: Task<()>,
}

impl Listener {
    /// Listens at a free port and serves each connection with `serve`.
    pub(crate) fn start<F>(
        serve: impl Fn(TcpStream) -> F + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = Self {
            address: free_port(),
            serve: Arc::new(move |stream| Box::pin(serve(stream))),
            accept: Mutex::default(),
            connections: Arc::default(),
        };
        listener.open()?;
        Ok(listener)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens again; does nothing if the socket is open.
    pub(crate) fn open(&self) -> io::Result<()> {
        let mut accept = lock(&self.accept);
        if accept.is_some() {
            return Ok(());
        }
        let listener = block_on(bind(self.address))?;
        let task = spawn(accept_all(listener, self.serve.clone(), self.connections.clone()));
        *accept = Some(task);
        Ok(())
    }

    /// Resets all connections and refuses new ones until [`Listener::open`].
    pub(crate) fn close(&self) {
        if let Some(task) = lock(&self.accept).take() {
            block_on(task.cancel());
        }
        self.reset_connections();
    }

    /// Resets all connections.
    pub(crate) fn reset_connections(&self) {
        let connections = std::mem::take(&mut *lock(&self.connections));
        for (_, connection) in connections {
            reset_on_close(&connection.stream);
            drop(connection.task);
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.reset_connections();
    }
}

/// Binds an address, with retries because the socket of the previous listener may still be closing.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 1..MAX_BIND_TRIES {
        match TcpListener::bind(address).await {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse => sleep(BIND_RETRY_PERIOD).await,
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
            sleep(BIND_RETRY_PERIOD).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let serving = serve(stream.clone());
        // The lock is held until the entry is inserted, so that the task finds it when it ends.
        let mut open = lock(&connections);
        let entry = open.vacant_entry();
        let task =
            spawn(serve_and_remove(serving, entry.key(), stream.clone(), connections.clone()));
        entry.insert(Connection { stream, task });
    }
}

/// Serves a connection and removes it from the open ones.
async fn serve_and_remove(
    serving: Pin<Box<dyn Future<Output = ()> + Send>>,
    key: usize,
    stream: TcpStream,
    connections: Arc<Mutex<Slab<Connection>>>,
) {
    serving.await;
    let mut open = lock(&connections);
    // After a reset, the key may have been reused by a later connection.
    let is_own = open.get(key).is_some_and(|it| is_same_connection(&it.stream, &stream));
    if is_own {
        open.remove(key).task.detach();
    }
}

fn is_same_connection(a: &TcpStream, b: &TcpStream) -> bool {
    a.peer_addr().ok() == b.peer_addr().ok()
}

/// Makes the connection end with a reset (RST) once its socket is dropped, and returns the error
/// for that.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Error {
    // With a linger time of zero, closing a socket resets its connection.
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    io::ErrorKind::ConnectionReset.into()
}
