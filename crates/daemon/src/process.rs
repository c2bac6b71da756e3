//! The life of the process: listeners, threads, signals and the end.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc, thread};

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::block_on;
use async_net::TcpListener;
use async_signal::{Signal, Signals};
use config::Settings;
use control::{Event, Setup};
use futures_lite::{FutureExt as _, StreamExt as _};
use model::prelude::*;
use thiserror::Error;

use crate::{
    Clock, Input, Link, Pool, Shared, Traffic, admin, deadline, driver::Driver, front,
    metrics::Metrics, peer, platform,
};

/// Time for the connections of callers to be closed after the last request has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the process cannot run.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address of the settings cannot be listened at.
    #[error("cannot listen at {address} ({field}): {source}")]
    Bind {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The operating system refuses a thread, a socket or a signal handler.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The control thread ended by a panic, which was logged.
    #[error("the control thread panicked")]
    Panicked,
}

/// Runs the daemon until it has shut down in order.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let listeners = block_on(Listeners::bind(&settings))?;
    let signals = Signals::new([Signal::Term, Signal::Int])?;
    let incarnation = Incarnation(rand::random());
    let setup = Setup::new(&settings, incarnation, rand::random());
    let (link, inputs) = Link::new();
    let cx = Traffic {
        link,
        shared: Arc::new(Shared::default()),
        clock: Clock::start(),
        metrics: Metrics::new(settings.metrics)?,
        pool: Pool::start(settings.limits.traffic_threads)?,
        settings: Arc::new(settings),
    };
    log::info!(
        version = env!("CARGO_PKG_VERSION"),
        incarnation:%,
        zone:% = cx.settings.zone;
        "started"
    );
    let front = cx.pool.spawn(front::serve(cx.clone(), listeners.callers));
    cx.pool.detach(admin::serve(cx.clone(), listeners.operators));
    cx.pool.detach(platform::read_config(cx.clone()));
    cx.pool.detach(platform::read_instances(cx.clone()));
    cx.pool.detach(watch_signals(cx.clone(), signals));
    run_control(cx.clone(), setup, listeners.peers, inputs)?;
    close_front(&cx, front);
    log::info!("stopped");
    Ok(())
}

/// The sockets that others connect to.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings, and logs the ports that the system chose.
    async fn bind(settings: &Settings) -> Result<Self, RunError> {
        let listeners = Self {
            callers: bind("listen", settings.listen).await?,
            peers: bind("peer_listen", settings.peer_listen).await?,
            operators: bind("admin_listen", settings.admin_listen).await?,
        };
        log::info!(
            listen:% = listeners.callers.local_addr()?,
            peer_listen:% = listeners.peers.local_addr()?,
            admin_listen:% = listeners.operators.local_addr()?;
            "listening"
        );
        Ok(listeners)
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Bind { field, address, source })
}

/// Asks the control state to shut down at the first signal; later ones change nothing.
async fn watch_signals(cx: Traffic, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(signal) => {
                log::info!(signal:? = signal; "asked to stop");
                cx.shared.drain();
                cx.link.event(Event::Shutdown);
            }
            Err(err) => log::error!("cannot receive signals: {err}"),
        }
    }
}

/// Runs the control thread to its end.
fn run_control(
    cx: Traffic,
    setup: Setup,
    listener: TcpListener,
    inputs: Receiver<Input>,
) -> Result<(), RunError> {
    let control = move || {
        let executor = Rc::new(LocalExecutor::new());
        let receive = peer::serve(setup.me.instance, listener, cx.link.clone(), cx.clock);
        let driver = Driver::new(cx, setup, Rc::clone(&executor));
        let receive = async { match receive.await {} };
        block_on(executor.run(driver.run(&inputs).or(receive)));
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(control)?;
    thread.join().map_err(|_| RunError::Panicked)
}

/// Waits until the connections of callers are closed: one that is cut by the end of the process
/// may lose the end of its answer.
fn close_front(cx: &Traffic, front: Task<()>) {
    cx.shared.stop_listening();
    let by = cx.clock.now() + CLOSE_TIMEOUT;
    if block_on(deadline::until(cx.clock, by, front)).is_none() {
        log::warn!("connections of callers are cut");
    }
}
