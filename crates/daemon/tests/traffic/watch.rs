//! Load polls of backend servers, and orders to engines.

use std::{io::Write as _, net::TcpListener, thread};

use config::{Order, OrderKind};
use control::{Event, LoadError, LoadReport};
use daemon::watch::Watcher;
use model::prelude::*;

use crate::{
    backend::{Backend, ok_response, receive, wait_closed},
    bench::{Fixture, fixture_with_servers, unreachable_address},
};

const SERVER: ServerId = ServerId(5);

fn load(fixture: &Fixture) -> Result<LoadReport, LoadError> {
    fixture.event(|event| match event {
        Event::Load { server: SERVER, report } => Some(report),
        _ => None,
    })
}

/// A restarted server has lost its requests and is cold, so the closed connection must be reported
/// before the next poll.
#[test]
fn load_is_polled_and_a_restart_is_reported_at_once() {
    let json = r#"{"incarnation":1,"running":2,"queued":3,"cold":true}"#;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        for _ in 0..2 {
            assert!(receive(&mut stream).unwrap().head.starts_with("GET /load HTTP/1.1"));
            stream.write_all(ok_response(json).as_bytes()).unwrap();
        }
        listener
    });
    let fixture = fixture_with_servers(&[]);
    let mut watcher = Watcher::new(fixture.cx.clone());

    watcher.watch(SERVER, address);

    for _ in 0..2 {
        let report = load(&fixture).unwrap();
        assert_eq!((report.incarnation, report.running, report.queued), (1, 2, 3));
        assert!(report.cold);
    }
    let _listener = server.join().unwrap();
    assert_eq!(load(&fixture), Err(LoadError::Disconnected));
    watcher.unwatch(SERVER);
}

/// The reducer must learn that a server's load is unknown and why, and later polls must go on.
#[test]
fn a_failed_load_poll_is_reported_with_its_cause_and_repeated() {
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let malformed = Backend::responding_with(ok_response("?"));
    let cases = [
        (silent.address, LoadError::TimedOut),
        (malformed.address, LoadError::Malformed),
        (unreachable_address(), LoadError::Disconnected),
    ];

    for (address, error) in cases {
        let fixture = fixture_with_servers(&[]);
        let mut watcher = Watcher::new(fixture.cx.clone());

        watcher.watch(SERVER, address);

        assert_eq!(load(&fixture), Err(error));
        assert_eq!(load(&fixture), Err(error));
    }
}

/// The fence lets an engine reject the orders of an outdated owner, so a rejection must be
/// reported as well.
#[test]
fn orders_are_sent_with_their_fence_and_the_result_is_reported() {
    let accepting = Backend::responding_with(ok_response("ok"));
    let rejecting = Backend::responding_with(ok_response("no").replace("200 OK", "409 Conflict"));
    let fixture = fixture_with_servers(&[]);
    let mut watcher = Watcher::new(fixture.cx.clone());
    let orders = vec![Order { kind: OrderKind::Adapter, name: "desk".to_owned() }];

    for (address, expected) in [(accepting.address, true), (rejecting.address, false)] {
        watcher.send_orders(SERVER, address, Version(9), orders.clone());

        let (fence, accepted) = fixture.event(|event| match event {
            Event::OrderAnswered { fence, accepted, .. } => Some((fence, accepted)),
            _ => None,
        });
        assert_eq!((fence, accepted), (Version(9), expected));
    }
    let request = accepting.request();
    assert!(request.head.starts_with("POST /orders HTTP/1.1"));
    assert_eq!(request.body, r#"{"fence":9,"orders":[{"kind":"adapter","name":"desk"}]}"#);
    assert!(rejecting.request().head.starts_with("POST /orders"));
}
