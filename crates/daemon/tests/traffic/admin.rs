//! What operators get.

use std::net::SocketAddr;

use async_net::TcpListener;
use daemon::admin;

use crate::{
    bench::{Bench, bench_with},
    caller::{Seen, call},
};

fn admin_of(bench: &Bench) -> SocketAddr {
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    bench.cx.pool.detach(admin::serve(bench.cx.clone(), listener));
    address
}

fn ask(address: SocketAddr, line: &str) -> Seen {
    call(address, &format!("{line} HTTP/1.1\r\nhost: h\r\n\r\n"))
}

#[test]
fn operators_get_dump_health_and_readiness() {
    let bench = bench_with(&[]);
    let address = admin_of(&bench);

    assert_eq!(ask(address, "GET /healthz").status, 200);
    assert_eq!(ask(address, "GET /readyz").status, 503);
    bench.cx.shared.set_ready(true);
    assert_eq!(ask(address, "GET /readyz").status, 503, "the control thread took no event yet");
    bench.cx.shared.record_step(bench.cx.clock.now());
    assert_eq!(ask(address, "GET /readyz").status, 200);
    let dump = ask(address, "GET /dump");
    assert_eq!((&*dump.body, dump.field("content-type")), ("{}", Some("application/json")));
    assert_eq!(ask(address, "GET /other").status, 404);
    assert_eq!(ask(address, "POST /dump").status, 405);
    assert_eq!(call(address, "garbage\r\n\r\n").status, 400);
}
