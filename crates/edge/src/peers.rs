//! Gossip packets from other instances.

use std::rc::Rc;

use dispatch::Event;
use gossip::{Datagram, MAX_PACKET_BYTES};

use crate::Instance;

/// Receives packets for as long as the process runs.
pub(crate) async fn receive(instance: Rc<Instance>) {
    let mut buf = vec![0; 2 * MAX_PACKET_BYTES];
    loop {
        match instance.socket().recv_from(&mut buf).await {
            Ok((len, from)) => match Datagram::decode(&buf[..len]) {
                Ok(Datagram::Packet(packet)) => instance.handle_event(Event::Packet(packet)),
                Ok(Datagram::Tree(message)) => instance.handle_event(Event::Tree(message)),
                Ok(Datagram::Loads(message)) => instance.handle_event(Event::Loads(message)),
                Ok(Datagram::Origins(message)) => instance.handle_event(Event::Origins(message)),
                Err(err) => log::debug!(from:%; "ignored a packet that cannot be decoded: {err}"),
            },
            // The error may concern a packet that was sent earlier and could not be delivered.
            Err(err) => log::debug!("cannot receive packets: {err}"),
        }
    }
}
