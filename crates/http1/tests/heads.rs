//! Heads and bodies, well formed, ambiguous and arbitrary.

#![allow(clippy::unwrap_used)]

use futures_lite::{future::block_on, io::Cursor};
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

/// Reads a body, in pieces.
fn body(bytes: &[u8], framing: Framing) -> Option<Vec<u8>> {
    let mut input = Buffered::new(Cursor::new(bytes.to_vec()));
    let mut frames = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while let Some(piece) = block_on(frames.next(&mut input)).ok()? {
        body.extend_from_slice(&piece);
    }
    Some(body)
}

#[test]
fn a_request_is_kept_as_it_came() {
    let head =
        request("PUT /a%2f/../b?c=d HTTP/1.1\r\nHOST: H:80\r\nX-A:  1 \r\nx-a: 2\r\n\r\n").unwrap();

    assert_eq!((head.method(), head.target()), ("PUT", "/a%2f/../b?c=d"));
    assert_eq!((head.path(), head.host()), ("/a%2f/../b", "H"));
    let fields: Vec<_> = head.fields().iter().map(|it| it.0).collect();
    assert_eq!(fields, ["HOST", "X-A", "x-a"]);
    assert_eq!(head.fields().get("x-a"), None, "one of two values is not the value");
    assert_eq!(head.fields().all("X-a").count(), 2);
    assert_eq!(head.framing(), Framing::Absent);
}

#[test]
fn what_can_be_read_in_two_ways_is_malformed() {
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

#[test]
fn a_head_that_is_too_large_or_not_whole_is_told_apart() {
    let large = format!("GET / HTTP/1.1\r\nHost: h\r\nA: {}\r\n\r\n", "b".repeat(MAX_BYTES));

    let many = format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", "a: b\r\n".repeat(200));

    assert!(matches!(request(&large), Err(HeadError::TooLarge(MAX_BYTES))));
    assert!(matches!(request(&many), Err(HeadError::TooManyFields)));
    assert!(matches!(request(""), Err(HeadError::Closed)));
    assert!(matches!(request("GET / HTTP"), Err(HeadError::Broken(_))));
}

#[test]
fn a_response_says_how_its_body_ends() {
    let framing = |text, method| response(text, method).unwrap().framing();

    assert_eq!(framing("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "GET"), Framing::Length(3));
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n", "GET"), Framing::UntilClose);
    assert_eq!(framing("HTTP/1.1 204 No\r\n\r\n", "GET"), Framing::Absent);
    assert_eq!(framing("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD"), Framing::Absent);
    let interim = "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(response(interim, "GET").unwrap().status(), 404);
    assert!(response("HTTP/1.1 101 Switch\r\n\r\n", "GET").is_err());
}

#[test]
fn a_chunked_body_is_whole_only_with_its_last_chunk() {
    let whole = b"4\r\nabcd\r\n2;x=y\r\nef\r\n0\r\nA: b\r\n\r\n";

    assert_eq!(body(whole, Framing::Chunked).as_deref(), Some(&b"abcdef"[..]));
    for len in 0..whole.len() {
        assert_eq!(body(&whole[..len], Framing::Chunked), None, "{len} bytes are taken for all");
    }
}

#[test]
fn a_body_without_a_length_ends_with_the_connection() {
    assert_eq!(body(b"all of it", Framing::UntilClose).as_deref(), Some(&b"all of it"[..]));
    assert_eq!(body(b"", Framing::UntilClose).as_deref(), Some(&b""[..]));
}

#[test]
fn a_body_takes_no_more_than_its_limit() {
    let mut input = Buffered::new(Cursor::new(vec![b'a'; 100]));
    let stated = block_on(read_whole(&mut input, Framing::Length(100), 99));
    let mut input = Buffered::new(Cursor::new(
        b"64\r\n".iter().copied().chain([b'a'; 200]).collect::<Vec<_>>(),
    ));
    let found = block_on(read_whole(&mut input, Framing::Chunked, 99));

    assert!(stated.is_err() && found.is_err());
}

#[test]
fn arbitrary_bytes_are_read_without_a_panic() {
    seeded::check_type::<Vec<u8>>(3_000, |bytes| {
        let _ = RequestHead::parse(bytes);
        let _ = ResponseHead::parse(bytes, "GET");
        let _ = body(bytes, Framing::Chunked);
    });
}

/// Pieces of heads in any order.
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

#[test]
fn whatever_is_read_has_one_framing() {
    seeded::check_type::<Vec<Piece>>(3_000, |pieces| {
        let mut bytes = Vec::new();
        for piece in pieces {
            match piece {
                Piece::Line => bytes.extend_from_slice(b"GET /a HTTP/1.1\r\n"),
                Piece::Status(it) => bytes.extend(format!("HTTP/1.1 {it} X\r\n").bytes()),
                Piece::Host => bytes.extend_from_slice(b"Host: h\r\n"),
                Piece::Length(it) => bytes.extend(format!("Content-Length: {it}\r\n").bytes()),
                Piece::Chunked => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
                Piece::Space => bytes.push(b' '),
                Piece::Colon => bytes.push(b':'),
                Piece::End => bytes.extend_from_slice(b"\r\n"),
                Piece::Byte(it) => bytes.push(*it),
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
