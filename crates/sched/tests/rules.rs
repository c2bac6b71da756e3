//! The rules of scheduling, one by one.

#[path = "support/fixture.rs"]
#[allow(dead_code, missing_docs, unreachable_pub)]
mod fixture;

use config::Policy;
use fixture::*;
use model::{
    load::{LoadError, LoadReport},
    msg::{Acquire, CellMsg},
    prelude::*,
};
use sched::{
    Cell, CellStart, HELD_GRACE, HOLDER_SILENCE, MIN_SHARE, RECLAIM_WAIT, Replies,
    STARVATION_WINDOW, ServerConfig,
};

/// Ends the running attempt again and again; returns the tickets in the order of their grants.
fn drain(bench: &mut Bench, mut running: Granted) -> Vec<TicketId> {
    let mut order = Vec::new();
    loop {
        let replies = bench.release(running, completed(10), false);
        let Some(&next) = grants(&replies).first() else { return order };
        order.push(next.ticket);
        running = next;
    }
}

#[test]
fn higher_tier_is_served_first() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let running = bench.run(Acquire { idempotent: false, ..request(0, 1) });
    let (low, _) = bench.acquire(request(2, 1));
    let (mid, _) = bench.acquire(request(1, 1));
    let (high, _) = bench.acquire(request(0, 1));

    let order = drain(&mut bench, running);

    assert_eq!(order, [high, mid, low]);
}

#[test]
fn full_queue_sheds_the_lowest_tier() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.run(Acquire { idempotent: false, ..request(0, 1) });
    for _ in 0..5 {
        bench.acquire(request(1, 1));
    }
    let low: Vec<_> = (0..17).map(|_| bench.acquire(request(2, 1)).0).collect();

    let (extra, refused_low) = bench.acquire(request(2, 1));
    bench.acquire(request(0, 1));
    let (_, refused_for_high) = bench.acquire(request(0, 1));

    assert_eq!(refused(&refused_low), [(extra, Reason::Capacity)]);
    assert_eq!(refused(&refused_for_high), [(low[16], Reason::Capacity)]);
}

#[test]
fn full_queue_sheds_the_account_with_the_most_waiting() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.run(request(1, 9));
    let large: Vec<_> = (0..21).map(|_| bench.acquire(request(1, 1)).0).collect();

    let (_, replies) = bench.acquire(request(1, 2));

    assert_eq!(refused(&replies), [(large[20], Reason::Capacity)]);
}

#[test]
fn accounts_of_a_tier_share_by_weight() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.cell.set_weight(AccountId(2), 3);
    let running = bench.run(request(1, 9));
    for _ in 0..10 {
        bench.acquire(request(1, 1));
    }
    let heavy: Vec<_> = (0..10).map(|_| bench.acquire(request(1, 2)).0).collect();

    let order = drain(&mut bench, running);

    let served = order[..8].iter().filter(|it| heavy.contains(it)).count();
    assert!((5..=7).contains(&served), "{served} of 8");
}

#[test]
fn earliest_deadline_of_an_account_is_first() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let running = bench.run(request(1, 1));
    let (late, _) = bench.acquire(request(1, 1));
    let (early, _) = bench.acquire(Acquire { wait: WAIT / 2, ..request(1, 1) });

    let order = drain(&mut bench, running);

    assert_eq!(order, [early, late]);
}

#[test]
fn starving_class_gets_its_share_and_no_more() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let mut running = bench.run(request(0, 1));
    let low = Acquire { wait: WAIT * 10, ..request(2, 1) };
    let mine: Vec<_> = (0..5).map(|_| bench.acquire(low.clone()).0).collect();
    let mut served = Vec::new();

    for n in 0..200 {
        bench.acquire(request(0, 1));
        bench.now = bench.now + Duration::from_millis(100);
        bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
        running = grants(&bench.release(running, completed(10), false))[0];
        if mine.contains(&running.ticket) {
            served.push(n);
        }
    }

    let window = STARVATION_WINDOW.as_millis() as u64 / 100;
    let first = served[0];
    assert!(first <= window + u64::from(MIN_SHARE), "first after {first}");
    assert!((3..=4).contains(&served.len()), "{served:?}");
}

#[test]
fn starving_classes_together_get_a_small_share() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let mut running = bench.run(request(0, 1));
    let low = |tier| Acquire { wait: WAIT * 10, ..request(tier, 1) };
    let starving: Vec<_> = (1..8).map(|tier| bench.acquire(low(tier)).0).collect();
    let mut ahead = Vec::new();

    for _ in 0..140 {
        bench.acquire(request(0, 1));
        bench.now = bench.now + Duration::from_millis(100);
        bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
        running = grants(&bench.release(running, completed(10), false))[0];
        ahead.push(starving.contains(&running.ticket));
    }

    let most = ahead.windows(MIN_SHARE as usize).map(|it| it.iter().filter(|it| **it).count());
    assert_eq!(most.max(), Some(1));
    assert_eq!(ahead.iter().filter(|it| **it).count(), starving.len());
}

#[test]
fn cold_server_ramps_by_completed_requests() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 8, 2)]);
    let req = request(1, 1);
    assert_eq!(bench.fill(&req), 2);
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 8, 2)]);

    bench.complete(3, &req, 10);

    assert_eq!(bench.fill(&req), 5);
}

#[test]
fn closed_server_gets_nothing_and_ramps_when_it_returns() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 8, 2)]);
    let req = request(1, 1);
    bench.complete(10, &req, 10);
    let closed = ServerConfig { open: false, ..plan(1, 8, 2) };
    bench.cell.set_servers(bench.now, [closed]);

    let (ticket, replies) = bench.acquire(req.clone());
    bench.cell.set_servers(bench.now, [plan(1, 8, 2)]);
    bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));

    assert_eq!(refused(&replies), [(ticket, Reason::NoServer)]);
    assert_eq!(bench.fill(&req), 2);
}

/// A server that is warm, then takes `turn`; returns how many attempts it gets at once.
fn filled_after(turn: impl FnOnce(&mut Bench)) -> usize {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 8, 2)]);
    bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
    bench.complete(10, &request(1, 1), 10);
    turn(&mut bench);
    bench.fill(&request(1, 1))
}

#[test]
fn warm_server_gets_its_limit() {
    assert_eq!(filled_after(|_| {}), 8);
}

#[test]
fn signs_of_a_restart_turn_a_server_cold() {
    let load = |it| move |b: &mut Bench| drop(b.cell.handle_load(b.now, ServerId(1), it));
    let end = |end, cold| {
        move |b: &mut Bench| {
            let granted = b.run(request(1, 1));
            b.release(granted, end, cold);
        }
    };
    let timed_out = |b: &mut Bench| (0..3).for_each(|_| load(Err(LoadError::TimedOut))(b));

    assert_eq!(filled_after(load(Ok(report(2, false)))), 2);
    assert_eq!(filled_after(load(Ok(report(1, true)))), 2);
    assert_eq!(filled_after(load(Err(LoadError::Disconnected))), 2);
    assert_eq!(filled_after(timed_out), 2);
    assert_eq!(filled_after(end(AttemptEnd::ConnectFailed, false)), 2);
    assert_eq!(filled_after(end(AttemptEnd::Broken { answered: true }, false)), 2);
    assert_eq!(filled_after(end(completed(10), true)), 2);
    assert_eq!(filled_after(end(AttemptEnd::CallerLeft, false)), 8);
}

#[test]
fn server_without_recent_evidence_stays_at_the_cold_limit() {
    let silent = filled_after(|bench| drop(bench.pass(1_500)));
    let proved = filled_after(|bench| {
        bench.pass(1_500);
        bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
    });

    assert_eq!([silent, proved], [2, 8]);
}

#[test]
fn completion_from_before_a_cold_start_proves_nothing() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 8, 2)]);
    let old = bench.run(request(1, 1));
    bench.cell.handle_load(bench.now, ServerId(1), Err(LoadError::Disconnected));

    bench.release(old, completed(10), false);

    assert_eq!(bench.fill(&request(1, 1)), 2);
}

#[test]
fn work_of_others_in_a_server_lowers_its_limit() {
    let filled = filled_after(|bench| {
        let load = LoadReport { running: 1, queued: 4, ..report(1, false) };
        // The first report may still count the cell's own grants of before.
        bench.cell.handle_load(bench.now, ServerId(1), Ok(load));
        bench.cell.handle_load(bench.now, ServerId(1), Ok(load));
    });

    assert_eq!(filled, 3);
}

#[test]
fn failing_server_is_ejected_but_never_more_than_half() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 4, 4), plan(2, 4, 4), plan(3, 4, 4)]);
    let fail = AttemptEnd::TimedOut { answered: false };
    for _ in 0..30 {
        let granted = bench.run(request(1, 1));
        bench.release(granted, fail, false);
    }

    let ejected = bench.cell.dump(bench.now).servers.iter().filter(|it| it.ejected).count();
    assert_eq!(ejected, 1);
    assert_eq!(bench.fill(&request(1, 1)), 8);
    bench.pass(1_000);
    assert_eq!(bench.fill(&request(1, 1)), 4);
}

fn lose(bench: &mut Bench, server: u64, err: LoadError, times: u32) -> Replies {
    let mut out = Vec::new();
    for _ in 0..times {
        out.extend(bench.pass(250));
        out.extend(bench.cell.handle_load(bench.now, ServerId(server), Err(err)));
    }
    out
}

#[test]
fn server_without_connections_gets_nothing_until_it_reports_again() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let running = bench.run(request(1, 1));
    bench.fill(&request(1, 1));
    let (queued, _) = bench.acquire(request(1, 1));

    let lost = lose(&mut bench, 1, LoadError::Disconnected, 2);
    let free = bench.cell.summary(bench.now).free;
    let (late, refusal) = bench.acquire(request(1, 1));
    bench.release(running, AttemptEnd::Broken { answered: false }, false);
    bench.cell.handle_load(bench.now, ServerId(1), Ok(report(2, false)));

    assert_eq!(refused(&lost), [(queued, Reason::NoServer)]);
    assert_eq!(free, 0);
    assert_eq!(refused(&refusal), [(late, Reason::NoServer)]);
    assert!(bench.cell.summary(bench.now).free > 0);
}

#[test]
fn servers_that_refuse_attempts_are_down_and_probed_ever_less() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 4, 4), plan(2, 4, 4)]);
    for _ in 0..4 {
        let granted = bench.run(request(1, 1));
        bench.release(granted, AttemptEnd::ConnectFailed, false);
    }
    let mut probes = [0, 0];

    for (half, probes) in probes.iter_mut().enumerate() {
        for _ in 0..80 {
            bench.pass(100);
            let (_, replies) = bench.acquire(request(1, 1));
            assert_eq!(refused(&replies).len() + grants(&replies).len(), 1, "{half}: {replies:?}");
            for granted in grants(&replies) {
                *probes += 1;
                bench.release(granted, AttemptEnd::ConnectFailed, false);
            }
        }
    }
    bench.pass(16_000);
    let probe = bench.run(request(1, 1));
    bench.release(probe, completed(10), false);

    // Two servers after 1, 3 and 7 s, then not before 15 s.
    assert_eq!(probes, [6, 2]);
    assert!(bench.fill(&request(1, 1)) >= 4);
}

#[test]
fn one_instance_without_connection_does_not_take_a_server_that_reports() {
    let mut bench = Bench::warm(Policy::Tiered, 4);

    for _ in 0..10 {
        let granted = bench.run(request(1, 1));
        bench.release(granted, AttemptEnd::ConnectFailed, false);
    }

    assert_eq!(refused(&bench.acquire(request(1, 1)).1), []);
}

#[test]
fn server_that_does_not_answer_gives_idempotent_work_back() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let running = bench.run(request(1, 1));
    bench.run(Acquire { idempotent: false, ..request(1, 1) });

    let early = lose(&mut bench, 1, LoadError::TimedOut, 4);
    let (late, refusal) = bench.acquire(request(1, 1));
    let asked = bench.pass(2_000);

    assert_eq!(preempted(&early), []);
    assert_eq!(refused(&refusal), [(late, Reason::NoServer)]);
    assert_eq!(preempted(&asked), [running.grant]);
}

#[test]
fn server_that_completes_work_is_not_down_for_late_reports() {
    let mut bench = Bench::warm(Policy::Tiered, 4);

    for _ in 0..4 {
        let granted = bench.run(request(1, 1));
        lose(&mut bench, 1, LoadError::TimedOut, 3);
        bench.release(granted, completed(750), false);
    }

    bench.run(request(1, 1));
}

#[test]
fn cell_refuses_a_request_that_all_its_servers_failed() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 4, 4), plan(2, 4, 4)]);
    let avoid = vec![ServerId(1), ServerId(2)];

    let (ticket, replies) = bench.acquire(Acquire { avoid, ..request(1, 1) });

    assert_eq!(refused(&replies), [(ticket, Reason::NoServer)]);
}

#[test]
fn retry_does_not_go_back_while_the_other_server_is_ejected() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 4, 4), plan(2, 4, 4)]);
    let avoid = vec![ServerId(2)];
    for _ in 0..3 {
        let granted = bench.run(Acquire { avoid: avoid.clone(), ..request(1, 1) });
        bench.release(granted, AttemptEnd::Broken { answered: false }, false);
    }

    let (ticket, replies) = bench.acquire(Acquire { avoid, ..request(1, 1) });

    assert_eq!(refused(&replies), [(ticket, Reason::NoServer)]);
    assert_eq!(bench.run(request(1, 1)).server, ServerId(2));
}

#[test]
fn slow_server_gets_less_work() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 9, 1), plan(2, 9, 1), plan(3, 9, 1)]);
    for _ in 0..200 {
        let granted = bench.run(request(1, 1));
        let millis = if granted.server == ServerId(3) { 1_000 } else { 50 };
        bench.release(granted, completed(millis), false);
    }

    let limits: Vec<_> = bench.cell.dump(bench.now).servers.iter().map(|it| it.limit).collect();
    assert_eq!(limits, [9, 9, 1]);
}

#[test]
fn prefix_stays_at_its_server_while_that_is_not_much_busier() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 8, 8), plan(2, 8, 8)]);
    let req = Acquire { prefix: PrefixHash(7), ..request(1, 1) };

    let first = bench.run(req.clone());
    let near: Vec<_> = (0..2).map(|_| bench.run(req.clone()).server).collect();
    let far = bench.run(req).server;

    assert_eq!(near, [first.server; 2]);
    assert_ne!(far, first.server);
}

#[test]
fn failed_server_is_avoided_while_another_is_free() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 2, 2), plan(2, 1, 1)]);
    let req = Acquire { avoid: vec![ServerId(1)], ..request(1, 1) };

    let servers = [bench.run(req.clone()).server, bench.run(req).server];

    assert_eq!(servers, [ServerId(2), ServerId(1)]);
}

#[test]
fn hopeless_request_is_refused_early_but_not_for_a_lower_tier() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.complete(30, &request(1, 1), 1_000);
    bench.complete(30, &request(2, 1), 1_000);
    bench.run(Acquire { idempotent: false, ..request(1, 1) });
    for _ in 0..10 {
        bench.acquire(Acquire { wait: WAIT * 10, ..request(1, 1) });
    }
    let short = Acquire { wait: Duration::from_secs(1), ..request(1, 1) };

    let (hopeless, refusals) = bench.acquire(short.clone());
    let (_, patient) = bench.acquire(Acquire { wait: WAIT * 2, ..request(1, 1) });
    bench.acquire(Acquire { wait: WAIT * 10, ..request(2, 1) });
    let (_, above_lower) = bench.acquire(short);

    assert_eq!(refused(&refusals), [(hopeless, Reason::Capacity)]);
    assert_eq!(refused(&patient), []);
    assert_eq!(refused(&above_lower), []);
}

#[test]
fn request_that_waited_too_long_is_refused() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.run(request(1, 1));
    let (ticket, _) = bench.acquire(request(1, 1));

    let early = bench.pass(9_999);
    let late = bench.pass(1);

    assert_eq!(refused(&early), []);
    assert_eq!(refused(&late), [(ticket, Reason::Capacity)]);
}

#[test]
fn idempotent_work_of_the_lowest_tier_is_preempted() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    bench.run(request(1, 1));
    bench.run(request(2, 1));
    bench.pass(1);
    let youngest = bench.run(request(2, 1));
    bench.pass(1);
    bench.run(Acquire { idempotent: false, ..request(2, 1) });

    let (high, replies) = bench.acquire(request(0, 1));
    let (_, same) = bench.acquire(request(2, 1));
    let granted = grants(&bench.release(youngest, AttemptEnd::Preempted, false));

    assert_eq!(preempted(&replies), [youngest.grant]);
    assert_eq!(preempted(&same), []);
    assert_eq!(granted[0].ticket, high);
}

#[test]
fn repeated_messages_change_nothing() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let granted = bench.run(request(1, 1));
    let again = CellMsg::Acquire(Acquire { ticket: granted.ticket, ..request(1, 1) });

    let repeated = bench.cell.handle(bench.now, peer(1), &again);
    bench.release(granted, completed(10), false);
    bench.release(granted, completed(10), false);
    let late = bench.cell.handle(bench.now, peer(1), &again);

    assert_eq!(grants(&repeated), [granted]);
    assert_eq!(late, []);
    assert_eq!(bench.cell.dump(bench.now).grants, 0);
}

#[test]
fn cancellation_frees_a_grant_also_when_it_overtakes_its_request() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let granted = bench.run(request(1, 1));
    let cancel = |ticket| CellMsg::Cancel { ticket, cell: CELL };
    bench.cell.handle(bench.now, peer(1), &cancel(granted.ticket));
    bench.cell.handle(bench.now, peer(1), &cancel(TicketId(2)));

    let (_, replies) = bench.acquire(request(1, 1));

    assert_eq!(replies, []);
    assert_eq!(bench.cell.dump(bench.now).grants, 0);
}

#[test]
fn grant_that_its_holder_does_not_list_is_void_after_the_grace() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    bench.run(request(1, 1));
    let count = |bench: &Bench| bench.cell.dump(bench.now).grants;

    bench.pass(HELD_GRACE.as_millis() as u64 - 1);
    bench.held(peer(1), Vec::new());
    let before = count(&bench);
    bench.pass(1);
    bench.held(peer(1), Vec::new());

    assert_eq!([before, count(&bench)], [1, 0]);
}

#[test]
fn new_owner_waits_for_held_grants_and_counts_them() {
    let now = Time::from_millis(1);
    let mut cell = Cell::new(now, CELL, Policy::Tiered, CellStart::Fresh);
    let asked = cell.reclaim_from(now, [InstanceId(1), InstanceId(2)]);
    cell.set_servers(now, [plan(1, 4, 2)]);
    let mut bench = Bench { cell, now, ..Bench::new(Policy::Tiered, &[]) };

    let (_, waiting) = bench.acquire(request(1, 1));
    bench.held(peer(2), vec![held(77, 1)]);
    let (_, still) = bench.acquire(request(1, 1));
    let granted = bench.held(peer(1), Vec::new());

    assert_eq!(asked.len(), 2);
    assert_eq!([grants(&waiting), grants(&still)], [[], []]);
    assert_eq!(grants(&granted).len(), 1);
}

#[test]
fn new_owner_does_not_wait_for_ever() {
    let now = Time::from_millis(1);
    let mut cell = Cell::new(now, CELL, Policy::Tiered, CellStart::Fresh);
    cell.set_servers(now, [plan(1, 4, 2)]);
    let mut bench = Bench { cell, now, ..Bench::new(Policy::Tiered, &[]) };
    bench.acquire(request(1, 1));

    let replies = bench.pass(RECLAIM_WAIT.as_millis() as u64);

    assert_eq!(grants(&replies).len(), 1);
}

#[test]
fn handed_over_cell_goes_on_at_once() {
    let mut bench = Bench::new(Policy::Tiered, &[plan(1, 8, 2)]);
    bench.complete(10, &request(1, 1), 10);
    bench.run(request(1, 1));

    let state = bench.cell.handover();
    bench.cell = Cell::new(bench.now, CELL, Policy::Tiered, CellStart::HandedOver(state));
    bench.cell.set_servers(bench.now, [plan(1, 8, 2)]);

    assert_eq!(bench.fill(&request(1, 1)), 7);
}

#[test]
fn dead_run_loses_its_grants_and_places() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.run(request(1, 1));
    bench.acquire(request(1, 1));
    bench.cell.instance_gone(bench.now, InstanceId(1), Some(Incarnation(1)));
    let kept = bench.cell.dump(bench.now).grants;

    bench.cell.instance_gone(bench.now, InstanceId(1), Some(Incarnation(2)));

    let dump = bench.cell.dump(bench.now);
    assert_eq!([kept, dump.grants, dump.waiting.len()], [1, 0, 0]);
}

#[test]
fn run_that_ended_unnoticed_loses_its_grants() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.run(request(1, 1));

    bench.pass(HOLDER_SILENCE.as_millis() as u64);

    assert_eq!(bench.cell.dump(bench.now).grants, 0);
}

#[test]
fn baselines_ignore_tiers_but_not_limits() {
    for policy in [Policy::RoundRobin, Policy::Fifo, Policy::StaticLimits] {
        let mut bench = Bench::warm(policy, 2);
        let running = bench.run(request(2, 1));
        bench.run(request(2, 1));
        let (low, _) = bench.acquire(request(2, 1));
        let (high, replies) = bench.acquire(request(0, 1));

        let order = drain(&mut bench, running);

        assert_eq!(preempted(&replies), []);
        assert_eq!(order, [low, high]);
    }
}
