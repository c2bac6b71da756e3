//! Shutdown as callers see it.

use std::{io::Write as _, sync::mpsc, thread, time::Duration};

use crate::{
    backend::{Backend, ok_response},
    bench::{WAIT_LIMIT, fixture_with_servers},
    caller::{Caller, call, get},
};

/// The transit time of a request; shorter than the daemon waits for requests in transit.
const TRANSIT_TIME: Duration = Duration::from_millis(20);

/// Callers must learn with a response that the connection closes; a request sent on a connection
/// that closes is lost. New connections are still served, until the load balancer has noticed.
#[test]
fn a_draining_instance_closes_connections_after_their_response() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);
    let mut kept = Caller::connect(fixture.address);
    kept.send(get("/look", ""));
    assert_eq!(kept.response().field("connection"), None);

    fixture.cx.shared.start_draining();

    kept.send(get("/look", ""));
    assert_eq!(kept.response().field("connection"), Some("close"));
    assert!(kept.is_closed());
    assert_eq!(call(fixture.address, &get("/look", "")).field("connection"), Some("close"));
}

/// A caller may have connected and sent a request just before the process stopped listening.
#[test]
fn a_request_in_transit_is_served_when_the_process_stops_listening() {
    let backend = Backend::responding_with(ok_response("ok"));
    let fixture = fixture_with_servers(&[backend.address]);
    let mut caller = Caller::connect(fixture.address);

    fixture.cx.shared.stop_listening();
    thread::sleep(TRANSIT_TIME);
    caller.send(get("/look", ""));

    assert_eq!(caller.response().status, 200);
    assert!(caller.is_closed());
}

/// A shutdown must not cut a response, nor wait for idle connections.
#[test]
fn stopping_closes_idle_connections_and_completes_running_requests() {
    let (proceed, may_proceed) = mpsc::channel();
    let backend = Backend::start(move |_, stream| {
        may_proceed.recv().unwrap();
        stream.write_all(ok_response("ok").as_bytes()).unwrap();
    });
    let fixture = fixture_with_servers(&[backend.address]);
    let mut idle = Caller::connect(fixture.address);
    let mut running = Caller::connect(fixture.address);
    running.send(get("/look", ""));
    backend.request();

    fixture.cx.shared.stop_listening();

    assert!(idle.is_closed());
    assert!(fixture.ended.try_recv().is_err());
    proceed.send(()).unwrap();
    let response = running.response();
    assert_eq!((response.status, response.field("connection")), (200, Some("close")));
    drop((idle, running));
    fixture.ended.recv_timeout(WAIT_LIMIT).unwrap();
}
