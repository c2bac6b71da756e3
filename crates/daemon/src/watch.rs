//! Reads the load of backend servers and sends orders to engines.

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
    Traffic, deadline,
    http::{Client, ExchangeError},
};

/// Time between two reads of a backend server's load.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a backend server to report its load.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for an engine to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the load of backend servers and sends orders to engines, as the control state asks.
///
/// Whatever runs here ends when the watcher is dropped.
#[derive(Debug)]
pub struct Watcher {
    cx: Traffic,
    polls: HashMap<ServerId, Task<()>>,
    orders: HashMap<ServerId, Task<()>>,
}

impl Watcher {
    /// Makes a watcher that watches nothing yet.
    pub fn new(cx: Traffic) -> Self {
        Self { cx, polls: HashMap::new(), orders: HashMap::new() }
    }

    /// Reads a backend server's load again and again.
    pub fn watch(&mut self, server: ServerId, address: SocketAddr) {
        let poll = poll(self.cx.clone(), server, address);
        self.polls.insert(server, self.cx.pool.spawn(poll));
    }

    /// Stops to read a backend server's load.
    pub fn unwatch(&mut self, server: ServerId) {
        self.polls.remove(&server);
    }

    /// Sends orders to an engine; orders to it that were not answered yet are cancelled.
    pub fn order(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        fence: Version,
        orders: Vec<Order>,
    ) {
        let send = send_orders(self.cx.clone(), server, address, OrderBody { fence, orders });
        self.orders.retain(|_, task| !task.is_finished());
        self.orders.insert(server, self.cx.pool.spawn(send));
    }
}

/// Reads a server's load over connections that are kept open, so that a restart of the server
/// shows at once.
async fn poll(cx: Traffic, server: ServerId, address: SocketAddr) {
    loop {
        let started = cx.clock.now();
        let report = |report| cx.link.event(Event::Load { server, report });
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
    cx: &Traffic,
    mut client: Client,
    address: SocketAddr,
    report: &impl Fn(Result<LoadReport, LoadError>),
) -> LoadError {
    loop {
        let next = cx.clock.now() + POLL_INTERVAL;
        let reading = read_load(&mut client, address);
        match reading.or(timed_out(POLL_TIMEOUT)).await {
            Ok(load) => report(Ok(load)),
            Err(error) => return error,
        }
        if deadline::until(cx.clock, next, client.closed()).await.is_some() {
            return LoadError::Disconnected;
        }
    }
}

async fn timed_out<T>(span: Duration) -> Result<T, LoadError> {
    Timer::after(span).await;
    Err(LoadError::TimedOut)
}

async fn read_load(client: &mut Client, address: SocketAddr) -> Result<LoadReport, LoadError> {
    let url = url(address, "/load").ok_or(LoadError::Malformed)?;
    let reply = client.exchange(Request::new(Method::Get, url)).await.map_err(|err| {
        if err.is_malformed() { LoadError::Malformed } else { LoadError::Disconnected }
    })?;
    if reply.res.status() != StatusCode::Ok {
        return Err(LoadError::Malformed);
    }
    serde_json::from_slice(&reply.body).map_err(|_| LoadError::Malformed)
}

/// Orders as the engine gets them.
#[derive(Serialize)]
struct OrderBody {
    fence: Version,
    orders: Vec<Order>,
}

async fn send_orders(cx: Traffic, server: ServerId, address: SocketAddr, body: OrderBody) {
    let fence = body.fence;
    let by = cx.clock.now() + ORDER_TIMEOUT;
    let response = deadline::until(cx.clock, by, post_orders(address, &body)).await;
    let accepted = matches!(&response, Some(Ok(res)) if res.status().is_success());
    if !accepted {
        log::info!("backend server {server} did not take the orders of version {fence}");
    }
    cx.link.event(Event::OrderAnswered { server, fence, accepted });
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
