//! Requests that are malformed, ambiguous, too large or too slow.

use std::time::Duration;

use crate::{
    backend::{Backend, ok_response},
    bench::{Fixture, KEY, fixture, fixture_with_servers, runs, settings},
    caller::{Caller, call, get, post},
};

fn assert_usable(fixture: &Fixture) {
    let response = call(fixture.address, &get("/look", ""));
    assert_eq!((response.status, &*response.body), (200, "ok"));
}

/// Request smuggling: if two parsers disagree on where a request ends, the rest of it is read as
/// another request.
#[test]
fn an_ambiguous_request_is_refused_and_its_connection_closed() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);
    let start = format!("POST /stock HTTP/1.1\r\nhost: h\r\nx-api-key: {KEY}\r\n");
    let cases = [
        "content-length: 2\r\ncontent-length: 2\r\n\r\nab",
        "content-length: 2\r\ncontent-length: 3\r\n\r\nabc",
        "content-length: 2, 2\r\n\r\nab",
        "content-length: +2\r\n\r\nab",
        "content-length: -2\r\n\r\nab",
        "content-length: 0x2\r\n\r\nab",
        "content-length: 99999999999999999999\r\n\r\nab",
        "content-length:\r\n\r\n",
        "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\nx\r\nab\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n-1\r\nab\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n2\nab\n0\n\n",
        "transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
        "content-length : 2\r\n\r\nab",
        "x-a: 1\r\n folded\r\ncontent-length: 0\r\n\r\n",
        "x-a: 1\ncontent-length: 0\r\n\r\n",
        "x-a: \u{e9}\r\ncontent-length: 0\r\n\r\n",
        "x-a: \0\r\ncontent-length: 0\r\n\r\n",
        "host: other\r\n\r\n",
        "no colon\r\n\r\n",
    ];

    for case in cases {
        let mut caller = Caller::connect(fixture.address);
        caller.send(format!("{start}{case}"));
        caller.send(get("/look", ""));

        let response = caller.response();

        assert_eq!((response.status, response.error().1.as_str()), (400, "not-run"), "{case}");
        assert_eq!(response.field("connection"), Some("close"), "{case}");
        assert!(caller.is_closed(), "{case}");
    }
    assert!(fixture.heads.try_recv().is_err());
    assert_usable(&fixture);
}

/// Whatever cannot be forwarded unambiguously, such as other HTTP versions and methods, must get
/// status 400.
#[test]
fn a_malformed_head_is_refused() {
    let fixture = fixture_with_servers(&[]);
    let cases = [
        "GET / HTTP/1.0\r\nhost: h\r\n\r\n",
        "GET / HTTP/2.0\r\nhost: h\r\n\r\n",
        "GET /\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nhost:\r\n\r\n",
        "GET /look HTTP/1.1\r\nhost: h/look?\r\n\r\n",
        "GET http://h/look HTTP/1.1\r\nhost: h\r\n\r\n",
        "CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n",
        "BREW / HTTP/1.1\r\nhost: h\r\n\r\n",
        "\u{16}\u{3}\u{1}\r\n\r\n",
    ];

    for case in cases {
        assert_eq!(call(fixture.address, case).status, 400, "{case}");
    }
}

/// Heads and bodies without a limit could exhaust the memory, with a stated length as well as
/// chunked.
#[test]
fn an_oversized_request_is_refused() {
    let fixture = fixture_with_servers(&[]);
    let long = "a".repeat(10_001);
    let many: String = (0..101).map(|i| format!("x-{i}: 1\r\n")).collect();
    let chunked = format!(
        "POST /stock HTTP/1.1\r\nhost: h\r\nx-api-key: {KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let cases = [
        post("/stock", &long),
        format!("{chunked}2711\r\n{long}\r\n0\r\n\r\n"),
        get("/look", &format!("x-long: {long}\r\n")),
        get("/look", &many),
        format!("GET /{long}"),
    ];

    for case in cases {
        let response = call(fixture.address, &case);

        assert_eq!(response.status, 413);
        assert_eq!(response.error(), ("too-large".to_owned(), "not-run".to_owned()));
    }
}

/// Callers that send slowly or nothing could occupy all connections.
#[test]
fn a_slow_caller_is_refused_and_an_idle_connection_closed() {
    let mut settings = settings();
    settings.limits.head_ms = 100;
    settings.limits.body_ms = 100;
    settings.limits.idle_ms = 100;
    let fixture = fixture(settings, Box::new(|_| vec![]));
    let full = post("/stock", "abc");
    let cut_in_body = &full[..full.len() - 1];

    for case in ["GET /loo", "\r\n", cut_in_body] {
        let response = call(fixture.address, case);

        assert_eq!((response.status, response.error().0.as_str()), (408, "slow-caller"), "{case}");
    }
    assert!(Caller::connect(fixture.address).is_closed());
    assert!(fixture.heads.try_recv().is_err());
}

/// A decoder could hang or fail where a chunk size or the trailer is split between reads, or read
/// into the next request.
#[test]
fn chunked_requests_are_read_however_they_are_split() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);
    let request = format!(
        "POST /stock HTTP/1.1\r\nhost: h\r\nx-api-key: {KEY}\r\ntransfer-encoding: Chunked\r\n\r\n\
         2;x=y\r\nab\r\n1\r\nc\r\n0\r\nx-trailer: 1\r\n\r\n"
    );
    let mut caller = Caller::connect(fixture.address);

    for byte in request.bytes() {
        caller.send([byte]);
    }

    assert_eq!(caller.response().status, 200);
    assert_eq!(backend.request().body, "abc");
    caller.send(format!("{request}{request}"));
    for _ in 0..2 {
        assert_eq!(caller.response().status, 200);
        assert_eq!(backend.request().body, "abc");
    }
}

/// Such a caller sends the body only after the interim response, and none if the head is refused
/// already.
#[test]
fn a_caller_that_expects_continue_is_asked_for_the_body() {
    let backend = Backend::responding_with(ok_response("ok"));
    let address = backend.address;
    let fixture = fixture(settings(), Box::new(move |head| runs(head, &[address])));
    let request = post("/stock", "abc").replacen("host", "expect: 100-continue\r\nhost", 1);
    let (head, body) = request.split_at(request.len() - 3);
    let mut caller = Caller::connect(fixture.address);
    caller.send(head);

    let interim = caller.response_head();

    assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
    assert!(fixture.heads.recv_timeout(Duration::from_millis(50)).is_err());
    caller.send(body);
    assert_eq!(caller.response().status, 200);
    assert_eq!(backend.request().body, "abc");
    let refused = call(fixture.address, &head.replace(KEY, "wrong"));
    assert_eq!(refused.status, 401);
}
