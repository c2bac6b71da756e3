//! The parent of this instance in the broadcast tree, and its children.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
};

use model::prelude::*;

use crate::{
    Answer, Candidates, Demand, OutgoingTreeMessage, Probe, TreeContent, TreeMessage, ViewStatus,
};

/// Children of each member. In a fleet of 340 no member is more than three levels below the first.
const TREE_FANOUT: usize = 8;
/// The first members of a zone, which follow the first member of all if that is in another zone: with
/// them, no member of a zone of 219 is more than three levels below it either.
const ZONE_HEADS: usize = 3;
/// Probes in a row without an answer after which another parent is chosen. One may be lost.
const MAX_MISSED_PROBES: u32 = 2;
/// How long a member that did not answer is not chosen again.
const SILENT_AVOIDANCE: Duration = Duration::from_secs(8);
/// A parent with an older view is replaced: on the third level, views are up to 1.8 s old if no
/// message is lost.
const MAX_PARENT_STALENESS: Duration = Duration::from_millis(2_000);
/// How long a member with too old a view, or that cannot read the platform, is not chosen again.
const STALE_AVOIDANCE: Duration = Duration::from_secs(4);
/// A child that has not probed for this time has another parent.
const CHILD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Upper bound on children: some members may choose the same parent while their views of the fleet
/// differ.
const MAX_CHILDREN: usize = 64;
/// Probes whose send times are kept, to bound the staleness of late answers.
const MAX_PROBES: usize = 8;

/// The position of this instance in the broadcast tree over which views of the platform spread.
///
/// All members order themselves by a hash of their addresses. The parent of a member precedes it in
/// that order, so there are no cycles even while members know different parts of the fleet. It is
/// in the same zone, except for the first few members of a zone, which follow the first member of
/// all. That one has no parent and reads the platform. A parent that does not answer or whose view
/// is old is avoided for a while, and the members that precede it remain to choose from; one that
/// avoids them all is a root itself. The answer to a probe bounds the staleness of the parent's
/// view by the time at which the probe was sent, without common clocks.
#[derive(Debug)]
pub struct Upstream {
    own: SocketAddrV4,
    parent: Option<SocketAddrV4>,
    /// The last probes: number, receiver and time.
    probes: VecDeque<SentProbe>,
    /// Whether the last probe was answered.
    is_answered: bool,
    /// Probes to the parent without an answer since the last one.
    missed: u32,
    /// Members that are not chosen as parent, with the end of that time.
    avoided: BTreeMap<SocketAddrV4, Time>,
    children: BTreeMap<SocketAddrV4, Child>,
    /// The demand of all members: as the parent told it last, or at a root the sum of what its
    /// children told.
    fleet_demand: Demand,
    last_number: u32,
}

#[derive(Clone, Copy, Debug)]
struct SentProbe {
    number: u32,
    to: SocketAddrV4,
    at: Time,
}

#[derive(Clone, Debug)]
struct Child {
    /// The number of its latest probe.
    number: u32,
    probed_at: Time,
    /// The demand of the child and of all members below it.
    demand: Demand,
}

impl Upstream {
    /// Starts without a parent. `first_number` is random: an answer to a former run of this process
    /// must not match a probe of this one.
    pub fn new(own: SocketAddrV4, first_number: u32) -> Self {
        Self {
            own,
            parent: None,
            probes: VecDeque::new(),
            is_answered: true,
            missed: 0,
            avoided: BTreeMap::new(),
            children: BTreeMap::new(),
            fleet_demand: Demand::default(),
            last_number: first_number,
        }
    }

    /// Returns whether this instance has no parent, and so has to read the platform itself.
    pub fn is_root(&self) -> bool {
        self.parent.is_none()
    }

    /// Returns whether there is a parent and the latest probes to it were answered.
    pub fn has_answering_parent(&self) -> bool {
        self.parent.is_some() && self.missed == 0
    }

    /// Returns the member whose view this instance follows.
    pub fn parent(&self) -> Option<SocketAddrV4> {
        self.parent
    }

    /// Returns the demand of all members, as far as this instance knows.
    pub fn fleet_demand(&self) -> &Demand {
        &self.fleet_demand
    }

    /// Chooses the parent among `candidates` and returns a probe for it. A root probes `substitute` if there is one, the
    /// member whose view it follows while it cannot read the platform. `own` is the demand of this
    /// instance. Called once in each round of packets, after the answer to the previous probe had
    /// the time of a round to arrive.
    pub fn tick(
        &mut self,
        now: Time,
        candidates: &Candidates,
        substitute: Option<SocketAddrV4>,
        own: Demand,
    ) -> Option<OutgoingTreeMessage> {
        self.avoided.retain(|_, until| now < *until);
        self.children.retain(|_, child| now.since(child.probed_at) <= CHILD_TIMEOUT);
        if !self.is_answered {
            self.missed += 1;
            if let Some(parent) = self.parent.filter(|_| self.missed >= MAX_MISSED_PROBES) {
                self.avoid(parent, now + SILENT_AVOIDANCE);
            }
        }
        let parent = self.choose_parent(candidates);
        if parent != self.parent {
            self.parent = parent;
            self.missed = 0;
        }
        self.is_answered = parent.is_none();
        let mut demand = own;
        for child in self.children.values() {
            demand.add(&child.demand);
        }
        if parent.is_none() {
            self.fleet_demand = demand.clone();
        }
        let to = parent.or(substitute)?;
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.probes.push_back(SentProbe { number, to, at: now });
        if self.probes.len() > MAX_PROBES {
            self.probes.pop_front();
        }
        let content = TreeContent::Probe(Probe { number, demand });
        Some(OutgoingTreeMessage { to, message: TreeMessage::new(self.own, content) })
    }

    /// Processes an answer. Returns a time at which the sender's view was up to date, on this
    /// process's clock; `None` if the answer gives no bound.
    pub fn answered(&mut self, now: Time, sender: SocketAddrV4, answer: Answer) -> Option<Time> {
        let mut probes = self.probes.iter();
        let sent_at = probes.find(|it| it.number == answer.number && it.to == sender)?.at;
        let staleness = answer.view_status.staleness_ms;
        let staleness = staleness.map(|it| Duration::from_millis(it.into()));
        if Some(sender) == self.parent {
            self.is_answered = true;
            self.missed = 0;
            self.fleet_demand = answer.demand;
            let is_stale = staleness.is_none_or(|it| it > MAX_PARENT_STALENESS);
            if is_stale || answer.is_cut_off {
                self.avoid(sender, now + STALE_AVOIDANCE);
            }
        }
        Some(sent_at - staleness?)
    }

    /// Processes a probe and returns its answer.
    pub fn probed(
        &mut self,
        now: Time,
        sender: SocketAddrV4,
        probe: Probe,
        view_status: ViewStatus,
        is_cut_off: bool,
    ) -> OutgoingTreeMessage {
        let Probe { number, demand } = probe;
        if self.children.len() < MAX_CHILDREN || self.children.contains_key(&sender) {
            self.children.insert(sender, Child { number, probed_at: now, demand });
        }
        self.answer(sender, number, view_status, is_cut_off)
    }

    /// Returns answers for all children, which tell them that the view has changed.
    pub fn notify(&self, view_status: ViewStatus) -> Vec<OutgoingTreeMessage> {
        let children = self.children.iter();
        children.map(|(to, child)| self.answer(*to, child.number, view_status, false)).collect()
    }

    /// Returns the parent among the candidates that are not avoided.
    fn choose_parent(&self, candidates: &Candidates) -> Option<SocketAddrV4> {
        let usable = |members: &[SocketAddrV4]| -> Vec<SocketAddrV4> {
            let usable = members.iter().filter(|it| !self.avoided.contains_key(it));
            usable.copied().collect()
        };
        let all = usable(&candidates.all);
        let Some(own_zone) = &candidates.own_zone else {
            return nth_parent(&all, 1);
        };
        let own_zone = usable(own_zone);
        let is_first_near = own_zone.first() == all.first();
        let heads = if is_first_near { 1 } else { ZONE_HEADS };
        nth_parent(&own_zone, heads).or_else(|| all.first().copied())
    }

    fn answer(
        &self,
        to: SocketAddrV4,
        number: u32,
        view_status: ViewStatus,
        is_cut_off: bool,
    ) -> OutgoingTreeMessage {
        let demand = self.fleet_demand.clone();
        let content = TreeContent::Answer(Answer { number, view_status, is_cut_off, demand });
        OutgoingTreeMessage { to, message: TreeMessage::new(self.own, content) }
    }

    fn avoid(&mut self, member: SocketAddrV4, until: Time) {
        self.avoided.insert(member, until);
        self.missed = 0;
    }
}

/// Returns the parent of the member that follows `preceding` in the order; `None` if it is among the
/// first `heads` members, which have no parent among these.
fn nth_parent(preceding: &[SocketAddrV4], heads: usize) -> Option<SocketAddrV4> {
    let place = preceding.len().checked_sub(heads)?;
    preceding.get(place / TREE_FANOUT).copied()
}
