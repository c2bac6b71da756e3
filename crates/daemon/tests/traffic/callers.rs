//! What callers get and what backend servers see of their requests.

use std::{net::Shutdown, sync::Arc, time::Duration};

use config::{Catalog, Config};
use control::{Event, RequestCommand};
use model::prelude::*;

use crate::{
    backend::{Backend, wait_closed, whole},
    bench::{KEY, bench, bench_with, runs, settings},
    caller::{Caller, call, get, post},
};

#[test]
fn a_request_gets_its_answer() {
    let backend = Backend::answering(whole("twelve"));
    let bench = bench_with(&[backend.address]);

    let seen = call(bench.address, &post("/stock?item=4", "{\"take\":1}"));

    assert_eq!((seen.status, &*seen.body), (200, "twelve"));
    let head = bench.head();
    assert_eq!(seen.field("x-request-id"), Some(&*head.id.to_string()));
    assert_eq!(head.key, Some(KeyHash::of(KEY.as_bytes())));
    assert_eq!((head.class, head.pool), (ClassId::of("live"), PoolId::of("stock")));
    let request = backend.request();
    assert!(request.head.starts_with("POST /stock?item=4 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.body, "{\"take\":1}");
    assert_eq!(request.field("x-request-id"), Some(&*head.id.to_string()));
    assert_eq!(request.field("x-tier"), Some("3"));
    assert!(request.field("x-deadline-ms").unwrap().parse::<u64>().unwrap() > 5_000);
    assert!(matches!(bench.ended(), AttemptEnd::Completed { tokens: 1, .. }));
}

#[test]
fn no_backend_server_sees_the_key() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_with(&[backend.address]);
    let fields = format!(
        "x-api-key: {KEY}\r\ncookie: a={KEY}\r\nx-{KEY}: 1\r\nx-copy: <{KEY}>\r\nx-other: kept\r\n\
         connection: x-hop\r\nx-hop: 1\r\nx-tier: 0\r\nx-request-id: forged\r\n"
    );
    let path = format!("/look?a=1&api_key=x&b={KEY}&c=key%2Dof-acme-0123456789&{KEY}=1&d=%20");

    let seen = call(bench.address, &get(&path, &fields));

    assert_eq!(seen.status, 200);
    let request = backend.request();
    assert!(!request.head.contains(KEY), "{}", request.head);
    assert!(request.head.starts_with("GET /look?a=1&d=%20 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.field("x-other"), Some("kept"));
    assert_eq!(request.field("x-hop"), None);
    assert_eq!(request.head.matches("x-request-id").count(), 1);
    assert_eq!(request.head.matches("x-tier").count(), 1);
    let seen = call(bench.address, &post("/stock", &format!("{{\"note\":\"{KEY}\"}}")));
    assert_eq!((seen.status, seen.error().1.as_str()), (400, "not-run"));
    assert!(backend.is_untouched());
}

#[test]
fn requests_that_cannot_be_routed_are_refused() {
    let bench = bench_with(&[]);
    let plain = |head: &str| format!("{head}host: h\r\n\r\n");
    let cases = [
        (get("/nowhere", ""), 404, "no-route"),
        (post("/look", ""), 405, "no-route"),
        (plain("GET /look HTTP/1.1\r\n"), 401, "no-key"),
        (plain("GET /look HTTP/1.1\r\nx-api-key: wrong\r\n"), 401, "no-key"),
        (plain(&format!("GET /look HTTP/1.1\r\nauthorization: Basic {KEY}\r\n")), 401, "no-key"),
        (get("/look", "x-api-key: another\r\n"), 400, "bad-request"),
        (get("/look", "authorization: Bearer another\r\n"), 400, "bad-request"),
        (get("/look", "x-class: unknown\r\n"), 400, "bad-request"),
        (get("/look", "x-class: live\r\nx-class: batch\r\n"), 400, "bad-request"),
        (post("/v1/chat", "no json"), 400, "bad-request"),
        (post("/v1/chat", "{\"prompt\":\"x\"}"), 400, "bad-request"),
        (post("/v1/chat", "{\"model\":\"unknown\"}"), 404, "no-route"),
    ];

    for (request, status, reason) in cases {
        let seen = call(bench.address, &request);

        assert_eq!(seen.status, status, "{request}");
        assert_eq!(seen.error(), (reason.to_owned(), "not-run".to_owned()), "{request}");
    }
    assert!(bench.heads.try_recv().is_err());
}

#[test]
fn the_head_and_the_body_choose_class_pool_and_prefix() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_with(&[backend.address]);
    let chat = |end: &str| {
        let text = "a".repeat(600);
        let body =
            format!("{{\"model\":\"llama\",\"messages\":[{{\"content\":\"{text}{end}\"}}]}}");
        post("/v1/chat", &body).replacen("host", "x-class: batch\r\nidempotency-key: k\r\nhost", 1)
    };

    call(bench.address, &chat("b"));
    call(bench.address, &chat("c").replacen("host", "x-resend: true\r\nhost", 1));
    call(bench.address, "GET /open HTTP/1.1\r\nhost: h\r\n\r\n");

    let (a, b, open) = (bench.head(), bench.head(), bench.head());
    assert_eq!((a.class, a.pool), (ClassId::of("batch"), PoolId::of("llama")));
    assert_eq!(a.prefix, b.prefix);
    let (a, b) = (a.idempotency.unwrap(), b.idempotency.unwrap());
    assert_eq!((a.key, a.resend, b.resend), (b.key, false, true));
    assert_eq!(open.key, None);
}

#[test]
fn refusals_have_status_outcome_and_retry_time() {
    let cases = [
        (Reason::OverRate, 429, "over-rate"),
        (Reason::Capacity, 503, "capacity"),
        (Reason::NoServer, 503, "no-server"),
        (Reason::NotReady, 503, "not-ready"),
        (Reason::NoOwner, 503, "no-owner"),
        (Reason::Duplicate, 409, "duplicate"),
        (Reason::MaybeDuplicate, 409, "maybe-duplicate"),
        (Reason::ServerFailed, 502, "server-failed"),
        (Reason::ServerTimeout, 504, "server-timeout"),
    ];
    for (reason, status, name) in cases {
        let refusal = Refusal::not_run(reason).retry_after(Duration::from_millis(10));
        let bench = bench(settings(), Box::new(move |_| vec![RequestCommand::Refuse(refusal)]));
        let mut caller = Caller::connect(bench.address);

        caller.send(get("/look", ""));
        caller.send(get("/look", ""));

        for seen in [caller.response(), caller.response()] {
            assert_eq!((seen.status, seen.field("retry-after")), (status, Some("1")));
            assert_eq!(seen.error(), (name.to_owned(), "not-run".to_owned()));
        }
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let backend = Backend::start(|request, stream| {
        use std::io::Write as _;
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(whole(&request.body).as_bytes()).unwrap();
    });
    let bench = bench_with(&[backend.address]);
    let mut caller = Caller::connect(bench.address);

    let all: String = (0..50).map(|i| post("/stock", &format!("{i}"))).collect();
    caller.send(all);

    for i in 0..50 {
        assert_eq!(caller.response().body, format!("{i}"));
    }
}

#[test]
fn a_caller_that_leaves_while_waiting_is_reported() {
    let bench = bench(settings(), Box::new(|_| vec![RequestCommand::Preempt { attempt: 9 }]));
    let mut caller = Caller::connect(bench.address);
    caller.send(get("/look", ""));
    caller.send("GET /ahead");
    let head = bench.head();

    caller.stream.shutdown(Shutdown::Both).unwrap();

    let left = bench.event(|it| match it {
        Event::CallerLeft { no } => Some(no),
        _ => None,
    });
    assert_eq!(left, head.no);
}

#[test]
fn a_caller_that_leaves_cancels_its_attempt() {
    let (tx, closed) = std::sync::mpsc::channel();
    let backend = Backend::start(move |_, stream| tx.send(wait_closed(stream)).unwrap());
    let bench = bench_with(&[backend.address]);
    let mut caller = Caller::connect(bench.address);
    caller.send(get("/look", ""));
    backend.request();

    drop(caller);

    assert!(closed.recv().unwrap());
    assert_eq!(bench.ended(), AttemptEnd::CallerLeft);
}

#[test]
fn a_withdrawn_key_stops_on_an_open_connection() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_with(&[backend.address]);
    let mut caller = Caller::connect(bench.address);
    caller.send(get("/look", ""));
    assert_eq!(caller.response().status, 200);

    bench.cx.shared.install(Arc::new(Catalog::new(&Config {
        accounts: Vec::new(),
        ..crate::bench::config()
    })));

    caller.send(get("/look", ""));
    assert_eq!(caller.response().status, 401);
}

#[test]
fn a_closed_order_channel_is_answered() {
    let bench = bench(settings(), Box::new(|_| vec![]));
    let seen = call(bench.address, &get("/look", ""));
    assert_eq!(seen.error(), ("not-ready".to_owned(), "not-run".to_owned()));
}

#[test]
fn connections_beyond_the_limit_are_turned_away() {
    let mut settings = settings();
    settings.limits.connections = 2;
    let backend = Backend::answering(whole("ok"));
    let address = backend.address;
    let bench = bench(settings, Box::new(move |head| runs(head, &[address])));
    let mut first = Caller::connect(bench.address);
    let _second = Caller::connect(bench.address);

    let mut third = Caller::connect(bench.address);

    let seen = third.response();
    assert_eq!((seen.status, seen.field("connection")), (503, Some("close")));
    drop(third);
    first.send(get("/look", ""));
    assert_eq!(first.response().status, 200);
}
