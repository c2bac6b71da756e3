//! The limits of whole fleets, in which instances restart, leave, are cut off and get other callers: in
//! every window what all processes send adds up to no more than the limit.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddrV4;

use dispatch::{Bounds, FleetKnowledge, RequestWindow, RetryBudget, Share};
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;

const ZONES: u32 = 3;
/// The time from the start of a process until gossip has found the others.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// The window of limits that servers name.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const START: Time = Time::from_millis(1_000_000);

/// A process and the limits that it keeps.
struct Process {
    started: Time,
    share: Share,
    budget: RetryBudget,
    /// What it has sent to a server that names a limit.
    limited: RequestWindow,
}

/// Processes that each keep their part of one budget, and what they sent in all.
struct Fleet {
    now: Time,
    bounds: Bounds,
    /// By the number of their address; `None` if none runs there.
    processes: Vec<Option<Process>>,
    requests: Vec<Time>,
    retries: Vec<Time>,
}

fn address(no: usize) -> SocketAddrV4 {
    let no = u16::try_from(no).unwrap();
    SocketAddrV4::new([10, 2, (no >> 8) as u8, no as u8].into(), 7_000)
}

impl Fleet {
    /// Returns a fleet whose processes have run for a long time.
    fn new(size: usize, bounds: Bounds) -> Self {
        let now = START;
        let mut fleet =
            Self { now, bounds, processes: Vec::new(), requests: Vec::new(), retries: Vec::new() };
        for no in 0..size {
            fleet.processes.push(None);
            fleet.start(no);
        }
        fleet.pass(60_000, |_| {});
        fleet
    }

    /// Starts a process at an address, in place of the former one if there is one.
    fn start(&mut self, no: usize) {
        let share = Share::new(self.now, address(no), ZONES);
        let budget = RetryBudget::default();
        let limited = RequestWindow::new(LIMIT_WINDOW);
        let process = Process { started: self.now, share, budget, limited };
        self.processes[no] = Some(process);
    }

    /// Ends a process that has announced that it leaves.
    fn leave(&mut self, no: usize) {
        self.processes[no] = None;
    }

    /// Lets time pass. All processes know each other, and `act` is called every 10 ms.
    fn pass(&mut self, millis: u64, mut act: impl FnMut(&mut Self)) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            let running = self.processes.iter().enumerate().filter(|it| it.1.is_some());
            let members: Vec<_> = running.map(|it| address(it.0)).collect();
            for process in self.processes.iter_mut().flatten() {
                let knowledge = if self.now.since(process.started) >= SETTLE_TIME {
                    FleetKnowledge::Settled
                } else {
                    FleetKnowledge::Unsettled
                };
                process.share.update(self.now, members.iter().copied(), knowledge);
            }
            act(self);
        }
    }

    fn request(&mut self, no: usize) {
        let Some(process) = &mut self.processes[no] else { return };
        process.budget.request(self.now, &self.bounds);
        self.requests.push(self.now);
    }

    /// Sends a retry from a process if its budget allows that.
    fn retry(&mut self, no: usize) {
        let Some(Process { share, budget, .. }) = &mut self.processes[no] else { return };
        if budget.reserve(self.now, &self.bounds, share) {
            budget.spend(self.now, &self.bounds);
            self.retries.push(self.now);
        }
    }

    /// Sends as many retries from each process as its budget allows, ten at most.
    fn retry_everywhere(&mut self) {
        for no in 0..self.processes.len() {
            for _ in 0..10 {
                self.retry(no);
            }
        }
    }

    /// Sends as many requests from each process to a server as its limit allows in a window.
    fn send_limited(&mut self, limit: u32, sent: &mut Vec<Time>) {
        let server = ServerId::of("limited");
        for Process { share, limited, .. } in self.processes.iter_mut().flatten() {
            let part = share.whole_units_over(self.now, LIMIT_WINDOW, limit, server);
            while limited.count(self.now) < part {
                limited.record(self.now);
                sent.push(self.now);
            }
        }
    }

    /// Returns by how much the retries in some window exceed the budget at most; at most 0 if they never
    /// do.
    fn worst_excess(&self) -> f64 {
        let Bounds { retry_window: window, retry_ratio, retry_slack, .. } = self.bounds;
        let within = |times: &[Time], end: Time| {
            let from = end - window;
            (times.partition_point(|at| *at <= end) - times.partition_point(|at| *at <= from))
                as f64
        };
        let excesses = self.retries.iter().map(|end| {
            // The requests that count are those of this window, or of one that began earlier.
            let requests =
                [0, 1, 2].map(|halves| within(&self.requests, *end - window / 2 * halves));
            let most = requests.into_iter().fold(0.0, f64::max);
            within(&self.retries, *end) - most * retry_ratio - retry_slack
        });
        excesses.fold(f64::MIN, f64::max)
    }
}

/// Returns bounds under which only the slack pays for retries.
fn only_slack(retry_slack: f64) -> Bounds {
    Bounds { retry_slack, retry_ratio: 0.0, ..Bounds::default() }
}

/// Guards against restarted processes that spend again what their predecessors had spent in the same
/// window.
#[test]
fn the_slack_of_a_fleet_is_not_granted_again_when_half_of_it_restarts_three_times_in_a_window() {
    let mut fleet = Fleet::new(8, only_slack(56.0));

    for restart in 0..3 {
        fleet.pass(3_000, Fleet::retry_everywhere);
        for no in 0..4 {
            fleet.start((no + restart) % 8);
        }
    }
    fleet.pass(20_000, Fleet::retry_everywhere);

    let excess = fleet.worst_excess();
    assert!(!fleet.retries.is_empty());
    assert!(excess <= 0.0, "{excess} retries beyond the slack of 56");
}

/// Guards against shares that grow within the window in which members that have left spent theirs.
#[test]
fn the_slack_of_a_fleet_is_kept_when_most_members_leave_within_a_window() {
    for (size, left) in [(12, 6), (60, 30), (60, 50)] {
        let mut fleet = Fleet::new(size, only_slack(160.0));

        fleet.pass(2_000, Fleet::retry_everywhere);
        for no in 0..left {
            fleet.leave(no);
        }
        fleet.pass(20_000, Fleet::retry_everywhere);

        let excess = fleet.worst_excess();
        assert!(excess <= 0.0, "{excess} retries beyond the slack, {left} of {size} left");
    }
}

/// Guards against parts of the ratio that are each taken from another window: the requests move from
/// some instances to others, as they do when instances are lost and come back.
#[test]
fn retries_stay_within_the_ratio_while_requests_move_between_instances() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let bounds = Bounds { retry_slack: 0.0, ..Bounds::default() };
        let size = rng.random_range(2..24_usize);
        let mut fleet = Fleet::new(size, bounds);

        for _ in 0..12 {
            let all: Vec<_> = (0..size).collect();
            let serving: Vec<_> = all.sample(&mut rng, size.div_ceil(3)).copied().collect();
            let (per_step, fails) = (rng.random_range(1..8), rng.random_bool(0.5));
            fleet.pass(rng.random_range(100..600) * 10, |fleet| {
                for _ in 0..per_step {
                    fleet.request(*serving.choose(&mut rng).unwrap());
                }
                if fails {
                    fleet.retry_everywhere();
                }
            });
        }

        let excess = fleet.worst_excess();
        assert!(!fleet.retries.is_empty());
        assert!(excess <= 0.0, "seed {seed}: {excess} retries beyond the ratio");
    }
}

/// Guards against a rule for the ratio under which instances would hardly retry.
#[test]
fn a_steady_fleet_can_use_almost_its_whole_ratio_for_steady_retries() {
    let mut fleet = Fleet::new(8, Bounds { retry_slack: 0.0, ..Bounds::default() });
    let serve_and_retry = |fleet: &mut Fleet| {
        for no in 0..8 {
            fleet.request(no);
            fleet.retry(no);
        }
    };

    fleet.pass(40_000, serve_and_retry);

    let window = fleet.bounds.retry_window;
    let end = fleet.now;
    let in_window = |times: &[Time]| times.iter().filter(|at| end.since(**at) < window).count();
    let (requests, retries) = (in_window(&fleet.requests), in_window(&fleet.retries));
    let allowed = fleet.bounds.retry_ratio * requests as f64;
    assert!(retries as f64 >= 0.9 * allowed, "{retries} retries of {allowed} allowed");
}

/// Guards against a rule for the ratio under which a fleet could not retry at the start of traffic.
#[test]
fn a_fleet_can_use_a_part_of_its_ratio_from_the_start_of_traffic() {
    let mut fleet = Fleet::new(8, Bounds { retry_slack: 0.0, ..Bounds::default() });

    fleet.pass(4_000, |fleet| {
        for no in 0..8 {
            fleet.request(no);
            fleet.retry(no);
        }
    });

    let allowed = fleet.bounds.retry_ratio * fleet.requests.len() as f64;
    let retries = fleet.retries.len();
    assert!(retries as f64 >= 0.4 * allowed, "{retries} retries of {allowed} allowed");
}

/// Guards against limits of servers that are exceeded by processes that restart and members that leave: both
/// have used their part of a window.
#[test]
fn requests_to_a_limited_server_stay_within_its_limit_while_members_restart_and_leave() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (size, limit) = (rng.random_range(2..80_usize), rng.random_range(5..60));
        let mut fleet = Fleet::new(size, Bounds::default());
        let mut sent = Vec::new();

        for _ in 0..20 {
            fleet
                .pass(rng.random_range(10..300) * 10, |fleet| fleet.send_limited(limit, &mut sent));
            for no in 0..size {
                match rng.random_range(0..10) {
                    0 => fleet.leave(no),
                    1 | 2 => fleet.start(no),
                    _ => {}
                }
            }
        }

        let within = |end: &Time| {
            sent.iter().filter(|at| **at <= *end && end.since(**at) < LIMIT_WINDOW).count()
        };
        let most = sent.iter().map(within).max().unwrap_or_default();
        assert!(most <= limit as usize, "seed {seed}: {most} of {limit} from {size} instances");
        assert!(sent.len() > limit as usize, "seed {seed}: {} from {size} instances", sent.len());
    }
}
