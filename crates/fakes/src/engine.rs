//! A model engine or a plain service.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_net::TcpStream;
use futures_lite::{AsyncWriteExt, future};
use serde_json::{Value, json};

use crate::{
    Entry, Fault, Finish, Header, Knobs, Received,
    host::Host,
    http,
    rt::{lock, sleep},
};

/// Tokens are generated in steps of this length.
const STEP: Duration = Duration::from_millis(10);
const OLDEST_REPORT: Duration = Duration::from_secs(30);
/// Bytes of a prompt that name its prefix in the cache.
const PREFIX_BYTES: usize = 256;
const MAX_TOKENS: u64 = 1_000_000;

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// A fake model engine or plain service that records what it receives.
pub struct Engine {
    host: Host,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine in its cold start.
    pub fn start(knobs: Knobs) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::new(knobs)));
        let shared = Arc::clone(&state);
        let host = Host::start(move |stream| serve(stream, Arc::clone(&shared)))?;
        Ok(Self { host, state })
    }

    /// Starts an engine whose cold start is over.
    pub fn start_warm(knobs: Knobs) -> io::Result<Self> {
        let engine = Self::start(knobs)?;
        engine.warm();
        Ok(engine)
    }

    /// Returns the address of its HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Changes how it behaves.
    pub fn tune(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut lock(&self.state).knobs);
    }

    /// Spoils the next `times` requests.
    pub fn fault(&self, fault: Fault, times: usize) {
        lock(&self.state).faults.extend(std::iter::repeat_n(fault, times));
    }

    /// Ends the cold start.
    pub fn warm(&self) {
        let mut state = lock(&self.state);
        state.cold_until = Instant::now();
        state.note_load();
    }

    /// Kills the engine: connections are reset and new ones refused.
    pub fn stop(&self) {
        self.host.down();
        lock(&self.state).restart();
    }

    /// Starts the engine again, cold.
    pub fn restart(&self) -> io::Result<()> {
        lock(&self.state).restart();
        self.host.up()
    }

    /// Restarts the engine at once and without a word: connections are reset, it is cold.
    pub fn turn_cold(&self) {
        lock(&self.state).restart();
        self.host.reset();
    }

    /// Returns what it received, in the order of arrival.
    pub fn record(&self) -> Vec<Entry> {
        lock(&self.state).entries.clone()
    }

    /// Forgets what it received; requests that run stay.
    pub fn forget(&self) {
        let mut state = lock(&self.state);
        let running = |it: &Entry| it.finish == Finish::Running;
        if !state.entries.iter().any(running) {
            state.base += state.entries.len();
            state.entries.clear();
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// Returns how often it fell over because it was cold.
    pub fn falls(&self) -> u32 {
        lock(&self.state).falls
    }

    /// Returns the orders that it took.
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.state).orders.clone()
    }
}

struct State {
    knobs: Knobs,
    incarnation: u64,
    cold_until: Instant,
    running: usize,
    falls: u32,
    /// Most recently used last.
    cache: VecDeque<Vec<u8>>,
    faults: VecDeque<Fault>,
    loads: VecDeque<Load>,
    fence: u64,
    orders: Vec<Value>,
    entries: Vec<Entry>,
    /// The number of the first entry.
    base: usize,
    /// Dropped at the end of a run, which ends its connections.
    life: Sender<()>,
    life_end: Receiver<()>,
}

/// The load at some time.
#[derive(Clone, Copy)]
struct Load {
    at: Instant,
    running: usize,
    cold: bool,
}

impl State {
    fn new(knobs: Knobs) -> Self {
        let (life, life_end) = async_channel::bounded(1);
        let mut state = Self {
            knobs,
            incarnation: 0,
            cold_until: Instant::now(),
            running: 0,
            falls: 0,
            cache: VecDeque::new(),
            faults: VecDeque::new(),
            loads: VecDeque::new(),
            fence: 0,
            orders: Vec::new(),
            entries: Vec::new(),
            base: 0,
            life,
            life_end,
        };
        state.restart();
        state
    }

    fn restart(&mut self) {
        let now = Instant::now();
        self.incarnation = NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed);
        self.cold_until = now + self.knobs.cold_for;
        self.cache.clear();
        self.loads.clear();
        self.running = 0;
        (self.life, self.life_end) = async_channel::bounded(1);
        for entry in &mut self.entries {
            if entry.finish == Finish::Running {
                entry.finish = Finish::Lost;
                entry.ended = Some(now);
            }
        }
        self.note_load();
    }

    fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    fn note_load(&mut self) {
        let load = Load { at: Instant::now(), running: self.running, cold: self.is_cold() };
        self.loads.push_back(load);
        while self.loads.len() > 1 && load.at - self.loads[0].at > OLDEST_REPORT {
            self.loads.pop_front();
        }
    }

    /// Returns the load as it was `report_lag` ago.
    fn report(&self) -> Value {
        let now = Instant::now();
        let is_old = |it: &&Load| now - it.at >= self.knobs.report_lag;
        let load = self.loads.iter().rev().find(is_old).or(self.loads.front());
        let running = load.map_or(0, |it| it.running);
        let cold = load.is_some_and(|it| it.cold) && self.is_cold();
        json!({ "incarnation": self.incarnation, "running": running, "queued": 0, "cold": cold })
    }

    /// Records a request; none if the engine fell over under it.
    fn begin(&mut self, request: Arc<Received>, finish: Finish) -> Option<usize> {
        let runs = finish == Finish::Running;
        if runs {
            self.running += 1;
        }
        let cold = self.is_cold();
        self.entries.push(Entry {
            at: Instant::now(),
            incarnation: self.incarnation,
            cold,
            running: self.running,
            request,
            tokens: 0,
            finish,
            ended: (!runs).then(Instant::now),
        });
        if cold && self.running > self.knobs.cold_limit {
            self.falls += 1;
            self.restart();
            return None;
        }
        self.note_load();
        Some(self.base + self.entries.len() - 1)
    }

    fn end(&mut self, no: usize, incarnation: u64, finish: Finish) {
        // A restart has ended the entry already.
        if incarnation != self.incarnation {
            return;
        }
        let Some(entry) = self.entry(no).filter(|it| it.finish == Finish::Running) else { return };
        entry.finish = finish;
        entry.ended = Some(Instant::now());
        self.running -= 1;
        self.note_load();
    }

    fn entry(&mut self, no: usize) -> Option<&mut Entry> {
        self.entries.get_mut(no.checked_sub(self.base)?)
    }

    /// Returns the time before the first token and caches the prefix.
    fn prefill(&mut self, prefix: &[u8]) -> Duration {
        let hit = self.cache.iter().position(|it| it == prefix);
        if let Some(i) = hit {
            self.cache.remove(i);
        }
        self.cache.push_back(prefix.to_vec());
        while self.cache.len() > self.knobs.cache {
            self.cache.pop_front();
        }
        let full = self.knobs.prefill.mul_f64(self.knobs.slow);
        if hit.is_some() { full / 10 } else { full }
    }

    /// Returns the tokens a second that one stream gets now.
    fn speed(&self) -> f64 {
        let crowding = (self.running as f64 / self.knobs.slots as f64).max(1.0);
        self.knobs.tokens_per_s / crowding / self.knobs.slow
    }
}

/// Serves one connection until it or the engine's run ends.
async fn serve(stream: TcpStream, state: Arc<Mutex<State>>) {
    let life_end = lock(&state).life_end.clone();
    let run_ends = async {
        let _ = life_end.recv().await;
        reset(&stream);
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

/// A request that runs; when it is dropped early, its entry says why it ended.
struct Run {
    state: Arc<Mutex<State>>,
    no: usize,
    incarnation: u64,
    finish: Finish,
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.state).end(self.no, self.incarnation, self.finish);
    }
}

/// What the answer to a request looks like.
struct Shape {
    request_id: String,
    nonce: String,
    wanted: u32,
    skip: u32,
    stream: bool,
    fault: Option<Fault>,
}

impl Shape {
    fn of(request: &Received, knobs: &Knobs, fault: Option<Fault>) -> Self {
        let body = request.json();
        let asked = ["max_tokens", "tokens"].iter().find_map(|it| body[*it].as_u64());
        let asked = asked.unwrap_or(knobs.default_tokens.into()).min(MAX_TOKENS);
        let resume = request.header("x-resume-from").and_then(|it| it.parse().ok());
        let foreign = fault == Some(Fault::Foreign);
        let own = |text: &str| if foreign { "foreign".to_owned() } else { text.to_owned() };
        Self {
            request_id: own(request.header("x-request-id").unwrap_or_default()),
            nonce: own(&request.mark("nonce")),
            wanted: u32::try_from(asked).unwrap_or(u32::MAX),
            skip: resume.filter(|_| knobs.resumes).unwrap_or(0),
            stream: body["stream"].as_bool().unwrap_or(false),
            fault,
        }
    }

    fn event(&self, index: u32) -> Vec<u8> {
        let event = json!({
            "id": self.request_id, "index": index, "nonce": self.nonce, "text": "token ",
        });
        format!("data: {event}\n\n").into_bytes()
    }

    fn whole(&self) -> Vec<u8> {
        let body = json!({
            "id": self.request_id, "nonce": self.nonce, "tokens": self.wanted,
            "text": "token ".repeat(self.wanted as usize),
        });
        body.to_string().into_bytes()
    }
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
    let Some((no, incarnation, prefill)) = started else { return Err(reset(stream)) };
    if shape.fault == Some(Fault::NotRun) {
        headers.push(Header::new("x-outcome", "not-run"));
        return http::respond(stream, 503, headers, b"{}").await;
    }
    let mut run = Run { state: Arc::clone(state), no, incarnation, finish: Finish::Lost };
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

async fn answer(
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
        return Err(reset(stream));
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
                    return Err(reset(stream));
                }
                Some(Fault::Cut) => {
                    run.finish = Finish::Spoiled;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                _ => {}
            }
        }
    }
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

/// Generates tokens at the engine's present speed.
struct Pace {
    skipped: u32,
    made: u32,
    /// The part of the next token that is done.
    part: f64,
    last: Instant,
}

impl Pace {
    fn new(skipped: u32) -> Self {
        Self { skipped, made: skipped, part: 0.0, last: Instant::now() }
    }

    async fn step(&mut self, run: &Run, wanted: u32) {
        let speed = lock(&run.state).speed();
        let missing = f64::from(wanted - self.made) - self.part;
        let needed = Duration::try_from_secs_f64(missing / speed).unwrap_or(STEP);
        sleep(needed.min(STEP)).await;
        let now = Instant::now();
        let done = self.part + (now - self.last).as_secs_f64() * speed;
        self.last = now;
        let whole = (done.min(f64::from(wanted)) as u32).min(wanted - self.made);
        self.part = (done - f64::from(whole)).clamp(0.0, 1.0);
        self.made += whole;
        if let Some(entry) = lock(&run.state).entry(run.no) {
            entry.tokens = self.made - self.skipped;
        }
    }
}

/// Makes the connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) -> io::Error {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    io::ErrorKind::ConnectionReset.into()
}
