//! Reads of the platform by a fleet: each read is billed, yet all instances must know changes soon.

use std::sync::Arc;

use dispatch::{Effect, Event, Setup, State};
use gossip::ViewSummary;
use model::prelude::*;

use crate::support::{address, catalog, setup};

/// Within this time after a change every instance must have read it: a draining server must get no
/// requests after two seconds.
const MAX_STALENESS: Duration = Duration::from_millis(2_000);

/// Instances that can reach each other, and a platform that they read.
struct Fleet {
    now: Time,
    members: Vec<State>,
    /// Members that cannot read the platform.
    cut_off: Vec<usize>,
    view: ViewSummary,
    reads: usize,
}

impl Fleet {
    fn new(size: u8) -> Self {
        let now = Time::from_millis(10_000_000);
        let member = |no: u8| {
            let address = address(no + 1, 7000);
            let seeds = vec![self::address(1, 7000)];
            let setup = Setup { address, seeds, incarnation: u32::from(no), ..setup() };
            let mut state = State::new(now, setup);
            state.step(now, Event::Config(Arc::new(catalog(1))));
            state.step(now, Event::Listed(Vec::new()));
            state
        };
        let members = (0..size).map(member).collect();
        let mut fleet =
            Self { now, members, cut_off: Vec::new(), view: ViewSummary::default(), reads: 0 };
        fleet.pass(Duration::from_secs(3));
        fleet.reads = 0;
        fleet
    }

    /// Lets time pass in steps of 5 ms, in each of which all instances read and send what is due.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Duration::from_millis(5);
            self.view.revision += 1;
            let mut packets = Vec::new();
            for (no, state) in self.members.iter_mut().enumerate() {
                if state.next_read() <= self.now && !self.cut_off.contains(&no) {
                    self.reads += 1;
                    state.step(self.now, Event::PlatformRead { as_of: self.now, view: self.view });
                }
                packets.extend(state.step(self.now, Event::Tick));
            }
            for effect in packets {
                let Effect::Send(outgoing) = effect else { continue };
                let host = usize::from(outgoing.to.ip().octets()[3]) - 1;
                let Some(state) = self.members.get_mut(host) else { continue };
                state.step(self.now, Event::Packet(outgoing.packet));
            }
        }
    }

    /// Returns the age of the oldest view.
    fn oldest_view(&self) -> Duration {
        self.members.iter().filter_map(|state| state.view_age(self.now)).max().unwrap_or_default()
    }
}

#[test]
fn eight_instances_read_at_most_twice_as_often_as_one() {
    let mut alone = Fleet::new(1);
    let mut eight = Fleet::new(8);

    alone.pass(Duration::from_secs(20));
    eight.pass(Duration::from_secs(20));

    assert!(alone.reads >= 30, "only {} reads in 20 s", alone.reads);
    assert!(eight.reads <= 2 * alone.reads, "{} reads, {} alone", eight.reads, alone.reads);
    assert!(eight.oldest_view() < MAX_STALENESS, "a view is {:?} old", eight.oldest_view());
}

/// An instance that runs alone must follow a change soon after its start as well.
#[test]
fn a_lone_instance_reads_again_within_a_second_of_its_start() {
    let now = Time::from_millis(10_000_000);
    let mut state = State::new(now, setup());

    state.step(now, Event::PlatformRead { as_of: now, view: ViewSummary::default() });

    assert!(state.next_read() <= now + Duration::from_secs(1));
}

#[test]
fn every_instance_reads_a_change_that_one_has_found() {
    let mut fleet = Fleet::new(8);
    fleet.view.digest = 7;
    fleet.pass(MAX_STALENESS);

    assert!(fleet.members.iter().all(|state| state.view().digest == 7));
}

#[test]
fn other_instances_read_when_the_first_two_cannot() {
    let mut fleet = Fleet::new(8);
    let first = (0..8).find(|no| fleet.members[*no].next_read() <= fleet.earliest_read()).unwrap();
    fleet.cut_off = vec![first, (first + 1) % 8];

    fleet.pass(Duration::from_secs(10));

    assert!(fleet.oldest_view() < MAX_STALENESS, "a view is {:?} old", fleet.oldest_view());
}

#[test]
fn instances_that_cannot_read_learn_from_others_that_nothing_has_changed() {
    let mut fleet = Fleet::new(4);
    fleet.cut_off = vec![0, 1, 2];

    fleet.pass(Duration::from_secs(10));

    assert!(fleet.members.iter().all(|state| state.view_age(fleet.now).unwrap() < MAX_STALENESS));
}

impl Fleet {
    /// Returns when the next read is due in the whole fleet.
    fn earliest_read(&self) -> Time {
        self.members.iter().map(State::next_read).min().unwrap()
    }
}

/// Guards against a view that is confirmed by an instance which knows a later configuration: after the
/// platform went back to an older copy, one that missed the later one had the same items as it.
#[test]
fn a_view_with_an_older_configuration_is_not_confirmed_by_others() {
    let mut fleet = Fleet::new(4);
    fleet.cut_off = vec![3];
    fleet.view.version = 2;

    fleet.pass(Duration::from_secs(3));

    let ages = fleet.members.iter().map(|state| state.view_age(fleet.now).unwrap());
    let ages: Vec<_> = ages.collect();
    assert!(ages[..3].iter().all(|age| *age < MAX_STALENESS), "{ages:?}");
    assert!(ages[3] >= Duration::from_millis(2_900), "{ages:?}");
}

/// Guards against instances that read the platform with each packet of one that has not followed it back to an
/// older copy: its revision is higher.
#[test]
fn an_instance_of_before_the_platform_went_back_makes_others_read_seldom() {
    let mut fleet = Fleet::new(8);
    fleet.view.revision = 1_000_000;
    fleet.view.digest = 5;
    fleet.pass(Duration::from_secs(3));
    fleet.cut_off = vec![7];
    fleet.view.revision = 1_000;
    fleet.view.digest = 7;
    fleet.pass(Duration::from_secs(3));
    fleet.reads = 0;

    fleet.pass(Duration::from_secs(10));

    // Two reads a second are usual, and each of seven instances asks once a second whether it is behind.
    assert!(fleet.reads <= 10 * (2 + 7), "{} reads in 10 s", fleet.reads);
}
