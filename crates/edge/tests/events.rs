//! Streams of events, cut at any place.

use bolero::TypeGenerator;
use edge::EventSplitter;

/// An event of a stream.
#[derive(Clone, Debug, TypeGenerator)]
struct Event {
    id: Option<u8>,
    lines: u8,
    with_carriage_returns: bool,
}

impl Event {
    fn bytes(&self) -> Vec<u8> {
        let end = if self.with_carriage_returns { "\r\n" } else { "\n" };
        let mut text = self.id.map_or(String::new(), |id| format!("id: {id}{end}"));
        for line in 0..=self.lines % 3 {
            text.push_str(&format!("data: {line}{end}"));
        }
        (text + end).into_bytes()
    }
}

#[test]
fn events_are_the_same_wherever_the_stream_is_cut() {
    seeded::check_type::<(Vec<Event>, Vec<u8>)>(500, |(events, cuts)| {
        let stream: Vec<u8> = events.iter().flat_map(Event::bytes).collect();
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        let mut rest = &stream[..];
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(*cut).min(rest.len()));
            whole.extend(splitter.push(piece).events);
            rest = after;
        }
        whole.extend(splitter.push(rest).events);

        let expected: Vec<_> =
            events.iter().map(|it| (it.id.map(|id| id.to_string()), it.bytes())).collect();
        assert_eq!(whole, expected);
        assert_eq!(splitter.pending(), 0);
    });
}

#[test]
fn an_event_that_is_not_whole_is_kept_back() {
    let mut splitter = EventSplitter::default();

    let whole = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");

    assert_eq!(whole.events.len(), 1);
    assert_eq!(splitter.pending(), b"id: 2\ndata: b\n".len());
}

#[test]
fn arbitrary_bytes_are_split_without_a_panic_or_a_loss() {
    seeded::check_type::<Vec<Vec<u8>>>(500, |pieces| {
        let mut splitter = EventSplitter::default();
        let mut passed = 0;
        for piece in pieces {
            passed += splitter.push(piece).events.iter().map(|it| it.1.len()).sum::<usize>();
        }
        assert_eq!(passed + splitter.pending(), pieces.iter().map(Vec::len).sum::<usize>());
    });
}
