//! Servers that name in their responses how many requests they take from the whole fleet.

use std::sync::Arc;

use dispatch::{AttemptEnd, Event, RequestKey, RequestRate, ServerEntry};
use model::prelude::*;

use crate::{
    fleet::{Fleet, STEP},
    support::{attempts, catalog, prompt, server},
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
