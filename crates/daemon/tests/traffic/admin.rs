//! Requests of operators.

use std::net::SocketAddr;

use async_net::TcpListener;
use daemon::admin;

use crate::{
    bench::{Fixture, fixture_with_servers},
    caller::{CallerResponse, call},
};

fn admin_of(fixture: &Fixture) -> SocketAddr {
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    fixture.cx.pool.detach(admin::serve(fixture.cx.clone(), listener));
    address
}

fn ask(address: SocketAddr, line: &str) -> CallerResponse {
    call(address, &format!("{line} HTTP/1.1\r\nhost: h\r\n\r\n"))
}

/// The instance counts as ready only if the reducer says so and the control thread handled an event
/// lately: a hanging one would still look ready otherwise.
#[test]
fn operators_get_dump_health_and_readiness() {
    let fixture = fixture_with_servers(&[]);
    let address = admin_of(&fixture);

    assert_eq!(ask(address, "GET /healthz").status, 200);
    assert_eq!(ask(address, "GET /readyz").status, 503);
    fixture.cx.shared.set_ready(true);
    assert_eq!(
        ask(address, "GET /readyz").status,
        503,
        "ready before the control thread handled an event"
    );
    fixture.cx.shared.record_step(fixture.cx.clock.now());
    assert_eq!(ask(address, "GET /readyz").status, 200);
    let dump = ask(address, "GET /dump");
    assert_eq!((&*dump.body, dump.field("content-type")), ("{}", Some("application/json")));
    assert_eq!(ask(address, "GET /other").status, 404);
    assert_eq!(ask(address, "POST /dump").status, 405);
    assert_eq!(call(address, "garbage\r\n\r\n").status, 400);
}
