//! Evidence against prompt parts, without a network: parts that end servers, and innocent ones that
//! are popular or were on servers that ended for another reason.

#![allow(clippy::unwrap_used)]

use dispatch::{Part, Prompt, Quarantine, QuarantineChange, Verdict, end_tag};
use gossip::PartEvidence;
use model::prelude::*;
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

/// A part that ends servers.
const DEADLY: u64 = 0xdead;
/// A part that most requests share.
const POPULAR: u64 = 1;
const START: Time = Time::from_millis(10_000_000);

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Returns a prompt with these shared parts and one of its own.
fn prompt(parts: &[u64]) -> Prompt {
    let part = |id| Part { id, tokens: 100 };
    let mut parts: Vec<_> = parts.iter().copied().map(part).collect();
    parts.push(part(0xffff));
    Prompt { tokens: 300, max_output: 60, parts }
}

/// Records the end of server `no` at a request with these parts that was sent 50 ms before.
fn end(quarantine: &mut Quarantine, no: u64, parts: &[u64], ended_ms: u64) {
    let (sent_at, ended_at) = (at(ended_ms - 50), at(ended_ms));
    quarantine.server_ended(end_tag(ServerId(no), 1), &prompt(parts), sent_at, ended_at);
}

fn is_held(quarantine: &Quarantine, now: Time, parts: &[u64]) -> bool {
    quarantine.verdict(now, &prompt(parts), None) != Verdict::Free
}

/// Returns what a part that three servers in a row ended at is held back by.
fn with_finding() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for no in 0..3 {
        end(&mut quarantine, no, &[DEADLY], 1_000 + no * 300);
    }
    quarantine.update(at(1_700));
    quarantine
}

/// Guards against requests of one kind that end one server after the other.
#[test]
fn a_part_is_held_back_after_three_servers_in_a_row() {
    let mut quarantine = Quarantine::default();
    let mut held = Vec::new();
    for no in 0..3 {
        end(&mut quarantine, no, &[POPULAR + no, DEADLY], 1_000 + no * 300);
        held.push(quarantine.update(at(1_000 + no * 300)).len());
    }

    assert_eq!(held, [0, 0, 1]);
    assert!(is_held(&quarantine, at(1_700), &[POPULAR, DEADLY]));
    assert!(is_held(&quarantine, at(1_700), &[DEADLY, 77]));
    assert!(!is_held(&quarantine, at(1_700), &[POPULAR, POPULAR + 1]));
}

/// The last part belongs to one request only.
#[test]
fn the_last_part_of_a_prompt_is_never_held_back() {
    let quarantine = with_finding();
    let last = Prompt { parts: vec![Part { id: DEADLY, tokens: 10 }], ..prompt(&[]) };

    assert_eq!(quarantine.verdict(at(1_700), &last, None), Verdict::Free);
}

/// Guards against holding back a popular part because many servers lose power at the same moment,
/// each with a request that has it.
#[test]
fn servers_that_end_at_the_same_moment_count_as_one() {
    let mut quarantine = Quarantine::default();
    for no in 0..40 {
        // Instances hear of the ends at slightly different times.
        end(&mut quarantine, no, &[POPULAR], 1_000 + no % 7 * 10);
    }

    assert!(quarantine.update(at(1_100)).is_empty());
    assert!(!is_held(&quarantine, at(1_100), &[POPULAR]));
}

/// Guards against holding back a popular part when servers crash again and again, by the dozen.
#[test]
fn an_answer_after_an_end_refutes_it() {
    let mut quarantine = Quarantine::default();
    for wave in 0..20 {
        let wave_ms = 1_000 + wave * 700;
        for no in 0..12 {
            end(&mut quarantine, wave * 100 + no, &[POPULAR], wave_ms);
        }
        quarantine.answered(&prompt(&[POPULAR, 50]), at(wave_ms + 100));
        assert!(quarantine.update(at(wave_ms + 500)).is_empty(), "held back in wave {wave}");
    }
}

/// A part of which an answer is known needs more evidence, and is held back if it turns deadly.
#[test]
fn a_part_that_was_answered_before_is_held_back_after_five_servers_in_a_row() {
    let mut quarantine = Quarantine::default();
    quarantine.answered(&prompt(&[POPULAR]), at(100));
    let mut held = Vec::new();
    for no in 0..5 {
        end(&mut quarantine, no, &[POPULAR], 1_000 + no * 300);
        held.push(quarantine.update(at(1_000 + no * 300)).len());
    }

    assert_eq!(held, [0, 0, 0, 0, 1]);
}

/// An answer that began before a server ended says nothing of the end.
#[test]
fn an_answer_to_an_earlier_request_refutes_nothing() {
    let mut quarantine = with_finding();

    quarantine.answered(&prompt(&[DEADLY]), at(900));

    assert!(quarantine.update(at(1_800)).is_empty());
    assert!(is_held(&quarantine, at(1_800), &[DEADLY]));
}

/// Guards against holding back a popular part in the moment before its answers are complete.
#[test]
fn nothing_is_decided_while_a_server_answers_a_later_request() {
    let mut quarantine = Quarantine::default();
    for no in 0..3 {
        end(&mut quarantine, no, &[POPULAR], 1_000 + no * 300);
    }
    quarantine.begun(at(1_650), &prompt(&[POPULAR]), at(1_620));

    let early = quarantine.update(at(1_700));
    quarantine.answered(&prompt(&[POPULAR]), at(1_620));
    let late = quarantine.update(at(2_000));

    assert!(early.is_empty() && late.is_empty(), "{early:?} {late:?}");
}

/// Guards against refusing requests with a part that only happened to be near the one to blame.
#[test]
fn ends_that_another_part_explains_count_for_no_other() {
    let mut quarantine = Quarantine::default();
    let innocent = 7;
    for no in 0..6 {
        let parts: &[u64] = if no % 2 == 0 { &[innocent, DEADLY] } else { &[DEADLY, 20] };
        end(&mut quarantine, no, parts, 1_000 + no * 300);
    }
    quarantine.update(at(2_600));

    assert!(is_held(&quarantine, at(2_600), &[DEADLY]));
    assert!(!is_held(&quarantine, at(2_600), &[innocent]));
}

/// Guards against refusing a sound part for long that was at the same few ends as a deadly one.
#[test]
fn parts_at_the_same_ends_are_told_apart_by_one_request() {
    let mut quarantine = Quarantine::default();
    let innocent = 7;
    for no in 0..3 {
        end(&mut quarantine, no, &[innocent, DEADLY], 1_000 + no * 300);
    }
    quarantine.update(at(1_700));
    let both = quarantine.verdict(at(1_800), &prompt(&[innocent, DEADLY]), Some(0));
    let only = quarantine.verdict(at(1_800), &prompt(&[innocent, 30]), Some(0));
    quarantine.tried(at(1_800), &prompt(&[innocent, 30]));
    let again = quarantine.verdict(at(1_900), &prompt(&[innocent, 31]), Some(0));
    quarantine.answered(&prompt(&[innocent, 30]), at(1_800));
    let changes = quarantine.update(at(2_200));

    assert!(matches!(both, Verdict::Held { .. }), "{both:?}");
    assert_eq!(only, Verdict::Trial);
    assert!(matches!(again, Verdict::Held { .. }), "{again:?}");
    assert_eq!(changes, [QuarantineChange::Released { part: innocent }]);
    assert!(is_held(&quarantine, at(2_200), &[DEADLY]));
}

#[test]
fn two_deadly_parts_at_once_are_both_held_back() {
    let mut quarantine = Quarantine::default();
    for no in 0..4 {
        end(&mut quarantine, no, &[DEADLY, 10 + no], 1_000 + no * 400);
        end(&mut quarantine, 100 + no, &[20 + no, DEADLY + 1], 1_200 + no * 400);
    }
    quarantine.update(at(2_700));

    assert!(is_held(&quarantine, at(2_700), &[DEADLY]));
    assert!(is_held(&quarantine, at(2_700), &[DEADLY + 1]));
    assert_eq!(quarantine.held().len(), 2);
}

/// Guards against a part that is held back forever after it was mended, and against ending a server
/// each few seconds to find that out.
#[test]
fn a_part_that_is_held_back_is_tried_at_growing_intervals() {
    let mut quarantine = with_finding();
    let mut trials = Vec::new();
    for now_s in 2..600_u64 {
        let now = at(now_s * 1_000);
        assert_ne!(quarantine.verdict(now, &prompt(&[DEADLY]), None), Verdict::Trial);
        if quarantine.verdict(now, &prompt(&[DEADLY]), Some(0)) == Verdict::Trial {
            quarantine.tried(now, &prompt(&[DEADLY]));
            end(&mut quarantine, 1_000 + now_s, &[DEADLY], now_s * 1_000 + 60);
            trials.push(now_s);
        }
        quarantine.update(now);
    }

    assert!(trials.first().is_some_and(|first| (15..=20).contains(first)), "{trials:?}");
    assert!(trials.len() <= 6, "{trials:?}");
    assert!(trials.iter().filter(|it| **it < 60).count() <= 3, "{trials:?}");
}

/// Guards against trials by several instances at the same time: each ends a server.
#[test]
fn instances_do_not_try_a_part_that_another_one_has_just_tried() {
    let mut quarantine = with_finding();
    let mut other = with_finding();
    let due = at(1_600) + Duration::from_secs(15);
    let early = other.verdict(due, &prompt(&[DEADLY]), Some(1));
    quarantine.tried(due, &prompt(&[DEADLY]));
    let told = due + Duration::from_millis(1_500);

    other.merge(told, &quarantine.report(told));
    let later = other.verdict(due + Duration::from_secs(3), &prompt(&[DEADLY]), Some(1));

    assert!(matches!(early, Verdict::Held { .. }), "{early:?}");
    assert!(matches!(later, Verdict::Held { .. }), "{later:?}");
}

/// Guards against a part that stays held back as no request with it comes to the first instance.
#[test]
fn other_instances_try_a_part_if_the_first_one_does_not() {
    let quarantine = with_finding();

    let verdict = quarantine.verdict(at(60_000), &prompt(&[DEADLY]), Some(10));

    assert_eq!(verdict, Verdict::Trial);
}

/// Guards against letting go a deadly part because an innocent one is suspected of the same ends.
#[test]
fn a_part_that_is_held_back_is_not_explained_by_a_later_suspect() {
    let mut quarantine = with_finding();
    for no in 0..3 {
        // The popular part was at the same ends, which this instance learns late, and at others.
        end(&mut quarantine, no, &[POPULAR], 1_000 + no * 300);
        end(&mut quarantine, 50 + no, &[POPULAR], 2_000 + no * 300);
    }

    quarantine.update(at(2_700));

    assert!(is_held(&quarantine, at(2_700), &[DEADLY]));
}

#[test]
fn a_part_that_is_answered_again_is_released_everywhere() {
    let mut quarantine = with_finding();
    let mut other = with_finding();

    quarantine.answered(&prompt(&[DEADLY]), at(20_000));
    let own = quarantine.update(at(20_300));
    other.merge(at(20_500), &quarantine.report(at(20_450)));
    let told = other.update(at(20_500));

    assert_eq!(own, [QuarantineChange::Released { part: DEADLY }]);
    assert_eq!(told, own);
}

/// Guards against a finding that some instances never make, or that counts an end twice: reports
/// arrive in any order, late, and more than once.
#[test]
fn evidence_merges_to_the_same_finding_in_any_order() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Each instance saw one end; two saw the same one.
        let mut reports: Vec<(u64, Vec<PartEvidence>)> = Vec::new();
        for no in [0, 1, 1, 2] {
            let mut instance = Quarantine::default();
            end(&mut instance, no, &[POPULAR + no, DEADLY], 1_000 + no * 300);
            let repeats = rng.random_range(1..4);
            for _ in 0..repeats {
                let sent_ms = 2_000 + rng.random_range(0..400);
                reports.push((sent_ms, instance.report(at(sent_ms))));
            }
        }
        reports.shuffle(&mut rng);

        let mut quarantine = Quarantine::default();
        for (sent_ms, report) in reports {
            // The packet was under way for some milliseconds.
            quarantine.merge(at(sent_ms + rng.random_range(0..5)), &report);
        }
        quarantine.update(at(2_500));

        let held: Vec<_> = quarantine.held().iter().map(|it| (it.part, it.ends)).collect();
        assert_eq!(held, [(DEADLY, 3)], "seed {seed}");
    }
}

/// Guards against a finding that stays at one instance, as its packets hold too few ends.
#[test]
fn one_report_is_enough_to_hold_a_part_back_that_was_answered_before() {
    let mut quarantine = Quarantine::default();
    let mut other = Quarantine::default();
    for instance in [&mut quarantine, &mut other] {
        instance.answered(&prompt(&[POPULAR]), at(100));
    }
    for no in 0..9 {
        end(&mut quarantine, no, &[POPULAR], 1_000 + no * 300);
    }
    quarantine.update(at(3_500));

    other.merge(at(3_510), &quarantine.report(at(3_505)));
    other.update(at(3_510));

    assert!(is_held(&quarantine, at(3_510), &[POPULAR]));
    assert!(is_held(&other, at(3_510), &[POPULAR]));
}

/// Guards against instances that go on sending a part that all others hold back, as they alone know
/// of an answer from before it turned deadly.
#[test]
fn an_instance_that_knows_an_old_answer_follows_the_finding_of_others() {
    let quarantine = with_finding();
    let mut other = Quarantine::default();
    other.answered(&prompt(&[DEADLY]), at(500));

    other.merge(at(1_720), &quarantine.report(at(1_710)));
    other.update(at(1_720));

    assert!(is_held(&other, at(1_720), &[DEADLY]));
}

/// Guards against instances that do not follow a finding, as they had a request with the part at the
/// same servers for longer.
#[test]
fn instances_with_older_requests_at_the_same_servers_follow_the_finding() {
    let quarantine = with_finding();
    let mut other = Quarantine::default();
    for no in 0..3 {
        let ended_ms = 1_000 + no * 300;
        let tag = end_tag(ServerId(no), 1);
        other.server_ended(tag, &prompt(&[DEADLY]), at(ended_ms - 900), at(ended_ms));
    }
    let alone = other.clone().update(at(1_700));

    other.merge(at(1_720), &quarantine.report(at(1_710)));
    other.update(at(1_720));

    assert!(alone.is_empty(), "{alone:?}");
    assert!(is_held(&other, at(1_720), &[DEADLY]));
}

#[test]
fn two_ends_that_several_instances_report_are_no_finding() {
    let mut quarantine = Quarantine::default();
    for instance in 0..30 {
        let mut other = Quarantine::default();
        for no in 0..2 {
            end(&mut other, no, &[DEADLY], 1_000 + no * 300);
        }
        quarantine.merge(at(2_000 + instance), &other.report(at(2_000)));
    }

    assert!(quarantine.update(at(2_100)).is_empty());
}

/// An instance that starts learns of findings whose ends are older than the evidence against parts
/// that are not held back.
#[test]
fn a_new_instance_learns_of_an_old_finding() {
    let mut quarantine = with_finding();
    quarantine.update(at(120_000));
    let mut new = Quarantine::default();

    new.merge(at(120_010), &quarantine.report(at(120_000)));
    new.update(at(120_010));

    assert!(is_held(&new, at(120_010), &[DEADLY]));
}

#[test]
fn weak_evidence_is_forgotten() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, 1, &[DEADLY], 1_000);
    end(&mut quarantine, 2, &[DEADLY], 1_500);

    quarantine.update(at(40_000));

    assert!(!quarantine.has_suspects());
}

#[test]
fn a_request_is_not_repeated_once_two_servers_in_a_row_ended_at_its_part() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, 1, &[DEADLY], 1_000);
    let after_one = quarantine.is_doubtful(&prompt(&[5, DEADLY]));
    end(&mut quarantine, 2, &[DEADLY], 1_400);

    assert!(!after_one);
    assert!(quarantine.is_doubtful(&prompt(&[5, DEADLY])));
    assert!(!quarantine.is_doubtful(&prompt(&[5, 6])));
}

/// Operators may know better than the evidence.
#[test]
fn operators_hold_and_release_parts_at_all_instances() {
    let mut quarantine = Quarantine::default();
    let mut other = Quarantine::default();

    quarantine.hold(at(1_000), DEADLY);
    quarantine.update(at(1_000));
    other.merge(at(1_010), &quarantine.report(at(1_005)));
    other.update(at(1_010));
    let held = (is_held(&quarantine, at(1_100), &[DEADLY]), is_held(&other, at(1_100), &[DEADLY]));
    other.release(at(5_000), DEADLY);
    other.update(at(5_000));
    quarantine.merge(at(5_010), &other.report(at(5_005)));
    quarantine.update(at(5_010));
    let released = !is_held(&quarantine, at(5_010), &[DEADLY]);
    quarantine.hold(at(9_000), DEADLY);
    quarantine.update(at(9_000));

    assert_eq!(held, (true, true));
    assert!(released);
    assert!(is_held(&quarantine, at(9_010), &[DEADLY]));
}

/// The memory for evidence is bounded, whatever arrives.
#[test]
fn evidence_against_many_parts_is_bounded() {
    let mut quarantine = with_finding();
    for part in 0..2_000 {
        end(&mut quarantine, part, &[10_000 + part], 2_000 + part % 50);
    }
    quarantine.update(at(2_200));

    assert!(is_held(&quarantine, at(2_200), &[DEADLY]));
    assert!(quarantine.report(at(2_200)).len() <= 12);
}
