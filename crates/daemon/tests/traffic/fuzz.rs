//! Arbitrary bytes from callers and backend servers.

use std::io::{Read as _, Write as _};

use bolero::TypeGenerator;
use seeded::check_type;

use crate::{
    backend::{Backend, ok_response},
    bench::{Fixture, KEY, fixture, runs, settings},
    caller::{Caller, call, get},
};

/// Number of seeds per property.
const SEEDS: u64 = 150;

/// A piece of a request or response; sequences of them are almost valid messages.
#[derive(Clone, Debug, TypeGenerator)]
enum Piece {
    RequestLine { post: bool, http_10: bool },
    Host,
    Key,
    Length(u8),
    Chunked,
    Continue,
    End,
    Chunk(u8),
    LastChunk,
    LineFeed,
    Bytes(Vec<u8>),
}

impl Piece {
    fn bytes(&self) -> Vec<u8> {
        match self {
            Self::RequestLine { post, http_10 } => {
                let method = if *post { "POST /stock" } else { "GET /look" };
                format!("{method} HTTP/1.{}\r\n", u8::from(!http_10)).into_bytes()
            }
            Self::Host => b"host: h\r\n".to_vec(),
            Self::Key => format!("x-api-key: {KEY}\r\n").into_bytes(),
            Self::Length(length) => format!("content-length: {length}\r\n").into_bytes(),
            Self::Chunked => b"transfer-encoding: chunked\r\n".to_vec(),
            Self::Continue => b"expect: 100-continue\r\n".to_vec(),
            Self::End => b"\r\n".to_vec(),
            Self::Chunk(size) => {
                format!("{size:x}\r\n{}\r\n", "a".repeat(usize::from(*size))).into_bytes()
            }
            Self::LastChunk => b"0\r\n\r\n".to_vec(),
            Self::LineFeed => b"\n".to_vec(),
            Self::Bytes(bytes) => bytes.clone(),
        }
    }
}

fn fuzz_fixture() -> (Fixture, Backend) {
    let backend = Backend::responding_with(ok_response("ok"));
    let address = backend.address;
    let mut settings = settings();
    settings.limits.head_ms = 500;
    settings.limits.body_ms = 500;
    let fixture = fixture(settings, Box::new(move |head| runs(head, &[address])));
    (fixture, backend)
}

/// Sends bytes, and checks that the connection is closed and other callers are still served.
fn send_and_check(fixture: &Fixture, bytes: &[u8]) {
    let mut caller = Caller::connect(fixture.address);
    // The connection may be closed before all bytes are read.
    let _ = caller.stream.write_all(bytes);
    let _ = caller.stream.shutdown(std::net::Shutdown::Write);
    let end = caller.stream.read_to_end(&mut Vec::new());
    assert!(!matches!(end, Err(err) if err.kind() == std::io::ErrorKind::WouldBlock));
    let response = call(fixture.address, &get("/look", ""));
    assert_eq!((response.status, &*response.body), (200, "ok"));
}

/// Any input must end in a closed connection, not in a panic or a hang, and others must be served.
#[test]
fn arbitrary_bytes_from_a_caller_affect_no_other() {
    let (fixture, _backend) = fuzz_fixture();
    check_type::<Vec<u8>>(SEEDS, |bytes| send_and_check(&fixture, bytes));
}

/// Almost valid requests reach code that random bytes do not, such as the framing of bodies.
#[test]
fn arbitrary_pieces_of_requests_affect_no_other_caller() {
    let (fixture, _backend) = fuzz_fixture();
    check_type::<Vec<Piece>>(SEEDS, |pieces| {
        let bytes: Vec<u8> = pieces.iter().flat_map(Piece::bytes).collect();
        send_and_check(&fixture, &bytes);
    });
}

/// Whatever a backend server sends, the caller must get its response or a refusal.
#[test]
fn arbitrary_responses_end_in_a_response_or_a_bad_gateway() {
    check_type::<Vec<Piece>>(SEEDS, |pieces| {
        let mut bytes = b"HTTP/1.1 200 OK\r\n".to_vec();
        bytes.extend(pieces.iter().flat_map(Piece::bytes));
        let backend = Backend::start(move |_, stream| {
            let _ = stream.write_all(&bytes);
        });
        let fixture = crate::bench::fixture_with_servers(&[backend.address]);

        let response = call(fixture.address, &get("/look", ""));

        assert!(response.status == 200 || response.status == 502);
    });
}
