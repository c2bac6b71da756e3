//! Polls the load of backend servers and sends orders to engines.

use std::{collections::HashMap, net::SocketAddr};

use async_executor::Task;
use async_io::Timer;
use config::Order;
use control::{Event, LoadError, LoadReport};
use futures_lite::FutureExt as _;
use http_types::{Method, Request, Response, StatusCode, Url};
use model::prelude::*;
use serde::Serialize;

use crate::{
    Context, deadline,
    http::{Client, ExchangeError},
};

/// Time between the starts of two reads of a backend server's load.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for connecting to a backend server, and for each read of its load.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for an engine to respond to orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Polls the load of backend servers and sends orders to engines, as the reducer requests.
///
/// Dropping the watcher cancels all polls and orders.
#[derive(Debug)]
pub struct Watcher {
    cx: Context,
    polls: HashMap<ServerId, Task<()>>,
    orders: HashMap<ServerId, Task<()>>,
}

impl Watcher {
    /// Creates a watcher without polls.
    pub fn new(cx: Context) -> Self {
        Self { cx, polls: HashMap::new(), orders: HashMap::new() }
    }

    /// Starts to poll a backend server's load.
    pub fn watch(&mut self, server: ServerId, address: SocketAddr) {
        let poll = poll(self.cx.clone(), server, address);
        self.polls.insert(server, self.cx.pool.spawn(poll));
    }

    /// Stops polling a backend server's load.
    pub fn unwatch(&mut self, server: ServerId) {
        self.polls.remove(&server);
    }

    /// Sends orders to an engine. Earlier ones that it has not answered yet are cancelled.
    pub fn send_orders(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        fence: Version,
        orders: Vec<Order>,
    ) {
        let sending = deliver_orders(self.cx.clone(), server, address, OrderBody { fence, orders });
        self.orders.retain(|_, task| !task.is_finished());
        self.orders.insert(server, self.cx.pool.spawn(sending));
    }
}

/// Polls a server's load. The connection is kept open between reads: if the server restarts, it
/// closes, which is reported at once.
async fn poll(cx: Context, server: ServerId, address: SocketAddr) {
    loop {
        let started = cx.clock.now();
        let report = |report| cx.control.send_event(Event::Load { server, report });
        let error = match connect(address).await {
            Ok(client) => poll_connection(&cx, client, address, &report).await,
            Err(error) => error,
        };
        report(Err(error));
        cx.clock.sleep_until(started + POLL_INTERVAL).await;
    }
}

async fn connect(address: SocketAddr) -> Result<Client, LoadError> {
    let connecting = async { Client::connect(address).await.map_err(|_| LoadError::Disconnected) };
    connecting.or(timed_out(POLL_TIMEOUT)).await
}

/// Polls until the connection fails.
async fn poll_connection(
    cx: &Context,
    mut client: Client,
    address: SocketAddr,
    report: &impl Fn(Result<LoadReport, LoadError>),
) -> LoadError {
    loop {
        let next_at = cx.clock.now() + POLL_INTERVAL;
        let reading = read_load(&mut client, address);
        match reading.or(timed_out(POLL_TIMEOUT)).await {
            Ok(load) => report(Ok(load)),
            Err(error) => return error,
        }
        if deadline::until(cx.clock, next_at, client.wait_until_unusable()).await.is_some() {
            return LoadError::Disconnected;
        }
    }
}

async fn timed_out<T>(timeout: Duration) -> Result<T, LoadError> {
    Timer::after(timeout).await;
    Err(LoadError::TimedOut)
}

async fn read_load(client: &mut Client, address: SocketAddr) -> Result<LoadReport, LoadError> {
    let url = url(address, "/load").ok_or(LoadError::Malformed)?;
    let response = client.exchange(Request::new(Method::Get, url)).await.map_err(|err| {
        if err.is_malformed() { LoadError::Malformed } else { LoadError::Disconnected }
    })?;
    if response.res.status() != StatusCode::Ok {
        return Err(LoadError::Malformed);
    }
    serde_json::from_slice(&response.body).map_err(|_| LoadError::Malformed)
}

/// The request body that carries orders to an engine.
#[derive(Serialize)]
struct OrderBody {
    fence: Version,
    orders: Vec<Order>,
}

/// Sends orders and reports whether the engine accepted them.
async fn deliver_orders(cx: Context, server: ServerId, address: SocketAddr, body: OrderBody) {
    let fence = body.fence;
    let by = cx.clock.now() + ORDER_TIMEOUT;
    let response = deadline::until(cx.clock, by, post_orders(address, &body)).await;
    let accepted = matches!(&response, Some(Ok(res)) if res.status().is_success());
    if !accepted {
        log::info!("backend server {server} did not accept the orders of version {fence}");
    }
    cx.control.send_event(Event::OrderAnswered { server, fence, accepted });
}

async fn post_orders(address: SocketAddr, body: &OrderBody) -> Result<Response, ExchangeError> {
    let malformed = || std::io::Error::from(std::io::ErrorKind::InvalidInput);
    let url = url(address, "/orders").ok_or_else(malformed)?;
    let mut req = Request::new(Method::Post, url);
    req.set_body(serde_json::to_vec(body).map_err(|_| malformed())?);
    req.insert_header("content-type", "application/json");
    let mut client = Client::connect(address).await?;
    Ok(client.exchange(req).await?.res)
}

fn url(address: SocketAddr, path: &str) -> Option<Url> {
    Url::parse(&format!("http://{address}{path}")).ok()
}
