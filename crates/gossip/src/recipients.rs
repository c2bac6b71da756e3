//! Which peers get a round of packets.

use std::{collections::BTreeMap, net::SocketAddrV4};

use rand::seq::IteratorRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::{ZoneTag, peer::Peer};

/// Up to this many peers, every alive peer gets every packet. In a larger fleet a random sample of
/// [`FANOUT`] peers does.
pub(crate) const FULL_MESH_PEERS: usize = 12;
/// Peers that get a packet in a larger fleet. With rounds 400 ms apart and packets of 300 bytes, an
/// instance sends less than 10 KB/s.
const FANOUT: usize = 8;
/// Peers in other zones among them, if the own zone has enough members for the rest. Bytes between
/// zones are billed.
const BRIDGES: usize = 2;

/// Chooses the alive peers that get a packet of an instance in `zone`. In a large fleet most of them
/// are in the same zone. All choices are made anew in each round, so news that one round does not
/// bring to another zone comes with a later one.
pub(crate) fn choose(
    zone: Option<ZoneTag>,
    peers: &BTreeMap<SocketAddrV4, Peer>,
    rng: &mut ChaCha8Rng,
) -> Vec<SocketAddrV4> {
    let alive = peers.iter().filter(|it| !it.1.is_dead);
    if peers.len() <= FULL_MESH_PEERS {
        return alive.map(|it| *it.0).collect();
    }
    // A peer of unknown zone counts as one of another zone.
    let (near, far): (Vec<_>, Vec<_>) = alive.partition(|it| zone.is_some() && it.1.zone == zone);
    let bridges = FANOUT.saturating_sub(near.len()).max(BRIDGES).min(far.len());
    let mut to = near.into_iter().map(|it| *it.0).sample(rng, FANOUT - bridges);
    to.extend(far.into_iter().map(|it| *it.0).sample(rng, bridges));
    to
}
