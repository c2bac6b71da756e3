//! What instances tell each other of servers that say that they leave.

use std::collections::BTreeSet;

use dispatch::{AttemptEnd, Effect, Event, ServerEntry};
use gossip::{IncarnationTag, Member, Members, ViewStatus};

use crate::support::{Bench, address, attempts, prompt, refusals, server};

fn entry(no: u8) -> ServerEntry {
    server(&format!("e{no}"), "ledger", 10 + no)
}

fn servers(count: u8) -> Bench {
    Bench::new((1..=count).map(entry).collect())
}

/// Sends a request that is answered, and returns the last byte of its server's address.
fn serve(bench: &mut Bench) -> u8 {
    let (key, effects) = bench.request("order", prompt(0, 0, 0));
    bench.step(Event::Sent { key });
    bench.ended(key, AttemptEnd::Completed { is_success: true });
    attempts(&effects)[0].1.address.ip().octets()[3]
}

/// Returns the tags that an instance tells its peers when this server says that it leaves, for this
/// long after it did.
fn told_after(bench: &mut Bench, millis: u64) -> Vec<IncarnationTag> {
    bench.receive_peer_read();
    let (key, _) = bench.request("order", prompt(0, 0, 0));
    bench.step(Event::Sent { key });
    bench.step(Event::ServerLeaving { key });
    bench.ended(key, AttemptEnd::Completed { is_success: true });
    bench.pass(millis);
    let packets = bench.pass(400).into_iter().filter_map(|effect| match effect {
        Effect::Send(outgoing) => Some(outgoing.packet),
        _ => None,
    });
    let packets: Vec<_> = packets.collect();
    assert!(!packets.is_empty(), "nothing is told");
    packets.into_iter().flat_map(|it| it.leaving).collect()
}

/// Returns the tag of the one server that this instance uses.
fn tag_of(entry: ServerEntry) -> IncarnationTag {
    told_after(&mut Bench::new(vec![entry]), 0)[0]
}

/// Delivers a packet of another instance that tells of leaving servers.
fn tell(bench: &mut Bench, tags: &[IncarnationTag]) {
    let member =
        Member { address: address(3, 7000), incarnation: 2, heartbeat: 0, is_leaving: false };
    let mut peer = Members::new(bench.now, member, &[address(1, 7000)], 2);
    let (mut packets, _) = peer.tick(bench.now, ViewStatus::default(), &[]);
    packets[0].packet.leaving = tags.to_vec();
    bench.step(Event::Packet(packets.remove(0).packet));
}

fn hosts(bench: &mut Bench, count: usize) -> BTreeSet<u8> {
    (0..count).map(|_| serve(bench)).collect()
}

#[test]
fn an_instance_tells_its_peers_for_a_short_time_which_servers_leave() {
    let soon = told_after(&mut servers(2), 0);
    let later = told_after(&mut servers(2), 2_500);

    assert!(!soon.is_empty());
    assert_eq!(soon.iter().collect::<BTreeSet<_>>().len(), 1);
    assert!(later.is_empty(), "{later:?}");
}

#[test]
fn servers_that_leave_as_a_peer_says_are_not_preferred() {
    let mut bench = servers(2);
    let leaving = serve(&mut bench);

    tell(&mut bench, &[tag_of(entry(leaving - 10))]);

    assert!(!hosts(&mut bench, 30).contains(&leaving));
}

/// Guards against a peer that takes a server out of use for longer by repeating a false report.
#[test]
fn a_report_counts_for_a_short_time_however_often_it_is_repeated() {
    let mut bench = servers(2);
    let leaving = serve(&mut bench);
    let tag = tag_of(entry(leaving - 10));

    for _ in 0..21 {
        tell(&mut bench, &[tag]);
        bench.pass(100);
        bench.read();
    }
    // They run at the same time, so that both servers are wanted.
    let attempts: BTreeSet<_> = (0..10)
        .flat_map(|no| attempts(&bench.request("order", prompt(0, 0, no)).1))
        .map(|it| it.1.address.ip().octets()[3])
        .collect();

    assert!(attempts.contains(&leaving), "{attempts:?}");
}

/// Guards against a false report that keeps requests waiting or gets them refused.
#[test]
fn a_false_report_takes_no_server_out_of_use() {
    let (mut told, mut untold) = (servers(2), servers(2));
    tell(&mut told, &[1, 2].map(|no| tag_of(entry(no))));

    let [told, untold] = [&mut told, &mut untold].map(|bench| {
        let effects: Vec<_> =
            (0..60).flat_map(|no| bench.request("order", prompt(0, 0, no)).1).collect();
        (attempts(&effects).len(), refusals(&effects).len())
    });

    assert_eq!(told, untold);
}

#[test]
fn a_report_does_not_count_for_another_incarnation() {
    let mut bench = servers(2);
    let leaving = serve(&mut bench);
    let tag = tag_of(entry(leaving - 10));

    bench.list(ServerEntry { incarnation: 2, ..entry(leaving - 10) });
    bench.pass(1_000);
    bench.read();
    tell(&mut bench, &[tag]);
    let attempts: BTreeSet<_> = (0..10)
        .flat_map(|no| attempts(&bench.request("order", prompt(0, 0, no)).1))
        .map(|it| it.1.address.ip().octets()[3])
        .collect();

    assert!(attempts.contains(&leaving), "{attempts:?}");
}
