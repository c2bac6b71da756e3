//! Load polls and orders.

use std::{io::Write as _, net::TcpListener, thread};

use config::{Order, OrderKind};
use control::{Event, LoadError, LoadReport};
use daemon::watch::Watcher;
use model::prelude::*;

use crate::{
    backend::{Backend, receive, wait_closed, whole},
    bench::{Bench, bench_with, nowhere},
};

const SERVER: ServerId = ServerId(5);

fn load(bench: &Bench) -> Result<LoadReport, LoadError> {
    bench.event(|it| match it {
        Event::Load { server: SERVER, report } => Some(report),
        _ => None,
    })
}

#[test]
fn load_is_polled_and_a_restart_shows_at_once() {
    let json = r#"{"incarnation":1,"running":2,"queued":3,"cold":true}"#;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        for _ in 0..2 {
            assert!(receive(&mut stream).unwrap().head.starts_with("GET /load HTTP/1.1"));
            stream.write_all(whole(json).as_bytes()).unwrap();
        }
        listener
    });
    let bench = bench_with(&[]);
    let mut watcher = Watcher::new(bench.cx.clone());

    watcher.watch(SERVER, address);

    for _ in 0..2 {
        let report = load(&bench).unwrap();
        assert_eq!((report.incarnation, report.running, report.queued), (1, 2, 3));
        assert!(report.cold);
    }
    let _listener = server.join().unwrap();
    assert_eq!(load(&bench), Err(LoadError::Disconnected));
    watcher.unwatch(SERVER);
}

#[test]
fn a_server_that_is_silent_or_senseless_is_reported() {
    let silent = Backend::start(|_, stream| assert!(wait_closed(stream)));
    let senseless = Backend::answering(whole("?"));
    let cases = [
        (silent.address, LoadError::TimedOut),
        (senseless.address, LoadError::Malformed),
        (nowhere(), LoadError::Disconnected),
    ];

    for (address, error) in cases {
        let bench = bench_with(&[]);
        let mut watcher = Watcher::new(bench.cx.clone());

        watcher.watch(SERVER, address);

        assert_eq!(load(&bench), Err(error));
        assert_eq!(load(&bench), Err(error));
    }
}

#[test]
fn orders_are_sent_with_their_fence() {
    let takes = Backend::answering(whole("ok"));
    let refuses = Backend::answering(whole("no").replace("200 OK", "409 Conflict"));
    let bench = bench_with(&[]);
    let mut watcher = Watcher::new(bench.cx.clone());
    let orders = vec![Order { kind: OrderKind::Adapter, name: "desk".to_owned() }];

    for (address, expected) in [(takes.address, true), (refuses.address, false)] {
        watcher.send_orders(SERVER, address, Version(9), orders.clone());

        let (fence, accepted) = bench.event(|it| match it {
            Event::OrderAnswered { fence, accepted, .. } => Some((fence, accepted)),
            _ => None,
        });
        assert_eq!((fence, accepted), (Version(9), expected));
    }
    let request = takes.request();
    assert!(request.head.starts_with("POST /orders HTTP/1.1"));
    assert_eq!(request.body, r#"{"fence":9,"orders":[{"kind":"adapter","name":"desk"}]}"#);
    assert!(refuses.request().head.starts_with("POST /orders"));
}
