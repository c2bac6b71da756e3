//! Ending runs at servers whose response broke off.

use std::io;

use aio::{Socket, deadline};
use dispatch::{Attempt, LeftRun, RunEnd};
use futures_lite::AsyncWriteExt as _;
use http1::{Buffered, ConnectionError, ResponseHead, read_whole};

use crate::{
    EndRunFields, Instance,
    attempt::{CONNECT_TIMEOUT, MAX_RESPONSE_HEAD_BYTES, set_socket_options},
};

/// Size limit of the body of a response, which holds a name and a number.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Ends the run of `attempt`, the last one of the request `id`, and returns what its server shows of it
/// by [`LeftRun::by`]. The connection is always a new one: a refused one says that the server has ended
/// or cannot be reached.
pub(crate) async fn end(instance: &Instance, id: &str, attempt: &Attempt, left: LeftRun) -> RunEnd {
    instance.clock.sleep_until(left.from).await;
    let connect_by = left.by.min(instance.clock.now() + CONNECT_TIMEOUT);
    instance.metrics.connections_opened.inc();
    let connecting = Socket::connect(attempt.address.into());
    let stream = match deadline::until(instance.clock, connect_by, connecting).await {
        Some(Ok(stream)) => stream,
        Some(Err(err)) => return shown_by_failure(&err),
        None => return RunEnd::Unreachable,
    };
    set_socket_options(&stream);
    let Some(move_to) = left.move_to else {
        return RunEnd::Unknown("the server ends no runs on request");
    };
    let fields = EndRunFields { id, server: &attempt.name, address: attempt.address, move_to };
    let call = match instance.header_codec.encode_end_run(&fields) {
        Ok(call) => call,
        Err(err) => {
            log::error!(request:% = id; "cannot encode the call that ends a run: {err}");
            return RunEnd::Unknown("the call cannot be encoded");
        }
    };
    let asking = ask(stream, &call);
    match deadline::until(instance.clock, left.by, asking).await {
        Some(Ok((status, body))) => {
            instance.header_codec.decode_run_end(attempt.address, status, &body)
        }
        Some(Err(reason)) => RunEnd::Unknown(reason),
        None => RunEnd::Unknown("no response in time"),
    }
}

/// Returns what a failure to connect shows.
fn shown_by_failure(err: &io::Error) -> RunEnd {
    match err.kind() {
        io::ErrorKind::ConnectionRefused => RunEnd::Refused,
        io::ErrorKind::TimedOut
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => RunEnd::Unreachable,
        _ => RunEnd::Unknown("no connection could be opened"),
    }
}

/// Sends a call and returns the status and the body of the response, or why there is none.
async fn ask(mut stream: Socket, call: &[u8]) -> Result<(u16, Vec<u8>), &'static str> {
    stream.write_all(call).await.map_err(|err| err.summary())?;
    let mut input = Buffered::new(stream);
    let head = ResponseHead::read(&mut input, "POST", MAX_RESPONSE_HEAD_BYTES).await;
    let head = head.map_err(|err| err.summary())?;
    let body = read_whole(&mut input, head.framing(), MAX_BODY_BYTES).await;
    Ok((head.status(), body.map_err(|err| err.summary())?))
}
