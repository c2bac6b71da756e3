//! A TCP proxy that injects faults into one link.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::{
    listener::{Listener, reset_on_close},
    rt::{lock, sleep, spawn},
};

const POLL: Duration = Duration::from_millis(5);
const BUF_BYTES: usize = 16 * 1024;

/// A direction of the bytes on a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Direction {
    /// From the side that connects to its target.
    Forward,
    /// From the target to the side that connects.
    Back,
}

/// A TCP proxy that injects faults into one link.
pub struct Proxy {
    listener: Listener,
    faults: Arc<Mutex<Faults>>,
}

#[derive(Clone, Copy, Default)]
struct Faults {
    forward: DirectionFaults,
    back: DirectionFaults,
    half_open: bool,
}

/// The faults in one direction.
#[derive(Clone, Copy, Default)]
struct DirectionFaults {
    is_held_back: bool,
    delay: Duration,
    bytes_per_s: Option<u64>,
    /// Bytes that still pass before the connection is reset.
    bytes_left: Option<u64>,
}

impl Faults {
    fn direction(&mut self, direction: Direction) -> &mut DirectionFaults {
        match direction {
            Direction::Forward => &mut self.forward,
            Direction::Back => &mut self.back,
        }
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`, without faults.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let faults = Arc::new(Mutex::new(Faults::default()));
        let shared = Arc::clone(&faults);
        let listener = Listener::start(move |stream| serve(stream, target, Arc::clone(&shared)))?;
        Ok(Self { listener, faults })
    }

    /// Returns the address that clients use instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Resets the link's connections and refuses new ones.
    pub fn refuse(&self) {
        self.listener.close();
    }

    /// Holds back all bytes in both directions without closing connections. They are delivered
    /// after [`Proxy::heal`], as after a network outage shorter than TCP's timeouts.
    pub fn cut(&self) {
        self.cut_one_way(Direction::Forward);
        self.cut_one_way(Direction::Back);
    }

    /// Holds back all bytes in one direction; also no new connection gets through.
    pub fn cut_one_way(&self, direction: Direction) {
        lock(&self.faults).direction(direction).is_held_back = true;
    }

    /// Resets the connections to the target but leaves those to the clients open.
    pub fn half_open(&self) {
        lock(&self.faults).half_open = true;
    }

    /// Delays all bytes by `span` in each direction.
    pub fn delay(&self, span: Duration) {
        let mut faults = lock(&self.faults);
        faults.forward.delay = span;
        faults.back.delay = span;
    }

    /// Limits the bytes per second in one direction, for each connection; at least 1.
    pub fn throttle(&self, direction: Direction, bytes_per_s: u64) {
        lock(&self.faults).direction(direction).bytes_per_s = Some(bytes_per_s.max(1));
    }

    /// Lets this many more bytes pass in one direction, then resets the connection that the next
    /// byte belongs to.
    pub fn cut_after(&self, direction: Direction, bytes: u64) {
        lock(&self.faults).direction(direction).bytes_left = Some(bytes);
    }

    /// Resets the open connections; new ones are accepted.
    pub fn reset_connections(&self) {
        self.listener.reset_connections();
    }

    /// Ends all faults.
    pub fn heal(&self) -> io::Result<()> {
        *lock(&self.faults) = Faults::default();
        self.listener.open()
    }
}

async fn serve(client: TcpStream, target: SocketAddr, faults: Arc<Mutex<Faults>>) {
    // On a cut link, a connection attempt gets no response.
    while is_cut(&faults) {
        sleep(POLL).await;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_close(&client);
        return;
    };
    let _ = server.set_nodelay(true);
    let forward = relay(client.clone(), server.clone(), Direction::Forward, &faults);
    let back = relay(server.clone(), client.clone(), Direction::Back, &faults);
    let is_open = {
        let half_open = async {
            while !lock(&faults).half_open {
                sleep(POLL).await;
            }
            false
        };
        let relayed = async {
            let result = future::try_zip(forward, back).await;
            if result.is_err() {
                reset_on_close(&client);
                reset_on_close(&server);
            }
            true
        };
        future::or(half_open, relayed).await
    };
    if !is_open {
        reset_on_close(&server);
        drop(server);
        while lock(&faults).half_open {
            sleep(POLL).await;
        }
        reset_on_close(&client);
    }
}

fn is_cut(faults: &Mutex<Faults>) -> bool {
    let faults = lock(faults);
    faults.forward.is_held_back || faults.back.is_held_back
}

/// Bytes in transit, delivered at `due` or later.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Relays bytes in one direction until the sender closes it.
async fn relay(
    from: TcpStream,
    to: TcpStream,
    direction: Direction,
    faults: &Arc<Mutex<Faults>>,
) -> io::Result<()> {
    let (tx, rx) = async_channel::unbounded();
    let reader = spawn(read_chunks(from, direction, Arc::clone(faults), tx));
    let written = write_chunks(to, direction, faults, rx).await;
    match written {
        Ok(()) => reader.await,
        Err(err) => Err(err),
    }
}

async fn read_chunks(
    mut from: TcpStream,
    direction: Direction,
    faults: Arc<Mutex<Faults>>,
    tx: Sender<Chunk>,
) -> io::Result<()> {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let n = from.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        let due = Instant::now() + lock(&faults).direction(direction).delay;
        let chunk = Chunk { due, bytes: buf[..n].to_vec() };
        if tx.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut to: TcpStream,
    direction: Direction,
    faults: &Mutex<Faults>,
    rx: Receiver<Chunk>,
) -> io::Result<()> {
    while let Ok(chunk) = rx.recv().await {
        sleep(chunk.due.saturating_duration_since(Instant::now())).await;
        while lock(faults).direction(direction).is_held_back {
            sleep(POLL).await;
        }
        let allowed = take_allowance(lock(faults).direction(direction), chunk.bytes.len());
        to.write_all(&chunk.bytes[..allowed]).await?;
        if allowed < chunk.bytes.len() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let rate = lock(faults).direction(direction).bytes_per_s;
        if let Some(rate) = rate {
            sleep(Duration::from_secs_f64(chunk.bytes.len() as f64 / rate as f64)).await;
        }
    }
    to.close().await
}

/// Takes up to `wanted` bytes from those that may still pass before the reset.
fn take_allowance(faults: &mut DirectionFaults, wanted: usize) -> usize {
    let Some(left) = &mut faults.bytes_left else { return wanted };
    let allowed = wanted.min(usize::try_from(*left).unwrap_or(usize::MAX));
    *left -= allowed as u64;
    allowed
}
