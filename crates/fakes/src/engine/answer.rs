//! Answers, whole and streamed, with their faults.

use std::{io, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncWriteExt, future};

use super::{pace::Pace, serve::Run, shape::Shape};
use crate::{Fault, Finish, Header, host::reset_on_close, http, rt::sleep};

/// Waits for the first token and writes the answer.
pub(super) async fn answer(
    stream: &mut TcpStream,
    run: &mut Run,
    shape: &Shape,
    headers: Vec<Header>,
    prefill: Duration,
) -> io::Result<()> {
    if let Some(Fault::Late(span)) = shape.fault {
        sleep(span).await;
    }
    sleep(prefill).await;
    if shape.fault == Some(Fault::Silent) {
        return future::pending().await;
    }
    if shape.stream {
        stream_answer(stream, run, shape, headers).await
    } else {
        whole_answer(stream, run, shape, headers).await
    }
}

async fn whole_answer(
    stream: &mut TcpStream,
    run: &mut Run,
    shape: &Shape,
    mut headers: Vec<Header>,
) -> io::Result<()> {
    let mut pace = Pace::new(0);
    while pace.made < shape.wanted {
        pace.step(run, shape.wanted).await;
    }
    if shape.fault == Some(Fault::ResetAfterRun) {
        run.finish = Finish::Spoiled;
        return Err(reset_on_close(stream));
    }
    headers.push(Header::new("content-type", "application/json"));
    let body = shape.whole();
    if shape.fault == Some(Fault::Cut) {
        run.finish = Finish::Spoiled;
        headers.push(Header::new("content-length", body.len()));
        stream.write_all(http::head(200, &headers).as_bytes()).await?;
        stream.write_all(&body[..body.len() / 2]).await?;
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    run.free();
    http::respond(stream, 200, headers, &body).await?;
    run.finish = finish(shape);
    Ok(())
}

async fn stream_answer(
    stream: &mut TcpStream,
    run: &mut Run,
    shape: &Shape,
    mut headers: Vec<Header>,
) -> io::Result<()> {
    headers.push(Header::new("content-type", "text/event-stream"));
    headers.push(Header::new("transfer-encoding", "chunked"));
    stream.write_all(http::head(200, &headers).as_bytes()).await?;
    let mut pace = Pace::new(shape.skip.min(shape.wanted));
    while pace.made < shape.wanted {
        let first = pace.made;
        pace.step(run, shape.wanted).await;
        let events: Vec<u8> = (first..pace.made).flat_map(|it| shape.event(it)).collect();
        if !events.is_empty() {
            http::write_chunk(stream, &events).await?;
        }
        if pace.made > shape.wanted / 2 {
            match shape.fault {
                Some(Fault::ResetAfterRun) => {
                    run.finish = Finish::Spoiled;
                    return Err(reset_on_close(stream));
                }
                Some(Fault::Cut) => {
                    run.finish = Finish::Spoiled;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                _ => {}
            }
        }
    }
    run.free();
    if shape.fault != Some(Fault::NoDone) {
        http::write_chunk(stream, b"data: [DONE]\n\n").await?;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    run.finish = finish(shape);
    Ok(())
}

/// Returns how an answer that was written to its end has ended.
fn finish(shape: &Shape) -> Finish {
    match shape.fault {
        Some(Fault::NoDone | Fault::Foreign) => Finish::Spoiled,
        _ => Finish::Whole,
    }
}
