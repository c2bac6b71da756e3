//! A caller of the fleet that checks what it is answered.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response, Url};
use serde_json::{Value, json};

use crate::{Header, rt::timeout};

const TIMEOUT: Duration = Duration::from_secs(30);
const BUF_BYTES: usize = 16 * 1024;
/// The decoder of `async-h1` forgets to wake its reader when the end of a chunked body comes in
/// two pieces, so it is polled again after this time.
const POLL_AGAIN: Duration = Duration::from_millis(20);
const DONE: &str = "[DONE]";

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<Header>,
    body: Value,
    nonce: Option<String>,
    timeout: Duration,
}

impl Call {
    /// A `GET` request.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::Get,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Value::Null,
            nonce: None,
            timeout: TIMEOUT,
        }
    }

    /// A `POST` request with an empty object as its body.
    pub fn post(path: &str) -> Self {
        Self { method: Method::Post, body: json!({}), ..Self::get(path) }
    }

    /// A request for a completion by a model with this many output tokens.
    pub fn completion(path: &str, model: &str, tokens: u32) -> Self {
        Self::post(path).field("model", model).field("max_tokens", tokens)
    }

    /// Sets the account's key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets the class.
    #[must_use]
    pub fn class(self, class: &str) -> Self {
        self.header("x-class", class)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header::new(name, value));
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn idempotency(self, key: &str) -> Self {
        self.header("idempotency-key", key)
    }

    /// States that the request was sent before with the same idempotency key.
    #[must_use]
    pub fn resend(self) -> Self {
        self.header("x-resend", "true")
    }

    /// Sets a field of the body.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.body[name] = value.into();
        self
    }

    /// Marks the request; an answer with another mark is found to be foreign.
    #[must_use]
    pub fn nonce(mut self, nonce: &str) -> Self {
        self.nonce = Some(nonce.to_owned());
        self.mark("nonce", nonce)
    }

    /// Sets a field of the body or, without a body, a parameter of the query.
    #[must_use]
    pub fn mark(mut self, name: &str, value: &str) -> Self {
        if !self.body.is_null() {
            return self.field(name, value);
        }
        let separator = if self.path.contains('?') { '&' } else { '?' };
        self.path.push_str(&format!("{separator}{name}={value}"));
        self
    }

    /// Asks for a stream.
    #[must_use]
    pub fn stream(self) -> Self {
        self.field("stream", true)
    }

    /// Sets how long to wait for the end of the answer.
    #[must_use]
    pub fn timeout(mut self, span: Duration) -> Self {
        self.timeout = span;
        self
    }

    fn request(&self, address: SocketAddr) -> http_types::Result<Request> {
        let url = Url::parse(&format!("http://{address}{}", self.path))?;
        let mut req = Request::new(self.method, url);
        for header in &self.headers {
            req.append_header(header.name.as_str(), header.value.as_str());
        }
        if !self.body.is_null() {
            req.set_body(self.body.to_string());
            req.insert_header("content-type", "application/json");
        }
        Ok(req)
    }
}

/// How a call ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// A whole answer came, and it belongs to the request.
    Whole,
    /// The fleet refused the request.
    Refused,
    /// An answer began and did not come whole.
    Truncated,
    /// An answer looked whole, but belongs to another request.
    Foreign,
    /// No answer came; the connection failed.
    NoAnswer(String),
    /// The answer did not end in time.
    TimedOut,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How the call ended.
    pub end: End,
    /// The status; 0 if there was none.
    pub status: u16,
    /// The header `x-request-id`.
    pub request_id: String,
    /// The header `x-outcome`.
    pub outcome: String,
    /// The reason of a refusal, the field `type` of the body's `error`.
    pub reason: String,
    /// The header `retry-after`.
    pub retry_after: Option<String>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Events of a stream, the closing one not counted.
    pub events: u32,
    /// From the start of the call to the body's first byte, if one came.
    pub first_byte: Option<Duration>,
    /// From the start of the call to its end.
    pub total: Duration,
}

impl Reply {
    fn new() -> Self {
        Self {
            end: End::TimedOut,
            status: 0,
            request_id: String::new(),
            outcome: String::new(),
            reason: String::new(),
            retry_after: None,
            body: Vec::new(),
            events: 0,
            first_byte: None,
            total: Duration::ZERO,
        }
    }

    /// Returns whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        self.end == End::Whole
    }

    /// Returns whether the fleet refused the request and says that it did not run.
    pub fn is_not_run(&self) -> bool {
        self.end == End::Refused && self.outcome == "not-run"
    }
}

/// A caller with one connection that it keeps open between calls.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    /// A caller of this address; it connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Returns the address that it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether it holds a connection that the last answer left open.
    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Sends a call and reads its answer to the end. The call is never repeated.
    pub async fn send(&mut self, call: &Call) -> Reply {
        let start = Instant::now();
        let mut reply = Reply::new();
        let end = timeout(call.timeout, self.exchange(call, start, &mut reply)).await;
        reply.end = end.unwrap_or(End::TimedOut);
        reply.total = start.elapsed();
        if !matches!(reply.end, End::Whole | End::Refused) {
            self.stream = None;
        }
        reply
    }

    async fn exchange(&mut self, call: &Call, start: Instant, reply: &mut Reply) -> End {
        let response = match self.open(call).await {
            Ok(response) => response,
            Err(err) => return End::NoAnswer(err.to_string()),
        };
        reply.status = response.status().into();
        reply.request_id = header(&response, "x-request-id").unwrap_or_default();
        reply.outcome = header(&response, "x-outcome").unwrap_or_default();
        reply.retry_after = header(&response, "retry-after");
        let closes = header(&response, "connection").is_some_and(|it| it == "close");
        let whole = read_body(response, start, reply).await;
        if closes {
            self.stream = None;
        }
        if !whole {
            return End::Truncated;
        }
        judge(call, reply)
    }

    async fn open(&mut self, call: &Call) -> http_types::Result<Response> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect(self.address).await?,
        };
        stream.set_nodelay(true)?;
        self.stream = Some(stream.clone());
        async_h1::client::connect(stream, call.request(self.address)?).await
    }
}

/// Reads a body and returns whether it came whole.
async fn read_body(mut response: Response, start: Instant, reply: &mut Reply) -> bool {
    let length = response.len();
    let mut buf = vec![0; BUF_BYTES];
    loop {
        match timeout(POLL_AGAIN, response.read(&mut buf)).await {
            None => {}
            Some(Ok(0)) => break,
            Some(Ok(n)) => {
                reply.first_byte.get_or_insert_with(|| start.elapsed());
                reply.body.extend_from_slice(&buf[..n]);
            }
            Some(Err(_)) => return false,
        }
    }
    // The decoder ends a short body without an error.
    length.is_none_or(|it| it == reply.body.len())
}

/// Decides what a body that came whole as HTTP says.
fn judge(call: &Call, reply: &mut Reply) -> End {
    if !(200..300).contains(&reply.status) {
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        reply.reason = body["error"]["type"].as_str().unwrap_or_default().to_owned();
        return End::Refused;
    }
    let nonce = call.nonce.as_deref();
    if call.body["stream"] == true {
        return judge_stream(nonce, reply);
    }
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    if nonce.is_some_and(|it| body["nonce"] != it) { End::Foreign } else { End::Whole }
}

fn judge_stream(nonce: Option<&str>, reply: &mut Reply) -> End {
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let mut done = false;
    for event in text.split("\n\n").filter_map(|it| it.strip_prefix("data: ")) {
        if event == DONE {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(event).unwrap_or(Value::Null);
        if nonce.is_some_and(|it| event["nonce"] != it) {
            return End::Foreign;
        }
        // A gap or a repetition is as bad as a cut.
        if event["index"] != reply.events {
            return End::Truncated;
        }
        reply.events += 1;
    }
    if done { End::Whole } else { End::Truncated }
}

fn header(response: &Response, name: &str) -> Option<String> {
    response.header(name).map(|it| it.last().as_str().to_owned())
}

/// Sends raw bytes and returns what comes back until the other side closes or `limit` has passed.
pub async fn exchange_raw(
    address: SocketAddr,
    bytes: &[u8],
    limit: Duration,
) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let mut answer = Vec::new();
    let talk = async {
        stream.write_all(bytes).await?;
        let mut buf = vec![0; BUF_BYTES];
        loop {
            let n = stream.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            answer.extend_from_slice(&buf[..n]);
        }
    };
    match timeout(limit, talk).await {
        Some(Err(err)) => Err(err),
        _ => Ok(answer),
    }
}
