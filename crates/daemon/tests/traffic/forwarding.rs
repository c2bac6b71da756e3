//! Attempts at backend servers that fail in every way.

use std::{io::Write as _, net::SocketAddr, sync::mpsc, thread, time::Duration};

use control::{Event, RequestCommand, RequestHead, RunCommand};
use model::prelude::*;

use crate::{
    backend::{Backend, STREAM_HEAD, chunk, done, events, wait_closed, whole},
    bench::{Bench, bench, bench_handing_over, bench_with, nowhere, run, runs, settings},
    caller::{Caller, call, get, post},
};

const BROKEN: AttemptEnd = AttemptEnd::Broken { answered: false };
const TORN: AttemptEnd = AttemptEnd::Broken { answered: true };

/// A front that makes one attempt with a changed order.
fn bench_changed(
    address: SocketAddr,
    change: impl Fn(&RequestHead, &mut RunCommand) + Send + 'static,
) -> Bench {
    bench(
        settings(),
        Box::new(move |head| {
            let mut order = run(head, 1, address);
            change(head, &mut order);
            vec![RequestCommand::Run(order)]
        }),
    )
}

#[test]
fn a_stream_is_passed_on_as_it_comes() {
    let (go, wait) = mpsc::channel();
    let backend = Backend::start(move |_, stream| {
        stream.write_all(events(&["one"]).as_bytes()).unwrap();
        wait.recv().unwrap();
        let rest = format!("{}{}", chunk("data: two\r\n\r\n: ping\n\ndata: thr"), chunk("ee\n\n"));
        stream.write_all(format!("{rest}{}", done()).as_bytes()).unwrap();
    });
    let bench = bench_with(&[backend.address]);
    let mut caller = Caller::connect(bench.address);
    caller.send(post("/stock", "x"));

    caller.wait_for("data: one\n\n");
    go.send(()).unwrap();
    let seen = caller.response();

    assert!(seen.whole);
    let body = "data: one\n\ndata: two\r\n\r\n: ping\n\ndata: three\n\ndata: [DONE]\n\n";
    assert_eq!(seen.body, body);
    assert_eq!(seen.field("content-type"), Some("text/event-stream"));
    assert!(matches!(bench.ended(), AttemptEnd::Completed { tokens: 3, .. }));
}

#[test]
fn a_cut_answer_never_looks_whole() {
    let long = "a".repeat(100);
    let cases = [
        (events(&["one", "two"]), TORN),
        (format!("{}0\r\n\r\n", events(&["one"])), TORN),
        (format!("{}{}", events(&["one"]), chunk("data: [DONE]\n\n")), TORN),
        (format!("{}{}zz\r\n", events(&["one"]), chunk("data: [DONE]\n\n")), TORN),
        (format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk(&long)), TORN),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(), BROKEN),
        (STREAM_HEAD.to_owned(), BROKEN),
        (format!("{STREAM_HEAD}{}", chunk("data: ha")), BROKEN),
        (whole("abcdef").replace("abcdef", "abcde"), BROKEN),
        (whole(&long).replace(": 100", ": 5000000"), TORN),
        ("HTTP/1.1 200 OK\r\n\r\nwithout a length".to_owned(), BROKEN),
        (whole("ok").replace("content-type", "content-length: 2\r\ncontent-type"), BROKEN),
        (whole("ok").replace("content-type", "transfer-encoding: chunked\r\nx"), BROKEN),
        (whole("ok").replace("200 OK", "101 Switching"), BROKEN),
        (whole("ok").replace("content-type", "x-request-id: another\r\nx"), BROKEN),
        ("HTTP/1.1 200 OK\r\ncontent-le".to_owned(), BROKEN),
        ("garbage\r\n\r\n".to_owned(), BROKEN),
        (String::new(), BROKEN),
    ];

    for (answer, end) in cases {
        let backend = Backend::answering(answer.clone());
        let bench = bench_with(&[backend.address]);
        let mut caller = Caller::connect(bench.address);
        caller.send(post("/stock", "x"));

        if end == TORN {
            let seen = caller.response();
            assert!(!seen.whole, "{answer}");
        } else {
            // The control thread believes that the request did not run.
            let seen = caller.response();
            assert_eq!(
                seen.error(),
                ("server-failed".to_owned(), "unknown".to_owned()),
                "{answer}"
            );
        }
        assert_eq!(bench.ended(), end, "{answer}");
    }
}

#[test]
fn a_failed_attempt_is_made_again_elsewhere() {
    let cut = Backend::answering(whole("abc").replace("abc", "ab"));
    let good = Backend::answering(whole("good"));
    let bench = bench_with(&[cut.address, good.address]);

    let seen = call(bench.address, &post("/stock", "x"));

    assert_eq!((seen.status, &*seen.body), (200, "good"));
    assert_eq!(bench.ended(), BROKEN);
    assert!(matches!(bench.ended(), AttemptEnd::Completed { .. }));
    assert_eq!(cut.request().field("x-request-id"), good.request().field("x-request-id"));
}

#[test]
fn a_broken_stream_is_resumed_without_gap_or_repetition() {
    let first = Backend::answering(format!("{}{}", events(&["one", "two"]), chunk("data: thr")));
    let useless = Backend::answering(whole("not a stream"));
    let second = Backend::answering(format!("{}{}", events(&["three"]), done()));
    let bench = bench_with(&[first.address, useless.address, second.address]);

    let seen = call(bench.address, &post("/stock", "x"));

    assert!(seen.whole);
    assert_eq!(seen.body, "data: one\n\ndata: two\n\ndata: three\n\ndata: [DONE]\n\n");
    assert_eq!(first.request().field("x-resume-from"), None);
    assert_eq!(useless.request().field("x-resume-from"), Some("2"));
    assert_eq!(second.request().field("x-resume-from"), Some("2"));
    assert_eq!((bench.ended(), bench.ended()), (TORN, TORN));
    assert!(matches!(bench.ended(), AttemptEnd::Completed { tokens: 3, .. }));
}

#[test]
fn a_begun_answer_is_not_begun_again_by_a_server_that_does_not_resume() {
    let first = Backend::answering(events(&["one"]));
    let second = Backend::answering(format!("{}{}", events(&["one"]), done()));
    let addresses = [first.address, second.address];
    let script = move |head: &RequestHead| {
        let mut orders = runs(head, &addresses);
        for order in &mut orders {
            let RequestCommand::Run(order) = order else { continue };
            order.resumes = false;
        }
        orders
    };
    let bench = bench(settings(), Box::new(script));

    let seen = call(bench.address, &post("/stock", "x"));

    assert!(!seen.whole);
    assert!(second.is_untouched());
}

#[test]
fn a_server_that_did_not_run_the_request_leaves_it_not_run() {
    let busy =
        "HTTP/1.1 503 Busy\r\nx-outcome: not-run\r\nx-cold: true\r\ncontent-length: 0\r\n\r\n";
    let backend = Backend::answering(busy);
    let bench = bench_with(&[backend.address]);

    let seen = call(bench.address, &post("/stock", "x"));

    assert_eq!(seen.error(), ("server-failed".to_owned(), "not-run".to_owned()));
    let cold = bench.event(|it| match it {
        Event::AttemptEnded { end: AttemptEnd::ServerBusy, cold, .. } => Some(cold),
        _ => None,
    });
    assert!(cold);
}

#[test]
fn an_attempt_that_is_late_is_not_made() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_changed(backend.address, |head, order| order.start_by = head.arrived);

    let seen = call(bench.address, &post("/stock", "x"));

    assert_eq!(seen.error().1, "not-run");
    assert_eq!(bench.ended(), AttemptEnd::Unused);
    assert!(backend.is_untouched());
}

#[test]
fn a_server_that_cannot_be_reached_has_not_run_the_request() {
    let bench = bench_with(&[nowhere()]);

    let seen = call(bench.address, &post("/stock", "x"));

    assert_eq!(seen.error().1, "not-run");
    assert_eq!(bench.ended(), AttemptEnd::ConnectFailed);
}

#[test]
fn a_deadline_before_the_request_is_written_leaves_it_not_run() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_changed(backend.address, |head, order| order.first_byte_by = head.arrived);

    let seen = call(bench.address, &post("/stock", "x"));

    assert_eq!(seen.error().1, "not-run");
    assert_eq!(bench.ended(), AttemptEnd::ConnectFailed);
    assert!(backend.is_untouched());
}

#[test]
fn deadlines_end_attempts() {
    let span = Duration::from_millis(150);
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let slow = Backend::start(|_, stream| {
        stream.write_all(events(&["one"]).as_bytes()).unwrap();
        assert!(wait_closed(stream));
    });
    let first = bench_changed(silent.address, move |head, order| {
        order.first_byte_by = head.arrived + span;
    });
    let end = bench_changed(slow.address, move |head, order| order.end_by = head.arrived + span);

    let refused = call(first.address, &post("/stock", "x"));
    let cut = call(end.address, &post("/stock", "x"));

    assert_eq!(refused.error().1, "unknown");
    assert_eq!(first.ended(), AttemptEnd::TimedOut { answered: false });
    assert!(!cut.whole);
    assert_eq!(end.ended(), AttemptEnd::TimedOut { answered: true });
}

#[test]
fn a_caller_that_takes_nothing_holds_no_backend_server() {
    let mut settings = settings();
    settings.limits.idle_ms = 200;
    let (tx, closed) = mpsc::channel();
    let backend = Backend::start(move |_, stream| {
        let _ = stream.write_all(STREAM_HEAD.as_bytes());
        let event = chunk(&format!("data: {}\n\n", "a".repeat(10_000)));
        while stream.write_all(event.as_bytes()).is_ok() {}
        tx.send(()).unwrap();
    });
    let address = backend.address;
    let bench = bench(settings, Box::new(move |head| runs(head, &[address])));
    let mut caller = Caller::connect(bench.address);

    caller.send(post("/stock", "x"));

    assert_eq!(bench.ended(), AttemptEnd::CallerLeft);
    closed.recv().unwrap();
}

#[test]
fn an_attempt_is_preempted_until_its_answer_began() {
    let (go, wait) = mpsc::channel();
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let begun = Backend::start(move |_, stream| {
        stream.write_all(events(&["one"]).as_bytes()).unwrap();
        wait.recv().unwrap();
        stream.write_all(done().as_bytes()).unwrap();
    });
    let addresses = [silent.address, begun.address];
    let (orders_tx, orders_rx) = mpsc::channel();
    let link = bench_handing_over(settings(), orders_tx);
    let mut caller = Caller::connect(link.address);
    caller.send(post("/stock", "x"));
    let (head, orders) = orders_rx.recv().unwrap();

    orders.try_send(RequestCommand::Run(run(&head, 1, addresses[0]))).unwrap();
    silent.request();
    orders.try_send(RequestCommand::Preempt { attempt: 1 }).unwrap();
    assert_eq!(link.ended(), AttemptEnd::Preempted);
    orders.try_send(RequestCommand::Run(run(&head, 2, addresses[1]))).unwrap();
    caller.wait_for("data: one");
    orders.try_send(RequestCommand::Preempt { attempt: 1 }).unwrap();
    orders.try_send(RequestCommand::Preempt { attempt: 2 }).unwrap();
    thread::sleep(Duration::from_millis(50));
    go.send(()).unwrap();

    assert!(caller.response().whole);
    assert!(matches!(link.ended(), AttemptEnd::Completed { .. }));
}

#[test]
fn a_refusal_during_an_attempt_cancels_it() {
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let (orders_tx, orders_rx) = mpsc::channel();
    let link = bench_handing_over(settings(), orders_tx);
    let mut caller = Caller::connect(link.address);
    caller.send(post("/stock", "x"));
    let (head, orders) = orders_rx.recv().unwrap();
    orders.try_send(RequestCommand::Run(run(&head, 1, silent.address))).unwrap();
    silent.request();

    orders.try_send(RequestCommand::Refuse(Refusal::not_run(Reason::NotReady))).unwrap();

    assert_eq!(caller.response().error(), ("not-ready".to_owned(), "unknown".to_owned()));
}

#[test]
fn unusual_answers_are_passed_on() {
    let interim = "HTTP/1.1 103 Early\r\nlink: x\r\n\r\n";
    let teapot = "HTTP/1.1 418 Teapot\r\nx-a: 1\r\nx-a: 2\r\nx-cold: 1\r\nx-outcome: unknown\r\n\
                  connection: close\r\ncontent-length: 3\r\n\r\nabc";
    let cases = [
        (format!("{interim}{teapot}"), 418, "abc"),
        (whole("busy").replace("200 OK", "503 Busy"), 503, "busy"),
        (whole("odd").replace("200 OK", "529 Odd"), 500, "odd"),
        (whole("ok").replace("content-type", "x-name: \u{e9}\r\ncontent-type"), 200, "ok"),
        (whole("ok").replace("HTTP/1.1", "HTTP/1.0"), 200, "ok"),
    ];

    for (answer, status, body) in cases {
        let backend = Backend::answering(answer.clone());
        let bench = bench_with(&[backend.address]);
        let mut caller = Caller::connect(bench.address);
        for _ in 0..2 {
            caller.send(post("/stock", "x"));

            let seen = caller.response();

            assert_eq!((seen.status, &*seen.body), (status, body), "{answer}");
            assert_eq!(seen.head.matches("date: ").count(), 1, "{}", seen.head);
            assert_eq!(seen.field("x-cold").or(seen.field("x-outcome")), None);
            assert!(matches!(bench.ended(), AttemptEnd::Completed { .. }));
        }
    }
}

#[test]
fn a_chunked_answer_is_read_however_it_is_split() {
    let backend = Backend::start(|_, stream| {
        stream.set_nodelay(true).unwrap();
        let answer =
            format!("{}{}0\r\nx-trailer: 1\r\n\r\n", events(&["one"]), chunk("data: [DONE]\n\n"));
        for byte in answer.bytes() {
            stream.write_all(&[byte]).unwrap();
        }
        // The end is told by the body, not by the connection.
        assert!(wait_closed(stream));
    });
    let bench = bench_with(&[backend.address]);

    let seen = call(bench.address, &post("/stock", "x"));

    assert_eq!((seen.whole, &*seen.body), (true, "data: one\n\ndata: [DONE]\n\n"));
}

#[test]
fn a_request_is_reported_as_sent() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_with(&[backend.address]);

    call(bench.address, &get("/look", ""));

    let attempt = bench.event(|it| match it {
        Event::AttemptSent { attempt, .. } => Some(attempt),
        _ => None,
    });
    assert_eq!(attempt, 1);
}
