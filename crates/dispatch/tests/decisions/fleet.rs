//! Fleets in which loads are added up, driven by the tests.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use dispatch::{Catalog, Effect, Event, LogEntry, Setup, State};
use model::prelude::*;
use zones::Crossing;

use crate::support::{Bench, address, setup};

/// Time between two ticks.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Time until all members know each other.
const JOIN_TIME: Duration = Duration::from_secs(10);

/// Instances that reach each other at once, without servers.
pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) members: Vec<Bench>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    /// What the first member logged.
    pub(crate) logged: Vec<LogEntry>,
}

impl Fleet {
    /// Returns a fleet of this many members, by turns in these zones, that has run long enough for all
    /// to know each other.
    pub(crate) fn new(
        size: u8,
        zones: &[&str],
        catalog: &Catalog,
        crossing: Option<Crossing>,
    ) -> Self {
        let now = Time::from_millis(10_000_000);
        let member = |no: u8| {
            let seeds = vec![address(1, 7000)];
            let address = address(no + 1, 7000);
            let zone = ZoneId::of(zones[usize::from(no) % zones.len()]);
            let setup = Setup { address, seeds, zone, crossing, incarnation: no.into(), ..setup() };
            let mut bench = Bench::running(State::new(now, setup), now);
            bench.step(Event::Config(Arc::new(catalog.clone())));
            bench.step(Event::Listed(Vec::new()));
            bench
        };
        let by_address = (0..size).map(|no| (address(no + 1, 7000), usize::from(no)));
        let mut fleet = Self {
            now,
            members: (0..size).map(member).collect(),
            by_address: by_address.collect(),
            logged: Vec::new(),
        };
        fleet.pass(JOIN_TIME);
        fleet
    }

    /// Lets time pass, in steps in which all instances read the platform and send what is due.
    pub(crate) fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            let mut pending = Vec::new();
            for no in 0..self.members.len() {
                let bench = &mut self.members[no];
                bench.now = self.now;
                bench.read();
                let effects = bench.step(Event::Tick);
                pending.extend(self.sent(no, effects));
            }
            while let Some((to, event)) = pending.pop() {
                let effects = self.members[to].step(event);
                pending.extend(self.sent(to, effects));
            }
        }
    }

    /// Returns the messages among the effects of a member, with the receivers.
    fn sent(&mut self, no: usize, effects: Vec<Effect>) -> Vec<(usize, Event)> {
        let mut sent = Vec::new();
        for effect in effects {
            let (to, event) = match effect {
                Effect::Send(outgoing) => (outgoing.to, Event::Packet(outgoing.packet)),
                Effect::SendTree(outgoing) => (outgoing.to, Event::Tree(outgoing.message)),
                Effect::SendLoads(outgoing) => (outgoing.to, Event::Loads(outgoing.message)),
                Effect::Log(entry) if no == 0 => {
                    self.logged.push(entry);
                    continue;
                }
                _ => continue,
            };
            sent.extend(self.by_address.get(&to).map(|to| (*to, event)));
        }
        sent
    }
}
