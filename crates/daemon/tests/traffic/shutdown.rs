//! What callers see of a shutdown.

use std::{io::Write as _, sync::mpsc, thread, time::Duration};

use crate::{
    backend::{Backend, whole},
    bench::{SOON, bench_with},
    caller::{Caller, call, get},
};

/// Time that a request takes to come.
const ON_ITS_WAY: Duration = Duration::from_millis(20);

#[test]
fn draining_closes_connections_after_their_answer() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_with(&[backend.address]);
    let mut kept = Caller::connect(bench.address);
    kept.send(get("/look", ""));
    assert_eq!(kept.response().field("connection"), None);

    bench.cx.shared.start_draining();

    kept.send(get("/look", ""));
    assert_eq!(kept.response().field("connection"), Some("close"));
    assert!(kept.is_closed());
    assert_eq!(call(bench.address, &get("/look", "")).field("connection"), Some("close"));
}

#[test]
fn a_request_on_its_way_is_served_when_the_process_stops_listening() {
    let backend = Backend::answering(whole("ok"));
    let bench = bench_with(&[backend.address]);
    let mut caller = Caller::connect(bench.address);

    bench.cx.shared.stop_listening();
    thread::sleep(ON_ITS_WAY);
    caller.send(get("/look", ""));

    assert_eq!(caller.response().status, 200);
    assert!(caller.is_closed());
}

#[test]
fn stopping_finishes_what_runs_and_closes_what_is_idle() {
    let (go, wait) = mpsc::channel();
    let backend = Backend::start(move |_, stream| {
        wait.recv().unwrap();
        stream.write_all(whole("ok").as_bytes()).unwrap();
    });
    let bench = bench_with(&[backend.address]);
    let mut idle = Caller::connect(bench.address);
    let mut running = Caller::connect(bench.address);
    running.send(get("/look", ""));
    backend.request();

    bench.cx.shared.stop_listening();

    assert!(idle.is_closed());
    assert!(bench.ended.try_recv().is_err());
    go.send(()).unwrap();
    let seen = running.response();
    assert_eq!((seen.status, seen.field("connection")), (200, Some("close")));
    drop((idle, running));
    bench.ended.recv_timeout(SOON).unwrap();
}
