//! Splitting of server-sent event streams.

/// The line of the event that ends a stream.
const DONE: &[u8] = b"data: [DONE]";
/// Bytes that may precede the first line of a stream, which receivers ignore.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a stream of server-sent events into complete events, since only these are passed on to
/// the caller.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: Vec<u8>,
    /// Where the incomplete line starts in `pending`.
    line: usize,
    state: StreamState,
}

/// How far the stream is complete.
#[derive(Debug, Default)]
enum StreamState {
    /// Further events may follow.
    #[default]
    Open,
    /// The event that ends the stream was received.
    Done { last: Vec<u8> },
    /// Bytes that belong to no event of the stream were received.
    Broken,
}

/// What an event means for its stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum EventKind {
    /// The event has no data, so receivers ignore it.
    Comment,
    Data,
    /// The event ends the stream.
    Done,
}

/// Events that are complete, up to and with their blank line.
#[derive(Debug, Default)]
pub(super) struct CompleteEvents {
    /// The unchanged bytes of the events.
    pub(super) bytes: Vec<u8>,
    /// The number of events that have data.
    pub(super) count: u32,
}

impl EventSplitter {
    /// Appends the next bytes of the stream and returns the events that they complete, up to the
    /// first bytes that are no event. The event that ends the stream is held back for
    /// [`EventSplitter::finish`].
    pub(super) fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        let mut complete = CompleteEvents::default();
        let mut pending = std::mem::take(&mut self.pending);
        let mut scan = pending.len();
        pending.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(len) = pending[scan..].iter().position(|byte| *byte == b'\n') {
            let end = scan + len;
            let is_blank = matches!(&pending[self.line..end], b"" | b"\r");
            scan = end + 1;
            self.line = scan;
            if is_blank {
                self.add(&pending[start..scan], &mut complete);
                start = scan;
            }
        }
        pending.drain(..start);
        self.line -= start;
        self.pending = pending;
        complete
    }

    fn add(&mut self, event: &[u8], complete: &mut CompleteEvents) {
        match (&self.state, EventKind::of(event)) {
            (StreamState::Open, Some(EventKind::Done)) => {
                self.state = StreamState::Done { last: event.to_vec() };
            }
            (StreamState::Open, Some(kind)) => {
                complete.bytes.extend_from_slice(event);
                complete.count += u32::from(kind == EventKind::Data);
            }
            (StreamState::Done { .. }, Some(EventKind::Comment)) => {}
            _ => self.state = StreamState::Broken,
        }
    }

    /// Returns whether bytes that belong to no event of the stream were received. Nothing after them
    /// can be trusted.
    pub(super) fn is_broken(&self) -> bool {
        matches!(self.state, StreamState::Broken)
    }

    /// Returns the number of buffered bytes, which belong to an incomplete event.
    pub(super) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the event that ends the stream, or `None` if it was not received, or if an incomplete
    /// event follows it.
    pub(super) fn finish(self) -> Option<Vec<u8>> {
        match self.state {
            StreamState::Done { last } if self.pending.is_empty() => Some(last),
            _ => None,
        }
    }
}

impl EventKind {
    /// Returns the kind of a complete event, or `None` if the bytes are no event.
    fn of(event: &[u8]) -> Option<Self> {
        if !http1::is_event(event) {
            return None;
        }
        let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
        let mut lines = event.split(|byte| b"\r\n".contains(byte)).map(<[u8]>::trim_ascii_end);
        let is_done = |line| line == DONE || line == b"data:[DONE]";
        if lines.clone().any(is_done) {
            return Some(Self::Done);
        }
        let has_data = lines.any(|line| line == b"data" || line.starts_with(b"data:"));
        Some(if has_data { Self::Data } else { Self::Comment })
    }
}
