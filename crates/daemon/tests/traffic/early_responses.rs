//! Servers that respond before they have read the request, and then break off.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use rustix::net::sockopt::set_socket_linger;

use crate::{
    bench::{fixture, runs, settings},
    caller::{call, post},
};

/// More than the system buffers for a server that does not read.
const BODY_BYTES: usize = 8 << 20;
/// Time for the response to be read and for the buffers of the connection to fill.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts a server that writes this response when the first bytes of a request have arrived, and closes the
/// connection with the rest of them unread, or resets it.
fn start_server(response: &str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let response = response.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let received = stream.read(&mut [0; 512]);
            if matches!(received, Ok(n) if n > 0) && stream.write_all(response.as_bytes()).is_ok() {
                thread::sleep(PAUSE);
            }
            if is_reset {
                set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
            }
        }
    });
    address
}

/// Guards against a part of a response that looks like all of it.
#[test]
fn a_response_that_breaks_off_during_the_upload_is_refused() {
    let responses = [
        "HTTP/1.1 200 OK\r\n\r\na part",
        "HTTP/1.1 500 Failed\r\n\r\na part",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\na part",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\na part\r\n",
    ];
    for response in responses {
        for is_reset in [false, true] {
            let server = start_server(response, is_reset);
            let mut settings = settings();
            settings.limits.body_bytes = 2 * BODY_BYTES;
            let fixture = fixture(settings, Box::new(move |head| runs(head, &[server])));

            let got = call(fixture.address, &post("/stock", &"a".repeat(BODY_BYTES)));

            assert_eq!(got.status, 502, "{response:?}: {got:?}");
            assert_eq!(got.error(), ("server-failed".to_owned(), "unknown".to_owned()));
        }
    }
}
