//! Splits a stream of server-sent events.

/// The event that ends a stream.
const DONE: &[u8] = b"data: [DONE]";

/// Splits a stream of server-sent events, so that only whole events go to the caller.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: Vec<u8>,
    /// Start of the line that is not whole yet.
    line: usize,
    /// Whether the event that is not whole yet has data.
    has_data: bool,
    is_done: bool,
}

/// Whole events.
#[derive(Debug, Default)]
pub(super) struct EventBatch {
    /// The events as they came.
    pub(super) bytes: Vec<u8>,
    /// How many of them have data.
    pub(super) events: u32,
}

impl EventSplitter {
    /// Takes the next bytes and returns the events that are whole now, up to the one that ends
    /// the stream, which is kept back.
    pub(super) fn push(&mut self, bytes: &[u8]) -> EventBatch {
        let mut batch = EventBatch::default();
        let mut scan = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let mut event = 0;
        while let Some(len) = self.pending[scan..].iter().position(|it| *it == b'\n') {
            if self.is_done {
                break;
            }
            let end = scan + len;
            let line = self.pending[self.line..end].trim_ascii_end();
            let blank = line.is_empty();
            self.has_data |= line.starts_with(b"data:");
            self.is_done |= line == DONE || line == b"data:[DONE]";
            scan = end + 1;
            self.line = scan;
            if blank && !self.is_done {
                batch.events += u32::from(self.has_data);
                self.has_data = false;
                event = scan;
            }
        }
        batch.bytes = self.pending.drain(..event).collect();
        self.line -= event;
        batch
    }

    /// Returns the bytes that are not passed on yet.
    pub(super) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the event that ends the stream, or `None` if it is missing.
    pub(super) fn finish(self) -> Option<Vec<u8>> {
        self.is_done.then_some(self.pending)
    }
}
