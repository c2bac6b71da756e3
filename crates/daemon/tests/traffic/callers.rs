//! Requests of callers: routing, refusals and what backend servers receive.

use std::{net::Shutdown, sync::Arc, time::Duration};

use config::{Catalog, Config};
use control::{Event, RequestCommand};
use model::prelude::*;

use crate::{
    backend::{Backend, ok_response, wait_closed},
    bench::{KEY, fixture, fixture_with_servers, runs, settings},
    caller::{Caller, call, get, post},
};

/// Checks each field that is passed between caller, control thread and backend server, in
/// particular the request's id: it must be the same for all three.
#[test]
fn a_request_is_routed_forwarded_and_answered() {
    let backend = Backend::responding_with(ok_response("twelve"));
    let fixture = fixture_with_servers(&[backend.address]);

    let response = call(fixture.address, &post("/stock?item=4", "{\"take\":1}"));

    assert_eq!((response.status, &*response.body), (200, "twelve"));
    let head = fixture.head();
    assert_eq!(response.field("x-request-id"), Some(&*head.id.to_string()));
    assert_eq!(head.key, Some(KeyHash::of(KEY.as_bytes())));
    assert_eq!((head.class, head.pool), (ClassId::of("live"), PoolId::of("stock")));
    let request = backend.request();
    assert!(request.head.starts_with("POST /stock?item=4 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.body, "{\"take\":1}");
    assert_eq!(request.field("x-request-id"), Some(&*head.id.to_string()));
    assert_eq!(request.field("x-tier"), Some("3"));
    assert!(request.field("x-deadline-ms").unwrap().parse::<u64>().unwrap() > 5_000);
    assert!(matches!(fixture.ended(), AttemptEnd::Completed { tokens: 1, .. }));
}

/// A key could leak to backend servers by the fields meant for it, other header fields, query
/// parameters (also percent-encoded) or the body. Callers must not set the fields of this process
/// either.
#[test]
fn no_backend_server_receives_the_key() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);
    let fields = format!(
        "x-api-key: {KEY}\r\ncookie: a={KEY}\r\nx-{KEY}: 1\r\nx-copy: <{KEY}>\r\nx-other: kept\r\n\
         connection: x-hop\r\nx-hop: 1\r\nx-tier: 0\r\nx-request-id: forged\r\n"
    );
    let path = format!("/look?a=1&api_key=x&b={KEY}&c=key%2Dof-acme-0123456789&{KEY}=1&d=%20");

    let response = call(fixture.address, &get(&path, &fields));

    assert_eq!(response.status, 200);
    let request = backend.request();
    assert!(!request.head.contains(KEY), "{}", request.head);
    assert!(request.head.starts_with("GET /look?a=1&d=%20 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.field("x-other"), Some("kept"));
    assert_eq!(request.field("x-hop"), None);
    assert_eq!(request.head.matches("x-request-id").count(), 1);
    assert_eq!(request.head.matches("x-tier").count(), 1);
    let response = call(fixture.address, &post("/stock", &format!("{{\"note\":\"{KEY}\"}}")));
    assert_eq!((response.status, response.error().1.as_str()), (400, "not-run"));
    assert!(backend.has_no_request());
}

/// A request that cannot be routed must be refused with its reason, before the control thread gets
/// it.
#[test]
fn a_request_without_route_key_class_or_model_is_refused() {
    let fixture = fixture_with_servers(&[]);
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
        let response = call(fixture.address, &request);

        assert_eq!(response.status, status, "{request}");
        assert_eq!(response.error(), (reason.to_owned(), "not-run".to_owned()), "{request}");
    }
    assert!(fixture.heads.try_recv().is_err());
}

/// Requests with the same start of the prompt must get the same prefix hash, else the engines'
/// prefix caches miss. A resend must get the idempotency key of the original request.
#[test]
fn class_pool_prefix_and_idempotency_key_are_read_from_the_request() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);
    let chat = |end: &str| {
        let text = "a".repeat(600);
        let body =
            format!("{{\"model\":\"llama\",\"messages\":[{{\"content\":\"{text}{end}\"}}]}}");
        post("/v1/chat", &body).replacen("host", "x-class: batch\r\nidempotency-key: k\r\nhost", 1)
    };

    call(fixture.address, &chat("b"));
    call(fixture.address, &chat("c").replacen("host", "x-resend: true\r\nhost", 1));
    call(fixture.address, "GET /open HTTP/1.1\r\nhost: h\r\n\r\n");

    let (a, b, open) = (fixture.head(), fixture.head(), fixture.head());
    assert_eq!((a.class, a.pool), (ClassId::of("batch"), PoolId::of("llama")));
    assert_eq!(a.prefix, b.prefix);
    let (a, b) = (a.idempotency.unwrap(), b.idempotency.unwrap());
    assert_eq!((a.key, a.resend, b.resend), (b.key, false, true));
    assert_eq!(open.key, None);
}

/// Callers decide by these fields whether and when to retry. A retry time rounded down to 0 would
/// make them retry at once.
#[test]
fn a_refusal_has_a_status_an_outcome_and_a_retry_time_of_at_least_a_second() {
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
        let fixture = fixture(settings(), Box::new(move |_| vec![RequestCommand::Refuse(refusal)]));
        let mut caller = Caller::connect(fixture.address);

        caller.send(get("/look", ""));
        caller.send(get("/look", ""));

        for response in [caller.response(), caller.response()] {
            assert_eq!((response.status, response.field("retry-after")), (status, Some("1")));
            assert_eq!(response.error(), (name.to_owned(), "not-run".to_owned()));
        }
    }
}

/// Requests that arrive while another one is served are buffered; responses in another order would
/// be taken for those of other requests.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let backend = Backend::start(|request, stream| {
        use std::io::Write as _;
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(ok_response(&request.body).as_bytes()).unwrap();
    });
    let fixture = fixture_with_servers(&[backend.address]);
    let mut caller = Caller::connect(fixture.address);

    let all: String = (0..50).map(|i| post("/stock", &format!("{i}"))).collect();
    caller.send(all);

    for i in 0..50 {
        assert_eq!(caller.response().body, format!("{i}"));
    }
}

/// A caller that leaves while its request waits must not keep its place in the queue, also if it
/// has sent a part of a further request.
#[test]
fn a_caller_that_leaves_before_an_attempt_is_reported() {
    let fixture = fixture(settings(), Box::new(|_| vec![RequestCommand::Preempt { attempt: 9 }]));
    let mut caller = Caller::connect(fixture.address);
    caller.send(get("/look", ""));
    caller.send("GET /ahead");
    let head = fixture.head();

    caller.stream.shutdown(Shutdown::Both).unwrap();

    let left = fixture.event(|event| match event {
        Event::CallerLeft { no } => Some(no),
        _ => None,
    });
    assert_eq!(left, head.no);
}

/// Unless its connection closes, the backend server would keep running a request whose response
/// nobody reads.
#[test]
fn a_caller_that_leaves_cancels_its_attempt() {
    let (tx, closed) = std::sync::mpsc::channel();
    let backend = Backend::start(move |_, stream| tx.send(wait_closed(stream)).unwrap());
    let fixture = fixture_with_servers(&[backend.address]);
    let mut caller = Caller::connect(fixture.address);
    caller.send(get("/look", ""));
    backend.request();

    drop(caller);

    assert!(closed.recv().unwrap());
    assert_eq!(fixture.ended(), AttemptEnd::CallerLeft);
}

/// Keys must be checked for each request: checked once per connection, a revoked key would work
/// until the connection closes.
#[test]
fn a_revoked_key_is_refused_on_an_open_connection() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);
    let mut caller = Caller::connect(fixture.address);
    caller.send(get("/look", ""));
    assert_eq!(caller.response().status, 200);

    fixture.cx.shared.install(Arc::new(Catalog::new(&Config {
        accounts: Vec::new(),
        ..crate::bench::config()
    })));

    caller.send(get("/look", ""));
    assert_eq!(caller.response().status, 401);
}

/// The channel closes when the control thread ends. A caller whose request still waits must get a
/// refusal then.
#[test]
fn a_request_whose_command_channel_closes_is_refused() {
    let fixture = fixture(settings(), Box::new(|_| vec![]));
    let response = call(fixture.address, &get("/look", ""));
    assert_eq!(response.error(), ("not-ready".to_owned(), "not-run".to_owned()));
}

/// Connections without a limit could exhaust the file descriptors; those within the limit must keep
/// working.
#[test]
fn a_connection_beyond_the_limit_is_refused() {
    let mut settings = settings();
    settings.limits.connections = 2;
    let backend = Backend::responding_with(ok_response("ok"));
    let address = backend.address;
    let fixture = fixture(settings, Box::new(move |head| runs(head, &[address])));
    let mut first = Caller::connect(fixture.address);
    let _second = Caller::connect(fixture.address);

    let mut third = Caller::connect(fixture.address);

    let response = third.response();
    assert_eq!((response.status, response.field("connection")), (503, Some("close")));
    drop(third);
    first.send(get("/look", ""));
    assert_eq!(first.response().status, 200);
}
