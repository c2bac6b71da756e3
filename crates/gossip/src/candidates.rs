//! The members that an instance may follow in the broadcast tree.

use std::{collections::BTreeMap, net::SocketAddrV4};

use crate::{
    ZoneTag,
    peer::{Peer, available, order_hash},
};

/// The alive members that are not leaving and precede an instance in the order of the tree.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Candidates {
    /// All of them, in the order.
    pub all: Vec<SocketAddrV4>,
    /// Those in the instance's zone, in the order; `None` while the zones of most members are
    /// unknown.
    pub own_zone: Option<Vec<SocketAddrV4>>,
}

impl Candidates {
    /// Returns those for the instance at `own` in `zone`.
    pub(crate) fn new(
        own: SocketAddrV4,
        zone: Option<ZoneTag>,
        peers: &BTreeMap<SocketAddrV4, Peer>,
    ) -> Self {
        let own = order_hash(&own);
        let ordered = available(peers).map(|it| (order_hash(&it), it));
        let mut ordered: Vec<_> = ordered.filter(|it| it.0 < own).collect();
        ordered.sort_unstable();
        let all: Vec<_> = ordered.into_iter().map(|it| it.1).collect();
        let known = peers.values().filter(|it| it.zone.is_some()).count();
        let zone = zone.filter(|_| known * 2 > peers.len());
        let is_near = |address: &SocketAddrV4| peers.get(address).is_some_and(|it| it.zone == zone);
        let own_zone = zone.map(|_| all.iter().copied().filter(is_near).collect());
        Self { all, own_zone }
    }
}
