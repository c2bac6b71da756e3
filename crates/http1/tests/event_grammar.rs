//! The check that bytes are one server-sent event, on events, quoted responses and foreign ones.

use bolero::TypeGenerator;
use http1::is_event;

/// Heads of responses that a server may send in the middle of an event. Each has a header field
/// whose name events do not define, or that differs in case from one that they define.
const FOREIGN_HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nid: 1\r\nX-Outcome: not-run\r\n\r\n",
    "HTTP/1.1 404 \r\nX-Request-Id:7\r\n\r\n",
    "HTTP/1.0 200\r\nData: a\r\n\r\n",
    "HTTP/1.1 200 Fine: so far\r\ndata: a\r\nevent: b\r\nRETRY: 5\r\n\r\n",
];

/// The characters of generated comments and data.
const CHARACTERS: [char; 8] = ['a', ' ', ':', '\0', '/', '\u{e9}', '\u{20ac}', '\u{1f600}'];
/// The most lines of a generated event. A quoted head has several.
const MAX_LINES: usize = 6;

/// A generated line of an event.
#[derive(Clone, Debug, TypeGenerator)]
enum Line {
    Comment([u8; 4]),
    Data([u8; 6]),
    EmptyData,
    Id(u16),
    Event(u8),
    Retry(u16),
    QuotedHead(u8),
}

/// A generated event. Fields that the standard does not define come first.
#[derive(Clone, Debug, TypeGenerator)]
struct Event {
    weight_version: Option<u8>,
    lines: Vec<Line>,
    end: LineEnd,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum LineEnd {
    Lf,
    CrLf,
    Cr,
}

impl Event {
    fn bytes(&self) -> Vec<u8> {
        let end = match self.end {
            LineEnd::Lf => "\n",
            LineEnd::CrLf => "\r\n",
            LineEnd::Cr => "\r",
        };
        let mut text = String::new();
        if let Some(version) = self.weight_version {
            text.push_str(&format!("x-weight-versions: {version}{end}"));
        }
        if text.is_empty() && matches!(self.end, LineEnd::Cr) {
            // A CR alone is the beginning of a CR LF.
            text.push_str(":\r");
        }
        for line in self.lines.iter().take(MAX_LINES) {
            text.push_str(&line.text(end));
            text.push_str(end);
        }
        (text + end).into_bytes()
    }
}

impl Line {
    fn text(&self, end: &str) -> String {
        match self {
            Self::Comment(text) => format!(":{}", characters(text)),
            Self::Data(text) => format!("data: {}", characters(text)),
            Self::EmptyData => "data".to_owned(),
            Self::Id(id) => format!("id: {id}"),
            Self::Event(kind) => format!("event:{kind}"),
            Self::Retry(ms) => format!("retry: {ms}"),
            Self::QuotedHead(number) => {
                let lines = foreign_head(*number).split("\r\n").map(|line| format!("data: {line}"));
                lines.collect::<Vec<_>>().join(end)
            }
        }
    }
}

fn characters(numbers: &[u8]) -> String {
    numbers.iter().map(|number| CHARACTERS[usize::from(*number) % CHARACTERS.len()]).collect()
}

fn foreign_head(number: u8) -> &'static str {
    FOREIGN_HEADS[usize::from(number) % FOREIGN_HEADS.len()]
}

#[test]
fn events_as_servers_send_them_are_accepted() {
    let events = [
        "\n",
        "\r\n",
        ": ping\n\n",
        ":\r\n\r\n",
        "data: a\n\n",
        "data\n\n",
        "id\r\ndata:a\r\n\r\n",
        "data: a\r\nid: 1\n\r\n",
        "x-weight-versions: 3\nid: 1\ndata: a\n\n",
        "x-weight-versions:\ndata: a\n\n",
        "data: \u{e9}\u{1f600}: b\n\n",
        "\u{feff}data: a\n\n",
        "data: a\n \n\n",
        " \t\r\n\r\n",
        "data: a\rdata: b\n\n",
        "data: 10%\rdata\n\n",
        "id: 1\rdata: a\r\r",
    ];

    for event in events {
        assert!(is_event(event.as_bytes()), "{event:?}");
    }
}

/// Guards against a stream that breaks off because its server cuts text between two bytes of a
/// character.
#[test]
fn parts_of_characters_in_text_are_content() {
    let events: [&[u8]; 6] = [
        b"data: a\xe2\x82\n\n",
        b"data: \xac\n\n",
        b"id: 1\r\ndata: \x9f\x98\x80 b\t\xf0\r\n\r\n",
        b"data: {\"text\":\"\xc3\"}\n\n",
        b": \xe2\x82\n\n",
        b"id: \xc3\xa9\nevent: \xe2\x82\xac\ndata: \xac\n\n",
    ];

    for event in events {
        assert!(is_event(event), "{:?}", String::from_utf8_lossy(event));
    }
}

/// Guards against foreign bytes in an id or an event type, which servers write whole, that are taken
/// for text that was cut.
#[test]
fn parts_of_characters_outside_data_and_comments_are_rejected() {
    let others: [&[u8]; 6] = [
        b"id: 1\xe2\x82\ndata: a\n\n",
        b"data: a\nid: \x9f\n\n",
        b"event: \xf0\x9f\r\ndata: a\r\n\r\n",
        b"retry: 5\xc3\n\n",
        b"x-weight-versions: \xe2\x82\ndata: a\n\n",
        b"id: \xe2\x82\ndata: \xac\n\n",
    ];

    for other in others {
        assert!(!is_event(other), "{:?}", String::from_utf8_lossy(other));
    }
}

/// Guards against binary data within a value that is taken for parts of characters.
#[test]
fn binary_data_within_a_value_is_rejected() {
    let others: [&[u8]; 6] = [
        b"data: \xff\n\n",
        b"data: a\xc0\x80\n\n",
        b"data: a\xf5\xe2\x82\n\n",
        b"data: a\x07\x91{garbage}\x02\n\n",
        b"data: a\x1f\x8b\x08\x00\n\n",
        b"id: 1\ndata: \xe2\x82\x7f\n\n",
    ];

    for other in others {
        assert!(!is_event(other), "{:?}", String::from_utf8_lossy(other));
    }
}

/// Guards against a stream that is cut between the CR and the LF of a line and goes on with events of
/// another one, which together look like one event.
#[test]
fn a_cr_alone_in_an_event_with_cr_lf_is_rejected() {
    let others = [
        "data: a\rdata: b\r\n\r\n",
        "id: 1\r\ndata: a\rid: 9\r\ndata: b\r\n\r\n",
        "data: a\rdata: [DONE]\r\n\r\n",
        "id: 1\r\ndata: a\rdata: b\n\n",
        "data: a\rdata: b\n\r\n",
        "data: a\r\r\n",
    ];

    for other in others {
        assert!(!is_event(other.as_bytes()), "{other:?}");
    }
}

/// Guards against a relay that breaks off the answer of a model which explains HTTP.
#[test]
fn a_quoted_response_is_content() {
    let events = [
        "data: HTTP/1.1 200 OK\r\ndata: Content-Length: 2\r\ndata: \r\n\r\n",
        ": HTTP/1.1 200 OK\r\ndata: {\"text\":\"HTTP/1.1 200 OK\\r\\nA: b\"}\r\n\r\n",
        "data: a GET / HTTP/1.1\r\nx-weight-versions: 3\r\n\r\n",
        "x-weight-versions: 3\r\ndata: HTTP/1.1 200 OK\r\nid: 1\r\nretry: 2\r\nevent: b\r\n\r\n",
        "data: HTTP/1.1 is not HTTP/2 200\r\nx-a: b\r\n\r\n",
    ];

    for event in events {
        assert!(is_event(event.as_bytes()), "{event:?}");
    }
}

#[test]
fn bytes_that_are_no_event_are_rejected() {
    let others: [&[u8]; 25] = [
        b"",
        b"data: a",
        b"data: a\n",
        b"data: a\n\ndata: b\n\n",
        b"\n\n",
        b"data: a\n \n",
        b"data: a\n \x0b\n\n",
        b"data: a\r\r\n\n",
        b"\r",
        b"data: a\r\n\r",
        b"data: a\n\r",
        b"data: a\r\rdata: b\n\n",
        b"data: a\r0\n\n",
        b"data: a\rHTTP/1.1 200 OK\n\n",
        b"data: \xff\n\n",
        b"data: a\n\xc3\n\n",
        b"\x1f\x8b\x08\x00\n\n",
        b"da ta: a\n\n",
        b"da\0ta: a\n\n",
        b" data: a\n\n",
        b"d\xc3\xa9: a\n\n",
        b"0\r\n\r\n",
        b"1a\r\n\r\n",
        b"garbage\n\n",
        b"{\"error\": 1}\n\n",
    ];

    for other in others {
        assert!(!is_event(other), "{:?}", String::from_utf8_lossy(other));
    }
}

/// Guards against a second response that begins behind a part of a line, where the status line is
/// the value of a field or a part of it.
#[test]
fn a_foreign_head_within_a_line_is_rejected() {
    for head in FOREIGN_HEADS {
        for before in ["", "data: b", "data: b\r\n", "id: ", ":", "da", "data: HTTP/1.1 200 "] {
            let bytes = format!("{before}{head}");

            assert!(!is_event(bytes.as_bytes()), "{bytes:?}");
        }
    }
}

/// States what the grammar cannot tell from an event, so that no caller relies on it.
#[test]
fn a_foreign_head_within_a_line_without_other_fields_is_not_detected() {
    assert!(is_event(b"data: bHTTP/1.1 200 OK\r\n\r\n"));
    assert!(is_event(b"data: bHTTP/1.1 200 OK\r\nid: 1\r\n\r\n"));
    assert!(!is_event(b"data: b\r\nHTTP/1.1 200 OK\r\n\r\n"));
}

#[test]
fn arbitrary_bytes_are_checked_without_a_panic() {
    seeded::check_type::<Vec<u8>>(3_000, |bytes| {
        is_event(bytes);
        is_event(&[bytes, &b"\n\n"[..]].concat());
    });
}

#[test]
fn generated_events_are_accepted_and_their_beginnings_are_not() {
    seeded::check_type::<Event>(300, |event| {
        let bytes = event.bytes();

        assert!(is_event(&bytes), "{:?}", String::from_utf8_lossy(&bytes));
        for len in 0..bytes.len() {
            assert!(!is_event(&bytes[..len]), "{:?}", String::from_utf8_lossy(&bytes[..len]));
        }
    });
}

/// A splitter cuts at the blank line of the foreign head: what it takes for an event is the
/// beginning of the server's event with the head. Holds for the heads of [`FOREIGN_HEADS`], which
/// have a field that is none of events, at every byte position from the first byte of the event to
/// behind its last one.
#[test]
fn an_event_with_a_foreign_head_at_any_position_is_rejected() {
    seeded::check_type::<(Event, u8)>(300, |(event, number)| {
        let bytes = event.bytes();
        let head = foreign_head(*number).as_bytes();
        for position in 0..=bytes.len() {
            let (before, after) = bytes.split_at(position);
            let cut = [before, head].concat();
            let joined = [before, head, after].concat();

            assert!(!is_event(&cut), "{:?}", String::from_utf8_lossy(&cut));
            assert!(!is_event(&joined), "{:?}", String::from_utf8_lossy(&joined));
        }
    });
}
