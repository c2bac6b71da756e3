//! An HTTP client of the fleet that checks the responses.

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

/// Timeout of a call that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const BUF_BYTES: usize = 16 * 1024;
/// The decoder of `async-h1` does not wake its reader when the end of a chunked body arrives in two
/// pieces, so it is polled again after this time.
const DECODER_POLL: Duration = Duration::from_millis(20);
/// Data of the closing event of a stream.
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
    /// A `GET` request without a body.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::Get,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Value::Null,
            nonce: None,
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// A `POST` request with an empty object as its body.
    pub fn post(path: &str) -> Self {
        Self { method: Method::Post, body: json!({}), ..Self::get(path) }
    }

    /// A `POST` request for a completion of `tokens` output tokens by a model.
    pub fn completion(path: &str, model: &str, tokens: u32) -> Self {
        Self::post(path).field("model", model).field("max_tokens", tokens)
    }

    /// Adds the account's API key as a bearer token.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds the header that selects the class.
    #[must_use]
    pub fn class(self, class: &str) -> Self {
        self.header("x-class", class)
    }

    /// Adds a header and keeps earlier ones of the same name.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header::new(name, value));
        self
    }

    /// Adds the idempotency key.
    #[must_use]
    pub fn idempotency(self, key: &str) -> Self {
        self.header("idempotency-key", key)
    }

    /// Marks the request as a resend of one with the same idempotency key.
    #[must_use]
    pub fn resend(self) -> Self {
        self.header("x-resend", "true")
    }

    /// Sets a field of the JSON body.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.body[name] = value.into();
        self
    }

    /// Sets the field `nonce`, which fake servers echo; a response with another one is reported as
    /// [`End::Foreign`].
    #[must_use]
    pub fn nonce(mut self, nonce: &str) -> Self {
        self.nonce = Some(nonce.to_owned());
        self.mark("nonce", nonce)
    }

    /// Sets a field of the JSON body or, if the request has none, a query parameter.
    #[must_use]
    pub fn mark(mut self, name: &str, value: &str) -> Self {
        if !self.body.is_null() {
            return self.field(name, value);
        }
        let separator = if self.path.contains('?') { '&' } else { '?' };
        self.path.push_str(&format!("{separator}{name}={value}"));
        self
    }

    /// Requests a streamed response.
    #[must_use]
    pub fn stream(self) -> Self {
        self.field("stream", true)
    }

    /// Sets how long the client waits for the end of the response.
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
    /// A complete response that belongs to the request.
    Complete,
    /// The fleet refused the request: any status but 2xx.
    Refused,
    /// A response that began and is not complete.
    Truncated,
    /// A response with the content of another request.
    Foreign,
    /// No response, because the connection failed; holds the error.
    NoAnswer(String),
    /// The response was not complete before the client's timeout.
    TimedOut,
}

/// The result of a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// How the call ended.
    pub end: End,
    /// The HTTP status; 0 if there was no response.
    pub status: u16,
    /// The header `x-request-id`; empty if absent.
    pub request_id: String,
    /// The header `x-outcome`; empty if absent.
    pub outcome: String,
    /// The reason for a refusal, the field `type` of the body's `error`; empty if absent.
    pub reason: String,
    /// The header `retry-after`.
    pub retry_after: Option<String>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
    /// Events of a stream, without the closing one.
    pub events: u32,
    /// Time from the start of the call to the first byte of the body; `None` if none was received.
    pub first_byte: Option<Duration>,
    /// Time from the start of the call to its end.
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

    /// Returns whether the response is complete and belongs to the request.
    pub fn is_complete(&self) -> bool {
        self.end == End::Complete
    }

    /// Returns whether the fleet refused the request and states that it did not run.
    pub fn is_not_run(&self) -> bool {
        self.end == End::Refused && self.outcome == "not-run"
    }
}

/// A client with one connection that it keeps open between calls.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    /// Returns a client of this address, which connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Returns the address that it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether it holds a connection that is reused for the next call.
    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    /// Sends a call and reads its response to the end. The call is never retried.
    pub async fn send(&mut self, call: &Call) -> Reply {
        let start = Instant::now();
        let mut reply = Reply::new();
        let end = timeout(call.timeout, self.exchange(call, start, &mut reply)).await;
        reply.end = end.unwrap_or(End::TimedOut);
        reply.total = start.elapsed();
        if !matches!(reply.end, End::Complete | End::Refused) {
            self.stream = None;
        }
        reply
    }

    async fn exchange(&mut self, call: &Call, start: Instant, reply: &mut Reply) -> End {
        let response = match self.start_exchange(call).await {
            Ok(response) => response,
            Err(err) => return End::NoAnswer(err.to_string()),
        };
        reply.status = response.status().into();
        reply.request_id = header(&response, "x-request-id").unwrap_or_default();
        reply.outcome = header(&response, "x-outcome").unwrap_or_default();
        reply.retry_after = header(&response, "retry-after");
        let closes_connection = header(&response, "connection").is_some_and(|it| it == "close");
        let is_complete = read_body(response, start, reply).await;
        if closes_connection {
            self.stream = None;
        }
        if !is_complete {
            return End::Truncated;
        }
        classify(call, reply)
    }

    async fn start_exchange(&mut self, call: &Call) -> http_types::Result<Response> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect(self.address).await?,
        };
        stream.set_nodelay(true)?;
        self.stream = Some(stream.clone());
        async_h1::client::connect(stream, call.request(self.address)?).await
    }
}

/// Reads a body and returns whether it is complete by HTTP's rules.
async fn read_body(mut response: Response, start: Instant, reply: &mut Reply) -> bool {
    let length = response.len();
    let mut buf = vec![0; BUF_BYTES];
    loop {
        match timeout(DECODER_POLL, response.read(&mut buf)).await {
            None => {}
            Some(Ok(0)) => break,
            Some(Ok(n)) => {
                reply.first_byte.get_or_insert_with(|| start.elapsed());
                reply.body.extend_from_slice(&buf[..n]);
            }
            Some(Err(_)) => return false,
        }
    }
    // The decoder reports no error for a body shorter than the content length.
    length.is_none_or(|it| it == reply.body.len())
}

/// Classifies a response whose body is complete by HTTP's rules, and reads the reason for a
/// refusal.
fn classify(call: &Call, reply: &mut Reply) -> End {
    if !(200..300).contains(&reply.status) {
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        reply.reason = body["error"]["type"].as_str().unwrap_or_default().to_owned();
        return End::Refused;
    }
    let nonce = call.nonce.as_deref();
    if call.body["stream"] == true {
        return classify_stream(nonce, reply);
    }
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
    if nonce.is_some_and(|it| body["nonce"] != it) { End::Foreign } else { End::Complete }
}

fn classify_stream(nonce: Option<&str>, reply: &mut Reply) -> End {
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
        // A gap or a repeated event counts as truncated.
        if event["index"] != reply.events {
            return End::Truncated;
        }
        reply.events += 1;
    }
    if done { End::Complete } else { End::Truncated }
}

fn header(response: &Response, name: &str) -> Option<String> {
    response.header(name).map(|it| it.last().as_str().to_owned())
}

/// Sends raw bytes and returns what is received until the peer closes the connection or `limit` has
/// passed.
pub async fn exchange_raw(
    address: SocketAddr,
    bytes: &[u8],
    limit: Duration,
) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let mut response = Vec::new();
    let exchange = async {
        stream.write_all(bytes).await?;
        let mut buf = vec![0; BUF_BYTES];
        loop {
            let n = stream.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            response.extend_from_slice(&buf[..n]);
        }
    };
    match timeout(limit, exchange).await {
        Some(Err(err)) => Err(err),
        _ => Ok(response),
    }
}
