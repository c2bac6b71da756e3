//! Ports for processes that are told their address before they listen.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// The first port; all lie below those that the system gives to outgoing connections.
const FIRST: u32 = 10_000;
const COUNT: u32 = 22_000;
/// Test binaries that run side by side start this far from each other.
const STRIDE: u32 = 397;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port nobody uses now.
pub fn free_port() -> SocketAddr {
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = process::id().wrapping_mul(STRIDE).wrapping_add(step) % COUNT;
        let port = u16::try_from(FIRST + offset).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
