//! The configuration of a fleet.

use config::{Config, Findings, ServerState, ZoneState};

use crate::{Account, Class, Pool, Route, Server, Zone};

/// A builder of a configuration.
#[derive(Clone, Debug, Default)]
#[must_use]
pub struct Fleet {
    config: Config,
}

impl Fleet {
    /// Starts an empty configuration. Its version must be higher than that of the current one.
    pub fn new(version: u64) -> Self {
        Self { config: Config { version, ..Config::default() } }
    }

    /// Changes the version.
    pub fn version(mut self, version: u64) -> Self {
        self.config.version = version;
        self
    }

    /// Adds an availability zone.
    pub fn zone(mut self, zone: Zone) -> Self {
        self.config.zones.push(zone.into_config());
        self
    }

    /// Adds a class of requests.
    pub fn class(mut self, class: Class) -> Self {
        self.config.classes.push(class.into_config());
        self
    }

    /// Adds a client account.
    pub fn account(mut self, account: Account) -> Self {
        self.config.accounts.push(account.into_config());
        self
    }

    /// Adds client accounts.
    pub fn accounts(self, accounts: impl IntoIterator<Item = Account>) -> Self {
        accounts.into_iter().fold(self, Self::account)
    }

    /// Adds a pool of backend servers.
    pub fn pool(mut self, pool: Pool) -> Self {
        self.config.pools.push(pool.into_config());
        self
    }

    /// Adds a backend server.
    pub fn server(mut self, server: Server) -> Self {
        self.config.servers.push(server.into_config());
        self
    }

    /// Adds backend servers.
    pub fn servers(self, servers: impl IntoIterator<Item = Server>) -> Self {
        servers.into_iter().fold(self, Self::server)
    }

    /// Adds a route.
    pub fn route(mut self, route: Route) -> Self {
        self.config.routes.push(route.into_config());
        self
    }

    /// Changes the state of the availability zone with this name; does nothing if there is none.
    pub fn zone_state(mut self, name: &str, state: ZoneState) -> Self {
        for zone in self.config.zones.iter_mut().filter(|zone| zone.name == name) {
            zone.state = state;
        }
        self
    }

    /// Changes the state of the backend server with this name; does nothing if there is none.
    pub fn server_state(mut self, name: &str, state: ServerState) -> Self {
        for server in self.config.servers.iter_mut().filter(|server| server.name == name) {
            server.state = state;
        }
        self
    }

    /// Revokes all keys of the client account with this name; does nothing if there is none.
    pub fn without_keys(mut self, name: &str) -> Self {
        for account in self.config.accounts.iter_mut().filter(|account| account.name == name) {
            account.key_hashes.clear();
        }
        self
    }

    /// Returns the JSON document to publish, or the findings if the check rejects it.
    pub fn publish(&self) -> Result<String, Findings> {
        let text = self.to_json();
        Config::parse(&text)?;
        Ok(text)
    }

    /// Returns the errors and warnings of the check.
    pub fn findings(&self) -> Findings {
        Config::check(&self.to_json()).findings
    }

    fn to_json(&self) -> String {
        // A configuration has only fields that JSON can represent. The check would reject an empty
        // text.
        serde_json::to_string_pretty(&self.config).unwrap_or_default()
    }
}
