//! Ports for processes whose address must be known before they listen.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// The lowest port. The whole range lies below the system's ephemeral ports, so that no outgoing
/// connection takes one.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;
/// Distance between the first ports of processes with consecutive ids, so that test binaries that
/// run at the same time try different ports.
const PROCESS_STRIDE: u32 = 397;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port was free at the time of the call; it is not reserved.
pub fn free_port() -> SocketAddr {
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = process::id().wrapping_mul(PROCESS_STRIDE).wrapping_add(step) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
