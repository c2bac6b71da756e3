//! The broadcast tree, with members that know all others.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, net::SocketAddrV4};

use gossip::{
    Answer, Candidates, Datagram, DecodeError, Demand, MAX_PACKET_BYTES, OutgoingTreeMessage,
    Packet, PoolDemand, PoolTag, Probe, TreeContent, TreeMessage, Upstream, ViewStatus,
    ViewSummary,
};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Bytes of control traffic that a member may send in a second: a requirement of the users.
const MAX_BYTES_PER_S: usize = 10_000;
const POOL: PoolTag = PoolTag(7);
const ROUND: Duration = Duration::from_millis(400);

fn address(no: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 4, (no >> 8) as u8, no as u8].into(), 7_000)
}

fn streams(count: u32) -> Demand {
    let pool = PoolDemand { pool: POOL, live_streams: count, prompt_tokens_per_s: 9 * count };
    Demand::of_member([pool].into_iter())
}

fn fresh() -> ViewStatus {
    ViewStatus { view: ViewSummary::default(), staleness_ms: Some(100) }
}

/// Returns these candidates, whose zones are not known.
fn candidates(members: impl IntoIterator<Item = usize>) -> Candidates {
    Candidates { all: members.into_iter().map(address).collect(), own_zone: None }
}

/// Members in the order of their numbers, of which each precedes the next one.
struct Tree {
    now: Time,
    rng: ChaCha8Rng,
    members: BTreeMap<usize, Upstream>,
    /// The streams that each member runs.
    running: u32,
    loss: f64,
    /// Bytes that each member sent.
    sent: BTreeMap<usize, usize>,
}

impl Tree {
    fn new(size: usize, seed: u64) -> Self {
        let member = |no| (no, Upstream::new(address(no), 1_000 * no as u32));
        Self {
            now: Time::from_millis(10_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: (0..size).map(member).collect(),
            running: 2,
            loss: 0.05,
            sent: BTreeMap::new(),
        }
    }

    /// Lets every member make its rounds, one after the other within each round.
    fn pass(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now = self.now + ROUND;
            for no in self.members.keys().copied().collect::<Vec<_>>() {
                let candidates = candidates(0..no);
                let member = self.members.get_mut(&no).unwrap();
                let own = streams(self.running);
                if let Some(outgoing) = member.tick(self.now, &candidates, None, own) {
                    self.deliver(no, &outgoing);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, outgoing: &OutgoingTreeMessage) {
        let bytes = outgoing.message.encode().unwrap();
        *self.sent.entry(from).or_default() += bytes.len();
        if self.rng.random_bool(self.loss) {
            return;
        }
        let octets = outgoing.to.ip().octets();
        let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
        let Some(member) = self.members.get_mut(&to) else { return };
        let Datagram::Tree(message) = Datagram::decode(&bytes).unwrap() else { panic!() };
        match message.content {
            TreeContent::Probe(probe) => {
                let answer = member.probed(self.now, message.sender, probe, fresh(), false);
                self.deliver(to, &answer);
            }
            TreeContent::Answer(answer) => {
                member.answered(self.now, message.sender, answer);
            }
        }
    }

    fn told(&self) -> Vec<f64> {
        let size = self.members.len();
        let told = |it: &Upstream| {
            let demand = it.fleet_demand();
            let streams = demand.of_pool(POOL).map_or(0, |it| it.live_streams);
            f64::from(streams) * demand.extrapolation(size)
        };
        self.members.values().map(told).collect()
    }
}

/// Each instance runs about one live stream, too few to tell how many the fleet has.
#[test]
fn every_member_learns_within_five_seconds_how_many_streams_the_fleet_runs() {
    for size in [20, 62, 295, 342] {
        let mut tree = Tree::new(size, 1);

        tree.pass(12);

        let total = 2.0 * size as f64;
        let is_near = |told: &f64| (total * 0.8..total * 1.2).contains(told);
        assert!(tree.told().iter().all(is_near), "{total} streams, told {:?}", tree.told());
    }
}

/// The members below one that died find other parents; until then they are not counted.
#[test]
fn the_demand_that_is_told_survives_the_loss_of_the_first_members() {
    let mut tree = Tree::new(295, 2);
    tree.pass(12);
    for no in [0, 1, 3] {
        tree.members.remove(&no);
    }

    for _ in 0..20 {
        tree.pass(1);
        let total = 2.0 * tree.members.len() as f64;
        let median = {
            let mut told = tree.told();
            told.sort_by(f64::total_cmp);
            told[told.len() / 2]
        };
        assert!((total * 0.5..total * 1.5).contains(&median), "{median} of {total}");
    }

    let total = 2.0 * tree.members.len() as f64;
    let is_near = |told: &&f64| (total * 0.8..total * 1.2).contains(*told);
    let told = tree.told();
    let near = told.iter().filter(is_near).count();
    assert!(near * 10 >= told.len() * 9, "{near} of {} know the demand", told.len());
}

/// Returns the candidates of a member among members that run in three zones by turns.
fn zoned(no: usize) -> Candidates {
    let near = (0..no).filter(|it| it % 3 == no % 3).map(address);
    Candidates { own_zone: Some(near.collect()), ..candidates(0..no) }
}

/// Bytes between zones are billed; with each level, views get older.
#[test]
fn members_in_three_zones_follow_their_own_zone_on_at_most_three_levels() {
    let now = Time::from_millis(10_000);
    let mut levels: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
    let mut followed_elsewhere = 0;

    for no in 0..342 {
        let mut member = Upstream::new(address(no), 1);
        member.tick(now, &zoned(no), None, streams(1));
        let level = member.parent().map_or(0, |parent| levels[&parent] + 1);
        levels.insert(address(no), level);
        let is_near = |parent| zoned(no).own_zone.unwrap().contains(&parent);
        followed_elsewhere += usize::from(member.parent().is_some_and(|it| !is_near(it)));
    }

    assert_eq!(levels.values().filter(|it| **it == 0).count(), 1);
    assert_eq!(levels.values().max(), Some(&3));
    // Three in each of the two zones without the first member of all.
    assert_eq!(followed_elsewhere, 6);
}

#[test]
fn a_member_follows_another_zone_if_few_in_its_own_answer() {
    let mut child = Upstream::new(address(16), 1);
    let mut parents = Vec::new();

    // Those of its zone that precede it are 1, 4, 7, 10 and 13.
    for round in 0..12 {
        let now = Time::from_millis(10_000) + ROUND * round;
        child.tick(now, &zoned(16), None, streams(1));
        parents.extend(child.parent());
    }

    parents.dedup();
    assert_eq!(parents[..4], [1, 4, 7, 0].map(address));
}

#[test]
fn no_member_sends_more_than_the_bound_on_control_traffic() {
    let mut tree = Tree::new(342, 3);
    tree.pass(10);
    tree.sent.clear();

    tree.pass(25);

    let most = tree.sent.values().max().unwrap() / 10;
    assert!(most <= MAX_BYTES_PER_S, "a member sent {most} bytes a second");
}

/// An answer to a probe that was never sent, or sent to another member, proves nothing.
#[test]
fn only_the_answer_of_the_probed_member_bounds_the_staleness() {
    let now = Time::from_millis(10_000);
    let mut child = Upstream::new(address(5), 1);
    let probe = child.tick(now, &candidates([1]), None, streams(1)).unwrap();
    let TreeContent::Probe(Probe { number, .. }) = probe.message.content else { panic!() };
    let answer =
        |number| Answer { number, view_status: fresh(), is_cut_off: false, demand: streams(0) };
    let later = now + Duration::from_millis(300);

    let unknown = child.answered(later, address(1), answer(number.wrapping_add(1)));
    let of_another = child.answered(later, address(2), answer(number));
    let valid = child.answered(later, address(1), answer(number));

    assert_eq!((unknown, of_another), (None, None));
    // The view was 100 ms old when it was sent, after the probe.
    assert_eq!(valid, Some(now - Duration::from_millis(100)));
}

/// The first member may be unable to read the platform while its children can.
#[test]
fn a_root_that_cannot_read_the_platform_is_replaced_at_once() {
    let now = Time::from_millis(10_000);
    let mut child = Upstream::new(address(5), 1);
    let candidates = candidates([1, 2]);
    let probe = child.tick(now, &candidates, None, streams(1)).unwrap();
    let TreeContent::Probe(Probe { number, .. }) = probe.message.content else { panic!() };
    let view_status = fresh();
    let answer = Answer { number, view_status, is_cut_off: true, demand: Demand::default() };

    child.answered(now, address(1), answer);
    child.tick(now + ROUND, &candidates, None, streams(1));

    assert_eq!(child.parent(), Some(address(2)));
}

/// Instances of an older build decode packets only. They must ignore messages of the tree, not take
/// them for packets.
#[test]
fn an_instance_that_knows_only_packets_rejects_tree_messages() {
    let mut child = Upstream::new(address(5), 1);
    let probe = child.tick(Time::from_millis(10_000), &candidates([1]), None, streams(1)).unwrap();

    let decoded = Packet::decode(&probe.message.encode().unwrap());

    assert!(matches!(decoded, Err(DecodeError::UnsupportedFormat(_))));
}

/// Anyone who reaches the port can send bytes that are no message, or one with odd values.
#[test]
fn arbitrary_bytes_and_counts_do_not_panic() {
    seeded::check_type::<(Vec<u8>, Vec<(u32, u32)>, u32)>(2_000, |(bytes, counts, members)| {
        let pools = counts.iter().map(|(pool, count)| PoolDemand {
            pool: PoolTag(*pool % 40),
            live_streams: *count,
            prompt_tokens_per_s: *count,
        });
        let demand = Demand { members: *members, pools: pools.collect() };
        let mut sum = demand.clone();
        sum.add(&demand);
        assert!(sum.extrapolation(340).is_finite());

        let mut prefixed = vec![2];
        prefixed.extend_from_slice(bytes);
        for bytes in [bytes, &prefixed] {
            let Ok(Datagram::Tree(TreeMessage { sender, content, .. })) = Datagram::decode(bytes)
            else {
                continue;
            };
            let now = Time::from_millis(10_000);
            let mut member = Upstream::new(address(1), 1);
            match content {
                TreeContent::Probe(probe) => {
                    let answer = member.probed(now, sender, probe, fresh(), false);
                    assert!(answer.message.encode().unwrap().len() <= MAX_PACKET_BYTES);
                }
                TreeContent::Answer(answer) => {
                    assert_eq!(member.answered(now, sender, answer), None);
                }
            }
        }
    });
}
