//! Splitting of server-sent event streams that arrive in arbitrary pieces.

use bolero::TypeGenerator;
use edge::{EventSplitter, ResumePoint, StreamEvent};

/// A generated event; `lines % 3 + 1` data lines are written.
#[derive(Clone, Debug, TypeGenerator)]
struct Event {
    id: Option<u8>,
    lines: u8,
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
        let mut text = self.id.map_or(String::new(), |id| format!("id: {id}{end}"));
        for line in 0..=self.lines % 3 {
            text.push_str(&format!("data: {line}{end}"));
        }
        (text + end).into_bytes()
    }
}

/// Network reads end anywhere, also within a line or between CR and LF; an event must not be
/// merged, lost or given the wrong id because of that.
#[test]
fn events_do_not_depend_on_where_the_stream_is_cut() {
    seeded::check_type::<(Vec<Event>, Vec<u8>)>(500, |(events, cuts)| {
        let stream: Vec<u8> = events.iter().flat_map(Event::bytes).collect();
        let mut splitter = EventSplitter::default();
        let mut complete = Vec::new();
        let mut rest = &stream[..];
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(*cut).min(rest.len()));
            complete.extend(splitter.push(piece));
            rest = after;
        }
        complete.extend(splitter.push(rest));

        let expected = events.iter().map(|event| StreamEvent {
            id: event.id.map(|id| id.to_string()),
            has_data: true,
            bytes: event.bytes(),
        });
        let expected: Vec<_> = expected.collect();
        assert_eq!(complete, expected);
        assert_eq!(splitter.pending(), 0);
    });
}

/// An event that was relayed before its blank line would reach the caller in part if the server's
/// connection then breaks.
#[test]
fn an_incomplete_event_stays_pending() {
    let mut splitter = EventSplitter::default();

    let complete = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");

    assert_eq!(complete.len(), 1);
    assert_eq!(splitter.pending(), b"id: 2\ndata: b\n".len());
}

/// Guards against an event that waits for the next one: an LF behind a blank line that a CR ends may
/// come with it or never.
#[test]
fn an_event_whose_lines_end_in_cr_is_complete_at_once() {
    let mut splitter = EventSplitter::default();

    let complete = splitter.push(b"id: 1\rdata: a\r\r");

    let ids: Vec<_> = complete.iter().map(StreamEvent::number).collect();
    assert_eq!((ids, splitter.pending()), (vec![Some(1)], 0));
}

/// Guards against a line of blanks that ends an event: receivers take it for a field that they do not
/// know.
#[test]
fn a_line_of_blanks_does_not_end_an_event() {
    let bytes = b"id: 1\ndata: a\n \t\n\n";
    let mut splitter = EventSplitter::default();

    let complete = splitter.push(bytes);

    assert_eq!(complete.len(), 1);
    assert_eq!(complete[0].bytes, bytes);
}

/// Guards against a stream that is continued from an older event because a field follows a CR.
#[test]
fn fields_behind_a_cr_alone_are_read() {
    let mut splitter = EventSplitter::default();

    let complete = splitter.push(b": a\rid: 7\rdata: b\n\n");

    assert_eq!(complete.len(), 1);
    assert_eq!((complete[0].number(), complete[0].has_data), (Some(7), true));
}

/// Servers may send anything as an event stream: the splitter must neither panic nor drop bytes.
#[test]
fn arbitrary_bytes_are_split_without_a_panic_or_a_loss() {
    seeded::check_type::<Vec<Vec<u8>>>(500, |pieces| {
        let mut splitter = EventSplitter::default();
        let mut complete_bytes = 0;
        for piece in pieces {
            complete_bytes +=
                splitter.push(piece).iter().map(|event| event.bytes.len()).sum::<usize>();
        }
        assert_eq!(complete_bytes + splitter.pending(), pieces.iter().map(Vec::len).sum::<usize>());
    });
}

fn event(id: Option<&str>, has_data: bool) -> StreamEvent {
    StreamEvent { id: id.map(str::to_owned), has_data, bytes: Vec::new() }
}

/// Guards against events that a caller gets twice, as another server cannot know which it has.
#[test]
fn a_stream_can_be_continued_only_behind_an_event_with_an_id() {
    let cases = [
        (vec![], ResumePoint::Start),
        (vec![event(None, false)], ResumePoint::Start),
        (vec![event(Some("1"), true)], ResumePoint::After(1)),
        (vec![event(Some("1"), true), event(None, false)], ResumePoint::After(1)),
        (vec![event(Some("1"), true), event(None, true)], ResumePoint::Unknown),
        (vec![event(None, true), event(Some("2"), true)], ResumePoint::After(2)),
        (vec![event(Some("1"), true), event(Some(""), false)], ResumePoint::Unknown),
        (vec![event(Some("a"), true)], ResumePoint::Unknown),
        (vec![event(Some("1"), true), event(Some("b"), false)], ResumePoint::Unknown),
    ];
    for (events, expected) in cases {
        let mut point = ResumePoint::Start;

        events.iter().for_each(|event| point.advance(event));

        assert_eq!(point, expected, "{events:?}");
    }
}
