//! Splitting of server-sent event streams.

use memchr::memchr2;

/// Splits a stream of server-sent events into complete events. A line ends in LF, CR LF or CR.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Where the incomplete line starts in `pending`.
    line: usize,
    /// The id of the incomplete event, if its `id` line has arrived.
    id: Option<String>,
    /// Whether a `data` line of the incomplete event has arrived.
    has_data: bool,
    /// Whether a CR alone ended the line before the incomplete one, in the same event.
    is_after_cr: bool,
}

/// A complete event.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StreamEvent {
    /// The value of its `id` field; `None` if it has none.
    pub id: Option<String>,
    /// Whether it has data, so that the caller notices if it comes twice.
    pub has_data: bool,
    /// Its unchanged bytes, up to and with the blank line.
    pub bytes: Vec<u8>,
}

impl StreamEvent {
    /// Returns its id if that is a number.
    pub fn number(&self) -> Option<u64> {
        self.id.as_deref()?.parse().ok()
    }
}

impl EventSplitter {
    /// Appends the next bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        let mut complete = Vec::new();
        // The last byte may be a CR of which it was not known whether an LF follows.
        let mut scan = self.pending.len().saturating_sub(1).max(self.line);
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = self.line_end(scan) {
            let line = &self.pending[self.line..end.index];
            if let Some(id) = line.strip_prefix(b"id:") {
                self.id = Some(String::from_utf8_lossy(id.trim_ascii()).into_owned());
            }
            self.has_data |= line.trim_ascii_end() == b"data" || line.starts_with(b"data:");
            self.is_after_cr = end.is_cr && !line.is_empty();
            scan = end.next;
            self.line = scan;
            if line.is_empty() {
                complete.push(StreamEvent {
                    id: self.id.take(),
                    has_data: std::mem::take(&mut self.has_data),
                    bytes: self.pending[start..scan].to_vec(),
                });
                start = scan;
            }
        }
        self.pending.drain(..start);
        self.line -= start;
        complete
    }

    /// Returns the first end of a line at or behind `from`, an index in the incomplete line. A CR that
    /// came last is none yet, as an LF may follow; but behind lines that a CR alone ends, a blank line
    /// of that kind ends the event at once.
    fn line_end(&self, from: usize) -> Option<LineEnd> {
        let index = from + memchr2(b'\n', b'\r', &self.pending[from..])?;
        match &self.pending[index..] {
            [b'\r', b'\n', ..] => Some(LineEnd { index, next: index + 2, is_cr: false }),
            [b'\r'] if index > self.line || !self.is_after_cr => None,
            [byte, ..] => Some(LineEnd { index, next: index + 1, is_cr: *byte == b'\r' }),
            [] => None,
        }
    }

    /// Returns the number of buffered bytes, which belong to an incomplete event.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

/// Where a line ends.
#[derive(Clone, Copy, Debug)]
struct LineEnd {
    /// The index of its CR or LF.
    index: usize,
    /// Where the next line begins.
    next: usize,
    /// Whether it is a CR alone.
    is_cr: bool,
}
