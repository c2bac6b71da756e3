//! Splitting of server-sent event streams.

/// Splits a stream of server-sent events into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Where the incomplete line starts in `pending`.
    line: usize,
    /// The id of the incomplete event, if its `id` line has arrived.
    id: Option<String>,
}

/// Events that are complete, up to and with their blank line.
#[derive(PartialEq, Eq, Debug, Default)]
pub struct CompleteEvents {
    /// The id, if any, and the unchanged bytes of each event.
    pub events: Vec<(Option<String>, Vec<u8>)>,
}

impl EventSplitter {
    /// Appends the next bytes of the stream and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        let mut complete = CompleteEvents::default();
        let mut scan = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(len) = self.pending[scan..].iter().position(|byte| *byte == b'\n') {
            let end = scan + len;
            let line = self.pending[self.line..end].trim_ascii_end();
            if let Some(id) = line.strip_prefix(b"id:") {
                self.id = Some(String::from_utf8_lossy(id.trim_ascii()).into_owned());
            }
            let is_blank = line.is_empty();
            scan = end + 1;
            self.line = scan;
            if is_blank {
                complete.events.push((self.id.take(), self.pending[start..scan].to_vec()));
                start = scan;
            }
        }
        self.pending.drain(..start);
        self.line -= start;
        complete
    }

    /// Returns the number of buffered bytes, which belong to an incomplete event.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}
