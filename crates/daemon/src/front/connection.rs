//! Serving of one caller's connection.

use std::sync::Arc;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::FutureExt as _;
use http_types::Method;
use model::prelude::*;

use super::{
    Front, ResponseWriter,
    caller::Caller,
    exchange::{self, Disposition},
    problem::Problem,
    routing::{Arrival, PendingRequest, RoutedRequest},
};
use crate::{
    deadline,
    http::{BodyError, HeadError, RequestParts, read_request, read_whole},
};

/// How long idle connections stay open after the process stopped listening, for requests that
/// callers had sent by then.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Why a request could not be read.
enum Failure {
    /// The connection broke or was closed, so that no response can be written.
    Disconnected,
    /// The caller gets a refusal, and the connection is closed.
    Problem(Problem),
}

impl From<Problem> for Failure {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

/// Serves the requests of a connection, one after another.
pub(super) async fn serve(front: &Front, stream: TcpStream) {
    // Responses are written in few large writes; Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let mut caller = Caller::new(stream);
    loop {
        match serve_one(front, &mut caller).await {
            Disposition::KeepOpen => {}
            Disposition::Close => return caller.close().await,
            Disposition::Abort => return,
        }
    }
}

/// Refuses a connection beyond the limit of the settings, without reading a request.
pub(super) async fn refuse_connection(front: &Front, stream: TcpStream) {
    let caller = Caller::new(stream);
    let problem =
        Problem::from(Refusal::not_run(Reason::Capacity).retry_after(Duration::from_secs(1)));
    let res = problem.response(front.id_of(front.next_no()));
    let mut writer = front.response_writer(&caller, Method::Get, true);
    if front.within_head_time(writer.write_whole(res)).await {
        caller.close().await;
    }
}

async fn serve_one(front: &Front, caller: &mut Caller) -> Disposition {
    if !wait_for_request(front, caller).await {
        return Disposition::Close;
    }
    let no = front.next_no();
    let id = front.id_of(no);
    let head = match read_head(front, caller).await {
        Ok(head) => head,
        // The method is unknown, and the connection closes behind the body.
        Err(failure) => return refuse(front, caller, id, Method::Get, failure).await,
    };
    let arrival = Arrival { no, id, at: front.cx.clock.now() };
    let method = head.req.method();
    let close = head.close;
    let routed = match read_rest(front, caller, head, arrival).await {
        Ok(routed) => routed,
        Err(failure) => return refuse(front, caller, id, method, failure).await,
    };
    let writer = front.response_writer(caller, method, close);
    exchange::run(front, caller, routed, writer).await
}

/// Waits for the first byte of the next request. Returns `false` if the connection must close
/// instead: it was idle for too long, the caller closed it, or the process stops listening.
async fn wait_for_request(front: &Front, caller: &mut Caller) -> bool {
    caller.input.shrink();
    if !caller.input.data().is_empty() {
        return true;
    }
    let idle = Duration::from_millis(front.cx.settings.limits.idle_ms);
    let input = &mut caller.input;
    let received =
        async { matches!(deadline::io_within(idle, input.fill()).await, Ok(n) if n > 0) };
    let stopped = async {
        front.cx.shared.stopped_listening().await;
        Timer::after(STOP_GRACE).await;
        false
    };
    received.or(stopped).await
}

async fn read_head(front: &Front, caller: &mut Caller) -> Result<RequestParts, Failure> {
    let by = front.cx.clock.now() + Duration::from_millis(front.cx.settings.limits.head_ms);
    let head = deadline::until(front.cx.clock, by, read_request(&mut caller.input)).await;
    let head = head.ok_or_else(|| Problem::from(Refusal::not_run(Reason::SlowCaller)))?;
    head.map_err(|err| match err {
        HeadError::Closed | HeadError::Broken(_) => Failure::Disconnected,
        HeadError::TooLarge(_) | HeadError::TooManyFields => {
            Problem::not_run(Reason::TooLarge, "the head is too large").into()
        }
        HeadError::Malformed(message) => Problem::not_run(Reason::BadRequest, message).into(),
    })
}

async fn read_rest(
    front: &Front,
    caller: &mut Caller,
    head: RequestParts,
    arrival: Arrival,
) -> Result<RoutedRequest, Failure> {
    let catalog = front.cx.shared.catalog();
    let pending = PendingRequest::new(&catalog, &head.req)?;
    let body = read_body(front, caller, &head).await?;
    Ok(pending.with_body(&catalog, arrival, body)?)
}

async fn read_body(
    front: &Front,
    caller: &mut Caller,
    head: &RequestParts,
) -> Result<Vec<u8>, Failure> {
    if !head.has_body() {
        return Ok(Vec::new());
    }
    let limits = &front.cx.settings.limits;
    if head.expects_continue && caller.input.data().is_empty() {
        caller.send_continue().await.map_err(|_| Failure::Disconnected)?;
    }
    let by = front.cx.clock.now() + Duration::from_millis(limits.body_ms);
    let reading = read_whole(&mut caller.input, head.framing, limits.body_bytes);
    let body = deadline::until(front.cx.clock, by, reading).await;
    let body = body.ok_or_else(|| Problem::from(Refusal::not_run(Reason::SlowCaller)))?;
    body.map_err(|err| match err {
        BodyError::Broken(_) => Failure::Disconnected,
        BodyError::TooLarge(_) => Problem::from(Refusal::not_run(Reason::TooLarge)).into(),
        BodyError::Malformed => {
            Problem::not_run(Reason::BadRequest, "the chunked body is not well formed").into()
        }
    })
}

/// Refuses a request that could not be read or routed. The rest of the request may still arrive, so
/// the connection cannot be used for further requests.
async fn refuse(
    front: &Front,
    caller: &mut Caller,
    id: RequestId,
    method: Method,
    failure: Failure,
) -> Disposition {
    let Failure::Problem(problem) = failure else { return Disposition::Abort };
    front.cx.metrics.count_rejected(problem.reason());
    let mut res = problem.response(id);
    res.insert_header("x-request-id", id.to_string());
    let mut writer = front.response_writer(caller, method, true);
    match front.within_head_time(writer.write_whole(res)).await {
        true => Disposition::Close,
        false => Disposition::Abort,
    }
}

impl Front {
    fn response_writer(&self, caller: &Caller, method: Method, close: bool) -> ResponseWriter {
        let stall_timeout = Duration::from_millis(self.cx.settings.limits.idle_ms);
        let shared = Arc::clone(&self.cx.shared);
        ResponseWriter::new(caller.stream.clone(), shared, method)
            .closes_connection(close)
            .stall_timeout(stall_timeout)
    }

    /// Runs the write of a short response, within the timeout for a request's head. Returns whether
    /// it succeeded.
    pub(super) async fn within_head_time(
        &self,
        write: impl Future<Output = std::io::Result<()>>,
    ) -> bool {
        let timeout = Duration::from_millis(self.cx.settings.limits.head_ms);
        deadline::io_within(timeout, write).await.is_ok()
    }
}
