//! The load of the whole fleet at each server.

use gossip::{
    LoadByRank, LoadMessage, LoadSum, PoolTag, ServerSum, ServerTag, SpeedEvidence, TotalLoad,
};
use model::prelude::*;

use crate::{Effect, Server, state::State};

impl State {
    /// Returns whether this instance is told the sum of all loads, so that packets need not tell
    /// their parts.
    pub(crate) fn knows_fleet_loads(&self) -> bool {
        self.knows_fleet_loads
    }

    /// Updates [`State::knows_fleet_loads`]. Called once in each step, as it counts the members.
    pub(crate) fn update_knowledge(&mut self, now: Time) {
        self.knows_fleet_loads =
            self.members.is_large() && self.fleet_loads.is_known(now, self.members.alive_count());
    }

    /// Returns the load that other instances put on a server; `None` if there is none.
    pub(crate) fn others_load(&self, server: &Server) -> Option<&LoadByRank> {
        let tag = ServerTag::from(server.id);
        if self.knows_fleet_loads() {
            self.fleet_loads.others(tag)
        } else {
            self.loads.by_rank(tag)
        }
    }

    /// Tells the sum of loads to the neighbours in the broadcast tree, if it is due.
    pub(crate) fn tell_loads(&mut self, now: Time) {
        if !self.members.is_large() || now < self.fleet_loads.next_wake() {
            return;
        }
        let own = self.own_load_sum(now);
        let alive = self.members.alive_count();
        let parent = self.upstream.parent();
        for outgoing in self.fleet_loads.tick(now, parent, alive, own) {
            self.emit(Effect::SendLoads(outgoing));
        }
    }

    /// Handles a sum of loads of another instance.
    pub(crate) fn loads_message(&mut self, now: Time, message: LoadMessage) {
        let alive = self.members.alive_count();
        let parent = self.upstream.parent();
        for outgoing in self.fleet_loads.receive(now, message, parent, alive) {
            self.emit(Effect::SendLoads(outgoing));
        }
    }

    /// Returns what this instance puts on the servers, what it knows of their speed, and what its
    /// accounts ask for.
    fn own_load_sum(&mut self, now: Time) -> LoadSum {
        let uses = self.account_shares.uses(now);
        let servers = self.servers.iter().map(|it| it.1);
        let sums = servers.filter_map(|server| {
            let speed = server.reading.evidence(now);
            let is_idle = server.load.total() == TotalLoad::default();
            let is_told = !is_idle || speed != SpeedEvidence::default();
            is_told.then(|| ServerSum::new(server.id.into(), server.load.iter(), speed))
        });
        let pools = self.demand.iter().map(|it| it.1.pool_use(now, PoolTag::from(*it.0)));
        let pools = pools.filter(|it| !it.is_idle());
        LoadSum::of_member(sums, uses.into_iter(), pools)
    }
}
