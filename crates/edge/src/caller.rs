//! Callers' connections.

use std::{io, pin::pin, rc::Rc};

use aio::deadline;
use async_net::{TcpListener, TcpStream};
use futures_lite::{FutureExt as _, future};
use http1::{Buffered, HeadError, RequestHead};
use model::prelude::*;

use crate::{
    Instance,
    attempt::set_socket_options,
    exchange::{Disposition, Exchange},
    memory::{MemoryUse, Reservation},
    problem::Problem,
    response::Response,
};

/// Timeout for a caller to close its side of the connection after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted, most likely because the process has no file
/// descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The fraction of [`crate::Settings::max_sockets`] that callers' connections may take; the rest
/// is for connections to backend servers and other sockets.
const CALLER_SOCKET_FRACTION: f64 = 0.6;
/// What an open connection takes, with the bytes that its caller sends ahead.
const CONNECTION_BYTES: usize = 8 << 10;
/// What a head that has not arrived whole takes, as a multiple of the largest head: the buffer grows
/// by doubling.
const PARTIAL_HEAD_FACTOR: usize = 2;

/// Accepts connections until the process stops listening.
pub(crate) async fn accept(instance: Rc<Instance>, listener: TcpListener) {
    let max = (instance.settings.max_sockets as f64 * CALLER_SOCKET_FRACTION) as usize;
    let max = max.min(instance.memory.share(MemoryUse::Connections) / CONNECTION_BYTES);
    loop {
        let accepting = async { Some(listener.accept().await) };
        let stopped = async {
            instance.stopped_listening.wait().await;
            None
        };
        match accepting.or(stopped).await {
            Some(Ok((stream, _))) if instance.caller_connections.get() < max => {
                let serving = serve(Rc::clone(&instance), stream);
                instance.executor.spawn(serving).detach();
            }
            // Closing it without reading a request tells the caller to try another instance.
            Some(Ok(_)) => log::debug!(max; "closed a connection: too many callers connected"),
            Some(Err(err)) => {
                log::warn!("cannot accept a connection: {err}");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
            None => return,
        }
    }
}

/// Serves the requests of a connection, one after another.
async fn serve(instance: Rc<Instance>, stream: TcpStream) {
    let _guard = ConnectionGuard::new(Rc::clone(&instance));
    set_socket_options(&stream);
    let mut input = Buffered::new(stream.clone());
    loop {
        if !wait_for_request(&instance, &mut input).await {
            return;
        }
        // Boxed, so that an idle connection uses little memory.
        match Box::pin(handle_request(&instance, &mut input, &stream)).await {
            Disposition::KeepOpen => input.shrink(),
            Disposition::Close => return close(&stream, &mut input).await,
            Disposition::Abort => return,
        }
    }
}

/// Waits for the first bytes of a request. Returns `false` if the connection must close instead: it
/// was idle for too long, the caller closed it, or the process stops listening.
async fn wait_for_request(instance: &Instance, input: &mut Buffered<TcpStream>) -> bool {
    if !input.data().is_empty() {
        return true;
    }
    let limits = instance.limits();
    let received = async {
        matches!(deadline::io_within(limits.idle_time, input.fill()).await, Ok(n) if n > 0)
    };
    let stopped = async {
        instance.stopped_listening.wait().await;
        false
    };
    received.or(stopped).await
}

/// Reads a request and sends the response.
async fn handle_request(
    instance: &Rc<Instance>,
    input: &mut Buffered<TcpStream>,
    stream: &TcpStream,
) -> Disposition {
    let arrived = instance.clock.now();
    let response = Response::new(stream.clone(), false);
    let mut exchange = Exchange::new(Rc::clone(instance), input, response, arrived);
    match read_head(instance, &mut exchange, arrived).await {
        Ok(head) => exchange.run(head).await,
        Err(HeadFault::Problem(problem)) => exchange.reject(&problem, None).await,
        Err(HeadFault::CallerLeft) => Disposition::Abort,
    }
}

/// Why there is no head of a request.
enum HeadFault {
    /// The caller gets this error response.
    Problem(Problem),
    /// No caller waits for a response.
    CallerLeft,
}

/// Reads the head of a request. Memory is reserved if it does not arrive at once.
async fn read_head(
    instance: &Instance,
    exchange: &mut Exchange<'_>,
    arrived: Time,
) -> Result<RequestHead, HeadFault> {
    let limits = instance.limits();
    let mut memory = Reservation::new(&instance.memory, MemoryUse::PartialHeads);
    let mut reading = pin!(exchange.read_head(limits.head_bytes));
    let mut head = future::poll_once(&mut reading).await;
    if head.is_none() {
        let bytes = limits.head_bytes.saturating_mul(PARTIAL_HEAD_FACTOR);
        if !memory.resize(arrived, bytes) {
            return Err(HeadFault::Problem(Problem::no_memory()));
        }
        head = deadline::until(instance.clock, arrived + limits.head_time, reading).await;
    }
    let problem = match head {
        Some(Ok(head)) => return Ok(head),
        Some(Err(HeadError::Closed | HeadError::Broken(_))) => return Err(HeadFault::CallerLeft),
        Some(Err(HeadError::TooLarge(_) | HeadError::TooManyFields)) => Problem::head_too_large(),
        Some(Err(HeadError::Malformed(detail))) => Problem::unreadable(Reason::BadRequest, detail),
        None => Problem::unreadable(Reason::SlowCaller, "the head came too slowly"),
    };
    Err(HeadFault::Problem(problem))
}

/// Closes a connection gracefully: reads and discards what the caller still sends, since closing a
/// socket with unread bytes resets the connection and may destroy the last response.
pub(crate) async fn close(stream: &TcpStream, input: &mut Buffered<TcpStream>) {
    if stream.shutdown(std::net::Shutdown::Write).is_err() {
        return;
    }
    let drained = async {
        while input.fill().await? > 0 {
            input.consume(usize::MAX);
        }
        io::Result::Ok(())
    };
    if let Err(err) = deadline::io_within(LINGER_TIMEOUT, drained).await {
        log::trace!("caller did not close its side of the connection: {err}");
    }
}

/// Counts a caller's connection until it is dropped.
struct ConnectionGuard(Rc<Instance>);

impl ConnectionGuard {
    fn new(instance: Rc<Instance>) -> Self {
        instance.caller_connections.set(instance.caller_connections.get() + 1);
        instance.metrics.caller_connections.inc();
        Self(instance)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.caller_connections.set(self.0.caller_connections.get() - 1);
        self.0.metrics.caller_connections.dec();
    }
}
