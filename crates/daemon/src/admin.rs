//! Serves operators over HTTP: state dump, health and readiness.

use async_h1::server::Encoder;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use http_types::{Method, Response, StatusCode};
use model::prelude::*;

use crate::{
    Context, Input, deadline,
    http::{Buffered, HeadError, read_request},
};

/// Timeout for an operator's request, from accepting the connection to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the control thread to create a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves operators for as long as the process runs, one request per connection.
pub async fn serve(cx: Context, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => cx.pool.detach(serve_one(cx.clone(), stream)),
            Err(err) => {
                log::warn!("cannot accept an operator's connection: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one(cx: Context, stream: TcpStream) {
    let by = cx.clock.now() + REQUEST_TIMEOUT;
    if !matches!(deadline::until(cx.clock, by, handle_request(&cx, stream)).await, Some(Ok(()))) {
        log::debug!("an operator's request got no response");
    }
}

async fn handle_request(cx: &Context, mut stream: TcpStream) -> std::io::Result<()> {
    let mut input = Buffered::new(stream.clone());
    let (method, mut res) = match read_request(&mut input).await {
        Ok(head) => {
            (head.req.method(), response_to(cx, head.req.method(), head.req.url().path()).await)
        }
        Err(HeadError::Closed | HeadError::Broken(_)) => return Ok(()),
        Err(err) => (Method::Get, plain(StatusCode::BadRequest, &err.to_string())),
    };
    res.insert_header("connection", "close");
    let mut bytes = Vec::new();
    Encoder::new(res, method).read_to_end(&mut bytes).await?;
    stream.write_all(&bytes).await?;
    stream.close().await
}

async fn response_to(cx: &Context, method: Method, path: &str) -> Response {
    match (method, path) {
        (Method::Get | Method::Head, "/dump") => dump(cx).await,
        (Method::Get | Method::Head, "/healthz") => plain(StatusCode::Ok, "ok"),
        (Method::Get | Method::Head, "/readyz") if cx.shared.is_ready(cx.clock.now()) => {
            plain(StatusCode::Ok, "ready")
        }
        (Method::Get | Method::Head, "/readyz") => {
            plain(StatusCode::ServiceUnavailable, "not ready")
        }
        (_, "/dump" | "/healthz" | "/readyz") => {
            plain(StatusCode::MethodNotAllowed, "method not allowed")
        }
        _ => plain(StatusCode::NotFound, "not found"),
    }
}

async fn dump(cx: &Context) -> Response {
    let (reply, rx) = async_channel::bounded(1);
    cx.control.send(Input::Dump { reply });
    let by = cx.clock.now() + DUMP_TIMEOUT;
    let Some(Ok(text)) = deadline::until(cx.clock, by, rx.recv()).await else {
        return plain(StatusCode::ServiceUnavailable, "the control thread does not respond");
    };
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(text);
    res.insert_header("content-type", "application/json");
    res
}

fn plain(status: StatusCode, text: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(format!("{text}\n"));
    res
}
