//! Packets of other instances.

use std::rc::Rc;

use dispatch::Event;
use gossip::{MAX_PACKET_BYTES, Packet};

use crate::Instance;

/// Takes packets for as long as the process runs.
pub(crate) async fn receive(instance: Rc<Instance>) {
    let mut buf = vec![0; 2 * MAX_PACKET_BYTES];
    loop {
        match instance.socket().recv_from(&mut buf).await {
            Ok((len, from)) => match Packet::decode(&buf[..len]) {
                Ok(packet) => instance.handle_event(Event::Packet(packet)),
                Err(err) => log::debug!(from:%; "packet ignored: {err}"),
            },
            // An earlier packet could not be delivered.
            Err(err) => log::debug!("cannot receive packets: {err}"),
        }
    }
}
