//! Rates and bursts are kept, counted at the backend servers over windows of every length, and
//! calls of accounts within their rates are not refused.

use std::time::{Duration, Instant};

use config::InstanceState;
use fakes::{
    Call, End, EngineBehavior, Fleet, FleetBuilder, RecordedRequest, excess, key_of, peak,
    rt::block_on,
};
use model::prelude::AccountId;

use crate::support::{self, GuardedFleet, PlannedCall, READY_TIMEOUT, Sample};

const RATE: f64 = 40.0;
const BURST: u32 = 20;
/// The account that sends four times its rate, to all daemons in turn.
const FLOOD: &str = "flood";
const FLOOD_PER_S: f64 = 160.0;
/// An account within its rate that calls only [`HOME_DAEMON`].
const STAYING: &str = "still";
/// An account within its rate that calls all daemons in turn.
const ROAMING: &str = "roam";
const WITHIN_PER_S: f64 = 24.0;
const ACCOUNTS: [&str; 3] = [FLOOD, STAYING, ROAMING];
const TARGET_MS: u64 = 2_000;
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Time from the start of the load to the fault.
const FAULT_AT: Duration = Duration::from_millis(1_500);
/// Longer than lease, list lag, margin and the validity of tokens together.
const LONGER_THAN_LEASES: Duration = Duration::from_millis(2_600);
/// The daemon that the account [`STAYING`] calls; no test kills, suspends or replaces it.
const HOME_DAEMON: &str = "c-2";

/// The results of a run.
struct Outcome {
    samples: Vec<Sample>,
    record: Vec<RecordedRequest>,
    started: Instant,
}

impl Outcome {
    /// Returns by how many requests an account exceeded its rate and burst.
    fn excess(&self, account: &str) -> f64 {
        excess(self.record.iter().filter(|it| it.account() == account), RATE, BURST)
    }

    /// Returns the refused calls of accounts within their rates.
    fn wrongful(&self) -> Vec<&Sample> {
        let within = |it: &&Sample| !it.nonce.starts_with(FLOOD);
        self.samples.iter().filter(within).filter(|it| it.reply.end == End::Refused).collect()
    }

    fn completed(&self, account: &str) -> usize {
        let own = self.samples.iter().filter(|it| it.nonce.starts_with(account));
        own.filter(|it| it.reply.is_complete()).count()
    }

    /// Prints the results, and checks that no account exceeded its rate and that few enough calls
    /// were refused wrongly.
    fn check(&self, name: &str, max_wrongful: MaxWrongful) {
        for account in ACCOUNTS {
            let (sent, excess) = (self.count(account), self.excess(account));
            let completed = self.completed(account);
            println!("{name}: {account}: {completed} of {sent} complete, excess {excess:.2}");
        }
        let wrongful = self.wrongful();
        println!("{name}: wrongful refusals: {}", wrongful.len());
        for sample in &wrongful {
            let at = sample.sent - self.started;
            println!("  {} at {at:?}: {}", sample.nonce, sample.reply.reason);
        }
        println!("{name}: {}", support::summary(&self.samples));
        for account in ACCOUNTS {
            assert!(self.excess(account) <= 1e-6, "{account}: {}", self.excess(account));
        }
        let within = self.samples.len() - self.count(FLOOD);
        let most = match max_wrongful {
            MaxWrongful::None => 0.0,
            MaxWrongful::OnePerThousand => within as f64 / 1_000.0,
            MaxWrongful::Unlimited => f64::INFINITY,
        };
        let count = wrongful.len();
        assert!(
            count as f64 <= most,
            "{count} refused calls of accounts within their rates, allowed {most}"
        );
        assert!(self.completed(FLOOD) > 0, "the account over its rate completed no call");
    }

    fn count(&self, account: &str) -> usize {
        self.samples.iter().filter(|it| it.nonce.starts_with(account)).count()
    }
}

/// How many calls of accounts within their rates may be refused.
#[derive(Clone, Copy)]
enum MaxWrongful {
    /// None: the bound without faults.
    None,
    /// One in a thousand: the bound with one fault at a time.
    OnePerThousand,
    /// Only counted: there is no bound for two faults at the same time.
    Unlimited,
}

/// Three zones with two daemons and one server of a plain service each.
fn fleet() -> GuardedFleet {
    let mut builder = FleetBuilder::new()
        .class("plain", 0, TARGET_MS)
        .route("POST", "/s/read", Some("s"), &["plain"], true)
        .proxied();
    for account in ACCOUNTS {
        builder = builder.account(account, RATE, BURST);
    }
    for zone in ["a", "b", "c"] {
        let behavior = EngineBehavior::service(Duration::from_millis(2)).slots(32);
        builder = builder.zone(zone, 2).service("s", zone, 32, behavior);
    }
    let fleet = support::start_exclusive(builder);
    // The shares start empty and fill at the accounts' rates.
    support::sleep_for(Duration::from_millis(2_500));
    fleet
}

/// Returns the calls of one account. The targets of call `i` begin with daemon number `i`, in turn;
/// those of [`STAYING`] are only [`HOME_DAEMON`].
fn calls(fleet: &Fleet, seed: u64, account: &str, per_s: f64, span: Duration) -> Vec<PlannedCall> {
    let all: Vec<_> = fleet.daemon_names().iter().map(|it| fleet.address(it)).collect();
    let home = fleet.address(HOME_DAEMON);
    support::evenly_spread(seed, per_s, span, |i| {
        let mut targets = all.clone();
        targets.rotate_left(i % all.len());
        if account == STAYING {
            targets = vec![home];
        }
        let nonce = format!("{account}-{i}");
        let call = Call::post("/s/read").key(&key_of(account)).mark("account", account);
        let call = call.nonce(&nonce).timeout(Duration::from_secs(5));
        PlannedCall { at: Duration::ZERO, targets, call, nonce }
    })
}

/// Runs the load of all accounts for `span`, with a fault.
fn run(fleet: &mut Fleet, span: Duration, fault: impl FnOnce(&mut Fleet)) -> Outcome {
    let mut plan = calls(fleet, 1, FLOOD, FLOOD_PER_S, span);
    plan.extend(calls(fleet, 2, STAYING, WITHIN_PER_S, span));
    plan.extend(calls(fleet, 3, ROAMING, WITHIN_PER_S, span));
    let started = Instant::now();
    let load = support::start_calls(plan);
    support::sleep_for(FAULT_AT);
    fault(fleet);
    let samples = block_on(load);
    Outcome { samples, record: fleet.record(), started }
}

/// Returns a daemon that owns a share of this account and is not [`HOME_DAEMON`].
fn owner(fleet: &Fleet, account: &str) -> String {
    let id = serde_json::to_value(AccountId::of(account)).unwrap();
    let owns = |name: &String| {
        let dump = fleet.dump(name);
        let shares = dump["shares"].as_array().cloned().unwrap_or_default();
        name != HOME_DAEMON && shares.iter().any(|it| it["share"]["account"] == id)
    };
    // A baseline policy has no shares; then any daemon is as good.
    fleet
        .daemon_names()
        .into_iter()
        .find(owns)
        .unwrap_or_else(|| fleet.daemon_names().swap_remove(0))
}

/// All daemons get calls of the same accounts. If each of them applied the rate on its own, the sum
/// would exceed it.
#[test]
fn rates_hold_without_faults() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD_DURATION, |_| {});

    outcome.check("no fault", MaxWrongful::None);
}

/// Tokens granted by the killed owner may still be valid when another daemon takes over its shares;
/// if that one granted them anew, accounts would exceed their rates.
#[test]
fn rates_hold_when_an_owner_is_killed() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| {
        fleet.kill(&owner).unwrap();
        fleet.remove_from_list(&owner);
    });

    outcome.check("owner killed", MaxWrongful::OnePerThousand);
}

/// An owner that came back with full shares would let accounts exceed their rates.
#[test]
fn rates_hold_when_an_owner_is_restarted_at_once() {
    let mut fleet = fleet();
    let owner = owner(&fleet, ROAMING);

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| fleet.restart(&owner).unwrap());

    outcome.check("owner restarted", MaxWrongful::OnePerThousand);
}

/// The owner resumes after another daemon has taken over its shares. If both granted tokens,
/// accounts would exceed their rates.
#[test]
fn rates_hold_when_an_owner_is_suspended_past_every_lease() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| {
        fleet.pause(&owner).unwrap();
        // The platform removes the owner from the list as dead; it resumes without having noticed.
        fleet.remove_from_list(&owner);
        support::sleep_for(LONGER_THAN_LEASES);
        fleet.resume(&owner).unwrap();
        fleet.add_to_list(&owner);
    });

    outcome.check("owner suspended", MaxWrongful::OnePerThousand);
}

/// Both sides of the cut get calls of the same accounts. If each side granted the full rate, the
/// sum would exceed it.
#[test]
fn rates_hold_when_a_zone_is_cut_off() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| {
        let net = fleet.net.as_ref().unwrap();
        net.cut_zone("a");
        support::sleep_for(LONGER_THAN_LEASES);
        net.heal().unwrap();
    });

    outcome.check("zone cut", MaxWrongful::OnePerThousand);
}

/// [`HOME_DAEMON`], to which one account sends all its calls, is in the zone that is cut off.
#[test]
fn rates_hold_when_the_callers_zone_is_cut_off() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| {
        let net = fleet.net.as_ref().unwrap();
        net.cut_zone("c");
        support::sleep_for(LONGER_THAN_LEASES);
        net.heal().unwrap();
    });

    outcome.check("callers' zone cut", MaxWrongful::OnePerThousand);
}

/// With two faults at the same time, refusals are only counted; the rates must still hold.
#[test]
fn rates_hold_when_a_zone_is_cut_off_and_an_owner_is_suspended() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| {
        fleet.pause(&owner).unwrap();
        fleet.net.as_ref().unwrap().cut_zone("b");
        support::sleep_for(LONGER_THAN_LEASES);
        fleet.resume(&owner).unwrap();
        fleet.net.as_ref().unwrap().heal().unwrap();
    });

    outcome.check("zone cut, owner suspended", MaxWrongful::Unlimited);
}

/// The owner still runs when it is removed from the list, and daemons see the change late. The old
/// and the new owner must not grant tokens at the same time.
#[test]
fn rates_hold_when_the_instance_list_lags() {
    let mut fleet = fleet();
    let owner = owner(&fleet, FLOOD);

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| {
        let lag = fleet.settings_of(&owner).ownership.list_lag_ms;
        fleet.platform.set_list_lag(Duration::from_millis(lag));
        fleet.remove_from_list(&owner);
        support::sleep_for(LONGER_THAN_LEASES);
        fleet.add_to_list(&owner);
    });

    outcome.check("list lags", MaxWrongful::OnePerThousand);
}

/// Each replacement moves shares to other daemons. Tokens granted twice would exceed the rates;
/// lost ones would cause refusals of accounts within their rates.
#[test]
fn rates_hold_when_all_instances_are_replaced_one_by_one() {
    let mut fleet = fleet();

    let outcome = run(&mut fleet, LOAD_DURATION * 2, |fleet| {
        for name in fleet.daemon_names().into_iter().filter(|it| it != HOME_DAEMON) {
            fleet.set_state(&name, InstanceState::Leaving);
            fleet.terminate(&name).unwrap();
            fleet.wait_exit(&name, READY_TIMEOUT).unwrap();
            fleet.restart(&name).unwrap();
            fleet.set_state(&name, InstanceState::Live);
            fleet.wait_ready(&name, READY_TIMEOUT).unwrap();
        }
    });

    outcome.check("rolling replacement", MaxWrongful::OnePerThousand);
}

/// Tokens granted at the higher rate must not let the account exceed the lower one once that is in
/// force.
#[test]
fn rates_hold_when_operators_change_them() {
    const LOW: f64 = 10.0;
    const LOW_BURST: u32 = 5;
    let mut fleet = fleet();
    let spread = Duration::from_millis(fleet.settings_of(HOME_DAEMON).ownership.spread_ms);
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

    let outcome = run(&mut fleet, LOAD_DURATION, |fleet| {
        low_from = Some(set(fleet, LOW, LOW_BURST));
        support::sleep_for(LONGER_THAN_LEASES);
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
