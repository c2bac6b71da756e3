//! Responses, complete and streamed, with their faults.

use std::{io, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncWriteExt, future};

use super::{generator::TokenGenerator, response_spec::ResponseSpec, serve::RunningRequest};
use crate::{Fault, Finish, Header, http, listener::reset_on_close, rt::sleep};

/// Waits for the prefill and writes the response.
pub(super) async fn write_response(
    stream: &mut TcpStream,
    run: &mut RunningRequest,
    spec: &ResponseSpec,
    headers: Vec<Header>,
    prefill: Duration,
) -> io::Result<()> {
    if let Some(Fault::Late(span)) = spec.fault {
        sleep(span).await;
    }
    sleep(prefill).await;
    if spec.fault == Some(Fault::Silent) {
        return future::pending().await;
    }
    if spec.stream {
        write_stream(stream, run, spec, headers).await
    } else {
        write_complete(stream, run, spec, headers).await
    }
}

async fn write_complete(
    stream: &mut TcpStream,
    run: &mut RunningRequest,
    spec: &ResponseSpec,
    mut headers: Vec<Header>,
) -> io::Result<()> {
    let mut generator = TokenGenerator::new(0);
    while generator.generated < spec.total_tokens {
        generator.step(run, spec.total_tokens).await;
    }
    if spec.fault == Some(Fault::ResetAfterRun) {
        run.finish = Finish::Faulty;
        return Err(reset_on_close(stream));
    }
    headers.push(Header::new("content-type", "application/json"));
    let body = spec.complete_body();
    if spec.fault == Some(Fault::Cut) {
        run.finish = Finish::Faulty;
        headers.push(Header::new("content-length", body.len()));
        stream.write_all(http::head(200, &headers).as_bytes()).await?;
        stream.write_all(&body[..body.len() / 2]).await?;
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    run.free_slot();
    http::respond(stream, 200, headers, &body).await?;
    run.finish = finish_of(spec);
    Ok(())
}

async fn write_stream(
    stream: &mut TcpStream,
    run: &mut RunningRequest,
    spec: &ResponseSpec,
    mut headers: Vec<Header>,
) -> io::Result<()> {
    headers.push(Header::new("content-type", "text/event-stream"));
    headers.push(Header::new("transfer-encoding", "chunked"));
    stream.write_all(http::head(200, &headers).as_bytes()).await?;
    let mut generator = TokenGenerator::new(spec.skipped_tokens.min(spec.total_tokens));
    while generator.generated < spec.total_tokens {
        let first = generator.generated;
        generator.step(run, spec.total_tokens).await;
        let events: Vec<u8> = (first..generator.generated).flat_map(|it| spec.event(it)).collect();
        if !events.is_empty() {
            http::write_chunk(stream, &events).await?;
        }
        if generator.generated > spec.total_tokens / 2 {
            match spec.fault {
                Some(Fault::ResetAfterRun) => {
                    run.finish = Finish::Faulty;
                    return Err(reset_on_close(stream));
                }
                Some(Fault::Cut) => {
                    run.finish = Finish::Faulty;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                _ => {}
            }
        }
    }
    run.free_slot();
    if spec.fault != Some(Fault::NoDone) {
        http::write_chunk(stream, b"data: [DONE]\n\n").await?;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    run.finish = finish_of(spec);
    Ok(())
}

/// Returns how a response that was written to its end counts.
fn finish_of(spec: &ResponseSpec) -> Finish {
    match spec.fault {
        Some(Fault::NoDone | Fault::Foreign) => Finish::Faulty,
        _ => Finish::Complete,
    }
}
