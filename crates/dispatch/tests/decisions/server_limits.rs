//! Servers that name in their responses how many requests they take from the whole fleet.

use std::{collections::BTreeSet, sync::Arc};

use dispatch::{
    AttemptEnd, Effect, Event, RequestKey, RequestRate, ServerChange, ServerEntry, State,
};
use gossip::{LimitNotice, Member, Members, ViewStatus};
use model::prelude::*;

use crate::{
    fleet::{Fleet, STEP},
    support::{Bench, address, attempts, catalog, prompt, refusals, server, setup},
};

/// The window over which the requests to such a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first naming until the limit must be kept.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Requests count from instances that were told at least this long before.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// How long a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(30);
const LIMITED: &str = "e1";

/// A request that reached the server that names a limit.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Time,
    /// Whether its instance had been told long enough before.
    is_told: bool,
}

/// A fleet whose members all send requests to a few servers, one of which may name a limit.
struct Site {
    fleet: Fleet,
    /// The limit that the server names now.
    rate: Option<RequestRate>,
    arrivals: Vec<Arrival>,
    /// Since when each member has been told.
    told: Vec<Option<Time>>,
    /// Requests that run, with their member, whether they run at the limited server, and their end.
    running: Vec<(usize, RequestKey, bool, Time)>,
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::new(per_second)
}

fn entry(no: u8) -> ServerEntry {
    server(&format!("e{no}"), "ledger", 100 + no)
}

impl Site {
    fn new(size: u8, servers: u8) -> Self {
        let mut fleet = Fleet::new(size, &["zone-a", "zone-b", "zone-c"], &catalog(1), None);
        for bench in &mut fleet.members {
            for no in 1..=servers {
                bench.list(ServerEntry { slots: 400, ..entry(no) });
            }
        }
        let told = vec![None; usize::from(size)];
        let (arrivals, running) = (Vec::new(), Vec::new());
        Self { fleet, rate: None, arrivals, told, running }
    }

    /// Lets time pass; each member gets this many requests a second.
    fn pass(&mut self, span: Duration, requests_per_second: f64) {
        let until = self.fleet.now + span;
        let mut due = 0.0;
        while self.fleet.now < until {
            self.fleet.pass(STEP);
            due += requests_per_second * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                for no in 0..self.fleet.members.len() {
                    self.request(no);
                }
            }
            self.respond();
        }
    }

    fn request(&mut self, no: usize) {
        let bench = &mut self.fleet.members[no];
        bench.now = self.fleet.now;
        let (_, effects) = bench.request("look", prompt(0, 0, 0));
        for (key, attempt) in attempts(&effects) {
            self.send(no, key, &attempt.name);
        }
    }

    /// Sends an attempt if it still may be sent.
    fn send(&mut self, no: usize, key: RequestKey, name: &Arc<str>) {
        let (now, bench) = (self.fleet.now, &mut self.fleet.members[no]);
        if !bench.state.may_send_attempt(now, key) {
            let effects = bench.ended(key, AttemptEnd::Withdrawn);
            for (key, attempt) in attempts(&effects) {
                self.send(no, key, &attempt.name);
            }
            return;
        }
        bench.step(Event::Sent { key });
        let is_limited = &**name == LIMITED;
        if is_limited {
            let is_told = self.told[no].is_some_and(|at| now.since(at) >= TOLD_TIME);
            self.arrivals.push(Arrival { at: now, is_told });
        }
        self.running.push((no, key, is_limited, now + SERVICE_TIME));
    }

    /// Ends the requests whose time has come.
    fn respond(&mut self) {
        let now = self.fleet.now;
        let (ended, running) = self.running.iter().partition(|it| it.3 <= now);
        self.running = running;
        let ended: Vec<(usize, RequestKey, bool, Time)> = ended;
        for (no, key, is_limited, _) in ended {
            let bench = &mut self.fleet.members[no];
            if is_limited {
                bench.step(Event::ServerLimit { key, rate: self.rate });
                self.told[no] = self.told[no].or(self.rate.map(|_| now));
            }
            let effects = bench.ended(key, AttemptEnd::Completed { is_success: true });
            for (key, attempt) in attempts(&effects) {
                self.send(no, key, &attempt.name);
            }
        }
    }

    /// Returns the most requests within a window, from some time on, of members that were told.
    fn most_from(&self, from: Time) -> usize {
        let counted: Vec<_> =
            self.arrivals.iter().filter(|it| it.is_told && it.at >= from).map(|it| it.at).collect();
        let within = |end: &Time| {
            counted.iter().filter(|at| **at <= *end && end.since(**at) < WINDOW).count()
        };
        counted.iter().map(within).max().unwrap_or_default()
    }

    /// Returns how many requests reached the limited server from some time on.
    fn count_from(&self, from: Time) -> usize {
        self.arrivals.iter().filter(|it| it.at >= from).count()
    }
}

/// Returns how many requests a server that names this limit may get in a window.
fn allowed(per_second: f64) -> usize {
    (per_second * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against a server in need that gets as many requests as before from each instance, or its limit
/// from each of them.
#[test]
fn a_server_that_names_a_limit_gets_no_more_from_the_whole_fleet() {
    for (size, per_second) in [(1, 2.3), (8, 2.3), (8, 20.0), (20, 2.3), (60, 2.3), (8, 0.0)] {
        let mut site = Site::new(size, 3);
        site.pass(Duration::from_secs(2), 10.0);
        site.rate = rate(per_second);
        let named = site.fleet.now;

        site.pass(Duration::from_secs(16), 10.0);

        let most = site.most_from(named + NOTICE_TIME);
        let allowed = allowed(per_second);
        assert!(
            most <= allowed,
            "{most} of {allowed} from {size} instances, {per_second} a second"
        );
        let used = site.count_from(named + NOTICE_TIME);
        assert!(used > 0, "nothing from {size} instances, {per_second} a second");
    }
}

/// Guards against limits that outlive their end, also at instances that may send nothing to the server.
#[test]
fn all_instances_use_a_server_again_after_it_names_no_limit_any_more() {
    for size in [8, 40] {
        let mut site = Site::new(size, 3);
        site.rate = rate(2.3);
        site.pass(Duration::from_secs(8), 10.0);

        site.rate = None;
        site.pass(Duration::from_secs(15), 10.0);
        let later = site.fleet.now;
        site.pass(Duration::from_secs(2), 10.0);

        // One of three servers gets a third of the requests, give or take.
        let count = site.count_from(later);
        assert!(count > 2 * 10 * usize::from(size) / 6, "{count} requests, {size} instances");
        let limited = site.fleet.members.iter().map(|it| it.state.limited_servers(it.now).len());
        assert_eq!(limited.sum::<usize>(), 0, "{size} instances");
    }
}

/// Guards against a limit that is exceeded while it changes with each response.
#[test]
fn a_limit_that_falls_is_kept_and_one_that_rises_is_used() {
    let mut site = Site::new(8, 3);
    site.rate = rate(40.0);
    site.pass(Duration::from_secs(8), 20.0);
    let high = site.count_from(site.fleet.now - WINDOW);
    site.rate = rate(2.0);
    site.pass(Duration::from_secs(8), 20.0);
    let (low, fell) = (site.most_from(site.fleet.now - WINDOW), site.fleet.now);
    site.rate = rate(40.0);
    site.pass(Duration::from_secs(12), 20.0);
    let high_again = site.count_from(site.fleet.now - WINDOW);

    assert!(high <= allowed(40.0) && high > 100, "{high} at 40 a second");
    assert!(low <= allowed(2.0), "{low} at 2 a second");
    assert!(high_again > 100, "{high_again} at 40 a second again, since {fell:?}");
}

/// Guards against callers that pay for a limit although other servers have room, or are not told when to
/// come back where none has.
#[test]
fn requests_beyond_the_limits_go_to_other_servers_or_are_refused_as_not_run() {
    let mut other = limited(2, 0.0);
    let mut only = limited(1, 0.0);

    let served =
        (0..20).filter(|_| !attempts(&other.request("look", prompt(0, 0, 0)).1).is_empty());
    let served = served.count();
    let sent: usize =
        (0..5).map(|_| attempts(&only.request("look", prompt(0, 0, 0)).1).len()).sum();
    let refused = refusals(&only.pass(1_000));

    // Five requests in 4 s are allowed, and one of four instances that may run gets one of them.
    assert_eq!((served, sent, refused.len()), (20, 1, 4));
    assert!(refused.iter().all(|it| it.1.execution == Execution::NotRun));
    assert!(refused.iter().all(|it| it.1.retry_after.is_some()));
}

/// Guards against retries and resumed generations beside the limit.
#[test]
fn retries_and_resumed_generations_count_for_a_limit() {
    let mut bench = limited(2, 2.3);
    let mut retries = 0;
    for _ in 0..40 {
        let (key, effects) = bench.request("look", prompt(0, 0, 0));
        if attempts(&effects).first().is_none_or(|it| &*it.1.name == LIMITED) {
            continue;
        }
        bench.step(Event::Sent { key });
        let next = bench.ended(key, AttemptEnd::Rejected { is_misdirected: false });
        for (key, _) in attempts(&next) {
            retries += 1;
            bench.step(Event::Sent { key });
        }
        bench.pass(20);
    }

    // 18 requests in 4 s are allowed, and one of four instances that may run gets four of them.
    assert!(retries <= 4, "{retries} retries");
}

/// Guards against copies of KV caches at engines in need, which a resumed generation would reach.
#[test]
fn an_engine_that_names_a_limit_gets_no_copies() {
    let servers = [("e1", 11), ("e2", 12)].map(|(name, host)| server(name, "engines", host));
    let mut bench = Bench::new(servers.into());
    let mut talk = prompt(172, 543, 1);
    talk.max_output = 280;
    let (key, effects) = bench.request("live", talk.clone());
    let limited = attempts(&effects).remove(0).1.name;
    bench.step(Event::Sent { key });
    bench.step(Event::ServerLimit { key, rate: rate(100.0) });
    bench.ended(key, AttemptEnd::Completed { is_success: true });

    let mut has_copy = [Vec::new(), Vec::new()];
    for _ in 0..20 {
        let attempt = attempts(&bench.request("live", talk.clone()).1).remove(0).1;
        has_copy[usize::from(attempt.name == limited)].push(attempt.backup.is_some());
    }

    let [at_other, at_limited] = has_copy;
    assert!(!at_other.is_empty() && at_other.iter().all(|it| !it), "{at_other:?}");
    assert!(at_limited.iter().all(|it| *it), "{at_limited:?}");
}

/// Guards against a limit that ends by a response that was made before it was named, or is lost with an
/// entry of the platform's list.
#[test]
fn only_a_response_to_a_later_request_or_a_restart_ends_a_limit() {
    let mut bench = Bench::new(vec![entry(1)]);
    let (first, _) = bench.request("look", prompt(0, 0, 0));
    bench.step(Event::Sent { key: first });
    let (second, _) = bench.request("look", prompt(0, 0, 0));
    bench.step(Event::Sent { key: second });
    bench.pass(10);

    bench.step(Event::ServerLimit { key: first, rate: rate(2.3) });
    bench.step(Event::ServerLimit { key: second, rate: None });
    let after_older = limits(&bench);
    bench.step(Event::Server(ServerChange::Unlisted(entry(1).id())));
    bench.list(entry(1));
    let after_relisting = limits(&bench);
    bench.list(ServerEntry { incarnation: 2, ..entry(1) });
    let after_restart = limits(&bench);

    assert_eq!((after_older, after_relisting, after_restart), (1, 1, 0));
}

/// Guards against requests that were decided before the limit was known and are sent after it.
#[test]
fn a_request_that_was_decided_before_a_limit_is_not_sent_beyond_it() {
    let mut bench = Bench::new(vec![entry(1)]);
    let keys: Vec<_> = (0..6).map(|_| bench.request("look", prompt(0, 0, 0)).0).collect();
    bench.step(Event::Sent { key: keys[0] });
    bench.step(Event::ServerLimit { key: keys[0], rate: rate(0.0) });

    let may_send: Vec<_> = keys[1..]
        .iter()
        .map(|key| {
            let may = bench.state.may_send_attempt(bench.now, *key);
            if may {
                bench.step(Event::Sent { key: *key });
            }
            may
        })
        .collect();

    // Five requests in 4 s are allowed, and one of four instances that may run gets one of them.
    assert_eq!(may_send, [true, false, false, false, false]);
}

/// Guards against an instance that restarts and sends again what its predecessor has sent.
#[test]
fn an_instance_that_has_just_started_sends_nothing_to_a_server_that_names_a_limit() {
    let now = Time::from_millis(10_000_000);
    let mut bench = Bench::running(State::new(now, setup()), now);
    bench.step(Event::Config(Arc::new(catalog(1))));
    bench.step(Event::Listed(vec![entry(1)]));
    bench.read();
    let (key, _) = bench.request("look", prompt(0, 0, 0));
    bench.step(Event::Sent { key });
    bench.step(Event::ServerLimit { key, rate: rate(2.3) });
    bench.ended(key, AttemptEnd::Completed { is_success: true });

    let sent_by = |bench: &mut Bench, millis: u64| {
        bench.pass(millis);
        bench.read();
        attempts(&bench.request("look", prompt(0, 0, 0)).1).len()
    };

    assert_eq!((sent_by(&mut bench, 3_000), sent_by(&mut bench, 2_000)), (0, 1));
}

/// Guards against reports of other instances that keep requests from a server for good, or let them go on
/// after the server has named a limit.
#[test]
fn a_false_report_holds_for_a_short_time_and_ends_no_limit_that_was_named_since() {
    let mut bench = Bench::new(vec![entry(1)]);
    let tag = report_of(&mut limited(1, 2.3))[0].server;
    let notice = |millis_per_second, age_ms| LimitNotice { server: tag, millis_per_second, age_ms };

    tell(&mut bench, notice(Some(0), 0));
    let told = limits(&bench);
    bench.pass(10_200);
    let later = limits(&bench);
    let mut named = limited(1, 2.3);
    tell(&mut named, notice(None, 0));
    let after_end = limits(&named);
    named.pass(3_000);
    tell(&mut named, notice(None, 2_500));
    let after_old_end = limits(&named);
    tell(&mut named, notice(None, 0));
    let after_new_end = limits(&named);

    assert_eq!((told, later), (1, 0));
    assert_eq!((after_end, after_old_end, after_new_end), (1, 1, 0));
}

/// Returns an instance with this many servers, the first of which has named a limit.
fn limited(servers: u8, per_second: f64) -> Bench {
    let mut bench = Bench::new(vec![entry(1)]);
    let (key, _) = bench.request("look", prompt(0, 0, 0));
    bench.step(Event::Sent { key });
    bench.step(Event::ServerLimit { key, rate: rate(per_second) });
    bench.ended(key, AttemptEnd::Completed { is_success: true });
    for no in 2..=servers {
        bench.list(ServerEntry { slots: 400, ..entry(no) });
    }
    bench
}

fn limits(bench: &Bench) -> usize {
    bench.state.limited_servers(bench.now).len()
}

/// Returns what an instance tells others of limits.
fn report_of(bench: &mut Bench) -> Vec<LimitNotice> {
    bench.receive_peer_read();
    let sent = bench.pass(400).into_iter().filter_map(|effect| match effect {
        Effect::Send(outgoing) => Some(outgoing.packet.limits),
        _ => None,
    });
    sent.flatten().collect()
}

/// Delivers a packet of another instance that tells of a limit.
fn tell(bench: &mut Bench, notice: LimitNotice) {
    let member =
        Member { address: address(3, 7000), incarnation: 2, heartbeat: 0, is_leaving: false };
    let mut peer = Members::new(bench.now, member, &[address(1, 7000)], 2);
    let (mut packets, _) = peer.tick(bench.now, ViewStatus::default(), &[]);
    packets[0].packet.limits = vec![notice];
    bench.step(Event::Packet(packets.remove(0).packet));
}

/// Guards against limits that others never hear of, as a packet has no room for all of them.
#[test]
fn limits_beyond_the_room_of_a_packet_are_told_by_turns() {
    let mut bench = Bench::new(Vec::new());
    for no in 1..=40 {
        bench.list(entry(no));
        let (key, _) = bench.request("look", prompt(0, 0, 0));
        bench.step(Event::Sent { key });
        bench.step(Event::ServerLimit { key, rate: rate(0.0) });
        bench.ended(key, AttemptEnd::Completed { is_success: true });
        bench.step(Event::Server(ServerChange::Unlisted(entry(no).id())));
    }

    let told: BTreeSet<_> =
        (0..12).flat_map(|_| report_of(&mut bench)).map(|notice| notice.server).collect();

    assert_eq!(told.len(), 40);
}
