//! The check of settings.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use super::document;
use crate::{Findings, Ownership, Place, Platform, Settings};

/// Heartbeat intervals that must fit into a lease, so that one lost heartbeat does not end it.
const MIN_HEARTBEATS_PER_LEASE: u64 = 2;

document!(Settings, check_consistency);

fn check_consistency(doc: &Value, out: &mut Findings) {
    check_listeners(doc, out);
    check_seeds(doc, out);
    let platform: Option<Platform> = parse_field(doc, "platform");
    if let Some(platform) = &platform {
        check_platform(platform, out);
    }
    let ownership = match doc.get("ownership") {
        Some(_) => parse_field(doc, "ownership"),
        None => Some(Ownership::default()),
    };
    if let Some(ownership) = &ownership {
        check_ownership(ownership, out);
    }
    if let (Some(platform), Some(ownership)) = (&platform, &ownership) {
        check_watch_time(platform, ownership, out);
    }
}

fn parse_field<'a, T: Deserialize<'a>>(doc: &'a Value, name: &str) -> Option<T> {
    T::deserialize(doc.get(name)?).ok()
}

fn check_listeners(doc: &Value, out: &mut Findings) {
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    for name in ["listen", "peer_listen", "admin_listen"] {
        let Some(address) = parse_field::<SocketAddr>(doc, name) else { continue };
        if let Some((first, _)) = seen.iter().find(|(_, other)| conflict(*other, address)) {
            out.error(Place::root().field(name), format!("/{first} has the same address"));
        }
        seen.push((name, address));
    }
}

/// Returns whether one process cannot listen on both addresses. Port 0 means any free port.
fn conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}

fn check_seeds(doc: &Value, out: &mut Findings) {
    let seeds: Vec<SocketAddr> = parse_field(doc, "seeds").unwrap_or_default();
    let own: Option<SocketAddr> = parse_field(doc, "peer_listen");
    let place = Place::root().field("seeds");
    for (i, seed) in seeds.iter().enumerate() {
        check_port(*seed, place.index(i), out);
        if let Some(first) = seeds[..i].iter().position(|other| other == seed) {
            out.error(place.index(i), format!("{} has the same address", place.index(first)));
        }
        if own == Some(*seed) {
            out.warning(place.index(i), "is the peer_listen of this process");
        }
    }
}

fn check_platform(platform: &Platform, out: &mut Findings) {
    let place = Place::root().field("platform");
    check_port(platform.config, place.field("config"), out);
    check_port(platform.instances, place.field("instances"), out);
    let same_path = platform.config_path == platform.instances_path;
    if same_path && platform.config == platform.instances {
        let message = "/platform/config_path has the same address and path";
        out.error(place.field("instances_path"), message);
    }
}

fn check_ownership(ownership: &Ownership, out: &mut Findings) {
    let place = Place::root().field("ownership");
    if ownership.heartbeat_ms.saturating_mul(MIN_HEARTBEATS_PER_LEASE) > ownership.lease_ms {
        let message = format!("is more than lease_ms / {MIN_HEARTBEATS_PER_LEASE}");
        out.error(place.field("heartbeat_ms"), message);
    }
    if ownership.margin_ms >= ownership.lease_ms {
        out.error(place.field("margin_ms"), "is not less than lease_ms");
    }
    if ownership.spread_ms < ownership.heartbeat_ms {
        out.error(place.field("spread_ms"), "is less than heartbeat_ms");
    }
}

fn check_watch_time(platform: &Platform, ownership: &Ownership, out: &mut Findings) {
    if platform.watch_ms >= ownership.lease_ms {
        let message = "is not less than lease_ms: unchanged lists do not renew the lease in time";
        out.warning(Place::root().field("platform").field("watch_ms"), message);
    }
}

fn check_port(address: SocketAddr, place: Place, out: &mut Findings) {
    if address.port() == 0 {
        out.error(place, "has port 0, to which nothing can connect");
    }
}
