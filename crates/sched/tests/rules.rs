//! Each rule of scheduling in a test of its own.

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
    Cell, CellStart, HOLDER_TIMEOUT, OutgoingMsgs, RECLAIM_TIMEOUT, STARVATION_WINDOW,
    STARVING_DISPATCH_INTERVAL, ServerConfig, UNLISTED_GRANT_GRACE,
};

/// Completes the running attempt and each one that is granted next, until none is; returns the
/// tickets in the order of their grants.
fn grant_order(bench: &mut Bench, mut running: Granted) -> Vec<TicketId> {
    let mut order = Vec::new();
    loop {
        let replies = bench.release(running, completed(10), false);
        let Some(&next) = grants(&replies).first() else { return order };
        order.push(next.ticket);
        running = next;
    }
}

/// The order of arrival must not decide between tiers.
#[test]
fn higher_tier_is_served_first() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let running = bench.acquire_granted(Acquire { idempotent: false, ..request(0, 1) });
    let (low, _) = bench.acquire(request(2, 1));
    let (mid, _) = bench.acquire(request(1, 1));
    let (high, _) = bench.acquire(request(0, 1));

    let order = grant_order(&mut bench, running);

    assert_eq!(order, [high, mid, low]);
}

/// A flood of low-tier requests that fills the queue must not keep higher tiers out.
#[test]
fn full_queue_sheds_the_lowest_tier() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.acquire_granted(Acquire { idempotent: false, ..request(0, 1) });
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

/// A flood from one account that fills the queue must not keep the other accounts of the tier out.
#[test]
fn full_queue_sheds_the_account_with_the_most_waiting() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.acquire_granted(request(1, 9));
    let large: Vec<_> = (0..21).map(|_| bench.acquire(request(1, 1)).0).collect();

    let (_, replies) = bench.acquire(request(1, 2));

    assert_eq!(refused(&replies), [(large[20], Reason::Capacity)]);
}

/// Dispatches by arrival, or by equal turns, would ignore the configured weights.
#[test]
fn accounts_of_a_tier_are_served_in_proportion_to_their_weights() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.cell.set_weight(AccountId(2), 3);
    let running = bench.acquire_granted(request(1, 9));
    for _ in 0..10 {
        bench.acquire(request(1, 1));
    }
    let heavy: Vec<_> = (0..10).map(|_| bench.acquire(request(1, 2)).0).collect();

    let order = grant_order(&mut bench, running);

    let served = order[..8].iter().filter(|ticket| heavy.contains(ticket)).count();
    assert!((5..=7).contains(&served), "{served} of 8");
}

/// Served by arrival, requests with short deadlines would expire while others have time left.
#[test]
fn earliest_deadline_of_an_account_is_served_first() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let running = bench.acquire_granted(request(1, 1));
    let (late, _) = bench.acquire(request(1, 1));
    let (early, _) = bench.acquire(Acquire { wait: WAIT / 2, ..request(1, 1) });

    let order = grant_order(&mut bench, running);

    assert_eq!(order, [early, late]);
}

/// Constant demand of a higher tier must not lock a lower one out, nor may the lower one take more
/// than the limited number of dispatches.
#[test]
fn starving_class_is_served_after_the_window_and_no_more_often() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let mut running = bench.acquire_granted(request(0, 1));
    let low = Acquire { wait: WAIT * 10, ..request(2, 1) };
    let low_tickets: Vec<_> = (0..5).map(|_| bench.acquire(low.clone()).0).collect();
    let mut served = Vec::new();

    for n in 0..200 {
        bench.acquire(request(0, 1));
        bench.now = bench.now + Duration::from_millis(100);
        bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
        running = grants(&bench.release(running, completed(10), false))[0];
        if low_tickets.contains(&running.ticket) {
            served.push(n);
        }
    }

    let window = STARVATION_WINDOW.as_millis() as u64 / 100;
    let first = served[0];
    assert!(first <= window + u64::from(STARVING_DISPATCH_INTERVAL), "first after {first}");
    assert!((3..=4).contains(&served.len()), "{served:?}");
}

/// With a limit for each class instead of one for all, many starving classes would displace the
/// highest tier.
#[test]
fn starving_classes_together_get_at_most_one_dispatch_per_interval() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    let mut running = bench.acquire_granted(request(0, 1));
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

    let most = ahead
        .windows(STARVING_DISPATCH_INTERVAL as usize)
        .map(|window| window.iter().filter(|ahead| **ahead).count());
    assert_eq!(most.max(), Some(1));
    assert_eq!(ahead.iter().filter(|ahead| **ahead).count(), starving.len());
}

/// A cold server that gets its full limit at once would be overloaded.
#[test]
fn limit_of_a_cold_server_rises_with_completed_attempts() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 8, 2)]);
    let req = request(1, 1);
    assert_eq!(bench.fill(&req), 2);
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 8, 2)]);

    bench.complete(3, &req, 10);

    assert_eq!(bench.fill(&req), 5);
}

/// A server that leaves and returns may have restarted meanwhile.
#[test]
fn closed_server_gets_nothing_and_starts_cold_when_it_reopens() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 8, 2)]);
    let req = request(1, 1);
    bench.complete(10, &req, 10);
    let closed = ServerConfig { open: false, ..server(1, 8, 2) };
    bench.cell.set_servers(bench.now, [closed]);

    let (ticket, replies) = bench.acquire(req.clone());
    bench.cell.set_servers(bench.now, [server(1, 8, 2)]);
    bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));

    assert_eq!(refused(&replies), [(ticket, Reason::NoServer)]);
    assert_eq!(bench.fill(&req), 2);
}

/// Warms up a server and applies `event`; returns how many attempts it is granted then.
fn granted_after(event: impl FnOnce(&mut Bench)) -> usize {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 8, 2)]);
    bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
    bench.complete(10, &request(1, 1), 10);
    event(&mut bench);
    bench.fill(&request(1, 1))
}

/// The reference for the tests that turn this server cold.
#[test]
fn warm_server_gets_its_limit() {
    assert_eq!(granted_after(|_| {}), 8);
}

/// A restart is not always announced: any sign of it must lower the limit before the server is
/// overloaded. A caller that leaves is no such sign.
#[test]
fn signs_of_a_restart_turn_a_server_cold() {
    let load = |result| move |b: &mut Bench| drop(b.cell.handle_load(b.now, ServerId(1), result));
    let end = |end, cold| {
        move |b: &mut Bench| {
            let granted = b.acquire_granted(request(1, 1));
            b.release(granted, end, cold);
        }
    };
    let timed_out = |b: &mut Bench| (0..3).for_each(|_| load(Err(LoadError::TimedOut))(b));

    assert_eq!(granted_after(load(Ok(report(2, false)))), 2);
    assert_eq!(granted_after(load(Ok(report(1, true)))), 2);
    assert_eq!(granted_after(load(Err(LoadError::Disconnected))), 2);
    assert_eq!(granted_after(timed_out), 2);
    assert_eq!(granted_after(end(AttemptEnd::ConnectFailed, false)), 2);
    assert_eq!(granted_after(end(AttemptEnd::Broken { answered: true }, false)), 2);
    assert_eq!(granted_after(end(completed(10), true)), 2);
    assert_eq!(granted_after(end(AttemptEnd::CallerLeft, false)), 8);
}

/// A server that neither completes attempts nor reports its load may have restarted unnoticed.
#[test]
fn server_without_recent_evidence_gets_its_cold_limit() {
    let silent = granted_after(|bench| drop(bench.advance(1_500)));
    let reported = granted_after(|bench| {
        bench.advance(1_500);
        bench.cell.handle_load(bench.now, ServerId(1), Ok(report(1, false)));
    });

    assert_eq!([silent, reported], [2, 8]);
}

/// The attempt may have completed in the incarnation of the server before the restart, and says
/// nothing about the one that runs now.
#[test]
fn attempt_from_before_a_cold_start_does_not_raise_the_limit() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 8, 2)]);
    let old = bench.acquire_granted(request(1, 1));
    bench.cell.handle_load(bench.now, ServerId(1), Err(LoadError::Disconnected));

    bench.release(old, completed(10), false);

    assert_eq!(bench.fill(&request(1, 1)), 2);
}

/// A former owner's attempts or other clients may use a server too: with the full limit of grants
/// on top of them it would be overloaded.
#[test]
fn attempts_of_others_lower_the_limit_of_a_server() {
    let filled = granted_after(|bench| {
        let load = LoadReport { running: 1, queued: 4, ..report(1, false) };
        // The first report may still count own grants that have been released since the last one.
        bench.cell.handle_load(bench.now, ServerId(1), Ok(load));
        bench.cell.handle_load(bench.now, ServerId(1), Ok(load));
    });

    assert_eq!(filled, 3);
}

/// When the failures have a cause other than the servers, ejecting all of them would stop all
/// traffic.
#[test]
fn failing_servers_are_ejected_but_never_more_than_half() {
    let mut bench =
        Bench::new(Policy::Tiered, &[server(1, 4, 4), server(2, 4, 4), server(3, 4, 4)]);
    let fail = AttemptEnd::TimedOut { answered: false };
    for _ in 0..30 {
        let granted = bench.acquire_granted(request(1, 1));
        bench.release(granted, fail, false);
    }

    let ejected = bench.cell.dump(bench.now).servers.iter().filter(|server| server.ejected).count();
    assert_eq!(ejected, 1);
    assert_eq!(bench.fill(&request(1, 1)), 8);
    bench.advance(1_000);
    assert_eq!(bench.fill(&request(1, 1)), 4);
}

/// Makes a number of load polls fail, 250 ms apart; returns the replies.
fn fail_polls(bench: &mut Bench, server: u64, err: LoadError, times: u32) -> OutgoingMsgs {
    let mut out = Vec::new();
    for _ in 0..times {
        out.extend(bench.advance(250));
        out.extend(bench.cell.handle_load(bench.now, ServerId(server), Err(err)));
    }
    out
}

/// Requests that wait for a server that is down would wait until they expire, although another cell
/// could serve them.
#[test]
fn server_that_refuses_load_polls_gets_nothing_until_it_reports() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let running = bench.acquire_granted(request(1, 1));
    bench.fill(&request(1, 1));
    let (queued, _) = bench.acquire(request(1, 1));

    let lost = fail_polls(&mut bench, 1, LoadError::Disconnected, 2);
    let free = bench.cell.summary(bench.now).free;
    let (late, refusal) = bench.acquire(request(1, 1));
    bench.release(running, AttemptEnd::Broken { answered: false }, false);
    bench.cell.handle_load(bench.now, ServerId(1), Ok(report(2, false)));

    assert_eq!(refused(&lost), [(queued, Reason::NoServer)]);
    assert_eq!(free, 0);
    assert_eq!(refused(&refusal), [(late, Reason::NoServer)]);
    assert!(bench.cell.summary(bench.now).free > 0);
}

/// Without load reports only attempts show that a server is back. Each probe costs a request an
/// attempt, so that probes must become rare, but never stop.
#[test]
fn servers_that_refuse_attempts_are_probed_with_growing_delays() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 4, 4), server(2, 4, 4)]);
    for _ in 0..4 {
        let granted = bench.acquire_granted(request(1, 1));
        bench.release(granted, AttemptEnd::ConnectFailed, false);
    }
    let mut probes = [0, 0];

    for (half, probes) in probes.iter_mut().enumerate() {
        for _ in 0..80 {
            bench.advance(100);
            let (_, replies) = bench.acquire(request(1, 1));
            assert_eq!(refused(&replies).len() + grants(&replies).len(), 1, "{half}: {replies:?}");
            for granted in grants(&replies) {
                *probes += 1;
                bench.release(granted, AttemptEnd::ConnectFailed, false);
            }
        }
    }
    bench.advance(16_000);
    let probe = bench.acquire_granted(request(1, 1));
    bench.release(probe, completed(10), false);

    // Two servers are probed after 1, 3 and 7 s, then not before 15 s.
    assert_eq!(probes, [6, 2]);
    assert!(bench.fill(&request(1, 1)) >= 4);
}

/// One instance with a broken network must not take a server from all the others.
#[test]
fn failed_connections_do_not_mark_a_server_as_down_while_it_reports() {
    let mut bench = Bench::warm(Policy::Tiered, 4);

    for _ in 0..10 {
        let granted = bench.acquire_granted(request(1, 1));
        bench.release(granted, AttemptEnd::ConnectFailed, false);
    }

    assert_eq!(refused(&bench.acquire(request(1, 1)).1), []);
}

/// A server that accepts connections without answering would hold its attempts until they time out.
/// Those that are not idempotent must not run twice.
#[test]
fn idempotent_attempts_on_an_unresponsive_server_are_preempted() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let running = bench.acquire_granted(request(1, 1));
    bench.acquire_granted(Acquire { idempotent: false, ..request(1, 1) });

    let early = fail_polls(&mut bench, 1, LoadError::TimedOut, 4);
    let (late, refusal) = bench.acquire(request(1, 1));
    let asked = bench.advance(2_000);

    assert_eq!(preempted(&early), []);
    assert_eq!(refused(&refusal), [(late, Reason::NoServer)]);
    assert_eq!(preempted(&asked), [running.grant]);
}

/// A server under load may answer load polls too late while it serves requests well.
#[test]
fn server_that_completes_attempts_is_not_down_when_polls_time_out() {
    let mut bench = Bench::warm(Policy::Tiered, 4);

    for _ in 0..4 {
        let granted = bench.acquire_granted(request(1, 1));
        fail_polls(&mut bench, 1, LoadError::TimedOut, 3);
        bench.release(granted, completed(750), false);
    }

    bench.acquire_granted(request(1, 1));
}

/// Queued, it would go back to a server that failed it, although another cell could serve it.
#[test]
fn request_that_failed_on_all_servers_is_refused() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 4, 4), server(2, 4, 4)]);
    let avoid = vec![ServerId(1), ServerId(2)];

    let (ticket, replies) = bench.acquire(Acquire { avoid, ..request(1, 1) });

    assert_eq!(refused(&replies), [(ticket, Reason::NoServer)]);
}

/// The only other server is ejected for failures: waiting for the end of its ejection, or going
/// back to the server that failed, takes longer than trying another cell.
#[test]
fn retry_is_refused_while_the_other_server_is_ejected() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 4, 4), server(2, 4, 4)]);
    let avoid = vec![ServerId(2)];
    for _ in 0..3 {
        let granted = bench.acquire_granted(Acquire { avoid: avoid.clone(), ..request(1, 1) });
        bench.release(granted, AttemptEnd::Broken { answered: false }, false);
    }

    let (ticket, replies) = bench.acquire(Acquire { avoid, ..request(1, 1) });

    assert_eq!(refused(&replies), [(ticket, Reason::NoServer)]);
    assert_eq!(bench.acquire_granted(request(1, 1)).server, ServerId(2));
}

/// A server that is much slower than the others would otherwise hold as many attempts as they do,
/// and delay all of them.
#[test]
fn slow_server_is_limited_to_its_cold_limit() {
    let mut bench =
        Bench::new(Policy::Tiered, &[server(1, 9, 1), server(2, 9, 1), server(3, 9, 1)]);
    for _ in 0..200 {
        let granted = bench.acquire_granted(request(1, 1));
        let millis = if granted.server == ServerId(3) { 1_000 } else { 50 };
        bench.release(granted, completed(millis), false);
    }

    let limits: Vec<_> =
        bench.cell.dump(bench.now).servers.iter().map(|server| server.limit).collect();
    assert_eq!(limits, [9, 9, 1]);
}

/// Without affinity every server would read the prefix again. Without its limit, a popular prefix
/// would overload one server while others are idle.
#[test]
fn requests_with_a_prefix_share_a_server_while_it_is_not_much_busier() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 8, 8), server(2, 8, 8)]);
    let req = Acquire { prefix: PrefixHash(7), ..request(1, 1) };

    let first = bench.acquire_granted(req.clone());
    let near: Vec<_> = (0..2).map(|_| bench.acquire_granted(req.clone()).server).collect();
    let far = bench.acquire_granted(req).server;

    assert_eq!(near, [first.server; 2]);
    assert_ne!(far, first.server);
}

/// A retry on the same server would probably fail again, but it is better than no attempt.
#[test]
fn server_that_failed_a_request_is_avoided_while_another_is_free() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 2, 2), server(2, 1, 1)]);
    let req = Acquire { avoid: vec![ServerId(1)], ..request(1, 1) };

    let servers = [bench.acquire_granted(req.clone()).server, bench.acquire_granted(req).server];

    assert_eq!(servers, [ServerId(2), ServerId(1)]);
}

/// Queued, it would expire there, and its instance would learn too late to try another cell. A
/// waiting request of a lower tier can be shed or passed instead.
#[test]
fn request_that_cannot_start_in_time_is_refused_unless_a_lower_tier_waits() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.complete(30, &request(1, 1), 1_000);
    bench.complete(30, &request(2, 1), 1_000);
    bench.acquire_granted(Acquire { idempotent: false, ..request(1, 1) });
    for _ in 0..10 {
        bench.acquire(Acquire { wait: WAIT * 10, ..request(1, 1) });
    }
    let short = Acquire { wait: Duration::from_secs(1), ..request(1, 1) };

    let (short_ticket, refusals) = bench.acquire(short.clone());
    let (_, patient) = bench.acquire(Acquire { wait: WAIT * 2, ..request(1, 1) });
    bench.acquire(Acquire { wait: WAIT * 10, ..request(2, 1) });
    let (_, above_lower) = bench.acquire(short);

    assert_eq!(refused(&refusals), [(short_ticket, Reason::Capacity)]);
    assert_eq!(refused(&patient), []);
    assert_eq!(refused(&above_lower), []);
}

/// A request that stays in the queue after its deadline would use a server for a caller that no
/// longer waits.
#[test]
fn request_is_refused_at_its_deadline() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.acquire_granted(request(1, 1));
    let (ticket, _) = bench.acquire(request(1, 1));

    let early = bench.advance(9_999);
    let late = bench.advance(1);

    assert_eq!(refused(&early), []);
    assert_eq!(refused(&late), [(ticket, Reason::Capacity)]);
}

/// The youngest attempt loses the least work, and one that is not idempotent must not run twice.
#[test]
fn youngest_idempotent_attempt_of_the_lowest_tier_is_preempted() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    bench.acquire_granted(request(1, 1));
    bench.acquire_granted(request(2, 1));
    bench.advance(1);
    let youngest = bench.acquire_granted(request(2, 1));
    bench.advance(1);
    bench.acquire_granted(Acquire { idempotent: false, ..request(2, 1) });

    let (high, replies) = bench.acquire(request(0, 1));
    let (_, same) = bench.acquire(request(2, 1));
    let granted = grants(&bench.release(youngest, AttemptEnd::Preempted, false));

    assert_eq!(preempted(&replies), [youngest.grant]);
    assert_eq!(preempted(&same), []);
    assert_eq!(granted[0].ticket, high);
}

/// A message may arrive twice or late: a second grant for a ticket would never be used.
#[test]
fn repeated_messages_change_nothing() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let granted = bench.acquire_granted(request(1, 1));
    let again = CellMsg::Acquire(Acquire { ticket: granted.ticket, ..request(1, 1) });

    let repeated = bench.cell.handle(bench.now, peer(1), &again);
    bench.release(granted, completed(10), false);
    bench.release(granted, completed(10), false);
    let late = bench.cell.handle(bench.now, peer(1), &again);

    assert_eq!(grants(&repeated), [granted]);
    assert_eq!(late, []);
    assert_eq!(bench.cell.dump(bench.now).grants, 0);
}

/// A cancellation may arrive before its request: a grant given after it would never be released.
#[test]
fn cancellation_frees_a_grant_and_prevents_one_when_it_arrives_first() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    let granted = bench.acquire_granted(request(1, 1));
    let cancel = |ticket| CellMsg::Cancel { ticket, cell: CELL };
    bench.cell.handle(bench.now, peer(1), &cancel(granted.ticket));
    bench.cell.handle(bench.now, peer(1), &cancel(TicketId(2)));

    let (_, replies) = bench.acquire(request(1, 1));

    assert_eq!(replies, []);
    assert_eq!(bench.cell.dump(bench.now).grants, 0);
}

/// A release may be lost. A list from before the grant arrived must not free it, as its attempt may
/// be running.
#[test]
fn grant_that_its_holder_does_not_list_is_freed_after_the_grace() {
    let mut bench = Bench::warm(Policy::Tiered, 4);
    bench.acquire_granted(request(1, 1));
    let count = |bench: &Bench| bench.cell.dump(bench.now).grants;

    bench.advance(UNLISTED_GRANT_GRACE.as_millis() as u64 - 1);
    bench.held(peer(1), Vec::new());
    let before = count(&bench);
    bench.advance(1);
    bench.held(peer(1), Vec::new());

    assert_eq!([before, count(&bench)], [1, 0]);
}

/// Attempts under grants of the former owner still run: a new owner that doesn't count them would
/// overload the servers.
#[test]
fn new_owner_gives_no_grants_before_all_instances_list_theirs() {
    let now = Time::from_millis(1);
    let mut cell = Cell::new(now, CELL, Policy::Tiered, CellStart::Fresh);
    let asked = cell.reclaim_from(now, [InstanceId(1), InstanceId(2)]);
    cell.set_servers(now, [server(1, 4, 2)]);
    let mut bench = Bench { cell, now, ..Bench::new(Policy::Tiered, &[]) };

    let (_, waiting) = bench.acquire(request(1, 1));
    bench.held(peer(2), vec![held(77, 1)]);
    let (_, still) = bench.acquire(request(1, 1));
    let granted = bench.held(peer(1), Vec::new());

    assert_eq!(asked.len(), 2);
    assert_eq!([grants(&waiting), grants(&still)], [[], []]);
    assert_eq!(grants(&granted).len(), 1);
}

/// An instance that never answers must not block the cell.
#[test]
fn new_owner_gives_grants_after_the_reclaim_timeout() {
    let now = Time::from_millis(1);
    let mut cell = Cell::new(now, CELL, Policy::Tiered, CellStart::Fresh);
    cell.set_servers(now, [server(1, 4, 2)]);
    let mut bench = Bench { cell, now, ..Bench::new(Policy::Tiered, &[]) };
    bench.acquire(request(1, 1));

    let replies = bench.advance(RECLAIM_TIMEOUT.as_millis() as u64);

    assert_eq!(grants(&replies).len(), 1);
}

/// A planned handover must neither wait for lists of held grants nor start all servers cold.
#[test]
fn handed_over_cell_keeps_its_limits_and_grants() {
    let mut bench = Bench::new(Policy::Tiered, &[server(1, 8, 2)]);
    bench.complete(10, &request(1, 1), 10);
    bench.acquire_granted(request(1, 1));

    let state = bench.cell.handover();
    bench.cell = Cell::new(bench.now, CELL, Policy::Tiered, CellStart::HandedOver(state));
    bench.cell.set_servers(bench.now, [server(1, 8, 2)]);

    assert_eq!(bench.fill(&request(1, 1)), 7);
}

/// Nobody is left to release them. The incarnation that runs now keeps what it holds.
#[test]
fn ended_incarnation_loses_its_grants_and_waiting_requests() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.acquire_granted(request(1, 1));
    bench.acquire(request(1, 1));
    bench.cell.instance_gone(bench.now, InstanceId(1), Some(Incarnation(1)));
    let kept = bench.cell.dump(bench.now).grants;

    bench.cell.instance_gone(bench.now, InstanceId(1), Some(Incarnation(2)));

    let dump = bench.cell.dump(bench.now);
    assert_eq!([kept, dump.grants, dump.waiting.len()], [1, 0, 0]);
}

/// An instance may end without anyone reporting it: its grants would occupy servers for ever.
#[test]
fn grants_of_a_silent_holder_are_freed() {
    let mut bench = Bench::warm(Policy::Tiered, 1);
    bench.acquire_granted(request(1, 1));

    bench.advance(HOLDER_TIMEOUT.as_millis() as u64);

    assert_eq!(bench.cell.dump(bench.now).grants, 0);
}

/// The baselines are compared with the tiered policy: they must differ from it in the order of
/// service, not in the load on the servers.
#[test]
fn baseline_policies_ignore_tiers_but_not_limits() {
    for policy in [Policy::RoundRobin, Policy::Fifo, Policy::StaticLimits] {
        let mut bench = Bench::warm(policy, 2);
        let running = bench.acquire_granted(request(2, 1));
        bench.acquire_granted(request(2, 1));
        let (low, _) = bench.acquire(request(2, 1));
        let (high, replies) = bench.acquire(request(0, 1));

        let order = grant_order(&mut bench, running);

        assert_eq!(preempted(&replies), []);
        assert_eq!(order, [low, high]);
    }
}
