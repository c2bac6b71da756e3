//! Gossip packets from other instances.

use std::rc::Rc;

use dispatch::Event;
use gossip::{MAX_PACKET_BYTES, Packet};

use crate::Instance;

/// Receives packets for as long as the process runs.
pub(crate) async fn receive(instance: Rc<Instance>) {
    let mut buf = vec![0; 2 * MAX_PACKET_BYTES];
    loop {
        match instance.socket().recv_from(&mut buf).await {
            Ok((len, from)) => match Packet::decode(&buf[..len]) {
                Ok(packet) => instance.handle_event(Event::Packet(packet)),
                Err(err) => log::debug!(from:%; "ignored a packet that cannot be decoded: {err}"),
            },
            // The error may concern a packet that was sent earlier and could not be delivered.
            Err(err) => log::debug!("cannot receive packets: {err}"),
        }
    }
}
