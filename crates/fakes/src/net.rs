//! The network between daemons, with a fault-injecting proxy on every link.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    time::Duration,
};

use config::Instance;

use crate::{Direction, Platform, Proxy};

/// The network between daemons: one fault-injecting proxy for each ordered pair of daemons, and one
/// between each daemon and the platform.
pub struct Net {
    links: BTreeMap<Link, Proxy>,
    platform: BTreeMap<String, Proxy>,
    zones: HashMap<String, String>,
}

/// A link between two daemons; `from` is the one that connects.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct Link {
    from: String,
    to: String,
}

impl Net {
    /// Starts the proxies, and has the platform report their addresses to each daemon instead of
    /// the peers' own.
    pub fn start(instances: &[Instance], platform: &Platform) -> io::Result<Self> {
        let mut net =
            Self { links: BTreeMap::new(), platform: BTreeMap::new(), zones: HashMap::new() };
        for from in instances {
            net.zones.insert(from.name.clone(), from.zone.clone());
            net.platform.insert(from.name.clone(), Proxy::start(platform.address())?);
            let mut peers = HashMap::new();
            for to in instances.iter().filter(|to| to.name != from.name) {
                let proxy = Proxy::start(to.peer)?;
                peers.insert(to.name.clone(), proxy.address());
                net.links.insert(Link { from: from.name.clone(), to: to.name.clone() }, proxy);
            }
            platform.set_peer_addresses(&from.name, peers);
        }
        Ok(net)
    }

    /// Returns the address of the proxy between a daemon and the platform; `None` for an unknown
    /// daemon.
    pub fn platform_address(&self, daemon: &str) -> Option<SocketAddr> {
        self.platform.get(daemon).map(Proxy::address)
    }

    /// Cuts the links between two daemons, in both directions.
    pub fn cut(&self, a: &str, b: &str) {
        for proxy in self.links_between(a, b) {
            proxy.cut();
        }
    }

    /// Holds back every byte that `from` sends to `to`, regardless of which one connected.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        for (link, proxy) in &self.links {
            if link.from == from && link.to == to {
                proxy.cut_one_way(Direction::Forward);
            } else if link.from == to && link.to == from {
                proxy.cut_one_way(Direction::Back);
            }
        }
    }

    /// Cuts a daemon off from all others; it still reaches the platform.
    pub fn isolate(&self, daemon: &str) {
        for (link, proxy) in &self.links {
            if link.from == daemon || link.to == daemon {
                proxy.cut();
            }
        }
    }

    /// Cuts a zone's daemons off from those of other zones; they still reach the platform.
    pub fn cut_zone(&self, zone: &str) {
        for (link, proxy) in &self.links {
            if (self.zone(&link.from) == Some(zone)) != (self.zone(&link.to) == Some(zone)) {
                proxy.cut();
            }
        }
    }

    /// Cuts a daemon off from the platform.
    pub fn cut_platform(&self, daemon: &str) {
        if let Some(proxy) = self.platform.get(daemon) {
            proxy.cut();
        }
    }

    /// Delays all bytes between daemons: by `within` inside a zone, by `between` across zones.
    pub fn delay(&self, within: Duration, between: Duration) {
        for (link, proxy) in &self.links {
            let is_same_zone = self.zone(&link.from) == self.zone(&link.to);
            proxy.delay(if is_same_zone { within } else { between });
        }
    }

    /// Returns the proxy that `from` uses to connect to `to`.
    pub fn link(&self, from: &str, to: &str) -> Option<&Proxy> {
        self.links.get(&Link { from: from.to_owned(), to: to.to_owned() })
    }

    /// Ends all faults, including delays.
    pub fn heal(&self) -> io::Result<()> {
        self.links.values().chain(self.platform.values()).try_for_each(Proxy::heal)
    }

    fn links_between(&self, a: &str, b: &str) -> impl Iterator<Item = &Proxy> {
        [self.link(a, b), self.link(b, a)].into_iter().flatten()
    }

    fn zone(&self, daemon: &str) -> Option<&str> {
        self.zones.get(daemon).map(String::as_str)
    }
}
