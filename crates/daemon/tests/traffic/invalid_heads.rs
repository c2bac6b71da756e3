//! Responses whose heads are not valid are refused like those that break off.

use std::sync::Mutex;

use log::{
    Level, LevelFilter, Log, Metadata, Record,
    kv::{self, Key, Value, VisitSource},
};

use crate::{
    backend::Backend,
    bench::fixture_with_servers,
    caller::{CallerResponse, call, post},
};

/// The rest of a response behind its status line, with each way to say where the body ends.
const RESTS: [&str; 4] = [
    "content-length: 2\r\n\r\nok",
    "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "\r\nok",
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n",
];

/// Sends a request to a server with this response.
fn receive(sent: impl Into<Vec<u8>>) -> CallerResponse {
    let backend = Backend::responding_with(sent);
    let fixture = fixture_with_servers(&[backend.address]);
    call(fixture.address, &post("/stock", "x"))
}

fn assert_refused(response: &CallerResponse, case: &str) {
    assert_eq!(response.status, 502, "{case}: {response:?}");
    assert_eq!(response.error(), ("server-failed".to_owned(), "unknown".to_owned()), "{case}");
}

/// Guards against a status that HTTP does not define and that goes on to the caller.
#[test]
fn a_response_with_an_invalid_status_is_refused() {
    for status in ["000", "001", "042", "099", "600", "700", "999"] {
        for rest in RESTS {
            let sent = format!("HTTP/1.1 {status} X\r\n{rest}");

            assert_refused(&receive(&*sent), &sent);
        }
    }
}

/// Guards against a field whose name holds a blank, a control character or a separator, or a line that
/// goes on with the one before: parsers differ in what such lines mean.
#[test]
fn a_response_with_an_invalid_field_name_is_refused() {
    let bytes = (0..=b' ').chain(*b"\"(),/;<=>?@[\\]{}\x7f\x80\xff");
    for byte in bytes.filter(|byte| *byte != b'\n') {
        let names: [&[u8]; 3] = [&[byte, b'a'], &[b'a', byte, b'b'], &[b'a', byte]];
        for name in names {
            for rest in RESTS {
                let parts = [b"HTTP/1.1 200 X\r\n", name, b": c\r\n", rest.as_bytes()];
                let case = format!("{:?} {rest:?}", name.escape_ascii().to_string());

                assert_refused(&receive(parts.concat()), &case);
            }
        }
    }
}

/// Guards against a chunked body that is taken for whole although its trailer is malformed.
#[test]
fn a_response_with_an_invalid_trailer_is_not_complete() {
    for line in ["Bad Name: a\r\n", "Bad\x01: a\r\n", "a: b\r\n c\r\n", "HTTP/1.1 200 X\r\n"] {
        let sent = format!(
            "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n{line}\r\n"
        );

        let response = receive(&*sent);

        assert!(response.status == 502 || !response.is_complete, "{sent}: {response:?}");
    }
}

/// The same for the fields that say where the body ends.
#[test]
fn a_response_whose_framing_field_has_an_invalid_name_is_refused() {
    let fields = ["content-length : 2\r\n", "content-length\t: 2\r\n", "content-length\x01: 2\r\n"];
    for field in fields {
        for more in ["", "content-length: 2\r\n", "transfer-encoding: chunked\r\n"] {
            let sent = format!("HTTP/1.1 200 X\r\n{field}{more}\r\n2\r\nok\r\n0\r\n\r\n");

            assert_refused(&receive(&*sent), &sent);
        }
    }
}

/// Keeps the log lines of this process.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record<'_>) {
        struct Text(String);
        impl<'kvs> VisitSource<'kvs> for Text {
            fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
                self.0 += &format!(" {key}={value}");
                Ok(())
            }
        }
        let mut text = Text(record.args().to_string());
        record.key_values().visit(&mut text).unwrap();
        self.0.lock().unwrap().push(text.0);
    }

    fn flush(&self) {}
}

/// Guards against a reason that nobody learns: the caller gets 502 for each of them.
#[test]
fn the_log_names_why_a_response_was_refused() {
    // No other test of this process sets a logger.
    log::set_logger(&LINES).unwrap();
    log::set_max_level(LevelFilter::Warn);
    let cases = [
        ("HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n", "the status is not valid"),
        ("HTTP/1.1 200 X\r\nBad Name: a\r\n\r\n", "a header field's name is not valid"),
        ("HTTP/1.1 200 X\r\n\r\nok", "the response is neither chunked nor has a length"),
        ("HTTP/1.1 200 X\r\ncontent-length: 3\r\n\r\nok", "the connection ended within"),
        (
            "HTTP/1.1 200 X\r\nx-request-id: other\r\ncontent-length: 0\r\n\r\n",
            "to another request",
        ),
    ];
    for (sent, fault) in cases {
        let response = receive(sent);

        let id = response.field("x-request-id").unwrap();
        let lines = LINES.0.lock().unwrap();
        let mut lines = lines.iter().filter(|line| line.contains(id));
        let line = lines.next().unwrap_or_else(|| panic!("no line for {sent:?}"));
        assert!(line.starts_with("attempt failed") && line.contains(fault), "{sent:?}: {line}");
    }
}
