//! Startup, signals and shutdown of the process.

use std::{
    future::Future,
    io,
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    rc::Rc,
};

use aio::{Clock, deadline};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use async_net::TcpListener;
use async_signal::{Signal as OsSignal, Signals};
use dispatch::{Event, Setup, State};
use futures_lite::{FutureExt as _, StreamExt as _};
use model::prelude::*;
use rustix::net::listen;
use thiserror::Error;

use crate::{
    HeaderCodec, Instance, Settings, caller, instance::Parts, peers, server_check, status,
};

/// Length of the queue of connections that wait to be accepted. A longer burst would lose SYN
/// packets, and its callers would connect only after a retransmission.
const ACCEPT_BACKLOG: i32 = 1_024;
/// Time between two checks for expired idle connections and for the end of the process.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// A tick that is this late is logged: the process was suspended or had no processor time.
const LATE_TICK: Duration = Duration::from_millis(250);

/// Why the process cannot start.
#[derive(Debug, Error)]
pub enum RunError {
    /// The process cannot listen at an address of the settings.
    #[error("cannot listen at {address} for {purpose}: {source}")]
    Bind {
        /// What the address is for.
        purpose: &'static str,
        /// The address that cannot be bound.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system rejects the signal handlers.
    #[error("cannot receive signals: {0}")]
    Signals(#[from] io::Error),
}

/// Runs an instance until it has shut down. `platform` is run as a task that reads the platform
/// for as long as the process runs; its channel gets a message when the settings may have changed.
pub fn run<P>(
    settings: Settings,
    header_codec: Box<dyn HeaderCodec>,
    platform: impl FnOnce(Rc<Instance>, Receiver<()>) -> P,
) -> Result<(), RunError>
where
    P: Future<Output = ()> + 'static,
{
    let executor = Rc::new(LocalExecutor::new());
    let runner = Rc::clone(&executor);
    let clock = Clock::start();
    block_on(runner.run(async move {
        let callers = bind("callers", settings.listen).await?;
        listen(&callers, ACCEPT_BACKLOG).map_err(io::Error::from)?;
        let balancer = bind("the load balancer", settings.ready_listen).await?;
        let metrics = bind_metrics(&settings).await;
        let socket = bind_peers(settings.peer_listen)?;
        let signals = Signals::new([OsSignal::Term, OsSignal::Int, OsSignal::Hup])?;
        let (reschedule, rescheduled) = async_channel::bounded(1);
        let state = State::new(clock.now(), setup(&settings));
        let parts = Parts { clock, settings, header_codec, socket, state, executor, reschedule };
        let instance = Rc::new(Instance::new(parts));
        log::info!(
            version = env!("CARGO_PKG_VERSION"), listen:% = instance.settings.listen,
            peers:% = instance.settings.peer_listen;
            "started"
        );
        let (reload, reloads) = async_channel::bounded(1);
        let spawn = &instance.executor;
        spawn.spawn(caller::accept(Rc::clone(&instance), callers)).detach();
        spawn.spawn(status::serve(Rc::clone(&instance), balancer)).detach();
        if let Some(metrics) = metrics {
            spawn.spawn(status::serve(Rc::clone(&instance), metrics)).detach();
        }
        spawn.spawn(peers::receive(Rc::clone(&instance))).detach();
        spawn.spawn(server_check::run(Rc::clone(&instance))).detach();
        spawn.spawn(platform(Rc::clone(&instance), reloads)).detach();
        spawn.spawn(watch_signals(Rc::clone(&instance), signals, reload)).detach();
        spawn.spawn(tick(Rc::clone(&instance), rescheduled)).detach();
        wait_for_end(&instance).await;
        log::info!(requests = instance.read_state(State::request_count); "stopped");
        Ok(())
    }))
}

fn setup(settings: &Settings) -> Setup {
    Setup {
        address: settings.peer_listen,
        zone: settings.zone,
        zones: settings.zones,
        crossing: settings.crossing,
        seeds: settings.seeds.clone(),
        incarnation: rand::random(),
        seed: rand::random(),
        bounds: settings.bounds,
    }
}

async fn bind(purpose: &'static str, address: SocketAddrV4) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(SocketAddr::V4(address)).await;
    bound.map_err(|source| RunError::Bind { purpose, address, source })
}

/// Binds the address of metrics. An instance that cannot bind it runs without metrics.
async fn bind_metrics(settings: &Settings) -> Option<TcpListener> {
    let port = settings.metrics.as_ref()?.port;
    let address = SocketAddrV4::new(*settings.listen.ip(), port);
    match bind("metrics", address).await {
        Ok(listener) => Some(listener),
        Err(err) => {
            log::error!("{err}");
            None
        }
    }
}

fn bind_peers(address: SocketAddrV4) -> Result<Async<UdpSocket>, RunError> {
    let bound = Async::<UdpSocket>::bind(SocketAddr::V4(address));
    bound.map_err(|source| RunError::Bind { purpose: "other instances", address, source })
}

/// Sends the reducer a tick whenever one is due.
async fn tick(instance: Rc<Instance>, rescheduled: Receiver<()>) {
    loop {
        let scheduled_at = instance.clock.now();
        let due = instance.schedule_tick();
        // A message means that the next tick is due earlier than scheduled.
        if deadline::until(instance.clock, due, rescheduled.recv()).await.is_none() {
            let late = instance.clock.now().since(due.max(scheduled_at));
            if late >= LATE_TICK {
                log::warn!(late_ms = late.as_millis() as u64; "the process was held up");
            }
            instance.handle_event(Event::Tick);
        }
    }
}

async fn watch_signals(
    instance: Rc<Instance>,
    mut signals: Signals,
    reload: async_channel::Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(OsSignal::Hup) => {
                log::info!("received SIGHUP, reading the settings again");
                // A full channel means that a reload is pending already.
                let _ = reload.try_send(());
            }
            Ok(signal) => {
                log::info!(signal:? = signal; "received a signal to stop");
                instance.handle_event(Event::Shutdown);
            }
            Err(err) => log::error!("cannot receive signals: {err}"),
        }
    }
}

/// Waits until the process must end: the reducer ends it, or it no longer listens and no caller is
/// connected.
async fn wait_for_end(instance: &Instance) {
    loop {
        let exiting = async {
            instance.exit.wait().await;
            true
        };
        let pause = async {
            async_io::Timer::after(HOUSEKEEPING_INTERVAL).await;
            false
        };
        if exiting.or(pause).await {
            return;
        }
        instance.connections.expire(instance.clock.now());
        if instance.stopped_listening.is_set() && instance.caller_connections.get() == 0 {
            return;
        }
    }
}
