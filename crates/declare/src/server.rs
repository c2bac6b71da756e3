//! Backend servers.

use std::net::SocketAddr;

use config::{Order, OrderKind, ServerState};

/// A backend server, which runs attempts for the requests of one pool.
#[derive(Clone, Debug)]
#[must_use]
pub struct Server(config::Server);

impl Server {
    /// Declares a server that receives requests. [`Self::zone`], [`Self::pool`], [`Self::limit`]
    /// and [`Self::cold_limit`] must be set.
    pub fn new(name: impl Into<String>, address: SocketAddr) -> Self {
        Self(config::Server {
            name: name.into(),
            zone: String::new(),
            pool: String::new(),
            address,
            limit: 0,
            cold_limit: 0,
            state: ServerState::In,
            engine: None,
        })
    }

    /// Sets the availability zone.
    pub fn zone(mut self, zone: impl Into<String>) -> Self {
        self.0.zone = zone.into();
        self
    }

    /// Sets the pool.
    pub fn pool(mut self, pool: impl Into<String>) -> Self {
        self.0.pool = pool.into();
        self
    }

    /// Sets the most attempts that it runs at a time.
    pub fn limit(mut self, limit: u32) -> Self {
        self.0.limit = limit;
        self
    }

    /// Sets the most attempts that it runs at a time right after its start, while it is cold.
    pub fn cold_limit(mut self, limit: u32) -> Self {
        self.0.cold_limit = limit;
        self
    }

    /// Sets whether it receives new requests.
    pub fn state(mut self, state: ServerState) -> Self {
        self.0.state = state;
        self
    }

    /// Sets the properties of a model engine.
    pub fn engine(mut self, engine: Engine) -> Self {
        self.0.engine = Some(engine.into_config());
        self
    }

    pub(crate) fn into_config(self) -> config::Server {
        self.0
    }
}

/// The properties of a model engine.
#[derive(Clone, Debug, Default)]
#[must_use]
pub struct Engine(config::Engine);

impl Engine {
    /// Declares an engine that neither resumes streams nor checks fencing tokens, without orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Declares that it can continue an interrupted stream after the last event that was received.
    pub fn resumes(mut self) -> Self {
        self.0.resumes = true;
        self
    }

    /// Declares that it rejects orders whose fencing token is lower than that of an earlier order.
    pub fn fenced(mut self) -> Self {
        self.0.fenced = true;
        self
    }

    /// Orders it to load a model.
    pub fn model(self, name: impl Into<String>) -> Self {
        self.order(OrderKind::Model, name)
    }

    /// Orders it to load an adapter.
    pub fn adapter(self, name: impl Into<String>) -> Self {
        self.order(OrderKind::Adapter, name)
    }

    /// Orders it to change to a version of its model.
    pub fn model_version(self, name: impl Into<String>) -> Self {
        self.order(OrderKind::Version, name)
    }

    /// Orders it to take a role.
    pub fn role(self, name: impl Into<String>) -> Self {
        self.order(OrderKind::Role, name)
    }

    fn order(mut self, kind: OrderKind, name: impl Into<String>) -> Self {
        self.0.orders.push(Order { kind, name: name.into() });
        self
    }

    fn into_config(self) -> config::Engine {
        self.0
    }
}
