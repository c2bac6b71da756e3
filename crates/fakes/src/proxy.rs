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
    host::{Host, reset_on_close},
    rt::{lock, sleep, spawn},
};

const POLL: Duration = Duration::from_millis(5);
const BUF_BYTES: usize = 16 * 1024;

/// A direction of a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Direction {
    /// From the side that connects.
    Forward,
    /// To the side that connects.
    Back,
}

/// A TCP proxy that injects faults into one link.
pub struct Proxy {
    host: Host,
    faults: Arc<Mutex<Faults>>,
}

#[derive(Clone, Copy, Default)]
struct Faults {
    forward: Side,
    back: Side,
    half_open: bool,
}

/// The faults of one direction.
#[derive(Clone, Copy, Default)]
struct Side {
    holds: bool,
    delay: Duration,
    bytes_per_s: Option<u64>,
    bytes_left: Option<u64>,
}

impl Faults {
    fn side(&mut self, direction: Direction) -> &mut Side {
        match direction {
            Direction::Forward => &mut self.forward,
            Direction::Back => &mut self.back,
        }
    }
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let faults = Arc::new(Mutex::new(Faults::default()));
        let shared = Arc::clone(&faults);
        let host = Host::start(move |stream| serve(stream, target, Arc::clone(&shared)))?;
        Ok(Self { host, faults })
    }

    /// Returns the address to connect to instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Resets the link's connections and refuses new ones.
    pub fn refuse(&self) {
        self.host.down();
    }

    /// Holds back all bytes in both directions, without closing anything; they go on after
    /// [`Proxy::heal`], as after a cut that TCP outlives.
    pub fn cut(&self) {
        self.cut_one_way(Direction::Forward);
        self.cut_one_way(Direction::Back);
    }

    /// Holds back all bytes in one direction.
    pub fn cut_one_way(&self, direction: Direction) {
        lock(&self.faults).side(direction).holds = true;
    }

    /// Closes the target's side of the connections and leaves the other side open.
    pub fn half_open(&self) {
        lock(&self.faults).half_open = true;
    }

    /// Delays all bytes in both directions.
    pub fn delay(&self, span: Duration) {
        let mut faults = lock(&self.faults);
        faults.forward.delay = span;
        faults.back.delay = span;
    }

    /// Limits the bytes a second in one direction.
    pub fn throttle(&self, direction: Direction, bytes_per_s: u64) {
        lock(&self.faults).side(direction).bytes_per_s = Some(bytes_per_s.max(1));
    }

    /// Resets the connection that carries it once this many more bytes have gone in a direction.
    pub fn cut_after(&self, direction: Direction, bytes: u64) {
        lock(&self.faults).side(direction).bytes_left = Some(bytes);
    }

    /// Resets the connections; new ones are accepted.
    pub fn reset_on_close(&self) {
        self.host.reset();
    }

    /// Ends every fault.
    pub fn heal(&self) -> io::Result<()> {
        *lock(&self.faults) = Faults::default();
        self.host.up()
    }
}

async fn serve(client: TcpStream, target: SocketAddr, faults: Arc<Mutex<Faults>>) {
    // A cut link answers no connection attempt.
    while is_held(&faults) {
        sleep(POLL).await;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_close(&client);
        return;
    };
    let _ = server.set_nodelay(true);
    let forward = pump(client.clone(), server.clone(), Direction::Forward, &faults);
    let back = pump(server.clone(), client.clone(), Direction::Back, &faults);
    let open = {
        let half = async {
            while !lock(&faults).half_open {
                sleep(POLL).await;
            }
            false
        };
        let both = async {
            let result = future::try_zip(forward, back).await;
            if result.is_err() {
                reset_on_close(&client);
                reset_on_close(&server);
            }
            true
        };
        future::or(half, both).await
    };
    if !open {
        reset_on_close(&server);
        drop(server);
        while lock(&faults).half_open {
            sleep(POLL).await;
        }
        reset_on_close(&client);
    }
}

fn is_held(faults: &Mutex<Faults>) -> bool {
    let faults = lock(faults);
    faults.forward.holds || faults.back.holds
}

/// Bytes on their way.
struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

/// Carries bytes in one direction until the sender closes it.
async fn pump(
    from: TcpStream,
    to: TcpStream,
    direction: Direction,
    faults: &Arc<Mutex<Faults>>,
) -> io::Result<()> {
    let (tx, rx) = async_channel::unbounded();
    let reader = spawn(read_pieces(from, direction, Arc::clone(faults), tx));
    let written = write_pieces(to, direction, faults, rx).await;
    match written {
        Ok(()) => reader.await,
        Err(err) => Err(err),
    }
}

async fn read_pieces(
    mut from: TcpStream,
    direction: Direction,
    faults: Arc<Mutex<Faults>>,
    tx: Sender<Piece>,
) -> io::Result<()> {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let n = from.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        let due = Instant::now() + lock(&faults).side(direction).delay;
        let piece = Piece { due, bytes: buf[..n].to_vec() };
        if tx.send(piece).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_pieces(
    mut to: TcpStream,
    direction: Direction,
    faults: &Mutex<Faults>,
    rx: Receiver<Piece>,
) -> io::Result<()> {
    while let Ok(piece) = rx.recv().await {
        sleep(piece.due.saturating_duration_since(Instant::now())).await;
        while lock(faults).side(direction).holds {
            sleep(POLL).await;
        }
        let allowed = allowance(lock(faults).side(direction), piece.bytes.len());
        to.write_all(&piece.bytes[..allowed]).await?;
        if allowed < piece.bytes.len() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let rate = lock(faults).side(direction).bytes_per_s;
        if let Some(rate) = rate {
            sleep(Duration::from_secs_f64(piece.bytes.len() as f64 / rate as f64)).await;
        }
    }
    to.close().await
}

/// Takes up to `wanted` bytes from what may pass before the cut.
fn allowance(side: &mut Side, wanted: usize) -> usize {
    let Some(left) = &mut side.bytes_left else { return wanted };
    let allowed = wanted.min(usize::try_from(*left).unwrap_or(usize::MAX));
    *left -= allowed as u64;
    allowed
}
