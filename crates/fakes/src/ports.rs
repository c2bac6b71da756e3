//! Ports for processes whose address must be known before they listen.

use std::{
    collections::{HashSet, VecDeque},
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::{Mutex, PoisonError},
};

/// The lowest port. The whole range lies below the system's ephemeral ports, so that no outgoing
/// connection takes one.
const FIRST_PORT: u16 = 10_000;
/// Ports are reserved in blocks of this many.
const BLOCK_LEN: u16 = 200;
const BLOCK_COUNT: u16 = 110;

/// The tables of the system that list sockets and their ports.
const SOCKET_TABLES: [&str; 4] =
    ["/proc/net/tcp", "/proc/net/tcp6", "/proc/net/udp", "/proc/net/udp6"];

static RESERVED: Mutex<Reserved> =
    Mutex::new(Reserved { blocks: VecDeque::new(), ports: Vec::new() });

/// The blocks of ports that this process has reserved.
struct Reserved {
    /// Listeners at the first port of each block, which keep other processes from reserving it. The
    /// current block is the last one.
    blocks: VecDeque<TcpListener>,
    /// The ports of the current block that are not given yet, the next one last.
    ports: Vec<u16>,
}

impl Reserved {
    fn next(&mut self) -> Option<u16> {
        while self.ports.is_empty() {
            match reserve_block() {
                Some(listener) => self.blocks.push_back(listener),
                // All blocks are taken, so this process uses its own ones again.
                None => self.blocks.rotate_left(1.min(self.blocks.len())),
            }
            let first = self.blocks.back()?.local_addr().ok()?.port();
            let taken = taken_ports();
            let ports = (first + 1..first + BLOCK_LEN).rev();
            self.ports = ports.filter(|port| !taken.contains(port)).collect();
        }
        self.ports.pop()
    }
}

/// Returns a loopback address whose port no socket has, for TCP or UDP. No other process that takes
/// its ports from here is given the same one, nor is a later call soon.
///
/// # Panics
///
/// Panics if other processes have taken all ports.
pub fn free_port() -> SocketAddr {
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    let port = reserved.next().expect("a free port");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns the ports that sockets have. The ports are not tried: a process that another thread starts
/// meanwhile would hold the socket until it runs its program.
fn taken_ports() -> HashSet<u16> {
    let tables: Vec<_> =
        SOCKET_TABLES.iter().filter_map(|path| fs::read_to_string(path).ok()).collect();
    let lines = tables.iter().flat_map(|table| table.lines());
    let locals = lines.filter_map(|line| line.split_whitespace().nth(1));
    let ports = locals.filter_map(|local| local.rsplit_once(':'));
    ports.filter_map(|(_, port)| u16::from_str_radix(port, 16).ok()).collect()
}

/// Reserves a block by listening at its first port. Processes begin at different blocks.
fn reserve_block() -> Option<TcpListener> {
    let count = u32::from(BLOCK_COUNT);
    let blocks = (0..count).map(|step| process::id().wrapping_add(step) % count);
    let ports = blocks.filter_map(|block| u16::try_from(block).ok().map(|it| it * BLOCK_LEN));
    ports.filter_map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, FIRST_PORT + port)).ok()).next()
}
