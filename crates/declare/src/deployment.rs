//! Two complete fleets: a collections desk and a group of kitchens.

mod adwoa;
mod alfombras;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub use adwoa::adwoa;
pub use alfombras::alfombras;

use crate::{Account, Engine, Server};

// The most attempts at a time of model engines and of servers of plain services.
const ENGINE_LIMIT: u32 = 8;
const ENGINE_COLD_LIMIT: u32 = 2;
const SERVICE_LIMIT: u32 = 32;
const SERVICE_COLD_LIMIT: u32 = 4;
/// The port of all addresses in [`Site::example`].
const EXAMPLE_PORT: u16 = 8_000;

/// What differs between installations of a deployment: the addresses of its backend servers and
/// the keys of its accounts.
#[derive(Clone, Debug, Default)]
#[must_use]
pub struct Site {
    /// The version of the configuration.
    pub version: u64,
    /// The addresses of the model runners, of which one is declared per address. They are assigned
    /// to the availability zones in turn.
    pub runners: Vec<SocketAddr>,
    /// The addresses of the plain service's servers, declared and assigned likewise.
    pub services: Vec<SocketAddr>,
    /// The accounts' keys in the order of the accounts. Accounts beyond them have no key.
    pub keys: Vec<String>,
}

impl Site {
    /// Returns a site with placeholders for addresses and keys.
    pub fn example(runners: u8, services: u8, accounts: usize) -> Self {
        Self {
            version: 1,
            runners: addresses(1, runners),
            services: addresses(2, services),
            keys: (1..=accounts).map(|i| format!("example-key-{i}")).collect(),
        }
    }

    fn runners<'a>(
        &'a self,
        pool: &'a str,
        zones: &'a [&str],
    ) -> impl Iterator<Item = Server> + 'a {
        spread("runner", &self.runners, zones).map(move |server| {
            server
                .pool(pool)
                .limit(ENGINE_LIMIT)
                .cold_limit(ENGINE_COLD_LIMIT)
                .engine(Engine::new().resumes().fenced().model(pool))
        })
    }

    fn services<'a>(
        &'a self,
        pool: &'a str,
        zones: &'a [&str],
    ) -> impl Iterator<Item = Server> + 'a {
        spread(pool, &self.services, zones).map(move |server| {
            server.pool(pool).limit(SERVICE_LIMIT).cold_limit(SERVICE_COLD_LIMIT)
        })
    }

    fn accounts<'a>(&'a self, quotas: &'a [Quota]) -> impl Iterator<Item = Account> + 'a {
        quotas.iter().enumerate().map(|(i, quota)| {
            let account = Account::new(quota.name).rate(quota.rate).burst(quota.burst);
            match self.keys.get(i) {
                Some(key) => account.key(key),
                None => account,
            }
        })
    }
}

/// The name and the limits of a client account: attempts per second, and at once after a pause.
struct Quota {
    name: &'static str,
    rate: f64,
    burst: u32,
}

impl Quota {
    const fn new(name: &'static str, rate: f64, burst: u32) -> Self {
        Self { name, rate, burst }
    }
}

/// Declares a server for each address, in the zones in turn.
fn spread<'a>(
    prefix: &'a str,
    addresses: &'a [SocketAddr],
    zones: &'a [&str],
) -> impl Iterator<Item = Server> + 'a {
    addresses.iter().zip(zones.iter().cycle()).enumerate().map(move |(i, (address, zone))| {
        Server::new(format!("{prefix}-{}", i + 1), *address).zone(*zone)
    })
}

fn addresses(net: u8, count: u8) -> Vec<SocketAddr> {
    let hosts = (1..=count).map(|host| IpAddr::V4(Ipv4Addr::new(10, 0, net, host)));
    hosts.map(|ip| SocketAddr::new(ip, EXAMPLE_PORT)).collect()
}
