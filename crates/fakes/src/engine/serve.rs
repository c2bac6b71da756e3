//! Connections and requests of an engine.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_net::TcpStream;
use futures_lite::future;

use super::{answer::answer, shape::Shape, state::State};
use crate::{Fault, Finish, Header, Received, host::reset_on_close, http, rt::lock};

/// Bytes of a prompt that name its prefix in the cache.
const PREFIX_BYTES: usize = 256;

/// Serves one connection until it or the engine's run ends.
pub(super) async fn serve(stream: TcpStream, state: Arc<Mutex<State>>) {
    let life_end = lock(&state).life_end.clone();
    let run_ends = async {
        let _ = life_end.recv().await;
        reset_on_close(&stream);
    };
    future::or(run_ends, serve_requests(stream.clone(), &state)).await;
}

async fn serve_requests(mut stream: TcpStream, state: &Arc<Mutex<State>>) {
    while let Some(request) = http::read(&stream).await {
        let result = match request.path.as_str() {
            "/load" => {
                let report = lock(state).report();
                http::respond(&mut stream, 200, vec![], report.to_string().as_bytes()).await
            }
            "/orders" => {
                let status = take_orders(&mut lock(state), &request);
                http::respond(&mut stream, status, vec![], b"{}").await
            }
            _ => run(&mut stream, state, request).await,
        };
        if result.is_err() {
            return;
        }
    }
}

fn take_orders(state: &mut State, request: &Received) -> u16 {
    let body = request.json();
    let fence = body["fence"].as_u64().unwrap_or(0);
    if state.knobs.fenced && fence < state.fence {
        return 409;
    }
    state.fence = fence;
    state.orders.push(body);
    200
}

async fn run(
    stream: &mut TcpStream,
    state: &Arc<Mutex<State>>,
    request: Received,
) -> io::Result<()> {
    let request = Arc::new(request);
    let (shape, mut headers, started) = {
        let mut state = lock(state);
        let fault = state.faults.pop_front();
        let shape = Shape::of(&request, &state.knobs, fault);
        let headers = answer_headers(&state, &shape);
        let refused = fault == Some(Fault::NotRun);
        let finish = if refused { Finish::NotRun } else { Finish::Running };
        let no = state.begin(Arc::clone(&request), finish);
        let prefill = if refused { Duration::ZERO } else { state.prefill(&prefix(&request)) };
        (shape, headers, no.map(|it| (it, state.incarnation, prefill)))
    };
    let Some((no, incarnation, prefill)) = started else { return Err(reset_on_close(stream)) };
    if shape.fault == Some(Fault::NotRun) {
        headers.push(Header::new("x-outcome", "not-run"));
        return http::respond(stream, 503, headers, b"{}").await;
    }
    let mut run =
        Run { state: Arc::clone(state), no, incarnation, finish: Finish::Lost, freed: false };
    let watched = stream.clone();
    let answer = async {
        let result = answer(stream, &mut run, &shape, headers, prefill).await;
        if result.is_err() && run.finish == Finish::Lost {
            run.finish = Finish::Cancelled;
        }
        Some(result)
    };
    let left = async {
        http::closed(&watched).await;
        None
    };
    let result = future::or(answer, left).await;
    if result.is_none() {
        run.finish = Finish::Cancelled;
    }
    result.unwrap_or_else(|| Err(io::ErrorKind::ConnectionAborted.into()))
}

fn answer_headers(state: &State, shape: &Shape) -> Vec<Header> {
    let mut headers = vec![
        Header::new("x-request-id", &shape.request_id),
        Header::new("x-incarnation", state.incarnation),
    ];
    if state.is_cold() {
        headers.push(Header::new("x-cold", true));
    }
    headers
}

fn prefix(request: &Received) -> Vec<u8> {
    let body = request.json();
    let text = body["prompt"].as_str().or(body["messages"][0]["content"].as_str());
    let text = text.unwrap_or_default().as_bytes();
    text[..text.len().min(PREFIX_BYTES)].to_vec()
}

/// A request that runs; when it is dropped early, its entry says why it ended.
pub(super) struct Run {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) no: usize,
    incarnation: u64,
    pub(super) finish: Finish,
    /// Whether its place is free already.
    freed: bool,
}

impl Run {
    /// Frees its place: the answer is complete, and whoever gets its end may send more.
    pub(super) fn free(&mut self) {
        let mut state = lock(&self.state);
        if !self.freed && self.incarnation == state.incarnation {
            self.freed = true;
            state.running -= 1;
            state.note_load();
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.state).end(self.no, self.incarnation, self.finish, self.freed);
    }
}
