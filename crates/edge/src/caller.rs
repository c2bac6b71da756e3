//! Connections of callers.

use std::{io, rc::Rc};

use aio::deadline;
use async_net::{TcpListener, TcpStream};
use futures_lite::FutureExt as _;
use http1::{Buffered, HeadError, RequestHead};
use model::prelude::*;

use crate::{
    Instance,
    answer::Answer,
    attempt::tune,
    exchange::{Exchange, Next},
    problem::Problem,
};

/// Time for a caller to close its end after the last answer.
const LINGER: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted, for want of descriptors most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The part of the sockets that callers may have.
const CALLER_SOCKET_SHARE: f64 = 0.6;

/// Accepts connections until the process is to listen no more.
pub(crate) async fn accept(instance: Rc<Instance>, listener: TcpListener) {
    let max = (instance.settings.max_sockets as f64 * CALLER_SOCKET_SHARE) as usize;
    loop {
        let accepting = async { Some(listener.accept().await) };
        let stopped = async {
            instance.stopped_listening.wait().await;
            None
        };
        match accepting.or(stopped).await {
            Some(Ok((stream, _))) if instance.callers.get() < max => {
                let serving = serve(Rc::clone(&instance), stream);
                instance.executor.spawn(serving).detach();
            }
            // A closed connection tells the caller to go elsewhere; nothing was read from it.
            Some(Ok(_)) => log::debug!(max; "too many connections of callers"),
            Some(Err(err)) => {
                log::warn!("cannot accept a connection: {err}");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
            None => return,
        }
    }
}

/// Serves the requests of a connection.
async fn serve(instance: Rc<Instance>, stream: TcpStream) {
    let _count = CallerCount::new(Rc::clone(&instance));
    tune(&stream);
    let mut input = Buffered::new(stream.clone());
    loop {
        if !has_request(&instance, &mut input).await {
            return;
        }
        // Requests are boxed, so that an idle connection takes little memory.
        match Box::pin(request(&instance, &mut input, &stream)).await {
            Next::KeepOpen => input.shrink(),
            Next::Close => return close(&stream, &mut input).await,
            Next::Abort => return,
        }
    }
}

/// Waits for the first bytes of a request.
async fn has_request(instance: &Instance, input: &mut Buffered<TcpStream>) -> bool {
    if !input.data().is_empty() {
        return true;
    }
    let limits = instance.limits();
    let came = async {
        matches!(deadline::io_within(limits.idle_time, input.fill()).await, Ok(n) if n > 0)
    };
    let stopped = async {
        instance.stopped_listening.wait().await;
        false
    };
    came.or(stopped).await
}

/// Reads and answers a request.
async fn request(
    instance: &Rc<Instance>,
    input: &mut Buffered<TcpStream>,
    stream: &TcpStream,
) -> Next {
    let limits = instance.limits();
    let arrived = instance.clock.now();
    let reading = RequestHead::read(input, limits.head_bytes);
    let head = deadline::until(instance.clock, arrived + limits.head_time, reading).await;
    let answer = Answer::new(stream.clone(), false);
    let mut exchange = Exchange { instance: Rc::clone(instance), input, answer, arrived };
    let problem = match head {
        Some(Ok(head)) => {
            exchange.answer.closes = head.closes();
            return exchange.run(head).await;
        }
        Some(Err(HeadError::Closed | HeadError::Broken(_))) => return Next::Abort,
        Some(Err(HeadError::TooLarge(_) | HeadError::TooManyFields)) => Problem::head_too_large(),
        Some(Err(HeadError::Malformed(detail))) => Problem::unreadable(Reason::BadRequest, detail),
        None => Problem::unreadable(Reason::SlowCaller, "the head came too slowly"),
    };
    exchange.answer.closes = true;
    exchange.reject(&problem, None).await
}

/// Closes a connection so that the last answer is not lost: bytes that were not read would reset
/// it.
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
    if let Err(err) = deadline::io_within(LINGER, drained).await {
        log::trace!("caller did not close its end: {err}");
    }
}

/// Counts a connection while it is open.
struct CallerCount(Rc<Instance>);

impl CallerCount {
    fn new(instance: Rc<Instance>) -> Self {
        instance.callers.set(instance.callers.get() + 1);
        instance.metrics.callers.inc();
        Self(instance)
    }
}

impl Drop for CallerCount {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
        self.0.metrics.callers.dec();
    }
}
