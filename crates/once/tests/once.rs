//! A request with an idempotency key runs at most once.

use std::collections::BTreeSet;

use bolero::generator::produce;
use model::{msg::OnceMsg, prelude::*};
use once::{Claims, ClaimsOut, HeldKeys, KeyedRequest, RETENTION};

const WAIT: Duration = Duration::from_millis(500);
const OLD: Time = Time { nanos: 2 * RETENTION.as_nanos() as u64 };

#[test]
fn first_request_runs_and_its_resend_does_not() {
    let mut fleet = Fleet::new(3);

    let first = fleet.send(0, false);
    let resend = fleet.send(1, true);

    assert_eq!(first, Outcome::Ready);
    assert_eq!(resend, Outcome::Refused(Reason::Duplicate));
}

#[test]
fn key_of_a_request_that_did_not_run_is_free_again() {
    let mut fleet = Fleet::new(3);
    fleet.send(0, false);

    fleet.free(0);
    let resend = fleet.send(1, true);

    assert_eq!(resend, Outcome::Ready);
}

#[test]
fn copy_of_a_freed_claim_does_not_claim_again() {
    let mut memory = HeldKeys::new(Time::default());
    let claim = OnceMsg::Claim { ask: AskId(1), key: key(), resend: false };
    let free = OnceMsg::Free { ask: AskId(1), key: key() };

    let overtaken = memory.handle(OLD, peer(1, 1), &free);
    let copy = memory.handle(OLD, peer(1, 1), &claim);
    let other = memory.handle(OLD, peer(2, 1), &claim);

    assert_eq!(overtaken, None);
    assert_eq!(copy, None);
    assert!(other.is_some_and(|it| is_new(&it.msg)));
}

#[test]
fn doubled_claim_gets_the_same_answer() {
    let mut memory = HeldKeys::new(Time::default());
    let claim = OnceMsg::Claim { ask: AskId(1), key: key(), resend: true };

    let first = memory.handle(OLD, peer(1, 1), &claim);
    let second = memory.handle(OLD, peer(1, 1), &claim);

    assert!(first.as_ref().is_some_and(|it| is_new(&it.msg)));
    assert_eq!(first, second);
}

#[test]
fn resend_past_a_restarted_holder_is_a_possible_duplicate() {
    let mut fleet = Fleet::new(3);
    fleet.send(0, false);

    for holder in 0..3 {
        fleet.restart(holder);
    }
    let resend = fleet.send(1, true);

    assert_eq!(resend, Outcome::Refused(Reason::MaybeDuplicate));
}

#[test]
fn resend_meets_a_holder_that_knows_after_one_holder_was_replaced() {
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

#[test]
fn doubt_makes_a_holder_unsure_of_resends() {
    let mut fleet = Fleet::new(3);

    fleet.memories[1].distrust_unknown(OLD);
    let resend = fleet.send(0, true);
    let first = fleet.send(0, false);

    assert_eq!(resend, Outcome::Refused(Reason::MaybeDuplicate));
    assert_eq!(first, Outcome::Ready);
}

#[test]
fn too_few_answers_refuse_the_request() {
    let mut fleet = Fleet::new(3);
    fleet.down = BTreeSet::from([1, 2]);

    let outcome = fleet.send(0, false);

    assert_eq!(outcome, Outcome::Refused(Reason::NoOwner));
}

#[test]
fn one_silent_holder_stops_only_resends() {
    let mut fleet = Fleet::new(3);
    fleet.down = BTreeSet::from([2]);

    let resend = fleet.send(0, true);
    let first = fleet.send(0, false);

    assert_eq!(resend, Outcome::Refused(Reason::NoOwner));
    assert_eq!(first, Outcome::Ready);
}

#[test]
fn small_fleets_need_all_their_holders() {
    for size in 1..=2 {
        let mut fleet = Fleet::new(size);

        assert_eq!(fleet.send(0, false), Outcome::Ready);
        assert_eq!(fleet.send(0, true), Outcome::Refused(Reason::Duplicate));
    }
}

/// Sends one request again and again, through any instance, while holders restart and become
/// silent.
#[test]
fn request_runs_at_most_once_under_faults() {
    #[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
    enum Step {
        Send(u8),
        Restart(u8),
        Silence(u8),
        Wake(u8),
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
                Step::Silence(holder) => {
                    fleet.down.insert(usize::from(holder % 3));
                }
                Step::Wake(holder) => {
                    fleet.down.remove(&usize::from(holder % 3));
                }
                Step::Pass(secs) => fleet.now = fleet.now + Duration::from_secs(secs.into()),
            }
        }

        let within_retention = fleet.now < OLD + RETENTION;
        assert!(runs <= 1 || !within_retention, "{runs} runs in {steps:?}");
    });
}

/// Instances that are holders and entries at once; messages arrive at once, unless an instance is
/// down.
struct Fleet {
    now: Time,
    memories: Vec<HeldKeys>,
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
            memories: vec![HeldKeys::new(Time::default()); size],
            claims: (0..size).map(|it| Claims::new(peer(it, 0))).collect(),
            holders: (0..size).collect(),
            down: BTreeSet::new(),
            restarts: 0,
            next_no: 0,
        }
    }

    fn send(&mut self, via: usize, resend: bool) -> Outcome {
        let holders: Vec<_> = self.holders.iter().map(|it| peer(*it, 0).instance).collect();
        self.next_no += 1;
        let request = KeyedRequest { no: RequestNo(self.next_no), key: key(), resend };
        let out = self.claims[via].claim(self.now, request, WAIT, &holders);
        let mut outcome = self.carry(via, out);
        loop {
            if let Some(outcome) = outcome {
                return outcome;
            }
            self.now = self.claims[via].next_wake().unwrap_or(self.now);
            let out = self.claims[via].tick(self.now);
            outcome = self.carry(via, out);
        }
    }

    fn free(&mut self, via: usize) {
        let out = self.claims[via].free(self.now, RequestNo(self.next_no));
        self.carry(via, out);
    }

    fn restart(&mut self, holder: usize) {
        self.restarts += 1;
        self.memories[holder] = HeldKeys::new(self.now);
        self.claims[holder] = Claims::new(peer(holder, self.restarts));
    }

    fn carry(&mut self, via: usize, out: Vec<ClaimsOut>) -> Option<Outcome> {
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
            let reply = self.memories[to].handle(self.now, peer(via, self.restarts), &msg);
            let Some(reply) = reply else { continue };
            let more = self.claims[via].handle(self.now, peer(to, 0), &reply.msg);
            outcome = outcome.or(self.carry(via, more));
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
