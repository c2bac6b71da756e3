//! Views of the platform in large fleets: hundreds of instances that each read the platform would
//! cost more than all other control traffic, yet every one must follow changes and keep evidence
//! that no key was revoked.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use dispatch::{
    Bounds, Effect, Event, NewRequest, Prompt, ReadSource, RequestKey, RetryPolicy, ServerChange,
    Setup, State,
};
use gossip::ViewSummary;
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use slotmap::SlotMap;

use crate::support::{KEY, attempts, catalog, server, setup};

/// The largest fleet that must work: a requirement of the users.
const LARGEST: usize = 342;
/// Within this time after a change every instance must follow it, while one in twenty packets is
/// lost.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(1_500);
/// An instance with an older view refuses keys and counts as not ready: the bound on revoked keys
/// less both margins.
const MAX_STALENESS: Duration = Duration::from_millis(3_400);
const STEP: Duration = Duration::from_millis(10);
/// Steps between two looks whether a member has to read that was not told to.
const READ_STEPS: usize = 5;
/// Time until all members know each other.
const JOIN_TIME: Duration = Duration::from_secs(14);

/// Instances on a network that loses packets, and the platform that they read.
struct Fleet {
    now: Time,
    rng: ChaCha8Rng,
    members: Vec<Option<State>>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    /// Members whose reads of the platform fail, with the time of their next retry.
    cut_off: BTreeMap<usize, Time>,
    is_platform_down: bool,
    /// When members that failed before may read again.
    not_before: BTreeMap<usize, Time>,
    view: ViewSummary,
    /// A server that is listed in all views with digest 0 and in no other.
    removed_server: Option<ServerId>,
    /// Members that do not deliver changes to others.
    undelivering: Vec<usize>,
    /// Successful and failed reads of the platform.
    reads: usize,
    loss: f64,
    in_flight: Vec<(SocketAddrV4, Event)>,
    /// Members that were told to read at once.
    told_to_read: Vec<usize>,
    steps: usize,
    /// The greatest age that a view has had since it was reset.
    oldest: Duration,
}

fn address(no: usize) -> SocketAddrV4 {
    let no = u16::try_from(no).unwrap_or_default() + 1;
    SocketAddrV4::new([10, 3, (no >> 8) as u8, no as u8].into(), 7_000)
}

fn zone(no: usize) -> ZoneId {
    ZoneId::of(&format!("zone-{no}"))
}

impl Fleet {
    /// Returns a fleet that has run long enough for all members to know each other.
    fn new(size: usize, seed: u64) -> Self {
        Self::with_bounds(size, seed, Bounds::default())
    }

    /// Does the same as [`Self::new`] in three zones.
    fn in_zones(size: usize, seed: u64) -> Self {
        Self::with(size, seed, Bounds::default(), 3)
    }

    /// Does the same as [`Self::new`] with other bounds.
    fn with_bounds(size: usize, seed: u64, bounds: Bounds) -> Self {
        Self::with(size, seed, bounds, 1)
    }

    fn with(size: usize, seed: u64, bounds: Bounds, zones: usize) -> Self {
        let now = Time::from_millis(10_000_000);
        let seeds = vec![address(0), address(1), address(2)];
        let member = |no: usize| {
            let incarnation = u32::try_from(no).unwrap_or_default();
            let seeds = seeds.clone();
            let setup = Setup {
                address: address(no),
                zone: zone(no % zones),
                seeds,
                incarnation,
                seed: no as u64,
                bounds,
                ..setup()
            };
            let mut state = State::new(now, setup);
            state.step(now, Event::Config(Arc::new(catalog(1))));
            state.step(now, Event::Listed(Vec::new()));
            Some(state)
        };
        let mut fleet = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: (0..size).map(member).collect(),
            by_address: (0..size).map(|no| (address(no), no)).collect(),
            cut_off: BTreeMap::new(),
            is_platform_down: false,
            not_before: BTreeMap::new(),
            removed_server: None,
            undelivering: Vec::new(),
            view: ViewSummary::default(),
            reads: 0,
            loss: 0.05,
            in_flight: Vec::new(),
            told_to_read: Vec::new(),
            steps: 0,
            oldest: Duration::ZERO,
        };
        fleet.pass(JOIN_TIME);
        fleet.reads = 0;
        fleet.oldest = Duration::ZERO;
        fleet
    }

    /// Lets time pass, in steps in which all instances read and send what is due.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.view.revision += 1;
            self.steps += 1;
            for (to, event) in std::mem::take(&mut self.in_flight) {
                self.step(self.by_address[&to], event);
            }
            for no in std::mem::take(&mut self.told_to_read) {
                self.read(no);
            }
            for no in 0..self.members.len() {
                if (self.steps + no).is_multiple_of(READ_STEPS) {
                    self.read(no);
                }
                let Some(state) = &self.members[no] else { continue };
                let age = state.view_age(self.now).unwrap_or_default();
                self.oldest = self.oldest.max(age);
                if state.next_wake(self.now) <= self.now {
                    self.step(no, Event::Tick);
                }
            }
        }
    }

    fn step(&mut self, no: usize, event: Event) {
        let Some(state) = &mut self.members[no] else { return };
        for effect in state.step(self.now, event) {
            let (to, event) = match effect {
                Effect::Send(outgoing) => (outgoing.to, Event::Packet(outgoing.packet)),
                Effect::SendTree(outgoing) => (outgoing.to, Event::Tree(outgoing.message)),
                Effect::ReadPlatform => {
                    self.told_to_read.push(no);
                    continue;
                }
                _ => continue,
            };
            if self.by_address.contains_key(&to) && !self.rng.random_bool(self.loss) {
                self.in_flight.push((to, event));
            }
        }
    }

    fn read(&mut self, no: usize) {
        let Some(state) = &self.members[no] else { return };
        if state.next_read() > self.now {
            return;
        }
        let event = match state.read_source() {
            ReadSource::Platform if self.is_platform_down || self.cut_off.contains_key(&no) => {
                let delay = match state.retry_policy() {
                    RetryPolicy::Soon => Duration::from_millis(800),
                    RetryPolicy::Later => Duration::from_secs(2),
                    RetryPolicy::Rarely => Duration::from_secs(6),
                };
                let earliest = self.cut_off.entry(no).or_default();
                if *earliest > self.now {
                    return;
                }
                *earliest = self.now + delay;
                self.reads += 1;
                Event::PlatformReadFailed
            }
            ReadSource::Platform if self.not_before.get(&no) > Some(&self.now) => return,
            ReadSource::Platform => {
                self.reads += 1;
                Event::PlatformRead { as_of: self.now, view: self.view }
            }
            ReadSource::Peer(peer) => match &self.members[self.by_address[&peer]] {
                Some(_) if self.undelivering.contains(&self.by_address[&peer]) => {
                    Event::PeerReadFailed
                }
                Some(member) => {
                    let age = member.view_age(self.now).unwrap_or_default();
                    Event::PeerRead { as_of: self.now - age, view: member.view(), peer }
                }
                None => Event::PeerReadFailed,
            },
        };
        let is_newer = matches!(
            &event,
            Event::PlatformRead { view, .. } | Event::PeerRead { view, .. } if view.digest != 0
        );
        if let Some(removed) = self.removed_server.filter(|_| is_newer) {
            self.step(no, Event::Server(ServerChange::Unlisted(removed)));
        }
        self.step(no, event);
    }

    /// Returns the member that reads the platform for the others.
    fn root(&self) -> usize {
        let policy = |no: &usize| self.members[*no].as_ref().map(State::retry_policy);
        let next_read = |no: &usize| self.members[*no].as_ref().map(State::next_read);
        let eager = (0..self.members.len()).filter(|no| policy(no) == Some(RetryPolicy::Soon));
        eager.min_by_key(next_read).unwrap_or_default()
    }

    /// Returns the first member of each of three zones.
    fn first_of_zones(&self) -> [usize; 3] {
        let preceding = |no: &usize| self.members[*no].as_ref().map(State::preceding_count);
        let members = 0..self.members.len();
        let first = |zone| members.clone().skip(zone).step_by(3).min_by_key(preceding);
        [0, 1, 2].map(|zone| first(zone).unwrap_or_default())
    }

    /// Lets time pass until all members have the platform's view, and returns how long that took.
    fn pass_until_all_follow(&mut self) -> Duration {
        let started = self.now;
        let digest = self.view.digest;
        let is_behind = |it: &State| it.view().digest != digest;
        while self.members.iter().flatten().any(is_behind) {
            self.pass(STEP);
            assert!(self.now.since(started) < Duration::from_secs(10), "some never follow");
        }
        self.now.since(started)
    }
}

/// One instance of eight reads about twice a second. A fleet of any size must not read more than
/// twice as often, and keeps its evidence all the same.
#[test]
fn large_fleets_read_about_as_often_as_small_ones_and_keep_their_evidence() {
    for size in [20, 62, 295, LARGEST] {
        let mut fleet = Fleet::new(size, 1);

        fleet.pass(Duration::from_secs(10));

        assert!(fleet.reads <= 40, "{} reads in 10 s by {size}", fleet.reads);
        assert!(fleet.oldest < MAX_STALENESS, "a view was {:?} old of {size}", fleet.oldest);
    }
}

/// A tree with a level more makes the views on it older.
#[test]
fn large_fleets_in_three_zones_read_as_often_as_in_one_and_follow_changes_as_soon() {
    for size in [20, 77, LARGEST] {
        let mut fleet = Fleet::in_zones(size, 12);

        fleet.pass(Duration::from_secs(10));
        let (reads, oldest) = (fleet.reads, fleet.oldest);
        fleet.view.digest = 7;
        let took = fleet.pass_until_all_follow();

        assert!(reads <= 40, "{reads} reads in 10 s by {size}");
        assert!(oldest < MAX_STALENESS, "a view was {oldest:?} old of {size}");
        assert!(took <= MAX_CHANGE_TIME, "{took:?} until all {size} followed");
    }
}

/// Guards against zones that depend on their first member: nobody else there follows another zone.
#[test]
fn first_members_of_zones_that_die_are_replaced_before_any_member_loses_its_evidence() {
    for dying in [vec![0], vec![1], vec![2], vec![0, 1, 2]] {
        let mut fleet = Fleet::in_zones(77, 13);
        let first = fleet.first_of_zones();
        for zone in dying {
            fleet.members[first[zone]] = None;
        }

        fleet.pass(Duration::from_secs(4));
        fleet.view.digest = 8;
        let took = fleet.pass_until_all_follow();
        fleet.pass(Duration::from_secs(8));

        assert!(fleet.oldest < MAX_STALENESS, "a view was {:?} old", fleet.oldest);
        assert!(took <= MAX_CHANGE_TIME, "{took:?} until all followed");
    }
}

#[test]
fn every_member_follows_a_change_within_the_bound_although_packets_are_lost() {
    for (size, seed) in [(62, 1), (295, 2), (LARGEST, 3)] {
        let mut fleet = Fleet::new(size, seed);
        fleet.view.digest = 7;

        let took = fleet.pass_until_all_follow();

        assert!(took <= MAX_CHANGE_TIME, "{took:?} until all {size} followed");
    }
}

/// The reader of the fleet may freeze, lose power or be killed at any moment.
#[test]
fn a_dead_root_is_replaced_before_any_member_loses_its_evidence() {
    let mut fleet = Fleet::new(295, 4);
    let root = fleet.root();
    fleet.members[root] = None;

    fleet.pass(Duration::from_secs(8));

    assert!(fleet.oldest < MAX_STALENESS, "a view was {:?} old", fleet.oldest);
    assert!(fleet.reads <= 400, "{} reads in 8 s", fleet.reads);
}

/// The store may turn some instances away and serve the others, the reader among the former.
#[test]
fn members_that_cannot_read_the_platform_follow_those_that_can() {
    let mut fleet = Fleet::new(295, 5);
    let root = fleet.root();
    fleet.cut_off = (0..295).filter(|no| no % 3 == root % 3).map(|no| (no, fleet.now)).collect();

    fleet.pass(Duration::from_secs(4));
    fleet.view.digest = 9;
    let took = fleet.pass_until_all_follow();
    fleet.pass(Duration::from_secs(4));

    assert!(fleet.oldest < MAX_STALENESS, "a view was {:?} old", fleet.oldest);
    // A cut-off root is noticed with the next probe, in place of a lost packet.
    assert!(took <= MAX_CHANGE_TIME, "{took:?} until all followed");
}

/// An instance that is cut off from the platform depends on its peers, some of which may run an
/// older build, or be unable to answer in time.
#[test]
fn members_without_platform_follow_changes_although_some_peers_do_not_deliver_them() {
    let mut fleet = Fleet::new(62, 8);
    fleet.cut_off = (0..62).filter(|no| no % 3 == 0).map(|no| (no, fleet.now)).collect();
    fleet.undelivering = (0..62).filter(|no| no % 4 == 1).collect();
    fleet.pass(Duration::from_secs(4));
    fleet.oldest = Duration::ZERO;

    for digest in 11..14 {
        fleet.view.digest = digest;
        fleet.pass_until_all_follow();
    }

    assert!(fleet.oldest < MAX_STALENESS, "a view was {:?} old", fleet.oldest);
}

#[test]
fn a_zone_that_dies_at_once_leaves_the_rest_with_evidence() {
    let mut fleet = Fleet::new(295, 6);
    for no in (0..295).filter(|no| no % 5 == 0) {
        fleet.members[no] = None;
    }

    fleet.pass(Duration::from_secs(8));

    assert!(fleet.oldest < MAX_STALENESS, "a view was {:?} old", fleet.oldest);
}

/// All instances try in vain while the platform is down. One of them must notice soon that it is
/// back, since keys are refused until then.
#[test]
fn all_members_have_evidence_again_within_two_seconds_after_an_outage() {
    let mut fleet = Fleet::new(295, 7);
    fleet.is_platform_down = true;
    fleet.pass(Duration::from_secs(7));
    let reads_down = fleet.reads;
    fleet.is_platform_down = false;
    // Retries stay due when they were planned.
    let planned = std::mem::take(&mut fleet.cut_off);
    fleet.not_before = planned;

    fleet.pass(Duration::from_secs(2));
    fleet.oldest = Duration::ZERO;
    fleet.pass(STEP);

    assert!(fleet.oldest < MAX_STALENESS, "a view is {:?} old", fleet.oldest);
    // One try of each, and those of the few that retry soon.
    assert!(reads_down <= 2 * 295, "{reads_down} reads while the platform was down");
}

/// The time from the end of a disturbance of the platform until all bounds hold again at all
/// instances of large fleets.
const SETTLED_WITHIN: Duration = Duration::from_millis(4_000);

/// Returns whether a member sends a request to the only server that it knows.
fn sends_request(fleet: &mut Fleet, no: usize) -> bool {
    let now = fleet.now;
    let Some(state) = &mut fleet.members[no] else { return false };
    let Ok(routed) = state.route(now, "host.example", "/order/x", Some(KEY)) else { return false };
    let key = SlotMap::<RequestKey, ()>::with_key().insert(());
    let new = NewRequest {
        id: Arc::from("request"),
        routed,
        arrived: now,
        caller_deadline: now + Duration::from_secs(4),
        states_deadline: true,
        prompt: Prompt::default(),
        taken_up: None,
    };
    let effects = state.step(now, Event::Request { key, new: Box::new(new) });
    state.step(now, Event::CallerLeft { key });
    !attempts(&effects).is_empty()
}

/// Returns a fleet in which a third of the members could not read the platform for six seconds
/// before a change and this time after it, and their peers did not deliver the change, as it was
/// too large. Meanwhile a server was removed. The platform serves all again.
fn fleet_with_members_behind(after_change: Duration) -> Fleet {
    let mut fleet = Fleet::new(62, 9);
    for no in 0..62 {
        fleet.step(no, Event::Listed(vec![server("e1", "ledger", 11)]));
    }
    fleet.undelivering = (0..62).collect();
    fleet.cut_off = (0..62).filter(|no| no % 3 == 1).map(|no| (no, fleet.now)).collect();
    fleet.pass(Duration::from_secs(6));
    fleet.view.digest = 5;
    fleet.removed_server = Some(ServerId::of("e1"));
    fleet.pass(after_change);
    // Retries stay due when they were planned.
    fleet.not_before = std::mem::take(&mut fleet.cut_off);
    fleet
}

/// Guards against instances that know that they are behind and wait for a rare retry: they answer by
/// an old configuration and send requests to servers that have left.
#[test]
fn members_that_are_behind_read_the_platform_soon_after_it_serves_them_again() {
    for after_change_s in [1, 2, 4] {
        let mut fleet = fleet_with_members_behind(Duration::from_secs(after_change_s));

        let took = fleet.pass_until_all_follow();

        assert!(took <= SETTLED_WITHIN, "{took:?} until all members followed");
    }
}

/// Guards against requests to a server that left while only some instances could not read the
/// platform: its entry has not expired in an outage.
#[test]
fn members_that_were_turned_away_alone_send_nothing_to_a_server_that_left_meanwhile() {
    let mut fleet = fleet_with_members_behind(Duration::from_secs(4));
    fleet.pass_until_all_follow();

    let senders = (0..62).filter(|no| sends_request(&mut fleet, *no)).count();

    assert_eq!(senders, 0, "members still send requests to a server that has left");
}

/// Guards against a fleet that drops servers whose entries expired because nobody could renew them.
#[test]
fn members_use_servers_whose_entries_expired_in_an_outage_for_two_seconds() {
    let mut fleet = Fleet::new(62, 10);
    for no in 0..62 {
        fleet.step(no, Event::Listed(vec![server("e1", "ledger", 11)]));
    }
    fleet.is_platform_down = true;
    fleet.pass(Duration::from_secs(6));
    fleet.view.digest = 5;
    fleet.removed_server = Some(ServerId::of("e1"));
    fleet.is_platform_down = false;
    fleet.not_before = std::mem::take(&mut fleet.cut_off);

    fleet.pass_until_all_follow();
    let early = (0..62).filter(|no| sends_request(&mut fleet, *no)).count();
    fleet.pass(Duration::from_millis(2_200));
    let late = (0..62).filter(|no| sends_request(&mut fleet, *no)).count();

    assert_eq!((early, late), (62, 0));
}

/// Guards against requests to servers that left and against old configurations in a large fleet that
/// has to follow changes as soon as a small one: reads were due by ages of the view that suit other
/// bounds.
#[test]
fn changes_are_read_in_time_when_the_first_members_die() {
    const FOLLOW: Duration = Duration::from_millis(2_000);
    let bounds = Bounds { follow: Some(FOLLOW), ..Bounds::default() };
    let mut fleet = Fleet::with_bounds(62, 11, bounds);
    // The first nine members are the root and all its children.
    let preceding = |no: &usize| fleet.members[*no].as_ref().map_or(0, State::preceding_count);
    let first: Vec<_> = (0..62).filter(|no| preceding(no) < 9).collect();
    for no in first {
        fleet.members[no] = None;
    }

    fleet.pass(Duration::from_secs(8));

    assert!(fleet.oldest < FOLLOW, "a view was {:?} old", fleet.oldest);
}
