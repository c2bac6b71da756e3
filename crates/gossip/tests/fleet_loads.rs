//! Loads of backend servers that are added up over the fleet.

#![allow(clippy::unwrap_used)]

mod load_tree;

use gossip::{AccountUse, FleetLoads, LoadMessage, ServerSum, TotalLoad};
use model::prelude::*;
use rand::RngExt as _;

use crate::load_tree::{ACCOUNT, HELD, RANK, Tree, UNREAD, USE_PER_MEMBER};

/// Sizes of large fleets, the largest that must work among them: a requirement of the users.
const SIZES: [usize; 3] = [20, 77, 342];
/// The share of messages that is lost.
const LOSS: f64 = 0.02;
/// Time until the loads of all members are in the total of each.
const JOIN_TIME: Duration = Duration::from_secs(8);
/// Bytes that an instance may send to its peers in a second, averaged: a requirement of the users.
const MAX_BYTES_PER_S: usize = 10_000;
/// The greatest age of a total: the responses of the shortest requests of engines take longer.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Time in which a death may show in the loads: requests that wait longer for an engine are late.
const REPAIR_TIME: Duration = Duration::from_secs(2);

/// Returns a fleet with loss that has added up its loads. It has a server for two members.
fn fleet(size: usize) -> Tree {
    let mut tree = Tree::new(size, size / 2, 1);
    tree.loss = LOSS;
    tree.pass(JOIN_TIME);
    tree
}

#[test]
fn steady_loads_are_known_exactly_at_all_members_with_2_percent_of_loss() {
    for size in SIZES {
        let mut tree = fleet(size);

        tree.pass_with(Duration::from_secs(1), |tree| {
            assert_eq!(tree.error(), 0.0, "{size} members");
        });

        let others = u64::from(tree.others(size - 1, 3));
        let told = tree.told(size - 1, 3);
        assert_eq!((told.prefill_tokens, told.held_tokens), (others * UNREAD, others * HELD));
        let uses = tree.nodes[&0].loads.accounts();
        assert_eq!(uses.len(), 1);
        assert_eq!(
            (uses[0].account, uses[0].tokens_per_s),
            (ACCOUNT, USE_PER_MEMBER * size as u32)
        );
    }
}

#[test]
fn totals_of_20_and_77_members_are_at_most_a_second_old_with_2_percent_of_loss() {
    for size in [20, 77] {
        let oldest = oldest_total(size);

        assert!(oldest <= MAX_AGE, "{size} members: a total is {oldest:?} old");
    }
}

#[test]
fn totals_of_342_members_are_at_most_a_second_old_with_2_percent_of_loss() {
    let oldest = oldest_total(342);

    assert!(oldest <= MAX_AGE, "a total is {oldest:?} old");
}

/// Returns the greatest age of a total at any member within ten seconds.
fn oldest_total(size: usize) -> Duration {
    let mut tree = fleet(size);
    let mut ages = Vec::new();
    tree.pass_with(Duration::from_secs(10), |tree| {
        let now = tree.now;
        ages.extend(tree.nodes.values().map(|it| it.loads.age(now).unwrap()));
    });
    ages.sort_unstable();
    let (median, most) = (ages[ages.len() / 2], ages[ages.len() - 1]);
    println!("{size} members: {median:?} in the median, {most:?} at most");
    most
}

#[test]
fn members_send_at_most_10_kb_a_second_on_average() {
    for size in SIZES {
        let mut tree = fleet(size);
        tree.sent.clear();

        tree.pass(Duration::from_secs(10));

        let per_s = |bytes: usize| bytes / 10;
        let mean = per_s(tree.sent.values().sum::<usize>() / size);
        let most = per_s(tree.sent.values().copied().max().unwrap());
        println!("{size} members: {mean} bytes a second and member, {most} at most");
        assert!(mean <= MAX_BYTES_PER_S, "{size} members send {mean} bytes a second");
    }
}

/// Guards against loads that are counted twice, once as own load and once in the total.
#[test]
fn own_load_that_changes_between_rounds_is_taken_off_exactly() {
    for (size, servers) in [(20, 10), (77, 300)] {
        for no in [0, 3, size - 1] {
            let mut tree = Tree::new(size, servers, 2);
            tree.pass(JOIN_TIME);

            tree.pass_with(Duration::from_secs(2), |tree| {
                for at in 0..servers {
                    let others = tree.others(no, at);
                    assert_eq!(tree.told(no, at).attempts, others, "member {no} of {size}");
                }
                let attempts = tree.rng.random_range(0..100);
                let at = tree.rng.random_range(0..servers);
                tree.nodes.get_mut(&no).unwrap().attempts.insert(at, attempts);
            });
        }
    }
}

/// A sum of many servers needs several datagrams, and each of them may be lost.
#[test]
fn loads_are_exact_again_a_second_after_a_tenth_of_the_slices_was_lost() {
    let mut tree = Tree::new(77, 300, 3);
    tree.pass(JOIN_TIME);
    tree.loss = 0.1;
    for no in 0..77 {
        for at in 0..300 {
            let attempts = tree.rng.random_range(1..10);
            tree.nodes.get_mut(&no).unwrap().attempts.insert(at, attempts);
        }
    }
    tree.pass(Duration::from_secs(3));
    tree.loss = 0.0;

    tree.pass(2 * MAX_AGE);

    assert_eq!(tree.error(), 0.0);
}

/// Until its children have another parent, they count twice or not at all.
#[test]
fn loads_are_scaled_after_an_inner_member_has_died_and_exact_2_s_later() {
    let (size, dead) = (77, 1);
    let mut tree = fleet(size);
    let others = [2, 3, 4, 5, 6, 7, 8, 2];
    let below = 9;
    tree.nodes.remove(&dead);
    tree.alive = size - 1;
    let (mut most, mut most_use) = (0.0_f64, 0);
    let mut record = |tree: &mut Tree| {
        most = most.max(tree.error());
        let uses = tree.nodes.values().map(|it| it.loads.accounts()[0].tokens_per_s);
        most_use = most_use.max(uses.max().unwrap());
    };

    tree.pass_with(Duration::from_millis(800), &mut record);
    for (no, other) in others.into_iter().enumerate() {
        tree.nodes.get_mut(&(dead * 8 + 1 + no)).unwrap().parent = Some(other);
    }
    tree.pass_with(REPAIR_TIME, &mut record);

    let share = below as f64 / (size - 1) as f64;
    assert!(most <= share, "{most} is more than the share of the members below, {share}");
    assert!(f64::from(most_use) <= f64::from(USE_PER_MEMBER) * size as f64 * (1.0 + share / 2.0));
    tree.pass_with(MAX_AGE, |tree| assert_eq!(tree.error(), 0.0));
}

/// Guards against an excess of accounts that begins and ends because members change their parent:
/// the former one counts them for a second more.
#[test]
fn uses_of_accounts_stay_while_members_change_their_parent() {
    let size = 77;
    let mut tree = fleet(size);
    let true_use = USE_PER_MEMBER * size as u32;
    for no in 9..17 {
        tree.nodes.get_mut(&no).unwrap().parent = Some(2);
    }
    let (mut most_members, mut uses) = (0, Vec::new());

    tree.pass_with(REPAIR_TIME, |tree| {
        let loads = tree.nodes.values().map(|it| &it.loads);
        most_members = loads.clone().map(FleetLoads::members).max().unwrap().max(most_members);
        uses.extend(loads.map(|it| it.accounts()[0].tokens_per_s));
    });

    assert!(most_members > size as u32, "no member was counted twice");
    // One member of 77 is the receiver itself, which is not scaled.
    let error = uses.iter().map(|it| it.abs_diff(true_use)).max().unwrap();
    assert!(error <= true_use / 50, "{error} of {true_use} tokens a second");
}

#[test]
fn loads_are_exact_2_s_after_the_root_has_died_and_another_member_took_its_place() {
    let size = 77;
    let mut tree = fleet(size);
    tree.nodes.remove(&0);
    tree.alive = size - 1;
    tree.pass(Duration::from_millis(800));
    for no in 1..=8 {
        tree.nodes.get_mut(&no).unwrap().parent = Some(1).filter(|_| no != 1);
    }

    tree.pass(REPAIR_TIME);

    tree.pass_with(MAX_AGE, |tree| assert_eq!(tree.error(), 0.0));
}

/// Returns a message of a member that tells much more than any member can have.
fn with_enormous_loads(mut message: LoadMessage) -> LoadMessage {
    let most = TotalLoad { attempts: u32::MAX, prefill_tokens: u64::MAX, held_tokens: u64::MAX };
    let server = |it: &ServerSum| ServerSum::new(it.server, [(RANK, most)].into_iter());
    message.servers = message.servers.iter().map(server).collect();
    message.accounts = vec![AccountUse { account: ACCOUNT, tokens_per_s: u32::MAX }];
    message
}

#[test]
fn enormous_loads_of_a_member_are_cut_to_what_a_member_can_send() {
    let size = 20;
    let mut tree = Tree::new(size, 10, 4);
    tree.edit = |no, message| Some(if no == 15 { with_enormous_loads(message) } else { message });

    tree.pass(JOIN_TIME);

    for no in 0..15 {
        let told = tree.told(no, 3);
        assert!(told.attempts <= tree.others(no, 3) + 1_024, "{told:?}");
        assert!(told.prefill_tokens < 1 << 40 && told.held_tokens < 1 << 40, "{told:?}");
        let tokens_per_s = tree.nodes[&no].loads.accounts()[0].tokens_per_s;
        assert!(tokens_per_s <= 2_000_000 + 19 * USE_PER_MEMBER, "{tokens_per_s}");
    }
}

/// A member that claims to count many others must not get room for their loads.
#[test]
fn a_child_is_not_taken_to_count_more_members_than_are_alive() {
    let mut tree = Tree::new(20, 10, 5);
    tree.edit = |no, message| {
        if no != 15 {
            return Some(message);
        }
        let mut message = with_enormous_loads(message);
        message.members = u32::MAX;
        Some(message)
    };

    tree.pass(JOIN_TIME);

    for no in 0..15 {
        let loads = &tree.nodes[&no].loads;
        assert!(loads.members() < 2 * 20, "{} members", loads.members());
        assert!(tree.told(no, 3).attempts <= tree.others(no, 3) + 20 * 1_024);
    }
}
