//! Requests with an idempotency key run at most once.

use std::collections::BTreeSet;

use bolero::generator::produce;
use model::{msg::OnceMsg, prelude::*};
use once::{Claims, ClaimsOut, HeldKeys, KeyedRequest, RETENTION};

const WAIT: Duration = Duration::from_millis(500);
/// A time at which holders that started at 0 have run for longer than [`RETENTION`].
const OLD: Time = Time { nanos: 2 * RETENTION.as_nanos() as u64 };

/// Guards against running a request again that its caller resends through another instance.
#[test]
fn a_resend_of_a_request_that_ran_is_refused_as_a_duplicate() {
    let mut fleet = Fleet::new(3);

    let first = fleet.send(0, false);
    let resend = fleet.send(1, true);

    assert_eq!(first, Outcome::Ready);
    assert_eq!(resend, Outcome::Refused(Reason::Duplicate));
}

/// A key that stays claimed after a refusal would block every resend, although nothing ran.
#[test]
fn a_resend_of_a_request_that_freed_its_key_runs() {
    let mut fleet = Fleet::new(3);
    fleet.send(0, false);

    fleet.free(0);
    let resend = fleet.send(1, true);

    assert_eq!(resend, Outcome::Ready);
}

/// Messages may arrive in another order: the late claim of a request that has ended would block its
/// key for [`RETENTION`].
#[test]
fn a_claim_that_arrives_after_the_message_that_frees_it_does_not_claim_the_key() {
    let mut keys = HeldKeys::new(Time::default());
    let claim = OnceMsg::Claim { ask: AskId(1), key: key(), resend: false };
    let free = OnceMsg::Free { ask: AskId(1), key: key() };

    let freed = keys.handle(OLD, peer(1, 1), &free);
    let late = keys.handle(OLD, peer(1, 1), &claim);
    let other = keys.handle(OLD, peer(2, 1), &claim);

    assert_eq!(freed, None);
    assert_eq!(late, None);
    assert!(other.is_some_and(|reply| is_new(&reply.msg)));
}

/// Messages may be doubled: a holder that replies to the copy that the key was seen would have the
/// request refused as a duplicate of itself.
#[test]
fn a_claim_that_arrives_twice_gets_the_same_reply_twice() {
    let mut keys = HeldKeys::new(Time::default());
    let claim = OnceMsg::Claim { ask: AskId(1), key: key(), resend: true };

    let first = keys.handle(OLD, peer(1, 1), &claim);
    let second = keys.handle(OLD, peer(1, 1), &claim);

    assert!(first.as_ref().is_some_and(|reply| is_new(&reply.msg)));
    assert_eq!(first, second);
}

/// Holders that restarted have lost the claim and must not reply that the key is new.
#[test]
fn a_resend_after_all_holders_restarted_is_refused_as_a_possible_duplicate() {
    let mut fleet = Fleet::new(3);
    fleet.send(0, false);

    for holder in 0..3 {
        fleet.restart(holder);
    }
    let resend = fleet.send(1, true);

    assert_eq!(resend, Outcome::Refused(Reason::MaybeDuplicate));
}

/// The new holder does not know of the claim, and another one missed it: the third one must be
/// enough to refuse the resend.
#[test]
fn a_resend_after_one_holder_was_replaced_is_refused_as_a_duplicate() {
    for replaced in 0..3 {
        let mut fleet = Fleet::new(4);
        fleet.holders = vec![0, 1, 2];
        fleet.down = BTreeSet::from([(replaced + 1) % 3]);
        fleet.send(3, false);
        fleet.down.clear();

        fleet.holders[replaced] = 3;
        let resend = fleet.send(3, true);

        assert_eq!(resend, Outcome::Refused(Reason::Duplicate));
    }
}

/// A holder that is unsure of first requests as well would have them refused for [`RETENTION`]
/// after instances have left.
#[test]
fn a_holder_that_distrusts_unknown_keys_refuses_resends_only() {
    let mut fleet = Fleet::new(3);

    fleet.held_keys[1].distrust_unknown(OLD);
    let resend = fleet.send(0, true);
    let first = fleet.send(0, false);

    assert_eq!(resend, Outcome::Refused(Reason::MaybeDuplicate));
    assert_eq!(first, Outcome::Ready);
}

/// With one reply each, two requests with the same key could both run, claimed at different
/// holders.
#[test]
fn a_request_is_refused_if_only_one_of_three_holders_replies() {
    let mut fleet = Fleet::new(3);
    fleet.down = BTreeSet::from([1, 2]);

    let outcome = fleet.send(0, false);

    assert_eq!(outcome, Outcome::Refused(Reason::NoOwner));
}

/// The holder that does not reply may be the only one that knows of an earlier claim. A first
/// request needs a majority only, so that one holder that is down does not stop it.
#[test]
fn a_resend_is_refused_and_a_first_request_runs_if_one_holder_does_not_reply() {
    let mut fleet = Fleet::new(3);
    fleet.down = BTreeSet::from([2]);

    let resend = fleet.send(0, true);
    let first = fleet.send(0, false);

    assert_eq!(resend, Outcome::Refused(Reason::NoOwner));
    assert_eq!(first, Outcome::Ready);
}

/// Such fleets have fewer than three holders: these must be enough to run a request, and to refuse
/// its resend.
#[test]
fn fleets_of_one_and_two_instances_run_a_request_once() {
    for size in 1..=2 {
        let mut fleet = Fleet::new(size);

        assert_eq!(fleet.send(0, false), Outcome::Ready);
        assert_eq!(fleet.send(0, true), Outcome::Refused(Reason::Duplicate));
    }
}

/// One request is sent again and again through random instances while holders restart, stop
/// replying and reply again.
#[test]
fn a_request_runs_at_most_once_while_holders_restart_and_stop_replying() {
    #[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
    enum Step {
        Send(u8),
        Restart(u8),
        Stop(u8),
        Resume(u8),
        Pass(u8),
    }

    seeded::check(produce::<Vec<Step>>(), 4_000, |steps| {
        let mut fleet = Fleet::new(3);
        let (mut runs, mut sends) = (0, 0);
        for step in steps {
            match *step {
                Step::Send(via) => {
                    let outcome = fleet.send(usize::from(via % 3), sends > 0);
                    runs += u32::from(outcome == Outcome::Ready);
                    sends += 1;
                }
                Step::Restart(holder) => fleet.restart(usize::from(holder % 3)),
                Step::Stop(holder) => {
                    fleet.down.insert(usize::from(holder % 3));
                }
                Step::Resume(holder) => {
                    fleet.down.remove(&usize::from(holder % 3));
                }
                Step::Pass(secs) => fleet.now = fleet.now + Duration::from_secs(secs.into()),
            }
        }

        let within_retention = fleet.now < OLD + RETENTION;
        assert!(runs <= 1 || !within_retention, "the request ran {runs} times in {steps:?}");
    });
}

/// Instances, each of which takes requests and is a holder. Messages arrive without delay unless
/// the receiver is down.
struct Fleet {
    now: Time,
    held_keys: Vec<HeldKeys>,
    claims: Vec<Claims>,
    holders: Vec<usize>,
    down: BTreeSet<usize>,
    restarts: u64,
    next_no: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outcome {
    Ready,
    Refused(Reason),
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            now: OLD,
            held_keys: vec![HeldKeys::new(Time::default()); size],
            claims: (0..size).map(|instance| Claims::new(peer(instance, 0))).collect(),
            holders: (0..size).collect(),
            down: BTreeSet::new(),
            restarts: 0,
            next_no: 0,
        }
    }

    /// Sends the request through an instance and lets time pass until it may run or is refused.
    fn send(&mut self, via: usize, resend: bool) -> Outcome {
        let holders: Vec<_> = self.holders.iter().map(|holder| peer(*holder, 0).instance).collect();
        self.next_no += 1;
        let request = KeyedRequest { no: RequestNo(self.next_no), key: key(), resend };
        let out = self.claims[via].claim(self.now, request, WAIT, &holders);
        let mut outcome = self.deliver(via, out);
        loop {
            if let Some(outcome) = outcome {
                return outcome;
            }
            self.now = self.claims[via].next_wake().unwrap_or(self.now);
            let out = self.claims[via].tick(self.now);
            outcome = self.deliver(via, out);
        }
    }

    /// Frees the key of the request that was sent last.
    fn free(&mut self, via: usize) {
        let out = self.claims[via].free(self.now, RequestNo(self.next_no));
        self.deliver(via, out);
    }

    fn restart(&mut self, holder: usize) {
        self.restarts += 1;
        self.held_keys[holder] = HeldKeys::new(self.now);
        self.claims[holder] = Claims::new(peer(holder, self.restarts));
    }

    /// Delivers messages and their replies, and returns the outcome if there is one.
    fn deliver(&mut self, via: usize, out: Vec<ClaimsOut>) -> Option<Outcome> {
        let mut outcome = None;
        for out in out {
            let (to, msg) = match out {
                ClaimsOut::Ready { .. } => return Some(Outcome::Ready),
                ClaimsOut::Refuse { reason, .. } => {
                    outcome = Some(Outcome::Refused(reason));
                    continue;
                }
                ClaimsOut::Send { to, msg } => (to.0 as usize, msg),
            };
            if self.down.contains(&to) {
                continue;
            }
            let reply = self.held_keys[to].handle(self.now, peer(via, self.restarts), &msg);
            let Some(reply) = reply else { continue };
            let more = self.claims[via].handle(self.now, peer(to, 0), &reply.msg);
            outcome = outcome.or(self.deliver(via, more));
        }
        outcome
    }
}

fn is_new(msg: &OnceMsg) -> bool {
    matches!(msg, OnceMsg::Answer { verdict: model::msg::OnceVerdict::New, .. })
}

fn peer(instance: usize, incarnation: u64) -> Peer {
    let instance = InstanceId(instance as u64);
    Peer { instance, incarnation: Incarnation(incarnation) }
}

fn key() -> IdempotencyId {
    IdempotencyId::of(AccountId::of("x"), RouteId::of("r"), "k")
}
