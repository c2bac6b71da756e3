//! Connections and requests of a fake backend server.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_net::TcpStream;
use futures_lite::future;

use super::{response::write_response, response_spec::ResponseSpec, state::State};
use crate::{Fault, Finish, Header, ReceivedRequest, http, listener::reset_on_close, rt::lock};

/// Length of the prompt prefix that the cache is keyed by.
const PREFIX_BYTES: usize = 256;

/// Serves one connection until it is closed or the server restarts.
pub(super) async fn serve(stream: TcpStream, state: Arc<Mutex<State>>) {
    let run_end = lock(&state).run_end.clone();
    let restarted = async {
        let _ = run_end.recv().await;
        reset_on_close(&stream);
    };
    future::or(restarted, serve_requests(stream.clone(), &state)).await;
}

async fn serve_requests(mut stream: TcpStream, state: &Arc<Mutex<State>>) {
    while let Some(request) = http::read_request(&stream).await {
        let result = match request.path.as_str() {
            "/load" => {
                let report = lock(state).load_report();
                http::respond(&mut stream, 200, vec![], report.to_string().as_bytes()).await
            }
            "/orders" => {
                let status = accept_order(&mut lock(state), &request);
                http::respond(&mut stream, status, vec![], b"{}").await
            }
            _ => run(&mut stream, state, request).await,
        };
        if result.is_err() {
            return;
        }
    }
}

fn accept_order(state: &mut State, request: &ReceivedRequest) -> u16 {
    let body = request.json();
    let fence = body["fence"].as_u64().unwrap_or(0);
    if state.behavior.fenced && fence < state.fence {
        return 409;
    }
    state.fence = fence;
    state.orders.push(body);
    200
}

async fn run(
    stream: &mut TcpStream,
    state: &Arc<Mutex<State>>,
    request: ReceivedRequest,
) -> io::Result<()> {
    let request = Arc::new(request);
    let (spec, mut headers, started) = {
        let mut state = lock(state);
        let fault = state.faults.pop_front();
        let spec = ResponseSpec::of(&request, &state.behavior, fault);
        let headers = response_headers(&state, &spec);
        let is_rejected = fault == Some(Fault::NotRun);
        let finish = if is_rejected { Finish::NotRun } else { Finish::Running };
        let number = state.start_request(Arc::clone(&request), finish);
        let prefill = if is_rejected { Duration::ZERO } else { state.prefill(&prefix(&request)) };
        (spec, headers, number.map(|number| (number, state.incarnation, prefill)))
    };
    let Some((number, incarnation, prefill)) = started else { return Err(reset_on_close(stream)) };
    if spec.fault == Some(Fault::NotRun) {
        headers.push(Header::new("x-outcome", "not-run"));
        return http::respond(stream, 503, headers, b"{}").await;
    }
    let mut run = RunningRequest {
        state: Arc::clone(state),
        number,
        incarnation,
        finish: Finish::Lost,
        is_slot_freed: false,
    };
    let connection = stream.clone();
    let response = async {
        let result = write_response(stream, &mut run, &spec, headers, prefill).await;
        if result.is_err() && run.finish == Finish::Lost {
            run.finish = Finish::Cancelled;
        }
        Some(result)
    };
    let connection_closed = async {
        http::wait_closed(&connection).await;
        None
    };
    let result = future::or(response, connection_closed).await;
    if result.is_none() {
        run.finish = Finish::Cancelled;
    }
    result.unwrap_or_else(|| Err(io::ErrorKind::ConnectionAborted.into()))
}

fn response_headers(state: &State, spec: &ResponseSpec) -> Vec<Header> {
    let mut headers = vec![
        Header::new("x-request-id", &spec.request_id),
        Header::new("x-incarnation", state.incarnation),
    ];
    if state.is_cold() {
        headers.push(Header::new("x-cold", true));
    }
    headers
}

fn prefix(request: &ReceivedRequest) -> Vec<u8> {
    let body = request.json();
    let text = body["prompt"].as_str().or(body["messages"][0]["content"].as_str());
    let text = text.unwrap_or_default().as_bytes();
    text[..text.len().min(PREFIX_BYTES)].to_vec()
}

/// A request that runs. On drop, `finish` is recorded as the way it ended.
pub(super) struct RunningRequest {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) number: usize,
    incarnation: u64,
    pub(super) finish: Finish,
    /// Whether it no longer counts as running.
    is_slot_freed: bool,
}

impl RunningRequest {
    /// Stops counting the request as running. Called before the end of the response is written,
    /// because the client may send its next request as soon as it has read that end.
    pub(super) fn free_slot(&mut self) {
        let mut state = lock(&self.state);
        if !self.is_slot_freed && self.incarnation == state.incarnation {
            self.is_slot_freed = true;
            state.running -= 1;
            state.record_load();
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        lock(&self.state).finish_request(
            self.number,
            self.incarnation,
            self.finish,
            self.is_slot_freed,
        );
    }
}
