//! Arbitrary bytes at the front.

use std::io::{Read as _, Write as _};

use bolero::TypeGenerator;
use seeded::check_type;

use crate::{
    backend::{Backend, whole},
    bench::{Bench, KEY, bench, runs, settings},
    caller::{Caller, call, get},
};

/// Seeds of each property.
const SEEDS: u64 = 150;

/// Pieces of requests in any order.
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

fn fuzz_bench() -> (Bench, Backend) {
    let backend = Backend::answering(whole("ok"));
    let address = backend.address;
    let mut settings = settings();
    settings.limits.head_ms = 500;
    settings.limits.body_ms = 500;
    let bench = bench(settings, Box::new(move |head| runs(head, &[address])));
    (bench, backend)
}

/// Sends bytes, and expects that the front closes the connection and goes on to serve others.
fn throw(bench: &Bench, bytes: &[u8]) {
    let mut caller = Caller::connect(bench.address);
    // The front may close the connection before it has read all.
    let _ = caller.stream.write_all(bytes);
    let _ = caller.stream.shutdown(std::net::Shutdown::Write);
    let end = caller.stream.read_to_end(&mut Vec::new());
    assert!(!matches!(end, Err(err) if err.kind() == std::io::ErrorKind::WouldBlock));
    let seen = call(bench.address, &get("/look", ""));
    assert_eq!((seen.status, &*seen.body), (200, "ok"));
}

#[test]
fn arbitrary_bytes_disturb_nobody() {
    let (bench, _backend) = fuzz_bench();
    check_type::<Vec<u8>>(SEEDS, |bytes| throw(&bench, bytes));
}

#[test]
fn arbitrary_pieces_of_requests_disturb_nobody() {
    let (bench, _backend) = fuzz_bench();
    check_type::<Vec<Piece>>(SEEDS, |pieces| {
        let bytes: Vec<u8> = pieces.iter().flat_map(Piece::bytes).collect();
        throw(&bench, &bytes);
    });
}

#[test]
fn arbitrary_answers_disturb_nobody() {
    check_type::<Vec<Piece>>(SEEDS, |pieces| {
        let mut bytes = b"HTTP/1.1 200 OK\r\n".to_vec();
        bytes.extend(pieces.iter().flat_map(Piece::bytes));
        let backend = Backend::start(move |_, stream| {
            let _ = stream.write_all(&bytes);
        });
        let bench = crate::bench::bench_with(&[backend.address]);

        let seen = call(bench.address, &get("/look", ""));

        assert!(seen.status == 200 || seen.status == 502);
    });
}
