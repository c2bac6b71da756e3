//! Rates and bursts, counted at the backend servers over windows of every length, and calls that
//! are refused although their account is within its rate.

use std::time::{Duration, Instant};

use config::InstanceState;
use fakes::{Call, End, Entry, Fleet, FleetBuilder, Knobs, excess, key_of, peak, rt::block_on};
use model::prelude::AccountId;

use crate::support::{self, Bench, Planned, READY_LIMIT, Sample};

const RATE: f64 = 40.0;
const BURST: u32 = 20;
/// The account that sends several times its rate through all daemons.
const FLOOD: &str = "flood";
const FLOOD_PER_S: f64 = 160.0;
/// Accounts within their rates: one calls one daemon only, one each daemon in turn.
const STILL: &str = "still";
const ROAM: &str = "roam";
const WITHIN_PER_S: f64 = 24.0;
const ACCOUNTS: [&str; 3] = [FLOOD, STILL, ROAM];
const TARGET_MS: u64 = 2_000;
const LOAD: Duration = Duration::from_secs(6);
/// From the start of the load to the fault.
const FAULT_AT: Duration = Duration::from_millis(1_500);
/// Longer than lease, list lag, margin and the validity of tokens together.
const PAST_LEASES: Duration = Duration::from_millis(2_600);
/// The daemon that the account `still` calls; the faults leave it alone.
const HOME: &str = "c-2";

/// What a run showed.
struct Outcome {
    samples: Vec<Sample>,
    record: Vec<Entry>,
    started: Instant,
}

impl Outcome {
    /// Returns by how much an account passed its rate.
    fn excess(&self, account: &str) -> f64 {
        excess(self.record.iter().filter(|it| it.account() == account), RATE, BURST)
    }

    /// Returns the refusals of accounts within their rates.
    fn wrongful(&self) -> Vec<&Sample> {
        let within = |it: &&Sample| !it.nonce.starts_with(FLOOD);
        self.samples.iter().filter(within).filter(|it| it.reply.end == End::Refused).collect()
    }

    fn completed(&self, account: &str) -> usize {
        let own = self.samples.iter().filter(|it| it.nonce.starts_with(account));
        own.filter(|it| it.reply.is_whole()).count()
    }

    /// Prints the run and checks both sides of the rule.
    fn judge(&self, name: &str, most_wrongful: MostWrongful) {
        for account in ACCOUNTS {
            let (sent, excess) = (self.count(account), self.excess(account));
            let completed = self.completed(account);
            println!("{name}: {account}: {completed} of {sent} whole, excess {excess:.2}");
        }
        let wrongful = self.wrongful();
        println!("{name}: wrongful refusals: {}", wrongful.len());
        for sample in &wrongful {
            let at = sample.sent - self.started;
            println!("  {} at {at:?}: {}", sample.nonce, sample.reply.reason);
        }
        println!("{name}: {}", support::ends(&self.samples));
        for account in ACCOUNTS {
            assert!(self.excess(account) <= 1e-6, "{account}: {}", self.excess(account));
        }
        let within = self.samples.len() - self.count(FLOOD);
        let most = match most_wrongful {
            MostWrongful::None => 0.0,
            MostWrongful::OneInAThousand => within as f64 / 1_000.0,
            MostWrongful::OnlyCounted => f64::INFINITY,
        };
        let count = wrongful.len();
        assert!(count as f64 <= most, "{count} refusals of accounts within their rates");
        assert!(self.completed(FLOOD) > 0, "the account over its rate gets nothing");
    }

    fn count(&self, account: &str) -> usize {
        self.samples.iter().filter(|it| it.nonce.starts_with(account)).count()
    }
}

/// How many calls of accounts within their rates may be refused.
#[derive(Clone, Copy)]
enum MostWrongful {
    /// None, as without faults.
    None,
    /// The aim with one fault at a time.
    OneInAThousand,
    /// There is no aim for two faults at once.
    OnlyCounted,
}

/// Two daemons and one server of a plain service in each of three zones.
fn fleet() -> Bench {
    let mut builder = FleetBuilder::new()
        .class("plain", 0, TARGET_MS)
        .route("POST", "/s/read", Some("s"), &["plain"], true)
        .proxied();
    for account in ACCOUNTS {
        builder = builder.account(account, RATE, BURST);
    }
    for zone in ["a", "b", "c"] {
        let knobs = Knobs::service(Duration::from_millis(2)).slots(32);
        builder = builder.zone(zone, 2).service("s", zone, 32, knobs);
    }
    let fleet = support::start_alone(builder);
    // The shares start empty: their tokens come with time.
    support::pass(Duration::from_millis(2_500));
    fleet
}

/// Plans the calls of one account; the targets of call `i` begin with the daemon number `i` if it
/// roams.
fn calls(fleet: &Fleet, seed: u64, account: &str, per_s: f64, span: Duration) -> Vec<Planned> {
    let all: Vec<_> = fleet.names().iter().map(|it| fleet.address(it)).collect();
    let home = fleet.address(HOME);
    support::steady(seed, per_s, span, |i| {
        let mut targets = all.clone();
        targets.rotate_left(i % all.len());
        if account == STILL {
            targets = vec![home];
        }
        let nonce = format!("{account}-{i}");
        let call = Call::post("/s/read").key(&key_of(account)).mark("account", account);
        let call = call.nonce(&nonce).timeout(Duration::from_secs(5));
        Planned { at: Duration::ZERO, targets, call, nonce }
    })
}

/// Runs the load of all accounts with a fault.
fn run(fleet: &mut Fleet, span: Duration, fault: impl FnOnce(&mut Fleet)) -> Outcome {
    let mut plan = calls(fleet, 1, FLOOD, FLOOD_PER_S, span);
    plan.extend(calls(fleet, 2, STILL, WITHIN_PER_S, span));
    plan.extend(calls(fleet, 3, ROAM, WITHIN_PER_S, span));
    let started = Instant::now();
    let load = support::launch(plan);
    support::pass(FAULT_AT);
    fault(fleet);
    let samples = block_on(load);
    Outcome { samples, record: fleet.record(), started }
}

/// Returns a daemon that owns a share of this account and is not [`HOME`].
fn owner(fleet: &Fleet, account: &str) -> String {
    let id = serde_json::to_value(AccountId::of(account)).unwrap();
    let owns = |name: &String| {
        let dump = fleet.dump(name);
        let shares = dump["shares"].as_array().cloned().unwrap_or_default();
        name != HOME && shares.iter().any(|it| it["share"]["account"] == id)
    };
    // Without shares, as with a baseline policy, any daemon will do.
    fleet.names().into_iter().find(owns).unwrap_or_else(|| fleet.names().swap_remove(0))
}

#[test]
fn rates_hold_without_faults() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD, |_| {});

    outcome.judge("no fault", MostWrongful::None);
}

#[test]
fn rates_hold_when_an_owner_is_killed() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD, |fleet| {
        fleet.kill(&owner).unwrap();
        fleet.delist(&owner);
    });

    outcome.judge("owner killed", MostWrongful::OneInAThousand);
}

#[test]
fn rates_hold_when_an_owner_is_killed_and_comes_back_at_once() {
    let mut fleet = fleet();
    let owner = owner(&fleet, ROAM);

    let outcome = run(&mut fleet, LOAD, |fleet| fleet.restart(&owner).unwrap());

    outcome.judge("owner restarted", MostWrongful::OneInAThousand);
}

#[test]
fn rates_hold_when_an_owner_sleeps_past_every_lease() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD, |fleet| {
        fleet.pause(&owner).unwrap();
        // The platform takes it for dead, and it wakes up as if nothing had happened.
        fleet.delist(&owner);
        support::pass(PAST_LEASES);
        fleet.resume(&owner).unwrap();
        fleet.enlist(&owner);
    });

    outcome.judge("owner paused", MostWrongful::OneInAThousand);
}

#[test]
fn rates_hold_when_a_zone_is_cut_off() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD, |fleet| {
        let net = fleet.net.as_ref().unwrap();
        net.cut_zone("a");
        support::pass(PAST_LEASES);
        net.heal().unwrap();
    });

    outcome.judge("zone cut", MostWrongful::OneInAThousand);
}

#[test]
fn rates_hold_when_the_callers_zone_is_cut_off() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD, |fleet| {
        let net = fleet.net.as_ref().unwrap();
        net.cut_zone("c");
        support::pass(PAST_LEASES);
        net.heal().unwrap();
    });

    outcome.judge("callers' zone cut", MostWrongful::OneInAThousand);
}

#[test]
fn rates_hold_when_a_zone_is_cut_off_and_an_owner_sleeps() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD, |fleet| {
        fleet.pause(&owner).unwrap();
        fleet.net.as_ref().unwrap().cut_zone("b");
        support::pass(PAST_LEASES);
        fleet.resume(&owner).unwrap();
        fleet.net.as_ref().unwrap().heal().unwrap();
    });

    outcome.judge("zone cut, owner paused", MostWrongful::OnlyCounted);
}

#[test]
fn rates_hold_when_the_instance_list_lags() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD, |fleet| {
        let lag = fleet.settings_of(&owner).ownership.list_lag_ms;
        fleet.platform.lag(Duration::from_millis(lag));
        fleet.delist(&owner);
        support::pass(PAST_LEASES);
        fleet.enlist(&owner);
    });

    outcome.judge("list lags", MostWrongful::OneInAThousand);
}

#[test]
fn rates_hold_when_all_instances_are_replaced_one_by_one() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD * 2, |fleet| {
        for name in fleet.names().into_iter().filter(|it| it != HOME) {
            fleet.mark(&name, InstanceState::Leaving);
            fleet.terminate(&name).unwrap();
            fleet.wait_exit(&name, READY_LIMIT).unwrap();
            fleet.restart(&name).unwrap();
            fleet.mark(&name, InstanceState::Live);
            fleet.wait_ready(&name, READY_LIMIT).unwrap();
        }
    });

    outcome.judge("rolling replacement", MostWrongful::OneInAThousand);
}

#[test]
fn rates_hold_when_operators_change_them() {
    const LOW: f64 = 10.0;
    const LOW_BURST: u32 = 5;
    let mut fleet = fleet();
    let spread = Duration::from_millis(fleet.settings_of(HOME).ownership.spread_ms);
    let set = |fleet: &mut Fleet, rate: f64, burst: u32| {
        let change = |config: &mut config::Config| {
            let accounts = config.accounts.iter_mut().filter(|it| it.name == FLOOD);
            accounts.for_each(|it| (it.rate, it.burst) = (rate, burst));
        };
        fleet.publish(change).unwrap();
        Instant::now()
    };
    let mut low_from = None;
    let mut low_until = None;

    let outcome = run(&mut fleet, LOAD, |fleet| {
        low_from = Some(set(fleet, LOW, LOW_BURST));
        support::pass(PAST_LEASES);
        low_until = Some(Instant::now());
        set(fleet, RATE, BURST);
    });

    let (low_from, low_until) = (low_from.unwrap() + spread, low_until.unwrap());
    let low = outcome
        .record
        .iter()
        .filter(|it| it.account() == FLOOD && it.at >= low_from && it.at < low_until);
    let low_excess = excess(low.clone(), LOW, LOW_BURST);
    let low_peak = peak(low, Duration::from_secs(1));
    println!("rate changed: excess over the low rate {low_excess:.2}, {low_peak} within a second");
    assert!(low_excess <= 1e-6, "{low_excess}");
    for account in ACCOUNTS {
        assert!(outcome.excess(account) <= 1e-6, "{account}: {}", outcome.excess(account));
    }
    assert_eq!(outcome.wrongful().len(), 0);
}
