//! What the balancer and the operators ask: readiness and metrics.

use std::{io, rc::Rc};

use aio::deadline;
use async_net::{TcpListener, TcpStream};
use futures_lite::AsyncWriteExt as _;
use http1::{Buffered, RequestHead};
use model::prelude::*;

use crate::{Instance, caller::close};

/// Bytes of a question's head.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers questions for as long as the process runs.
pub(crate) async fn serve(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let answering = answer_all(Rc::clone(&instance), stream);
                instance.executor.spawn(answering).detach();
            }
            Err(err) => {
                log::warn!("cannot accept a question: {err}");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer_all(instance: Rc<Instance>, stream: TcpStream) {
    let mut input = Buffered::new(stream.clone());
    let answering = async {
        while answer(&instance, &stream, &mut input).await? {}
        io::Result::Ok(())
    };
    if let Err(err) = answering.await {
        log::trace!("question not answered: {err}");
    }
    close(&stream, &mut input).await;
}

/// Answers one question and returns whether the connection stays open.
async fn answer(
    instance: &Instance,
    stream: &TcpStream,
    input: &mut Buffered<TcpStream>,
) -> io::Result<bool> {
    let by = instance.clock.now() + IDLE_TIMEOUT;
    let reading = RequestHead::read(input, MAX_HEAD_BYTES);
    let Some(Ok(head)) = deadline::until(instance.clock, by, reading).await else {
        return Ok(false);
    };
    let keeps = !head.closes() && !head.framing().has_body();
    let (status, body) = respond(instance, head.path());
    let connection = if keeps { "" } else { "Connection: close\r\n" };
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{connection}\r\n{body}",
        body.len()
    );
    stream.clone().write_all(text.as_bytes()).await?;
    Ok(keeps)
}

fn respond(instance: &Instance, path: &str) -> (&'static str, String) {
    let settings = &instance.settings;
    if path == settings.ready_path {
        return if instance.is_ready() {
            ("200 OK", "ready\n".to_owned())
        } else {
            ("503 Service Unavailable", "not ready\n".to_owned())
        };
    }
    if settings.metrics.as_ref().is_some_and(|it| it.path == path) {
        return match instance.metrics.text() {
            Ok(text) => ("200 OK", text),
            Err(err) => ("500 Internal Server Error", format!("{err}\n")),
        };
    }
    ("404 Not Found", String::new())
}
