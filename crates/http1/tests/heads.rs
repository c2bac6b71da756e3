//! Parsing of well-formed, ambiguous and arbitrary heads and bodies.

#![allow(clippy::unwrap_used)]

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use futures_lite::{AsyncRead, future::block_on, io::Cursor};
use http1::{BodyDecoder, Buffered, Framing, HeadError, RequestHead, ResponseHead, read_whole};

const MAX_BYTES: usize = 8_000;

fn request(text: &str) -> Result<RequestHead, HeadError> {
    let mut input = Buffered::new(Cursor::new(text.as_bytes().to_vec()));
    block_on(RequestHead::read(&mut input, MAX_BYTES))
}

fn response(text: &str, method: &str) -> Result<ResponseHead, HeadError> {
    let mut input = Buffered::new(Cursor::new(text.as_bytes().to_vec()));
    block_on(ResponseHead::read(&mut input, method, MAX_BYTES))
}

/// Decodes a body piece by piece; `None` if it is malformed or incomplete.
fn body(bytes: &[u8], framing: Framing) -> Option<Vec<u8>> {
    let mut input = Buffered::new(Cursor::new(bytes.to_vec()));
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while let Some(piece) = block_on(decoder.next(&mut input)).ok()? {
        body.extend_from_slice(&piece);
    }
    Some(body)
}

/// Servers must get the target and the fields that the caller sent: normalizing a path or picking
/// one of several values of a field could change the meaning of the request.
#[test]
fn a_request_head_is_kept_unchanged() {
    let head =
        request("PUT /a%2f/../b?c=d HTTP/1.1\r\nHOST: H:80\r\nX-A:  1 \r\nx-a: 2\r\n\r\n").unwrap();

    assert_eq!((head.method(), head.target()), ("PUT", "/a%2f/../b?c=d"));
    assert_eq!((head.path(), head.host()), ("/a%2f/../b", "H"));
    let fields: Vec<_> = head.fields().iter().map(|field| field.0).collect();
    assert_eq!(fields, ["HOST", "X-A", "x-a"]);
    assert_eq!(head.fields().get("x-a"), None, "a field with two values has no single value");
    assert_eq!(head.fields().all("X-a").count(), 2);
    assert_eq!(head.framing(), Framing::Absent);
}

/// Request smuggling: where two parsers disagree on the host, the lines or the length of a message,
/// a caller can hide a second request in the first one.
#[test]
fn ambiguous_request_heads_are_malformed() {
    let heads = [
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a, b\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
    ];

    for head in heads {
        assert!(matches!(request(head), Err(HeadError::Malformed(_))), "{head:?}");
    }
}

/// The caller gets a response for a head that exceeds the limits, but none if it closed the
/// connection, so the errors must differ.
#[test]
fn an_oversized_head_and_a_closed_connection_are_distinct_errors() {
    let large = format!("GET / HTTP/1.1\r\nHost: h\r\nA: {}\r\n\r\n", "b".repeat(MAX_BYTES));

    let many = format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", "a: b\r\n".repeat(200));

    assert!(matches!(request(&large), Err(HeadError::TooLarge(MAX_BYTES))));
    assert!(matches!(request(&many), Err(HeadError::TooManyFields)));
    assert!(matches!(request(""), Err(HeadError::Closed)));
    assert!(matches!(request("GET / HTTP"), Err(HeadError::Broken(_))));
}

/// A wrong framing would take a part of the body for the next response on the connection, or wait
/// for a body that does not exist.
#[test]
fn response_framing_follows_method_status_and_fields() {
    let framing = |text, method| response(text, method).unwrap().framing();

    assert_eq!(framing("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "GET"), Framing::Length(3));
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n", "GET"), Framing::UntilClose);
    assert_eq!(framing("HTTP/1.1 204 No\r\n\r\n", "GET"), Framing::Absent);
    assert_eq!(framing("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD"), Framing::Absent);
    let interim = "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(response(interim, "GET").unwrap().status(), 404);
    assert!(response("HTTP/1.1 101 Switch\r\n\r\n", "GET").is_err());
}

/// A connection that breaks off within a chunked body must not make a truncated body look complete.
#[test]
fn a_chunked_body_is_complete_only_with_its_last_chunk() {
    let whole = b"4\r\nabcd\r\n2;x=y\r\nef\r\n0\r\nA: b\r\n\r\n";

    assert_eq!(body(whole, Framing::Chunked).as_deref(), Some(&b"abcdef"[..]));
    for len in 0..whole.len() {
        assert_eq!(
            body(&whole[..len], Framing::Chunked),
            None,
            "the first {len} bytes are taken for a complete body"
        );
    }
}

/// Guards against a trailer that is no trailer, such as a second response behind the last chunk: the
/// message is malformed, and its last chunk may be the end of another one.
#[test]
fn a_trailer_line_that_is_no_field_is_malformed() {
    let bytes = (0..=b' ').chain(*b"\"(),/;<=>?@[\\]{}\x7f\x80\xff").filter(|it| *it != b'\n');
    let names = bytes.flat_map(|it| [vec![it, b'a'], vec![b'a', it, b'b'], vec![b'a', it]]);
    let mut lines: Vec<_> = names.map(|name| [&name[..], b": c\r\n"].concat()).collect();
    let others: [&[u8]; 6] = [
        b": c\r\n",
        b"a\r\n",
        b"a: b\r\n c\r\n",
        b"a: b\nc: d\r\n",
        b"a: \0\r\n",
        b"HTTP/1.1 200 X\r\n",
    ];
    lines.extend(others.map(<[u8]>::to_vec));

    for line in lines {
        let sent = [b"1\r\na\r\n0\r\nX-A: b\r\n", &line[..], b"\r\n"].concat();

        assert_eq!(body(&sent, Framing::Chunked), None, "{:?}", line.escape_ascii().to_string());
    }
}

/// A response with neither a length nor a transfer coding has no other end than that of the
/// connection, which must not count as a truncation.
#[test]
fn a_body_without_a_length_ends_with_the_connection() {
    assert_eq!(body(b"all of it", Framing::UntilClose).as_deref(), Some(&b"all of it"[..]));
    assert_eq!(body(b"", Framing::UntilClose).as_deref(), Some(&b""[..]));
}

/// A sender could exhaust the memory with a large stated length or an endless chunked body.
#[test]
fn a_body_over_the_limit_is_rejected_with_and_without_a_stated_length() {
    let mut input = Buffered::new(Cursor::new(vec![b'a'; 100]));
    let stated = block_on(read_whole(&mut input, Framing::Length(100), 99));
    let mut input = Buffered::new(Cursor::new(
        b"64\r\n".iter().copied().chain([b'a'; 200]).collect::<Vec<_>>(),
    ));
    let chunked = block_on(read_whole(&mut input, Framing::Chunked, 99));

    assert!(stated.is_err() && chunked.is_err());
}

/// Callers and servers may send anything: parsing must return an error instead of panicking.
/// A reader that returns one byte at a time.
struct ByteByByte<'a>(&'a [u8]);

impl AsyncRead for ByteByByte<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Some((byte, rest)) = self.0.split_first() else { return Poll::Ready(Ok(0)) };
        buf[0] = *byte;
        self.0 = rest;
        Poll::Ready(Ok(1))
    }
}

/// Guards against a head that is scanned from its beginning with each read: callers that send many of
/// them keep the process from all other work.
#[test]
fn a_head_that_comes_byte_by_byte_is_scanned_once() {
    const LARGE: usize = 64 << 10;
    let text = format!("\r\nGET / HTTP/1.1\r\nHost: h\r\nX-A: {}\r\n\r\n", "a".repeat(LARGE));
    let mut input = Buffered::new(ByteByByte(text.as_bytes()));
    let started = Instant::now();

    let head = block_on(RequestHead::read(&mut input, 2 * LARGE)).unwrap();

    assert_eq!(head.fields().text("x-a").unwrap().len(), LARGE);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

#[test]
fn arbitrary_bytes_are_parsed_without_a_panic() {
    seeded::check_type::<Vec<u8>>(3_000, |bytes| {
        let _ = RequestHead::parse(bytes);
        let _ = ResponseHead::parse(bytes, "GET");
        let _ = body(bytes, Framing::Chunked);
    });
}

/// A piece of a generated head; pieces come in any order.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Piece {
    Line,
    Status(u8),
    Host,
    Length(u8),
    Chunked,
    Space,
    Colon,
    End,
    Byte(u8),
}

/// A head that states its framing twice is ambiguous, however the statements are combined: none may
/// be accepted.
#[test]
fn an_accepted_request_head_states_its_framing_at_most_once() {
    seeded::check_type::<Vec<Piece>>(3_000, |pieces| {
        let mut bytes = Vec::new();
        for piece in pieces {
            match piece {
                Piece::Line => bytes.extend_from_slice(b"GET /a HTTP/1.1\r\n"),
                Piece::Status(status) => bytes.extend(format!("HTTP/1.1 {status} X\r\n").bytes()),
                Piece::Host => bytes.extend_from_slice(b"Host: h\r\n"),
                Piece::Length(len) => bytes.extend(format!("Content-Length: {len}\r\n").bytes()),
                Piece::Chunked => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
                Piece::Space => bytes.push(b' '),
                Piece::Colon => bytes.push(b':'),
                Piece::End => bytes.extend_from_slice(b"\r\n"),
                Piece::Byte(byte) => bytes.push(*byte),
            }
        }
        bytes.extend_from_slice(b"\r\n");
        if let Ok(head) = RequestHead::parse(&bytes) {
            let fields = head.fields();
            let lengths = fields.all("content-length").count();
            let codings = fields.all("transfer-encoding").count();
            assert!(lengths + codings <= 1, "{:?}", String::from_utf8_lossy(&bytes));
        }
    });
}

/// Guards against a status or fields of a head that breaks off and that another one follows: the caller
/// would get the status of one response with the body of another.
#[test]
fn a_head_behind_a_part_of_another_one_is_malformed() {
    let broken = "HTTP/1.1 500 X Y\r\nX-A: a\r\nX-B: b c\r\n";
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    for len in 1..=broken.len() {
        let text = format!("{}{whole}", &broken[..len]);

        let head = response(&text, "GET");

        assert!(head.is_err(), "{text:?}: {head:?}");
    }
}

/// Guards against a status that HTTP does not define and that goes on to the caller.
#[test]
fn a_status_below_100_or_above_599_is_malformed() {
    for status in 0..1_000 {
        let text = format!("HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\n");

        let head = ResponseHead::parse(text.as_bytes(), "GET");

        let is_valid = (100..600).contains(&status) && status != 101;
        assert_eq!(head.is_ok(), is_valid, "{status}: {head:?}");
        let is_final = is_valid && status >= 200;
        assert_eq!(head.ok().flatten().map(|it| it.status()), is_final.then_some(status));
    }
}

/// Guards against responses that are refused as they name a version of HTTP.
#[test]
fn a_head_may_name_a_version_of_http() {
    for line in ["Via: HTTP/1.1 proxy", "Upgrade: HTTP/1.1", "X-A: HTTP/1.1 2000", "Warning: 200"] {
        let head =
            response(&format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 0\r\n\r\n"), "GET");

        assert_eq!(head.unwrap().status(), 200, "{line}");
    }
}
