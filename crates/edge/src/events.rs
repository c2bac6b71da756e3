//! Splits a stream of server-sent events.

/// Splits a stream of server-sent events, so that only whole events go on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Start of the line that is not whole yet.
    line: usize,
    /// The id of the event that is not whole yet.
    id: Option<String>,
}

/// Events that are whole.
#[derive(PartialEq, Eq, Debug, Default)]
pub struct CompleteEvents {
    /// The events as they came, each with its id.
    pub events: Vec<(Option<String>, Vec<u8>)>,
}

impl EventSplitter {
    /// Takes the next bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        let mut whole = CompleteEvents::default();
        let mut scan = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(len) = self.pending[scan..].iter().position(|it| *it == b'\n') {
            let end = scan + len;
            let line = self.pending[self.line..end].trim_ascii_end();
            if let Some(id) = line.strip_prefix(b"id:") {
                self.id = Some(String::from_utf8_lossy(id.trim_ascii()).into_owned());
            }
            let is_blank = line.is_empty();
            scan = end + 1;
            self.line = scan;
            if is_blank {
                whole.events.push((self.id.take(), self.pending[start..scan].to_vec()));
                start = scan;
            }
        }
        self.pending.drain(..start);
        self.line -= start;
        whole
    }

    /// Returns how many bytes belong to an event that is not whole.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}
