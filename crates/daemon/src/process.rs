//! Startup, signals and shutdown of the process.

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
    Clock, Context, ControlSender, Input, Shared, ThreadPool, admin, deadline, driver::Driver,
    front, metrics::Metrics, peer, platform,
};

/// Timeout for callers' connections to close after the last request has ended. Connections that
/// are still open then are cut by the exit.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the process cannot start, or ended early.
#[derive(Debug, Error)]
pub enum RunError {
    /// The process cannot listen at an address of the settings.
    #[error("cannot listen at {address} ({field}): {source}")]
    Bind {
        /// The field of the settings.
        field: &'static str,
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread, a socket or a signal handler could not be created.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// The control thread panicked; the panic itself was logged.
    #[error("the control thread panicked")]
    Panicked,
}

/// Runs the daemon until it has shut down gracefully.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let listeners = block_on(Listeners::bind(&settings))?;
    let signals = Signals::new([Signal::Term, Signal::Int])?;
    let incarnation = Incarnation(rand::random());
    let setup = Setup::new(&settings, incarnation, rand::random());
    let (control, inputs) = ControlSender::new();
    let cx = Context {
        control,
        shared: Arc::new(Shared::default()),
        clock: Clock::start(),
        metrics: Metrics::new(settings.metrics)?,
        pool: ThreadPool::start(settings.limits.traffic_threads)?,
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

/// The listening sockets for callers, other instances and operators.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings and logs them, with the ports that the operating system
    /// chose.
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

/// Starts the shutdown on the first signal. Later signals have no effect.
async fn watch_signals(cx: Context, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(signal) => {
                log::info!(signal:? = signal; "received a signal to stop");
                cx.shared.start_draining();
                cx.control.send_event(Event::Shutdown);
            }
            Err(err) => log::error!("cannot receive signals: {err}"),
        }
    }
}

/// Runs the control thread and waits until it ends.
fn run_control(
    cx: Context,
    setup: Setup,
    listener: TcpListener,
    inputs: Receiver<Input>,
) -> Result<(), RunError> {
    let run_thread = move || {
        let executor = Rc::new(LocalExecutor::new());
        let receive = peer::serve(setup.me.instance, listener, cx.control.clone(), cx.clock);
        let driver = Driver::new(cx, setup, Rc::clone(&executor));
        let receive = async { match receive.await {} };
        block_on(executor.run(driver.run(&inputs).or(receive)));
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run_thread)?;
    thread.join().map_err(|_| RunError::Panicked)
}

/// Waits until callers' connections are closed: if the exit of the process cuts one, the caller may
/// lose the end of its response.
fn close_front(cx: &Context, front: Task<()>) {
    cx.shared.stop_listening();
    let by = cx.clock.now() + CLOSE_TIMEOUT;
    if block_on(deadline::until(cx.clock, by, front)).is_none() {
        log::warn!("callers' connections are still open and are cut by the exit");
    }
}
