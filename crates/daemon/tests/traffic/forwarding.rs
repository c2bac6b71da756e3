//! Attempts at backend servers: streaming, failures, deadlines and preemption.

use std::{io::Write as _, net::SocketAddr, sync::mpsc, thread, time::Duration};

use control::{Event, RequestCommand, RequestHead, RunCommand};
use model::prelude::*;

use crate::{
    backend::{Backend, STREAM_HEAD, chunk, done, events, ok_response, wait_closed},
    bench::{
        Fixture, fixture, fixture_handing_over, fixture_with_servers, run, runs, settings,
        unreachable_address,
    },
    caller::{Caller, call, get, post},
};

const BROKEN_BEFORE_START: AttemptEnd = AttemptEnd::Broken { answered: false };
const BROKEN_AFTER_START: AttemptEnd = AttemptEnd::Broken { answered: true };

/// Serves callers; the control thread commands one attempt per request, which `change` modifies.
fn fixture_with_command(
    address: SocketAddr,
    change: impl Fn(&RequestHead, &mut RunCommand) + Send + 'static,
) -> Fixture {
    fixture(
        settings(),
        Box::new(move |head| {
            let mut command = run(head, 1, address);
            change(head, &mut command);
            vec![RequestCommand::Run(command)]
        }),
    )
}

/// Buffering would delay the first token. Events may end in the middle of a chunk or span several,
/// and comments are not events.
#[test]
fn events_are_passed_on_as_they_arrive() {
    let (proceed, may_proceed) = mpsc::channel();
    let backend = Backend::start(move |_, stream| {
        stream.write_all(events(&["one"]).as_bytes()).unwrap();
        may_proceed.recv().unwrap();
        let rest = format!("{}{}", chunk("data: two\r\n\r\n: ping\n\ndata: thr"), chunk("ee\n\n"));
        stream.write_all(format!("{rest}{}", done()).as_bytes()).unwrap();
    });
    let fixture = fixture_with_servers(&[backend.address]);
    let mut caller = Caller::connect(fixture.address);
    caller.send(post("/stock", "x"));

    caller.wait_for("data: one\n\n");
    proceed.send(()).unwrap();
    let response = caller.response();

    assert!(response.is_complete);
    let body = "data: one\n\ndata: two\r\n\r\n: ping\n\ndata: three\n\ndata: [DONE]\n\n";
    assert_eq!(response.body, body);
    assert_eq!(response.field("content-type"), Some("text/event-stream"));
    assert!(matches!(fixture.ended(), AttemptEnd::Completed { tokens: 3, .. }));
}

/// A response can break off at any point, or belong to another request. The caller must see a
/// refusal, or a body without its end if a part was passed on already.
#[test]
fn an_incomplete_response_never_looks_complete() {
    let long = "a".repeat(100);
    let cases = [
        (events(&["one", "two"]), BROKEN_AFTER_START),
        (format!("{}0\r\n\r\n", events(&["one"])), BROKEN_AFTER_START),
        (format!("{}{}", events(&["one"]), chunk("data: [DONE]\n\n")), BROKEN_AFTER_START),
        (format!("{}{}zz\r\n", events(&["one"]), chunk("data: [DONE]\n\n")), BROKEN_AFTER_START),
        (
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk(&long)),
            BROKEN_AFTER_START,
        ),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(), BROKEN_BEFORE_START),
        (STREAM_HEAD.to_owned(), BROKEN_BEFORE_START),
        (format!("{STREAM_HEAD}{}", chunk("data: ha")), BROKEN_BEFORE_START),
        (ok_response("abcdef").replace("abcdef", "abcde"), BROKEN_BEFORE_START),
        (ok_response(&long).replace(": 100", ": 5000000"), BROKEN_AFTER_START),
        ("HTTP/1.1 200 OK\r\n\r\nwithout a length".to_owned(), BROKEN_BEFORE_START),
        (
            ok_response("ok").replace("content-type", "content-length: 2\r\ncontent-type"),
            BROKEN_BEFORE_START,
        ),
        (
            ok_response("ok").replace("content-type", "transfer-encoding: chunked\r\nx"),
            BROKEN_BEFORE_START,
        ),
        (ok_response("ok").replace("200 OK", "101 Switching"), BROKEN_BEFORE_START),
        (
            ok_response("ok").replace("content-type", "x-request-id: another\r\nx"),
            BROKEN_BEFORE_START,
        ),
        ("HTTP/1.1 200 OK\r\ncontent-le".to_owned(), BROKEN_BEFORE_START),
        ("garbage\r\n\r\n".to_owned(), BROKEN_BEFORE_START),
        (String::new(), BROKEN_BEFORE_START),
    ];

    for (sent, end) in cases {
        let backend = Backend::responding_with(sent.clone());
        let fixture = fixture_with_servers(&[backend.address]);
        let mut caller = Caller::connect(fixture.address);
        caller.send(post("/stock", "x"));

        if end == BROKEN_AFTER_START {
            let response = caller.response();
            assert!(!response.is_complete, "{sent}");
        } else {
            // The scripted refusal says that the request did not run, but it was written.
            let response = caller.response();
            assert_eq!(
                response.error(),
                ("server-failed".to_owned(), "unknown".to_owned()),
                "{sent}"
            );
        }
        assert_eq!(fixture.ended(), end, "{sent}");
    }
}

/// A short response is buffered until it is complete, so that a server's failure stays invisible to
/// the caller.
#[test]
fn a_response_cut_before_its_end_is_retried_at_another_server() {
    let cut = Backend::responding_with(ok_response("abc").replace("abc", "ab"));
    let good = Backend::responding_with(ok_response("good"));
    let fixture = fixture_with_servers(&[cut.address, good.address]);

    let response = call(fixture.address, &post("/stock", "x"));

    assert_eq!((response.status, &*response.body), (200, "good"));
    assert_eq!(fixture.ended(), BROKEN_BEFORE_START);
    assert!(matches!(fixture.ended(), AttemptEnd::Completed { .. }));
    assert_eq!(cut.request().field("x-request-id"), good.request().field("x-request-id"));
}

/// The next server must be asked for the events after the last one that the caller received; a
/// partial event must not be passed on, nor a response that does not continue the stream.
#[test]
fn a_broken_stream_is_resumed_without_gap_or_repetition() {
    let first =
        Backend::responding_with(format!("{}{}", events(&["one", "two"]), chunk("data: thr")));
    let useless = Backend::responding_with(ok_response("not a stream"));
    let second = Backend::responding_with(format!("{}{}", events(&["three"]), done()));
    let fixture = fixture_with_servers(&[first.address, useless.address, second.address]);

    let response = call(fixture.address, &post("/stock", "x"));

    assert!(response.is_complete);
    assert_eq!(response.body, "data: one\n\ndata: two\n\ndata: three\n\ndata: [DONE]\n\n");
    assert_eq!(first.request().field("x-resume-from"), None);
    assert_eq!(useless.request().field("x-resume-from"), Some("2"));
    assert_eq!(second.request().field("x-resume-from"), Some("2"));
    assert_eq!((fixture.ended(), fixture.ended()), (BROKEN_AFTER_START, BROKEN_AFTER_START));
    assert!(matches!(fixture.ended(), AttemptEnd::Completed { tokens: 3, .. }));
}

/// A server that cannot resume streams would repeat events that the caller has received.
#[test]
fn a_started_response_is_not_restarted_at_a_server_that_cannot_resume() {
    let first = Backend::responding_with(events(&["one"]));
    let second = Backend::responding_with(format!("{}{}", events(&["one"]), done()));
    let addresses = [first.address, second.address];
    let script = move |head: &RequestHead| {
        let mut commands = runs(head, &addresses);
        for command in &mut commands {
            let RequestCommand::Run(command) = command else { continue };
            command.resumes = false;
        }
        commands
    };
    let fixture = fixture(settings(), Box::new(script));

    let response = call(fixture.address, &post("/stock", "x"));

    assert!(!response.is_complete);
    assert!(second.has_no_request());
}

/// A caller may retry a request safely only if it is told that it did not run; "unknown" would be
/// wrong after a server that rejected it. The server's cold flag must reach the reducer.
#[test]
fn a_busy_server_leaves_the_request_not_run() {
    let busy =
        "HTTP/1.1 503 Busy\r\nx-outcome: not-run\r\nx-cold: true\r\ncontent-length: 0\r\n\r\n";
    let backend = Backend::responding_with(busy);
    let fixture = fixture_with_servers(&[backend.address]);

    let response = call(fixture.address, &post("/stock", "x"));

    assert_eq!(response.error(), ("server-failed".to_owned(), "not-run".to_owned()));
    let cold = fixture.event(|event| match event {
        Event::AttemptEnded { end: AttemptEnd::ServerBusy, cold, .. } => Some(cold),
        _ => None,
    });
    assert!(cold);
}

/// After a pause of the process, the grant may have passed to another request; the attempt would
/// overload the server.
#[test]
fn an_attempt_after_its_latest_start_is_not_made() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture =
        fixture_with_command(backend.address, |head, command| command.start_by = head.arrived);

    let response = call(fixture.address, &post("/stock", "x"));

    assert_eq!(response.error().1, "not-run");
    assert_eq!(fixture.ended(), AttemptEnd::Unused);
    assert!(backend.has_no_request());
}

/// If no connection was established, the server cannot have run the request, and the caller may
/// retry it safely.
#[test]
fn an_unreachable_server_leaves_the_request_not_run() {
    let fixture = fixture_with_servers(&[unreachable_address()]);

    let response = call(fixture.address, &post("/stock", "x"));

    assert_eq!(response.error().1, "not-run");
    assert_eq!(fixture.ended(), AttemptEnd::ConnectFailed);
}

/// A timeout counts as "may have run" only after the first byte was written.
#[test]
fn a_deadline_before_the_request_is_written_leaves_it_not_run() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture =
        fixture_with_command(backend.address, |head, command| command.first_byte_by = head.arrived);

    let response = call(fixture.address, &post("/stock", "x"));

    assert_eq!(response.error().1, "not-run");
    assert_eq!(fixture.ended(), AttemptEnd::ConnectFailed);
    assert!(backend.has_no_request());
}

/// A server that stops sending would otherwise hold its slot and the caller forever.
#[test]
fn an_attempt_ends_at_its_deadlines_for_the_first_byte_and_the_end() {
    let span = Duration::from_millis(150);
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let slow = Backend::start(|_, stream| {
        stream.write_all(events(&["one"]).as_bytes()).unwrap();
        assert!(wait_closed(stream));
    });
    let first = fixture_with_command(silent.address, move |head, command| {
        command.first_byte_by = head.arrived + span;
    });
    let end = fixture_with_command(slow.address, move |head, command| {
        command.end_by = head.arrived + span;
    });

    let refused = call(first.address, &post("/stock", "x"));
    let cut = call(end.address, &post("/stock", "x"));

    assert_eq!(refused.error().1, "unknown");
    assert_eq!(first.ended(), AttemptEnd::TimedOut { answered: false });
    assert!(!cut.is_complete);
    assert_eq!(end.ended(), AttemptEnd::TimedOut { answered: true });
}

/// A caller that does not read the response would block a backend server's slot for as long as it
/// likes.
#[test]
fn a_caller_that_does_not_read_loses_its_attempt() {
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
    let fixture = fixture(settings, Box::new(move |head| runs(head, &[address])));
    let mut caller = Caller::connect(fixture.address);

    caller.send(post("/stock", "x"));

    assert_eq!(fixture.ended(), AttemptEnd::CallerLeft);
    closed.recv().unwrap();
}

/// A response that has started cannot be made again elsewhere without a repetition, so preemption
/// must not cancel it, nor must a command for an earlier attempt.
#[test]
fn an_attempt_is_preempted_only_before_its_response_starts() {
    let (proceed, may_proceed) = mpsc::channel();
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let begun = Backend::start(move |_, stream| {
        stream.write_all(events(&["one"]).as_bytes()).unwrap();
        may_proceed.recv().unwrap();
        stream.write_all(done().as_bytes()).unwrap();
    });
    let addresses = [silent.address, begun.address];
    let (requests_tx, requests_rx) = mpsc::channel();
    let fixture = fixture_handing_over(settings(), requests_tx);
    let mut caller = Caller::connect(fixture.address);
    caller.send(post("/stock", "x"));
    let (head, commands) = requests_rx.recv().unwrap();

    commands.try_send(RequestCommand::Run(run(&head, 1, addresses[0]))).unwrap();
    silent.request();
    commands.try_send(RequestCommand::Preempt { attempt: 1 }).unwrap();
    assert_eq!(fixture.ended(), AttemptEnd::Preempted);
    commands.try_send(RequestCommand::Run(run(&head, 2, addresses[1]))).unwrap();
    caller.wait_for("data: one");
    commands.try_send(RequestCommand::Preempt { attempt: 1 }).unwrap();
    commands.try_send(RequestCommand::Preempt { attempt: 2 }).unwrap();
    thread::sleep(Duration::from_millis(50));
    proceed.send(()).unwrap();

    assert!(caller.response().is_complete);
    assert!(matches!(fixture.ended(), AttemptEnd::Completed { .. }));
}

/// The reducer may refuse a running request, for example at shutdown; its server may have run it.
#[test]
fn a_refusal_during_an_attempt_cancels_it() {
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let (requests_tx, requests_rx) = mpsc::channel();
    let fixture = fixture_handing_over(settings(), requests_tx);
    let mut caller = Caller::connect(fixture.address);
    caller.send(post("/stock", "x"));
    let (head, commands) = requests_rx.recv().unwrap();
    commands.try_send(RequestCommand::Run(run(&head, 1, silent.address))).unwrap();
    silent.request();

    commands.try_send(RequestCommand::Refuse(Refusal::not_run(Reason::NotReady))).unwrap();

    assert_eq!(caller.response().error(), ("not-ready".to_owned(), "unknown".to_owned()));
}

/// Interim responses, unknown statuses, repeated fields, values that are not ASCII and HTTP/1.0
/// must neither break the attempt nor the caller's connection; fields for this process must not
/// reach the caller.
#[test]
fn unusual_responses_are_passed_on() {
    let interim = "HTTP/1.1 103 Early\r\nlink: x\r\n\r\n";
    let teapot = "HTTP/1.1 418 Teapot\r\nx-a: 1\r\nx-a: 2\r\nx-cold: 1\r\nx-outcome: unknown\r\n\
                  connection: close\r\ncontent-length: 3\r\n\r\nabc";
    let cases = [
        (format!("{interim}{teapot}"), 418, "abc"),
        (ok_response("busy").replace("200 OK", "503 Busy"), 503, "busy"),
        (ok_response("odd").replace("200 OK", "529 Odd"), 500, "odd"),
        (ok_response("ok").replace("content-type", "x-name: \u{e9}\r\ncontent-type"), 200, "ok"),
        (ok_response("ok").replace("HTTP/1.1", "HTTP/1.0"), 200, "ok"),
    ];

    for (sent, status, body) in cases {
        let backend = Backend::responding_with(sent.clone());
        let fixture = fixture_with_servers(&[backend.address]);
        let mut caller = Caller::connect(fixture.address);
        for _ in 0..2 {
            caller.send(post("/stock", "x"));

            let response = caller.response();

            assert_eq!((response.status, &*response.body), (status, body), "{sent}");
            assert_eq!(response.head.matches("date: ").count(), 1, "{}", response.head);
            assert_eq!(response.field("x-cold").or(response.field("x-outcome")), None);
            assert!(matches!(fixture.ended(), AttemptEnd::Completed { .. }));
        }
    }
}

/// A decoder could hang or fail where a chunk size or the trailer is split between reads. The
/// response must end with its body: the server keeps the connection open.
#[test]
fn a_chunked_response_is_read_however_it_is_split() {
    let backend = Backend::start(|_, stream| {
        stream.set_nodelay(true).unwrap();
        let response =
            format!("{}{}0\r\nx-trailer: 1\r\n\r\n", events(&["one"]), chunk("data: [DONE]\n\n"));
        for byte in response.bytes() {
            stream.write_all(&[byte]).unwrap();
        }
        // The connection stays open: the end of the body must be recognized without its end.
        assert!(wait_closed(stream));
    });
    let fixture = fixture_with_servers(&[backend.address]);

    let response = call(fixture.address, &post("/stock", "x"));

    assert_eq!((response.is_complete, &*response.body), (true, "data: one\n\ndata: [DONE]\n\n"));
}

/// The reducer must learn when the server may run the request: it decides what may be retried.
#[test]
fn a_written_request_is_reported_as_sent() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);

    call(fixture.address, &get("/look", ""));

    let attempt = fixture.event(|event| match event {
        Event::AttemptSent { attempt, .. } => Some(attempt),
        _ => None,
    });
    assert_eq!(attempt, 1);
}
